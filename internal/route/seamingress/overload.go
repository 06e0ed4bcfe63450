package seamingress

import (
	"sync"
	"time"

	"cardamomseam/internal/route/seamadmit"
	"cardamomseam/internal/route/seamoutcome"
)

const (
	// minOverloadPause and maxOverloadPause bound the time for which an overloaded key's requests are refused without
	// asking its owner. The time doubles with each such refusal by the owner in a row.
	minOverloadPause = 500 * time.Millisecond
	maxOverloadPause = 2 * time.Second
	// maxOverloadedKeys is the number of overloaded keys that an ingress remembers.
	maxOverloadedKeys = 1024
)

// serviceKey is a key of a service.
type serviceKey struct {
	service string
	slot    uint32
}

// overload is what an ingress knows about an overloaded key.
type overload struct {
	pausedUntil time.Time
	pause       time.Duration
	// retryAfter is the delay that the owner gave.
	retryAfter time.Duration
}

// overloads are the overloaded keys. Their requests would fill the machine of the owner, which refuses nearly all of
// them: each ingress asks only now and then whether the owner has room again. It is safe for concurrent use.
type overloads struct {
	mu   sync.Mutex
	keys map[serviceKey]overload
}

func newOverloads() *overloads {
	return &overloads{keys: map[serviceKey]overload{}}
}

// refusal returns the refusal of a request whose owner must not be asked now, and false if it may.
func (o *overloads) refusal(now time.Time, key serviceKey) (seamoutcome.End, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	known, ok := o.keys[key]
	if !ok || !now.Before(known.pausedUntil) {
		return seamoutcome.End{}, false
	}
	end := seamoutcome.NewRefused(seamoutcome.Late, "the owner of the key has refused others, since the key is overloaded")
	end.RetryAfter = known.retryAfter
	return end, true
}

// observe records the end of an attempt at the owner of a key.
func (o *overloads) observe(now time.Time, key serviceKey, end seamoutcome.End) {
	o.mu.Lock()
	defer o.mu.Unlock()
	known, ok := o.keys[key]
	switch {
	case end.Reason == seamoutcome.Late && end.RetryAfter >= seamadmit.OverloadedRetryAfter:
		if !ok && len(o.keys) >= maxOverloadedKeys {
			clear(o.keys)
		}
		known.pause = min(max(2*known.pause, minOverloadPause), maxOverloadPause)
		known.pausedUntil, known.retryAfter = now.Add(known.pause), end.RetryAfter
		o.keys[key] = known
	case ok && end.Outcome == seamoutcome.Done:
		delete(o.keys, key)
	}
}
