package seamstandstore

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	wire "cardamomseam/internal/platform/seamstorewire"
	"cardamomseam/internal/platform/seamwait"
)

const (
	// MaxValueBytes is the maximum size of a value.
	MaxValueBytes = 1 << 20
	// maxBodyBytes is the maximum size of a request: a value in base64 and the rest of a transaction.
	maxBodyBytes = 2 << 20
	// watchCountInterval is the time after which an open watch counts as another call.
	watchCountInterval = time.Minute
)

// Error codes of the published etcd API, which are gRPC status codes.
const (
	codeInvalid     = 3
	codeUnavailable = 14
)

var marshaler = protojson.MarshalOptions{UseProtoNames: true}

var unmarshaler = protojson.UnmarshalOptions{DiscardUnknown: true}

func (s *Server) apiHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v3/kv/range", call(s, KindRange, s.scan))
	m.HandleFunc("POST /v3/kv/txn", call(s, KindTxn, s.txn))
	m.HandleFunc("POST /v3/lease/grant", call(s, KindGrant, s.grant))
	m.HandleFunc("POST /v3/lease/keepalive", call(s, KindKeepalive, s.keepalive))
	m.HandleFunc("POST /v3/lease/revoke", call(s, KindRevoke, s.revoke))
	m.HandleFunc("POST /v3/watch", s.watch)
	return m
}

func (s *Server) controlHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /fault", s.handleFault)
	m.HandleFunc("GET /counts", s.handleCounts)
	return m
}

// invalidError reports a malformed or unsupported request.
type invalidError struct {
	reason string
}

func (e *invalidError) Error() string { return e.reason }

// message is a pointer to a generated request type.
type message[T any] interface {
	*T
	proto.Message
}

// call returns a handler that decodes and counts a request, applies the injected faults and runs f.
func call[T any, Q message[T]](s *Server, kind string, f func(Q) (proto.Message, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.counter.countCall(kind)
		faults := s.Faults()
		q := Q(new(T))
		// Read the whole body first: only then is the request context cancelled when the client disconnects.
		err := decode(w, r, q)
		if !s.applyFaults(r, faults) {
			abortConnection()
		}
		if err != nil {
			writeError(w, err)
			return
		}
		response, err := f(q)
		if err != nil {
			writeError(w, err)
			return
		}
		if s.random.occurs(faults.ResponseLoss) {
			abortConnection()
		}
		writeResponse(w, response)
	}
}

// applyFaults delays or blocks a call and reports whether it may take effect.
func (s *Server) applyFaults(r *http.Request, f Faults) bool {
	switch f.Outage {
	case OutageDrop, OutageRefuse:
		return false
	case OutageHang:
		return s.waitForHangEnd(r)
	}
	return seamwait.For(r.Context(), f.delay())
}

func (s *Server) waitForHangEnd(r *http.Request) bool {
	defer s.counter.countBlocked()()
	tick := time.NewTicker(hangPollInterval)
	defer tick.Stop()
	for s.Faults().Outage == OutageHang {
		select {
		case <-r.Context().Done():
			return false
		case <-tick.C:
		}
	}
	return s.Faults().Outage == OutageNone
}

// hangPollInterval is the time between checks whether a hang has ended.
const hangPollInterval = 20 * time.Millisecond

// abortConnection closes the connection without a response.
func abortConnection() {
	panic(http.ErrAbortHandler)
}

func decode(w http.ResponseWriter, r *http.Request, q proto.Message) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return &invalidError{reason: "etcdserver: request is too large"}
	}
	if err := unmarshaler.Unmarshal(body, q); err != nil {
		return &invalidError{reason: err.Error()}
	}
	return nil
}

func writeResponse(w http.ResponseWriter, response proto.Message) {
	body, err := marshaler.Marshal(response)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func writeError(w http.ResponseWriter, err error) {
	status, code := http.StatusServiceUnavailable, int32(codeUnavailable)
	if invalid := (*invalidError)(nil); errors.As(err, &invalid) {
		status, code = http.StatusBadRequest, codeInvalid
	}
	body, _ := marshaler.Marshal(&wire.Error{Error: err.Error(), Message: err.Error(), Code: code})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (s *Server) scan(q *wire.RangeRequest) (proto.Message, error) {
	return s.keys.scan(string(q.Key), string(q.RangeEnd)), nil
}

func (s *Server) txn(q *wire.TxnRequest) (proto.Message, error) {
	if err := checkTxn(q); err != nil {
		return nil, err
	}
	r := s.keys.runTxn(q)
	if r.Succeeded {
		s.counter.countWrite(string(q.Compare[0].Key))
	}
	return r, nil
}

// checkTxn rejects unsupported transactions. Supported are one comparison of a key's modification
// revision for equality and one write of the same key.
func checkTxn(q *wire.TxnRequest) error {
	if len(q.Compare) != 1 || len(q.Success) != 1 {
		return &invalidError{reason: "test store: only transactions of one comparison and one write are supported"}
	}
	c := q.Compare[0]
	if c.Result != wire.Compare_EQUAL || c.Target != wire.Compare_MOD {
		return &invalidError{reason: "test store: only comparisons for an equal mod revision are supported"}
	}
	if len(q.Success[0].GetRequestPut().GetValue()) > MaxValueBytes {
		return &invalidError{reason: "etcdserver: request is too large"}
	}
	return nil
}

func (s *Server) grant(q *wire.LeaseGrantRequest) (proto.Message, error) {
	if q.TTL <= 0 {
		return nil, &invalidError{reason: "etcdserver: lease TTL must be positive"}
	}
	return s.keys.grant(time.Now(), q.TTL, q.ID), nil
}

func (s *Server) keepalive(q *wire.LeaseKeepAliveRequest) (proto.Message, error) {
	return &wire.LeaseKeepAliveResult{Result: s.keys.keepalive(time.Now(), q.ID)}, nil
}

func (s *Server) revoke(q *wire.LeaseRevokeRequest) (proto.Message, error) {
	return s.keys.revoke(q.ID), nil
}

func (s *Server) handleFault(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.SetFaults(f); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

func (s *Server) handleCounts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Counts())
}
