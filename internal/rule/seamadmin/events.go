package seamadmin

import (
	"encoding/json"
	"net/http"
	"strings"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/rule/seamauth"
)

// events writes the buffered recent events, one JSON object per line. With follow=true it
// keeps streaming new ones. name=PREFIX selects events by a prefix of their name.
func (s *Server) events(w http.ResponseWriter, r *http.Request) {
	s.requests.Inc()
	if _, err := s.authorize(call{Request: r}, seamauth.Read); err != nil {
		writeProblem(w, err)
		return
	}
	recent, later, cancel := s.Events.Follow()
	defer cancel()
	w.Header().Set("Content-Type", "application/x-ndjson")
	out := eventWriter{w: w, encoder: json.NewEncoder(w), prefix: r.URL.Query().Get("name")}
	for _, e := range recent {
		if out.write(e) != nil {
			return
		}
	}
	if r.URL.Query().Get("follow") != "true" {
		return
	}
	out.flush()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-s.stopping:
			return
		case e := <-later:
			if out.write(e) != nil {
				return
			}
			out.flush()
		}
	}
}

// eventWriter writes events whose names start with prefix as JSON lines.
type eventWriter struct {
	w       http.ResponseWriter
	encoder *json.Encoder
	prefix  string
}

func (o eventWriter) write(e seamevent.Event) error {
	if !strings.HasPrefix(e.Name, o.prefix) {
		return nil
	}
	return o.encoder.Encode(e)
}

func (o eventWriter) flush() {
	if f, ok := o.w.(http.Flusher); ok {
		f.Flush()
	}
}
