package seamegress

import (
	"context"
	"time"

	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/route/seamroutewire"
)

// enter counts a request in, unless the node is leaving. Until it drains, it
// still takes requests for the keys that it owns.
func (e *Egress) enter(keyed bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining || e.leaving && !keyed {
		return false
	}
	e.inFlight++
	return true
}

func (e *Egress) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
	e.closeIfIdle()
}

func (e *Egress) closeIfIdle() {
	if !e.draining || e.inFlight > 0 {
		return
	}
	select {
	case <-e.idle:
	default:
		close(e.idle)
	}
}

// InFlight returns the number of requests that were accepted and have not ended.
func (e *Egress) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inFlight
}

// Leave refuses new requests without a key from now on. A node that is about to
// stop calls it before it hands its slots over, and Drain afterwards.
func (e *Egress) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Drain refuses new requests from now on and waits until those in flight ended
// or ctx did, whose error it returns.
func (e *Egress) Drain(ctx context.Context) error {
	e.mu.Lock()
	e.draining = true
	e.closeIfIdle()
	e.mu.Unlock()
	select {
	case <-e.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// mayLinger reports whether a target that is leaving may still run the request:
// for a while, it serves the slots that were not handed over yet.
func (e *Egress) mayLinger(head *seamroutewire.RequestHead, a seamtarget.Announcement, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaver != a.Name {
		e.leaver, e.since = a.Name, now
	}
	return head.GetKeyed() && now.Sub(e.since) < e.cfg.Linger
}
