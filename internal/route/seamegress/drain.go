package seamegress

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamroutewire"
	"cardamomseam/internal/route/seamstop"
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

// PlanStop plans the stop of the node. Requests that the stop would cut are refused, at the refusal time also those that wait for
// admission. At the limit, those in flight are canceled, so that the nodes that sent them are told.
func (e *Egress) PlanStop(p seamstop.Plan) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopPlan = p
	e.refusalTimer.Reset(time.Until(p.RefusalTime()))
	e.limitTimer.Reset(time.Until(p.Limit))
}

// plannedStop returns the plan of the node's stop.
func (e *Egress) plannedStop() seamstop.Plan {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopPlan
}

// mayStart reports whether the request may be started before the planned stop of the node.
func (c *call) mayStart(now time.Time) bool {
	return c.egress.plannedStop().MayStart(now, c.stopRequest())
}

// stopRequest describes the request to the plan of a stop.
func (c *call) stopRequest() seamstop.Request {
	return seamstop.Request{
		Deadline:        c.admissionRequest().deadline,
		MeanServiceTime: c.egress.limiter.meanServiceTime(c.head),
		Idempotent:      c.head.GetIdempotent(),
		Keyed:           c.head.GetKeyed(),
	}
}

// errStopped is the cancellation cause of requests in flight at the limit of a planned stop.
var errStopped = errors.New("the node stops")

// cancelAtStop returns a context that is canceled at the limit of a planned stop, and a function that releases the context.
func (e *Egress) cancelAtStop(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(e.stopped, func() { cancel(errStopped) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// errNodeStopping ends the wait for admission of a request that the stop of the node may cut.
var errNodeStopping = errors.New("the node stops before the request is expected to end")

// cancelBeforeStop returns a context that is canceled before a planned stop of the node if the request may no longer be
// started then, and a function that releases the context.
func (c *call) cancelBeforeStop(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(c.egress.stopping, func() {
		if !c.mayStart(time.Now()) {
			cancel(errNodeStopping)
		}
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
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
	}
	if e.InFlight() == 0 {
		return nil
	}
	return ctx.Err()
}

// TargetLeaving starts the handover grace period of a target that announced that it is leaving, unless it has started.
func (e *Egress) TargetLeaving(now time.Time, a seamtarget.Announcement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startHandoverGrace(now, a)
}

// startHandoverGrace starts the handover grace period of the target unless it has started. The caller holds mu.
func (e *Egress) startHandoverGrace(now time.Time, a seamtarget.Announcement) {
	leaving := throttleTarget(a)
	if e.leavingTarget != leaving {
		e.leavingTarget, e.leavingSince = leaving, now
	}
}

// withinHandoverGrace reports whether a target that is leaving may still run the request:
// for a grace period it serves the slots that were not handed over yet.
func (e *Egress) withinHandoverGrace(head *seamroutewire.RequestHead, a seamtarget.Announcement, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startHandoverGrace(now, a)
	return head.GetKeyed() && now.Sub(e.leavingSince) < e.cfg.HandoverGrace
}

// evacuatedDetail is the detail of refusals because of an evacuation.
const evacuatedDetail = "the failure domain of the target is evacuated"

// isEvacuated reports whether the target must not get the request because its failure domain is evacuated.
func (e *Egress) isEvacuated(now time.Time, head *seamroutewire.RequestHead) bool {
	return e.cfg.Evacuated != nil && e.cfg.Evacuated(now, head.GetKeyed())
}

// shutdownRefusal returns the refusal of an admitted request that must no longer be started, because the
// target's failure domain is evacuated, its handover grace period has ended or the node stops too soon; nil if it may start.
func (c *call) shutdownRefusal(now time.Time) *seamoutcome.End {
	e := c.egress
	if e.isEvacuated(now, c.head) {
		c.countEvacuated.Do(e.evacuated.Inc)
		return refusal(seamoutcome.Draining, evacuatedDetail)
	}
	if a, ok := e.target.Current(); ok && a.Name == c.announced.Name && e.isLeaving(a) && !e.withinHandoverGrace(c.head, a, now) {
		return refusal(seamoutcome.Draining, "the target is leaving")
	}
	if !c.mayStart(now) {
		return refusal(seamoutcome.Draining, errNodeStopping.Error())
	}
	return nil
}
