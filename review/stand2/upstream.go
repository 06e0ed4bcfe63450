package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upstream is a stand-in of an application upstream.
type upstream struct {
	id, service, address, zone, control string
	born                                int64
	work                                time.Duration
	rec                                 *recorder
	server                              *http.Server
	slots                               chan struct{}
	// keys are the keys that it holds. Only requests with a key need them.
	keys *holdings

	mu       sync.Mutex
	sequence int
	silent   bool
	// poisoned is signalled when a request begins to run that crashes it.
	poisoned chan struct{}
	// began are the times at which runs began, by request id.
	began map[string][]time.Time
}

// startUpstream starts an upstream that serves at the address.
func startUpstream(id, service, zone, address, control string, work time.Duration, rec *recorder) (*upstream, error) {
	u := &upstream{
		id: id, service: service, address: address, zone: zone, control: control, born: time.Now().UnixMilli(),
		work: work, rec: rec, slots: make(chan struct{}, 12), began: map[string][]time.Time{}, keys: newHoldings(), poisoned: make(chan struct{}, 1),
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = u.server.Serve(l) }() // ends when the upstream exits
	return u, nil
}

// exit ends the upstream's process.
func (u *upstream) exit() {
	u.rec.note("upstream %s exits", u.id)
	_ = u.server.Close()
}

// beats sends heartbeats until the upstream is told to be silent.
func (u *upstream) beats(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		u.mu.Lock()
		silent := u.silent
		u.mu.Unlock()
		if silent {
			return
		}
		_, _ = u.beat(u.nextSequence(), "ready") // a heartbeat that fails is followed by the next one
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (u *upstream) nextSequence() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	return u.sequence
}

// lastSequence returns the sequence number of the last heartbeat.
func (u *upstream) lastSequence() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.sequence
}

// beSilent ends the heartbeats.
func (u *upstream) beSilent() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.silent = true
}

// beat sends one heartbeat, without the fields that are named.
func (u *upstream) beat(sequence int, state string, without ...string) (status int, err error) {
	beat := map[string]any{
		"address": u.address, "born": u.born,
		"info":   map[string]any{"service": u.service, "version": "v1", "zone": u.zone, "slots": cap(u.slots)},
		"status": map[string]any{"state": state, "sequence": sequence, "warmup_left_ms": 0},
	}
	for _, field := range without {
		delete(beat, field)
	}
	body, err := json.Marshal(beat)
	if err != nil {
		return 0, err
	}
	return u.call(http.MethodPut, body)
}

// notedBeat sends one heartbeat and records the answer.
func (u *upstream) notedBeat(sequence int, state string, without ...string) {
	status, err := u.beat(sequence, state, without...)
	u.rec.note("heartbeat of %s, state %s, sequence %d, without %q, arrives: answer %d %v", u.id, state, sequence, without, status, err)
}

// leave tells the control address that the upstream leaves.
func (u *upstream) leave() (int, error) {
	status, err := u.call(http.MethodDelete, nil)
	u.rec.note("DELETE /instances/%s: answer %d %v", u.id, status, err)
	return status, err
}

func (u *upstream) call(method string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+u.control+"/instances/"+u.id, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	r.Close = true
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	return res.StatusCode, nil
}

// ServeHTTP runs a request.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("Cardamomseam-Request-Id")
	if r.URL.Path == "/health" {
		h.Set("Cardamomseam-Instance-Id", u.id)
		return
	}
	if r.URL.Path == "/grant" || r.URL.Path == "/release" {
		u.keys.ServeHTTP(w, r)
		return
	}
	if id != "" {
		h.Set("Cardamomseam-Request-Id", id)
	}
	if to := r.Header.Get("Cardamomseam-Target-Instance"); to != "" && to != u.id {
		h.Set("Cardamomseam-Instance-Id", u.id)
		h.Set("Cardamomseam-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("Cardamomseam-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if key := r.Header.Get("Cardamomseam-Shard-Key"); key != "" {
		end, ok := u.keys.begin(key)
		if !ok {
			h.Set("Cardamomseam-Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		defer end()
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case u.slots <- struct{}{}:
	default:
		h.Set("Cardamomseam-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-u.slots }()
	u.runs(id, r, len(body))
	if r.URL.Path == poisonPath {
		select {
		case u.poisoned <- struct{}{}:
		default:
		}
		<-r.Context().Done()
		return
	}
	u.mu.Lock()
	work := u.work
	u.mu.Unlock()
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		u.rec.note("upstream %s drops %s: its connection closed", u.id, id)
		return
	}
	answer := fmt.Sprintf("answer to %s by %s", id, u.id)
	h.Set("Cardamomseam-Server-Signature", u.id+"."+id)
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer) // the node may have left
}

// runs records that a run begins.
func (u *upstream) runs(id string, r *http.Request, length int) {
	u.mu.Lock()
	u.began[id] = append(u.began[id], time.Now())
	u.mu.Unlock()
	u.rec.note("upstream %s runs %s (%s %s, %d bytes, deadline %s ms)", u.id, id, r.Method, r.URL.Path, length, r.Header.Get("Cardamomseam-Deadline-Ms"))
}

// setWork sets how long a request runs.
func (u *upstream) setWork(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.work = d
}

// ran reports whether a request began to run here.
func (u *upstream) ran(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.began[id]) > 0
}

// runsSince returns the runs that began after a time.
func (u *upstream) runsSince(t time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, times := range u.began {
		for _, began := range times {
			if began.After(t) {
				n++
			}
		}
	}
	return n
}
