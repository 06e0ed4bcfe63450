package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// keyCount is the number of keys of a service.
const keyCount = 65536

// keyOrder is the body of a grant or a release.
type keyOrder struct {
	From  int    `json:"from"`
	To    int    `json:"to"`
	Fence uint64 `json:"fence"`
	Hold  int64  `json:"hold_ms"`
}

// holdings are the keys that an upstream holds.
type holdings struct {
	// id is the upstream's id, and owners compares it with others; nil if nothing does.
	id     string
	owners *owners

	mu sync.Mutex
	// fence is the highest fencing token that was seen on a key, and until the end of its hold.
	fence [keyCount]uint64
	until [keyCount]time.Time
	// running counts the requests that run by key; ended is signalled when one ends.
	running map[int]int
	ended   *sync.Cond
}

func newHoldings() *holdings {
	h := &holdings{running: map[int]int{}}
	h.ended = sync.NewCond(&h.mu)
	return h
}

// watch reports the grants that are taken from now on.
func (h *holdings) watch(id string, o *owners) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.id, h.owners = id, o
}

// holds reports whether the key is held, and with which fencing token.
func (h *holdings) holds(key int, now time.Time) (token uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fence[key], now.Before(h.until[key])
}

// grant takes keys unless a higher fencing token was seen on one of them.
func (h *holdings) grant(arrived time.Time, o keyOrder) (status int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for k := o.From; k <= o.To; k++ {
		if h.fence[k] > o.Fence {
			return http.StatusConflict
		}
	}
	for k := o.From; k <= o.To; k++ {
		h.fence[k], h.until[k] = o.Fence, arrived.Add(time.Duration(o.Hold)*time.Millisecond)
	}
	return http.StatusOK
}

// release gives keys back and waits until the work on them has ended.
func (h *holdings) release(o keyOrder) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for k := o.From; k <= o.To; k++ {
		if h.fence[k] <= o.Fence {
			h.until[k] = time.Time{}
		}
	}
	for h.busy(o) {
		h.ended.Wait()
	}
}

// busy reports whether a request for one of the keys runs. mu must be held.
func (h *holdings) busy(o keyOrder) bool {
	for k := range h.running {
		if o.From <= k && k <= o.To {
			return true
		}
	}
	return false
}

// begin begins the work of a request for a key, and reports false if the key is not held.
func (h *holdings) begin(key string) (end func(), ok bool) {
	k, err := strconv.Atoi(key)
	if err != nil || k < 0 || k >= keyCount {
		return nil, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Now().After(h.until[k]) {
		return nil, false
	}
	h.running[k]++
	return func() { h.end(k) }, true
}

func (h *holdings) end(k int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running[k]--; h.running[k] == 0 {
		delete(h.running, k)
	}
	h.ended.Broadcast()
}

// ServeHTTP answers a grant or a release.
func (h *holdings) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var o keyOrder
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.From < 0 || o.To >= keyCount || o.From > o.To {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.URL.Path == "/release" {
		h.release(o)
		w.Header().Set("Cardamomseam-Handover", "h-"+strconv.Itoa(o.From))
		return
	}
	status := h.grant(arrived, o)
	h.mu.Lock()
	id, watching := h.id, h.owners
	h.mu.Unlock()
	if status == http.StatusOK && watching != nil {
		watching.taken(id, o)
	}
	w.WriteHeader(status)
}
