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

// Paths and headers of the test target.
const (
	// BookPath accepts POST of a booking, whose id is the id of the request.
	BookPath = "/book"
	// KeyPath serves GET of the bookings of a key.
	KeyPath = "/key"
	// EchoPath responds with the Pattern of the request's id; ?size=N sets its size.
	EchoPath = "/echo"
	// ExecutionLogPath serves GET of the execution log, one JSON object per line.
	ExecutionLogPath = "/seam/ledger"
	// BehaviourPath accepts PUT of a Behaviour.
	BehaviourPath = "/seam/behaviour"
	// HealthPath and LoadPath serve the health and the load. Both may be stale or wrong, as
	// set by Behaviour.
	HealthPath = "/health"
	LoadPath   = "/load"
	// IDHeader carries the id that the caller gave the request. Nodes do not change it.
	IDHeader = "Bench-Id"
)

const (
	maxControlBytes = 4 << 20
	maxStateBytes   = 64 << 20
	maxUploadBytes  = 64 << 20
)

// Receipt is the response body of a booking and of a read of a key.
type Receipt struct {
	Request string `json:"request"`
	Key     string `json:"key"`
	Server  string `json:"server"`
	Epoch   uint64 `json:"epoch"`
	// IDs are the ids of the bookings of the key, in order of arrival.
	IDs []string `json:"ids"`
}

func (t *Target) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST "+BookPath, t.admit(t.book))
	m.HandleFunc("GET "+KeyPath, t.admit(t.read))
	m.HandleFunc("PUT "+seamtarget.GrantPath, t.handleGrant)
	m.HandleFunc("POST "+seamtarget.HandoverPath, t.handleHandover)
	m.HandleFunc("POST "+seamtarget.StatePath, t.handleState)
	m.HandleFunc("GET "+ExecutionLogPath, t.serveExecutionLog)
	m.HandleFunc("PUT "+BehaviourPath, t.handleBehaviour)
	m.HandleFunc("GET "+HealthPath, t.serveHealth)
	m.HandleFunc("GET "+LoadPath, t.serveLoad)
	m.HandleFunc("/", t.admit(t.echo))
	return m
}

// job is a request with its execution record.
type job struct {
	record ExecutionRecord
	// hasEpoch reports whether the request carries an epoch.
	hasEpoch    bool
	serviceTime time.Duration
}

// admit returns a handler that checks the fencing token and the free capacity, records the
// execution of the request and runs f.
func (t *Target) admit(f func(http.ResponseWriter, *http.Request, job)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		now := time.Now()
		j := newJob(r, now)
		setNotice(w.Header(), t.workload.behaviour())
		finish, err := t.startRequest(now, j)
		if err != nil {
			t.writeFenced(w, j, err)
			return
		}
		defer finish()
		serviceTime, ok := t.workload.admit(now)
		if !ok {
			writeOverloaded(w)
			return
		}
		defer func() { t.workload.finish(time.Now()) }()
		j.serviceTime = serviceTime
		t.recordRequest(j, KindRun)
		w.Header().Set(seamheader.Server, t.cfg.Name)
		f(w, r, j)
	}
}

// setNotice sets the headers of a response that state the limit and whether the target is leaving.
func setNotice(h http.Header, b Behaviour) {
	if b.Limit != nil {
		h.Set(seamheader.Limit, strconv.FormatFloat(*b.Limit, 'f', -1, 64))
	}
	if b.Leaving {
		h.Set(seamheader.Leaving, "1")
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
		hasEpoch: err == nil,
		record: ExecutionRecord{
			Request: id, Key: r.Header.Get(seamheader.Key),
			Slot: uint32(slot), Epoch: epoch, Start: now.UnixNano(),
		},
	}
}

func (t *Target) startRequest(now time.Time, j job) (func(), error) {
	if !j.hasEpoch || !t.hasCapability(seamtarget.CanFence) {
		return func() {}, nil
	}
	return t.grants.startRequest(now, j.record.Slot, j.record.Epoch)
}

func (t *Target) recordRequest(j job, kind string) {
	x := j.record
	x.Kind = kind
	t.executionLog.add(x)
}

func (t *Target) writeFenced(w http.ResponseWriter, j job, err error) {
	t.recordRequest(j, KindRefused)
	w.Header().Set(seamheader.Outcome, seamheader.Refused)
	w.Header().Set(seamheader.Reason, "fenced")
	http.Error(w, err.Error(), http.StatusConflict)
}

func writeOverloaded(w http.ResponseWriter) {
	w.Header().Set(seamheader.Outcome, seamheader.Refused)
	w.Header().Set(seamheader.Reason, "shed")
	http.Error(w, "no capacity for the request", http.StatusServiceUnavailable)
}

// simulateWork waits for the service time. It returns false if the request is cancelled or its
// deadline passes first.
func (t *Target) simulateWork(r *http.Request, j job) bool {
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get(seamheader.Deadline)); err == nil && t.hasCapability(seamtarget.CanDeadline) {
		limited, cancel := context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
		ctx = limited
	}
	if !t.hasCapability(seamtarget.CanCancel) && !t.hasCapability(seamtarget.CanDeadline) {
		ctx = context.WithoutCancel(ctx)
	}
	return seamwait.For(ctx, j.serviceTime)
}

func (t *Target) book(w http.ResponseWriter, r *http.Request, j job) {
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxUploadBytes))
	if !t.simulateWork(r, j) {
		t.recordRequest(j, KindVoid)
		http.Error(w, "request was cancelled or its deadline passed", http.StatusGatewayTimeout)
		return
	}
	duplicate, err := t.storeBooking(j)
	if err != nil {
		t.recordRequest(j, KindVoid)
		t.writeFenced(w, j, err)
		return
	}
	if duplicate {
		t.recordRequest(j, KindDuplicate)
	}
	t.recordRequest(j, KindDone)
	t.writeReceipt(w, j)
}

// storeBooking stores the booking unless the slot's grant has ended.
func (t *Target) storeBooking(j job) (duplicate bool, err error) {
	if j.hasEpoch && t.hasCapability(seamtarget.CanFence) {
		if err := t.grants.checkHeld(time.Now(), j.record.Slot, j.record.Epoch); err != nil {
			return false, err
		}
	}
	return t.replicator.storeBooking(j.record.Slot, Booking{Key: j.record.Key, ID: j.record.Request})
}

func (t *Target) read(w http.ResponseWriter, r *http.Request, j job) {
	if !t.simulateWork(r, j) {
		return
	}
	t.recordRequest(j, KindDone)
	t.writeReceipt(w, j)
}

func (t *Target) writeReceipt(w http.ResponseWriter, j job) {
	writeJSON(w, Receipt{
		Request: j.record.Request, Key: j.record.Key, Server: t.cfg.Name, Epoch: j.record.Epoch,
		IDs: t.bookings.idsOf(j.record.Slot, j.record.Key),
	})
}

func (t *Target) echo(w http.ResponseWriter, r *http.Request, j job) {
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxUploadBytes))
	if !t.simulateWork(r, j) {
		return
	}
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	body := Pattern(j.record.Request, min(max(size, 0), MaxEchoBytes))
	t.recordRequest(j, KindDone)
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (t *Target) handleGrant(w http.ResponseWriter, r *http.Request) {
	var o seamtarget.GrantRequest
	if !decodeBody(w, r, maxControlBytes, &o) {
		return
	}
	now := time.Now()
	v, err := t.grants.apply(now, o)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	x := ExecutionRecord{Kind: KindGrant, At: now.UnixNano(), ExpiresAt: v.expiresAt.UnixNano(), HeldChanged: v.changed}
	if v.changed {
		x.Held = v.held
	}
	t.executionLog.add(x)
	for _, h := range v.stale {
		t.executionLog.add(ExecutionRecord{Kind: KindStaleEpoch, Slot: h.Slot, Epoch: h.Epoch})
	}
	if o.Full && t.hasCapability(seamtarget.CanStandby) {
		t.replicator.setStandbys(t.grants.standbyTargets())
	}
	w.WriteHeader(http.StatusNoContent)
}

func (t *Target) handleHandover(w http.ResponseWriter, r *http.Request) {
	var h seamtarget.Handover
	if !decodeBody(w, r, maxControlBytes, &h) {
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
	t.executionLog.add(ExecutionRecord{Kind: KindReleased, Slot: h.Slot, Epoch: h.Epoch})
	if err := t.transferState(r.Context(), h); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (t *Target) transferState(ctx context.Context, h seamtarget.Handover) error {
	if h.Successor == "" || h.Successor == t.address {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	s := State{Slot: h.Slot, Epoch: h.Epoch, Complete: true, Bookings: t.bookings.bySlot(h.Slot)}
	x := ExecutionRecord{Kind: KindHandedOver, Slot: h.Slot, Epoch: h.Epoch, Standby: h.Successor, Count: len(s.Bookings)}
	err := t.replicator.send(ctx, h.Successor, s)
	if err != nil {
		x.Kind = KindHandoverFailed
	} else {
		t.grants.markHandedOver(h.Slot, h.Epoch)
	}
	t.executionLog.add(x)
	return errors.Wrap(err, "cannot transfer the state of the slot")
}

func (t *Target) handleState(w http.ResponseWriter, r *http.Request) {
	var s State
	if !decodeBody(w, r, maxStateBytes, &s) {
		return
	}
	if err := t.grants.checkTransferEpoch(s.Slot, s.Epoch); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	t.bookings.merge(s.Slot, s.Bookings)
	if s.Complete {
		t.executionLog.add(ExecutionRecord{Kind: KindState, Slot: s.Slot, Epoch: s.Epoch, Count: len(s.Bookings)})
	}
	w.WriteHeader(http.StatusNoContent)
}

func (t *Target) handleBehaviour(w http.ResponseWriter, r *http.Request) {
	var b Behaviour
	if !decodeBody(w, r, maxControlBytes, &b) {
		return
	}
	t.SetBehaviour(b)
	w.WriteHeader(http.StatusNoContent)
}

func (t *Target) serveExecutionLog(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	e := json.NewEncoder(w)
	for _, x := range t.executionLog.snapshot() {
		if err := e.Encode(x); err != nil {
			return
		}
	}
}

func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	load, healthy := t.workload.delayedLoad(time.Now())
	if !healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(load)
}

func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	load, _ := t.workload.delayedLoad(time.Now())
	writeJSON(w, load)
}

func decodeBody(w http.ResponseWriter, r *http.Request, limit int64, body any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit)).Decode(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}
