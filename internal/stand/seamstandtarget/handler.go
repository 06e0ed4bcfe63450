package seamstandtarget

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/platform/seamwait"
	"cardamomseam/internal/route/seamheader"
)

// Paths of the stand-in itself.
const (
	// BookPath takes POST with the booking's id as the request's id.
	BookPath = "/book"
	// KeyPath answers GET with the bookings of a key.
	KeyPath = "/key"
	// EchoPath answers with the Pattern of the request's id; ?size=N gives its size.
	EchoPath = "/echo"
	// LedgerPath answers GET with the lines of the ledger, one JSON object a line.
	ExecutionLogPath = "/seam/ledger"
	// BehaviourPath takes PUT of a Behaviour.
	BehaviourPath = "/seam/behaviour"
	// HealthPath and LoadPath lag behind and may mislead.
	HealthPath = "/health"
	LoadPath   = "/load"
	// IDHeader carries the caller's own id of the request, which no node changes.
	IDHeader = "Bench-Id"
)

const (
	orderLimit  = 4 << 20
	stateLimit  = 64 << 20
	uploadLimit = 64 << 20
)

// Receipt is the answer to a booking and to the read of a key.
type Receipt struct {
	Request string `json:"request"`
	Key     string `json:"key"`
	Server  string `json:"server"`
	Epoch   uint64 `json:"epoch"`
	// IDs are the bookings of the key, in order.
	IDs []string `json:"ids"`
}

func (t *Target) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST "+BookPath, t.run(t.book))
	m.HandleFunc("GET "+KeyPath, t.run(t.read))
	m.HandleFunc("PUT "+seamtarget.GrantPath, t.takeOrders)
	m.HandleFunc("POST "+seamtarget.HandoverPath, t.handover)
	m.HandleFunc("POST "+seamtarget.StatePath, t.takeState)
	m.HandleFunc("GET "+ExecutionLogPath, t.serveLedger)
	m.HandleFunc("PUT "+BehaviourPath, t.takeBehaviour)
	m.HandleFunc("GET "+HealthPath, t.health)
	m.HandleFunc("GET "+LoadPath, t.serveLoad)
	m.HandleFunc("/", t.run(t.echo))
	return m
}

// job is one request that was admitted.
type job struct {
	line ExecutionRecord
	// keyed says that the request came with an epoch.
	keyed bool
	took  time.Duration
}

// run wraps f in the checks of the fencing token, the slots, the deadline and the ledger.
func (t *Target) run(f func(http.ResponseWriter, *http.Request, job)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		now := time.Now()
		j := newJob(r, now)
		leave, err := t.enter(now, j)
		if err != nil {
			t.refuse(w, j, err)
			return
		}
		defer leave()
		took, ok := t.work.admit(now)
		if !ok {
			shed(w)
			return
		}
		defer func() { t.work.finish(time.Now()) }()
		j.took = took
		t.note(j, KindRun)
		w.Header().Set(seamheader.Server, t.cfg.Name)
		f(w, r, j)
	}
}

func newJob(r *http.Request, now time.Time) job {
	id := r.Header.Get(IDHeader)
	if id == "" {
		id = r.Header.Get(seamheader.Request)
	}
	slot, _ := strconv.ParseUint(r.Header.Get(seamheader.Slot), 10, 32)
	epoch, err := strconv.ParseUint(r.Header.Get(seamheader.Epoch), 10, 64)
	return job{
		keyed: err == nil,
		line: ExecutionRecord{
			Request: id, Key: r.Header.Get(seamheader.Key),
			Slot: uint32(slot), Epoch: epoch, Start: now.UnixNano(),
		},
	}
}

func (t *Target) enter(now time.Time, j job) (func(), error) {
	if !j.keyed || !t.can(seamtarget.CanFence) {
		return func() {}, nil
	}
	return t.grants.enter(now, j.line.Slot, j.line.Epoch)
}

func (t *Target) note(j job, kind string) {
	x := j.line
	x.Kind = kind
	t.ledger.add(x)
}

func (t *Target) refuse(w http.ResponseWriter, j job, err error) {
	t.note(j, KindRefused)
	w.Header().Set(seamheader.Outcome, seamheader.Refused)
	w.Header().Set(seamheader.Reason, "fenced")
	http.Error(w, err.Error(), http.StatusConflict)
}

func shed(w http.ResponseWriter) {
	w.Header().Set(seamheader.Outcome, seamheader.Refused)
	w.Header().Set(seamheader.Reason, "shed")
	http.Error(w, "no free slot", http.StatusServiceUnavailable)
}

// labour spends the service time and reports whether the request is still wanted.
func (t *Target) labour(r *http.Request, j job) bool {
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get(seamheader.Deadline)); err == nil && t.can(seamtarget.CanDeadline) {
		limited, cancel := context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
		ctx = limited
	}
	if !t.can(seamtarget.CanCancel) && !t.can(seamtarget.CanDeadline) {
		ctx = context.WithoutCancel(ctx)
	}
	return seamwait.For(ctx, j.took)
}

func (t *Target) book(w http.ResponseWriter, r *http.Request, j job) {
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, uploadLimit))
	if !t.labour(r, j) {
		t.note(j, KindVoid)
		http.Error(w, "cancelled or past its deadline", http.StatusGatewayTimeout)
		return
	}
	doubled, err := t.store(j)
	if err != nil {
		t.note(j, KindVoid)
		t.refuse(w, j, err)
		return
	}
	if doubled {
		t.note(j, KindDuplicate)
	}
	t.note(j, KindDone)
	t.receipt(w, j)
}

// store stores the booking if the grant still holds.
func (t *Target) store(j job) (doubled bool, err error) {
	if j.keyed && t.can(seamtarget.CanFence) {
		if err := t.grants.check(time.Now(), j.line.Slot, j.line.Epoch); err != nil {
			return false, err
		}
	}
	return t.copies.store(j.line.Slot, Booking{Key: j.line.Key, ID: j.line.Request})
}

func (t *Target) read(w http.ResponseWriter, r *http.Request, j job) {
	if !t.labour(r, j) {
		return
	}
	t.note(j, KindDone)
	t.receipt(w, j)
}

func (t *Target) receipt(w http.ResponseWriter, j job) {
	reply(w, Receipt{
		Request: j.line.Request, Key: j.line.Key, Server: t.cfg.Name, Epoch: j.line.Epoch,
		IDs: t.bookings.of(j.line.Slot, j.line.Key),
	})
}

func (t *Target) echo(w http.ResponseWriter, r *http.Request, j job) {
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, uploadLimit))
	if !t.labour(r, j) {
		return
	}
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	body := Pattern(j.line.Request, min(max(size, 0), MaxEchoBytes))
	t.note(j, KindDone)
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body)
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (t *Target) takeOrders(w http.ResponseWriter, r *http.Request) {
	var o seamtarget.GrantRequest
	if !parse(w, r, orderLimit, &o) {
		return
	}
	now := time.Now()
	v, err := t.grants.apply(now, o)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	x := ExecutionRecord{Kind: KindGrant, At: now.UnixNano(), ExpiresAt: v.until.UnixNano(), HeldChanged: v.changed}
	if v.changed {
		x.Held = v.held
	}
	t.ledger.add(x)
	for _, h := range v.stale {
		t.ledger.add(ExecutionRecord{Kind: KindStaleEpoch, Slot: h.Slot, Epoch: h.Epoch})
	}
	if o.Full && t.can(seamtarget.CanStandby) {
		t.copies.follow(t.grants.standbys())
	}
	w.WriteHeader(http.StatusNoContent)
}

func (t *Target) handover(w http.ResponseWriter, r *http.Request) {
	var h seamtarget.Handover
	if !parse(w, r, orderLimit, &h) {
		return
	}
	idle, err := t.grants.release(h.Slot, h.Epoch)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	select {
	case <-idle:
	case <-r.Context().Done():
		return
	}
	t.ledger.add(ExecutionRecord{Kind: KindReleased, Slot: h.Slot, Epoch: h.Epoch})
	if err := t.transfer(r.Context(), h); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (t *Target) transfer(ctx context.Context, h seamtarget.Handover) error {
	if h.Successor == "" || h.Successor == t.address {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	s := State{Slot: h.Slot, Epoch: h.Epoch, Complete: true, Bookings: t.bookings.slot(h.Slot)}
	x := ExecutionRecord{Kind: KindHandedOver, Slot: h.Slot, Epoch: h.Epoch, Standby: h.Successor, Count: len(s.Bookings)}
	err := t.copies.send(ctx, h.Successor, s)
	if err != nil {
		x.Kind = KindHandoverFailed
	} else {
		t.grants.hand(h.Slot, h.Epoch)
	}
	t.ledger.add(x)
	return errors.Wrap(err, "state of the slot")
}

func (t *Target) takeState(w http.ResponseWriter, r *http.Request) {
	var s State
	if !parse(w, r, stateLimit, &s) {
		return
	}
	if err := t.grants.receive(s.Slot, s.Epoch); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	t.bookings.merge(s.Slot, s.Bookings)
	if s.Complete {
		t.ledger.add(ExecutionRecord{Kind: KindState, Slot: s.Slot, Epoch: s.Epoch, Count: len(s.Bookings)})
	}
	w.WriteHeader(http.StatusNoContent)
}

func (t *Target) takeBehaviour(w http.ResponseWriter, r *http.Request) {
	var b Behaviour
	if !parse(w, r, orderLimit, &b) {
		return
	}
	t.SetBehaviour(b)
	w.WriteHeader(http.StatusNoContent)
}

func (t *Target) serveLedger(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	e := json.NewEncoder(w)
	for _, x := range t.ledger.lines() {
		if err := e.Encode(x); err != nil {
			return
		}
	}
}

func (t *Target) health(w http.ResponseWriter, _ *http.Request) {
	load, healthy := t.work.reported(time.Now())
	if !healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(load)
}

func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	load, _ := t.work.reported(time.Now())
	reply(w, load)
}

func parse(w http.ResponseWriter, r *http.Request, limit int64, body any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit)).Decode(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}
