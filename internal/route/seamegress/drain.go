package seamegress

import (
	"context"
	"time"

	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/route/seamoutcome"
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
func (e *Egress) RefuseUnkeyed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// endMargin is the least time that a request is given before the node ends.
const endMargin = 300 * time.Millisecond

// EndBy tells the time at which the node ends at the latest: requests that may not end before are refused.
func (e *Egress) SetShutdownDeadline(limit time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ends = limit
}

// outlasted reports whether the node ends before a request that takes so long on the mean may have.
func (e *Egress) outlasted(now time.Time, work time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.ends.IsZero() && now.Add(max(2*work, endMargin)).After(e.ends)
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
	return head.GetKeyed() && now.Sub(e.since) < e.cfg.HandoverGrace
}

// unstartable returns the refusal of a request that has its place at the target, but must not be started any
// more: the target has been leaving for long, or the node ends soon.
func (c *call) unstartable(now time.Time) *seamoutcome.End {
	e := c.egress
	if a, ok := e.target.Current(); ok && a.Name == c.announced.Name && a.Leaving && !e.mayLinger(c.head, a, now) {
		return refusal(seamoutcome.Draining, "the target is leaving")
	}
	if e.outlasted(now, e.limiter.work(c.head)) {
		return refusal(seamoutcome.Draining, "the node ends before the request would")
	}
	return nil
}
