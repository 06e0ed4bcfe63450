package seamadmin

import (
	"encoding/json"
	"net/http"
	"strings"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/rule/seamauth"
)

// events writes the buffered recent events, one JSON object per line. With follow=true it then
// streams new events. name=PREFIX selects the events whose names start with PREFIX.
func (s *Server) events(w http.ResponseWriter, r *http.Request) {
	s.requests.Inc()
	if _, err := s.authorize(call{Request: r}, seamauth.Read); err != nil {
		writeProblem(w, err)
		return
	}
	recent, live, cancel := s.Events.Follow()
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
		case e := <-live:
			if out.write(e) != nil {
				return
			}
			out.flush()
		}
	}
}

// eventWriter writes events as JSON lines and skips those whose names don't start with prefix.
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
