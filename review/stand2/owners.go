package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// doubleBound is the time for which two upstreams may hold the same keys.
	doubleBound = 500 * time.Millisecond
	// ownersInterval is the time between two looks at all holdings, and ownersStep the distance of the keys that are looked at.
	ownersInterval = 20 * time.Millisecond
	ownersStep     = 64
)

// owners compares the keys that the upstreams of one service hold.
type owners struct {
	rec *recorder

	mu   sync.Mutex
	held []*holdings
	// highest is the highest fencing token with which an upstream had a key, and by that upstream.
	highest [keyCount]uint64
	by      [keyCount]string
	// since is the time from which two upstreams have held a key.
	since map[int]time.Time
	// broken counts the keys and grants that break the rule.
	broken int
}

// newOwners returns owners that look at the holdings until stop is closed.
func newOwners(rec *recorder, upstreams []*upstream, stop <-chan struct{}) *owners {
	o := &owners{rec: rec, since: map[int]time.Time{}}
	for _, u := range upstreams {
		o.held = append(o.held, u.keys)
		u.keys.watch(u.id, o)
	}
	go func() {
		ticker := time.NewTicker(ownersInterval)
		defer ticker.Stop()
		for {
			select {
			case now := <-ticker.C:
				o.compare(now)
			case <-stop:
				return
			}
		}
	}()
	return o
}

// breaks records a breach of the rule.
func (o *owners) breaks(format string, args ...any) {
	o.broken++
	if o.broken <= 20 {
		o.rec.note("OWNER: %s", fmt.Sprintf(format, args...))
	}
}

// count returns the number of breaches.
func (o *owners) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.broken
}

// taken checks the fencing token with which an upstream has taken keys.
func (o *owners) taken(id string, k keyOrder) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key := k.From; key <= k.To; key++ {
		if o.by[key] != "" && o.by[key] != id && k.Fence <= o.highest[key] {
			o.breaks("%s takes key %d with the token %d, but %s had it with %d", id, key, k.Fence, o.by[key], o.highest[key])
			break
		}
	}
	for key := k.From; key <= k.To; key++ {
		if k.Fence > o.highest[key] {
			o.highest[key], o.by[key] = k.Fence, id
		}
	}
}

// compare looks for keys that two upstreams hold.
func (o *owners) compare(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key := 0; key < keyCount; key += ownersStep {
		holders := o.holdersOf(key, now)
		since, known := o.since[key]
		switch {
		case len(holders) < 2:
			delete(o.since, key)
		case !known:
			o.since[key] = now
		case now.Sub(since) > doubleBound && now.Sub(since) <= doubleBound+2*ownersInterval:
			o.breaks("%v have held key %d together for %s", holders, key, now.Sub(since).Round(time.Millisecond))
		}
	}
}

// holdersOf returns the upstreams that hold a key, with their tokens.
func (o *owners) holdersOf(key int, now time.Time) []string {
	var holders []string
	for _, h := range o.held {
		if token, ok := h.holds(key, now); ok {
			holders = append(holders, fmt.Sprintf("%s (token %d)", h.id, token))
		}
	}
	return holders
}
