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
	// ValueLimit is the largest value of a key, in bytes.
	MaxValueBytes = 1 << 20
	// bodyLimit is the largest request, in bytes: a value in base64 and the rest of a transaction.
	bodyLimit = 2 << 20
	// countAgain is the time after which a waiting watch counts as another call.
	countAgain = time.Minute
)

// Codes of the published API.
const (
	codeInvalid     = 3
	codeUnavailable = 14
)

var names = protojson.MarshalOptions{UseProtoNames: true}

var lenient = protojson.UnmarshalOptions{DiscardUnknown: true}

func (s *Server) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v3/kv/range", call(s, KindRange, s.scan))
	m.HandleFunc("POST /v3/kv/txn", call(s, KindTxn, s.txn))
	m.HandleFunc("POST /v3/lease/grant", call(s, KindGrant, s.grant))
	m.HandleFunc("POST /v3/lease/keepalive", call(s, KindKeepalive, s.keepalive))
	m.HandleFunc("POST /v3/lease/revoke", call(s, KindRevoke, s.revoke))
	m.HandleFunc("POST /v3/watch", s.watch)
	return m
}

func (s *Server) control() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /fault", s.fault)
	m.HandleFunc("GET /counts", s.counts)
	return m
}

// invalidError says that a request is not one that the store takes.
type invalidError struct {
	reason string
}

func (e *invalidError) Error() string { return e.reason }

// message is a pointer to a generated request.
type message[T any] interface {
	*T
	proto.Message
}

// call wraps f in decoding, counting and the faults of the store.
func call[T any, Q message[T]](s *Server, kind string, f func(Q) (proto.Message, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.counter.call(kind)
		faults := s.Faults()
		q := Q(new(T))
		// Only a request that was read to its end ends with its caller.
		err := decode(w, r, q)
		if !s.pass(r, faults) {
			drop()
		}
		if err != nil {
			fail(w, err)
			return
		}
		answer, err := f(q)
		if err != nil {
			fail(w, err)
			return
		}
		if s.dice.roll(faults.ResponseLoss) {
			drop()
		}
		write(w, answer)
	}
}

// pass holds a call back and reports whether it may take effect.
func (s *Server) pass(r *http.Request, f Faults) bool {
	switch f.Outage {
	case OutageDrop, OutageRefuse:
		return false
	case OutageHang:
		return s.waitHealthy(r)
	}
	return seamwait.For(r.Context(), f.delay())
}

func (s *Server) waitHealthy(r *http.Request) bool {
	defer s.counter.hold()()
	tick := time.NewTicker(hangPoll)
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

// hangPoll is the time between looks at whether a hang is over.
const hangPoll = 20 * time.Millisecond

// drop closes the connection without an answer.
func drop() {
	panic(http.ErrAbortHandler)
}

func decode(w http.ResponseWriter, r *http.Request, q proto.Message) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err != nil {
		return &invalidError{reason: "etcdserver: request is too large"}
	}
	if err := lenient.Unmarshal(body, q); err != nil {
		return &invalidError{reason: err.Error()}
	}
	return nil
}

func write(w http.ResponseWriter, answer proto.Message) {
	body, err := names.Marshal(answer)
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func fail(w http.ResponseWriter, err error) {
	status, code := http.StatusServiceUnavailable, int32(codeUnavailable)
	if invalid := (*invalidError)(nil); errors.As(err, &invalid) {
		status, code = http.StatusBadRequest, codeInvalid
	}
	body, _ := names.Marshal(&wire.Error{Error: err.Error(), Message: err.Error(), Code: code})
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
	r := s.keys.swap(q)
	if r.Succeeded {
		s.counter.write(string(q.Compare[0].Key))
	}
	return r, nil
}

// checkTxn accepts the transactions that the stand-in knows: one comparison of a key's
// modification revision for equality and one write of the same key.
func checkTxn(q *wire.TxnRequest) error {
	if len(q.Compare) != 1 || len(q.Success) != 1 {
		return &invalidError{reason: "stand-in: exactly one comparison and one write are supported"}
	}
	c := q.Compare[0]
	if c.Result != wire.Compare_EQUAL || c.Target != wire.Compare_MOD {
		return &invalidError{reason: "stand-in: only an equal mod revision is supported"}
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

func (s *Server) fault(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.SetFaults(f); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

func (s *Server) counts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Counts())
}
