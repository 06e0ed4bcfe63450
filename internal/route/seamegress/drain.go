package seamegress

import (
	"context"
	"time"

	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamroutewire"
)

// beginRequest counts a request as in flight, or reports false if the node refuses it.
// After RefuseUnkeyed, the node still accepts requests with a key until Drain is called.
func (e *Egress) beginRequest(keyed bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining || e.refusingUnkeyed && !keyed {
		return false
	}
	e.inFlight++
	return true
}

func (e *Egress) endRequest() {
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

// InFlight returns the number of accepted requests that have not ended.
func (e *Egress) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inFlight
}

// RefuseUnkeyed refuses new requests without a key from now on. A node that shuts down
// calls it before it hands over its slots, and Drain afterwards.
func (e *Egress) RefuseUnkeyed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refusingUnkeyed = true
}

// minTimeBeforeShutdown is the least time that a request must have before the node's shutdown deadline.
const minTimeBeforeShutdown = 300 * time.Millisecond

// SetShutdownDeadline sets the latest time at which the node stops. Requests that may not end before it are refused.
func (e *Egress) SetShutdownDeadline(deadline time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shutdownDeadline = deadline
}

// stopsBeforeCompletion reports whether the node may stop before a request with this mean duration ends.
// It allows twice the mean.
func (e *Egress) stopsBeforeCompletion(now time.Time, meanDuration time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.shutdownDeadline.IsZero() && now.Add(max(2*meanDuration, minTimeBeforeShutdown)).After(e.shutdownDeadline)
}

// Drain refuses new requests from now on and waits until those in flight have ended.
// If ctx ends first, it returns the error of ctx.
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

// withinHandoverGrace reports whether a target that is leaving may still run the request:
// for a grace period it serves the slots that were not handed over yet. The period starts
// with the first call for this incarnation of the target.
func (e *Egress) withinHandoverGrace(head *seamroutewire.RequestHead, a seamtarget.Announcement, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leavingTarget != a.Name {
		e.leavingTarget, e.leavingSince = a.Name, now
	}
	return head.GetKeyed() && now.Sub(e.leavingSince) < e.cfg.HandoverGrace
}

// shutdownRefusal returns the refusal of an admitted request that must no longer be started, because the
// target's handover grace period has ended or the node stops too soon; nil if it may start.
func (c *call) shutdownRefusal(now time.Time) *seamoutcome.End {
	e := c.egress
	if a, ok := e.target.Current(); ok && a.Name == c.announced.Name && a.Leaving && !e.withinHandoverGrace(c.head, a, now) {
		return refusal(seamoutcome.Draining, "the target is leaving")
	}
	if e.stopsBeforeCompletion(now, e.limiter.meanServiceTime(c.head)) {
		return refusal(seamoutcome.Draining, "the node stops before the request is expected to end")
	}
	return nil
}
