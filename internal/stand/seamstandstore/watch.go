package seamstandstore

import (
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	wire "cardamomseam/internal/platform/seamstorewire"
)

// watch handles a watch call: it streams the changes of a key range, one JSON message per line.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	s.counter.countCall(KindWatch)
	if !s.applyFaults(r, s.Faults()) {
		abortConnection()
	}
	request := &wire.WatchRequest{}
	if err := decode(w, r, request); err != nil {
		writeError(w, err)
		return
	}
	create := request.GetCreateRequest()
	if create == nil {
		writeError(w, &invalidError{reason: "test store: create_request is missing"})
		return
	}
	s.streamChanges(w, r, create)
}

// streamChanges sends the changes from the requested revision on until the client disconnects, the store
// stops or the changes have been compacted.
func (s *Server) streamChanges(w http.ResponseWriter, r *http.Request, request *wire.WatchCreateRequest) {
	w.Header().Set("Content-Type", "application/json")
	next := request.StartRevision
	if next == 0 {
		next = s.keys.currentRevision() + 1
	}
	sendWatchResponse(w, &wire.WatchResponse{Header: header(s.keys.currentRevision()), Created: true})
	countTicker := time.NewTicker(watchCountInterval)
	defer countTicker.Stop()
	for {
		events, revision, changed, compacted := s.keys.changesSince(next, string(request.Key), string(request.RangeEnd))
		if compacted > 0 {
			sendWatchResponse(w, &wire.WatchResponse{
				Header: header(revision), Canceled: true, CompactRevision: compacted,
				CancelReason: "etcdserver: mvcc: required revision has been compacted",
			})
			return
		}
		next = revision + 1
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

// deliver sends events unless an injected fault prevents it. It returns false if the watch must be
// disconnected.
func (s *Server) deliver(w http.ResponseWriter, r *http.Request, revision int64, events []*wire.Event) bool {
	f := s.Faults()
	if !s.applyFaults(r, f) || s.random.occurs(f.WatchCut) {
		return false
	}
	return sendWatchResponse(w, &wire.WatchResponse{Header: header(revision), Events: events})
}

// sendWatchResponse writes the response as one line and reports whether that succeeded.
func sendWatchResponse(w http.ResponseWriter, m *wire.WatchResponse) bool {
	line, err := marshaler.Marshal(proto.Message(&wire.WatchResult{Result: m}))
	if err != nil {
		return false
	}
	if _, err := w.Write(append(line, '\n')); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}
