package seamstandstore

import (
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	wire "cardamomseam/internal/platform/seamstorewire"
)

// watch streams the changes of a range, one JSON message a line.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	s.counter.call(KindWatch)
	if !s.pass(r, s.Faults()) {
		drop()
	}
	q := &wire.WatchRequest{}
	if err := decode(w, r, q); err != nil {
		fail(w, err)
		return
	}
	create := q.GetCreateRequest()
	if create == nil {
		fail(w, &invalidError{reason: "stand-in: create_request is missing"})
		return
	}
	s.stream(w, r, create)
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, q *wire.WatchCreateRequest) {
	w.Header().Set("Content-Type", "application/json")
	start := q.StartRevision
	if start == 0 {
		start = s.keys.now() + 1
	}
	send(w, &wire.WatchResponse{Header: header(s.keys.now()), Created: true})
	again := time.NewTicker(countAgain)
	defer again.Stop()
	for {
		events, revision, changed, compacted := s.keys.since(start, string(q.Key), string(q.RangeEnd))
		if compacted > 0 {
			send(w, &wire.WatchResponse{
				Header: header(revision), Canceled: true, CompactRevision: compacted,
				CancelReason: "etcdserver: mvcc: required revision has been compacted",
			})
			return
		}
		start = revision + 1
		if len(events) > 0 && !s.deliver(w, r, revision, events) {
			drop()
		}
		select {
		case <-changed:
		case <-again.C:
			s.counter.call(KindWatch)
		case <-r.Context().Done():
			return
		case <-s.closing:
			return
		}
	}
}

// deliver sends events and reports whether the watch goes on.
func (s *Server) deliver(w http.ResponseWriter, r *http.Request, revision int64, events []*wire.Event) bool {
	f := s.Faults()
	if !s.pass(r, f) || s.dice.roll(f.WatchCut) {
		return false
	}
	return send(w, &wire.WatchResponse{Header: header(revision), Events: events})
}

func send(w http.ResponseWriter, m *wire.WatchResponse) bool {
	line, err := names.Marshal(proto.Message(&wire.WatchResult{Result: m}))
	if err != nil {
		return false
	}
	if _, err := w.Write(append(line, '\n')); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}
