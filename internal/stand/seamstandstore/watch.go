package seamstandstore

import (
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	wire "cardamomseam/internal/platform/seamstorewire"
)

// watch streams the changes of a key range, one JSON message per line.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	s.counter.countCall(KindWatch)
	if !s.applyFaults(r, s.Faults()) {
		abortConnection()
	}
	q := &wire.WatchRequest{}
	if err := decode(w, r, q); err != nil {
		writeError(w, err)
		return
	}
	create := q.GetCreateRequest()
	if create == nil {
		writeError(w, &invalidError{reason: "test store: create_request is missing"})
		return
	}
	s.stream(w, r, create)
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, q *wire.WatchCreateRequest) {
	w.Header().Set("Content-Type", "application/json")
	start := q.StartRevision
	if start == 0 {
		start = s.keys.currentRevision() + 1
	}
	send(w, &wire.WatchResponse{Header: header(s.keys.currentRevision()), Created: true})
	countTicker := time.NewTicker(watchCountInterval)
	defer countTicker.Stop()
	for {
		events, revision, changed, compacted := s.keys.changesSince(start, string(q.Key), string(q.RangeEnd))
		if compacted > 0 {
			send(w, &wire.WatchResponse{
				Header: header(revision), Canceled: true, CompactRevision: compacted,
				CancelReason: "etcdserver: mvcc: required revision has been compacted",
			})
			return
		}
		start = revision + 1
		if len(events) > 0 && !s.deliver(w, r, revision, events) {
			abortConnection()
		}
		select {
		case <-changed:
		case <-countTicker.C:
			s.counter.countCall(KindWatch)
		case <-r.Context().Done():
			return
		case <-s.stopped:
			return
		}
	}
}

// deliver sends events, subject to the injected faults, and reports whether the watch continues.
func (s *Server) deliver(w http.ResponseWriter, r *http.Request, revision int64, events []*wire.Event) bool {
	f := s.Faults()
	if !s.applyFaults(r, f) || s.random.occurs(f.WatchCut) {
		return false
	}
	return send(w, &wire.WatchResponse{Header: header(revision), Events: events})
}

func send(w http.ResponseWriter, m *wire.WatchResponse) bool {
	line, err := marshaler.Marshal(proto.Message(&wire.WatchResult{Result: m}))
	if err != nil {
		return false
	}
	if _, err := w.Write(append(line, '\n')); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}
