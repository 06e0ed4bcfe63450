package stand

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

// keys is the number of keys of a service.
const keys = 1 << 16

// hold is what a target knows of one key.
type hold struct {
	// fence is the highest fencing token seen, and until the time at which the target stops to hold the key.
	fence uint64
	until time.Time
	// running counts the requests that run on the key.
	running int
}

// Target is a target. If it is keyed, it runs requests only on keys that were granted to it.
type Target struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	Work    time.Duration
	Keyed   bool
	Address string
	// Listen is the address to listen on; empty for a free port.
	Listen string
	// Quiet is the time after the start at which the first heartbeat is sent.
	Quiet time.Duration
	// Early means that the target answers a request with a body before it has read all of it, and reads on later.
	Early bool
	// OnRun is called when a request begins to run; may be nil.
	OnRun func(r *http.Request)

	born      int64
	record    *Record
	ownership *Ownership
	server    *http.Server
	announce  string

	mu       sync.Mutex
	state    string
	sequence int
	holds    [keys]hold
	// ended is closed and replaced when a request has ended.
	ended   chan struct{}
	stopped bool
}

// Start serves the target on a free port, and sends heartbeats to the announce address until Stop.
func (t *Target) Start(record *Record, ownership *Ownership, announce string) error {
	address := t.Listen
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	t.record, t.ownership, t.announce = record, ownership, announce
	t.Address = l.Addr().String()
	t.born = time.Now().UnixMilli()
	t.state = "ready"
	t.ended = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /grant", t.grant)
	mux.HandleFunc("POST /release", t.release)
	mux.HandleFunc("GET /health", t.health)
	mux.HandleFunc("/", t.run)
	t.server = &http.Server{Handler: mux}
	go func() { _ = t.server.Serve(l) }()
	if t.Keyed {
		ownership.add(t)
	}
	go t.beat()
	return nil
}

// heartbeatInterval is the time between two heartbeats.
const heartbeatInterval = 870 * time.Millisecond

func (t *Target) beat() {
	time.Sleep(t.Quiet)
	for ; ; time.Sleep(heartbeatInterval) {
		t.mu.Lock()
		t.sequence++
		body, _ := json.Marshal(fields{
			"address": t.Address,
			"born":    t.born,
			"info":    fields{"service": t.Service, "version": "v1", "zone": t.Zone, "slots": t.Slots},
			"status":  fields{"state": t.state, "sequence": t.sequence, "warmup_left_ms": 0},
		})
		stopped := t.stopped
		t.mu.Unlock()
		if stopped {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		r, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+t.announce+"/instances/"+t.ID, bytes.NewReader(body))
		r.Header.Set("Content-Type", "application/json")
		if res, err := http.DefaultClient.Do(r); err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			res.Body.Close()
		}
		cancel()
	}
}

// Stop ends the target at once.
func (t *Target) Stop() {
	t.mu.Lock()
	t.stopped = true
	t.mu.Unlock()
	t.ownership.remove(t)
	_ = t.server.Close()
}

type order struct {
	From  uint32 `json:"from"`
	To    uint32 `json:"to"`
	Fence uint64 `json:"fence"`
	Hold  int64  `json:"hold_ms"`
}

func (t *Target) grant(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.From > o.To || o.To >= keys || o.Hold <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for k := o.From; k <= o.To; k++ {
		if t.holds[k].fence > o.Fence {
			t.record.Add("grant refused target=%s keys=%d-%d fence=%d seen=%d", t.ID, o.From, o.To, o.Fence, t.holds[k].fence)
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	renewal := true
	until := now.Add(time.Duration(o.Hold) * time.Millisecond)
	for k := o.From; k <= o.To; k++ {
		h := &t.holds[k]
		renewal = renewal && h.fence == o.Fence && now.Before(h.until)
		h.fence = o.Fence
		if until.After(h.until) {
			h.until = until
		}
	}
	if !renewal {
		t.record.Add("grant accepted target=%s keys=%d-%d fence=%d hold_ms=%d", t.ID, o.From, o.To, o.Fence, o.Hold)
		t.ownership.granted(t, o)
	}
}

func (t *Target) release(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.From > o.To || o.To >= keys {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.record.Add("release target=%s keys=%d-%d fence=%d", t.ID, o.From, o.To, o.Fence)
	t.mu.Lock()
	for k := o.From; k <= o.To; k++ {
		if h := &t.holds[k]; h.fence <= o.Fence {
			h.until = time.Time{}
		}
	}
	for t.busy(o) {
		ended := t.ended
		t.mu.Unlock()
		<-ended
		t.mu.Lock()
	}
	t.mu.Unlock()
	w.Header().Set("Cardamomseam-Handover", fmt.Sprintf("%s-%d-%d", t.ID, o.From, o.Fence))
}

// busy reports whether a request runs on one of the keys. mu must be held.
func (t *Target) busy(o order) bool {
	for k := o.From; k <= o.To; k++ {
		if t.holds[k].running > 0 {
			return true
		}
	}
	return false
}

func (t *Target) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Cardamomseam-Instance-Id", t.ID)
}

func (t *Target) run(w http.ResponseWriter, r *http.Request) {
	if t.Early && r.ContentLength > 0 {
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.CopyN(io.Discard, r.Body, r.ContentLength/2)
		defer func() { _, _ = io.Copy(io.Discard, r.Body) }()
	} else {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	id := r.Header.Get("Cardamomseam-Request-Id")
	w.Header().Set("Cardamomseam-Request-Id", id)
	if want := r.Header.Get("Cardamomseam-Target-Instance"); want != "" && want != t.ID {
		w.Header().Set("Cardamomseam-Instance-Id", t.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	key, ok := uint64(0), true
	if t.Keyed {
		key, _ = strconv.ParseUint(r.Header.Get("Cardamomseam-Shard-Key"), 10, 16)
		ok = t.startOn(uint32(key), id)
	}
	if !ok {
		w.Header().Set("Cardamomseam-Not-Executed", "1")
		w.Header().Set("Cardamomseam-Instance-Id", t.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.record.Add("run target=%s request=%s key=%d method=%s uri=%s", t.ID, id, key, r.Method, r.RequestURI)
	if t.OnRun != nil {
		t.OnRun(r)
	}
	if !t.Early {
		time.Sleep(t.Work)
	}
	if t.Keyed {
		t.mu.Lock()
		t.holds[key].running--
		close(t.ended)
		t.ended = make(chan struct{})
		t.mu.Unlock()
	}
	w.Header().Set("Cardamomseam-Server-Signature", t.ID+"."+id)
	body := "ran " + id + " at " + t.ID
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
	if t.Early {
		_ = http.NewResponseController(w).Flush()
	}
}

// startOn records the start of a request on a key; false if the target doesn't hold the key.
func (t *Target) startOn(key uint32, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := &t.holds[key]
	if !time.Now().Before(h.until) {
		return false
	}
	h.running++
	t.ownership.began(t, key, id)
	return true
}

// holding returns the fencing tokens of the keys that the target holds, 0 for the others, in the given array.
func (t *Target) holding(now time.Time, fences *[keys]uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k := range t.holds {
		fences[k] = 0
		if h := &t.holds[k]; now.Before(h.until) {
			fences[k] = h.fence
		}
	}
}
