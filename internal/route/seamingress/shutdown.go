package seamingress

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seamdedup"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamstop"
)

// FinalResponseMargin is the time before the drain deadline at which requests in flight are canceled, so that
// their callers still get a response.
const FinalResponseMargin = 350 * time.Millisecond

// errShuttingDown is the cancellation cause of requests in flight when the node shuts down.
var errShuttingDown = errors.New("node is shutting down")

// cancelReportTimeout bounds the wait for another node's report on a request that this node has canceled there.
const cancelReportTimeout = 200 * time.Millisecond

// shutdown refuses and withdraws the requests that a planned stop would cut, and cancels those in flight shortly before it.
type shutdown struct {
	ctx    context.Context
	cancel context.CancelFunc
	// refusing is canceled by refuse at the refusal time of the planned stop.
	refusing context.Context
	refuse   context.CancelFunc
	// refusingIdempotent is canceled by refuseIdempotent at the refusal time of idempotent requests.
	refusingIdempotent context.Context
	refuseIdempotent   context.CancelFunc
	plan               atomic.Pointer[seamstop.Plan]
}

func newShutdown() *shutdown {
	s := &shutdown{}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.refusing, s.refuse = context.WithCancel(context.Background())
	s.refusingIdempotent, s.refuseIdempotent = context.WithCancel(context.Background())
	s.plan.Store(&seamstop.Plan{})
	return s
}

// planStop plans the stop by the deadline of ctx. The returned function stops the timers of the refusals.
func (s *shutdown) planStop(ctx context.Context) (stop func()) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return func() {}
	}
	plan := seamstop.Plan{Limit: deadline.Add(-FinalResponseMargin)}
	s.plan.Store(&plan)
	refusal := time.AfterFunc(time.Until(plan.RefusalTime()), s.refuse)
	idempotentRefusal := time.AfterFunc(time.Until(plan.IdempotentRefusalTime()), s.refuseIdempotent)
	return func() {
		refusal.Stop()
		idempotentRefusal.Stop()
	}
}

// mayStart reports whether the planned stop leaves enough time to run the request.
func (s *shutdown) mayStart(now time.Time, x *exchange) bool {
	return s.plan.Load().MayStart(now, seamstop.Request{Deadline: x.deadline, Idempotent: x.head.GetIdempotent()})
}

// untilResponse returns the milliseconds until a target must have responded to a request that is started now because the node stops;
// 0 if the stop does not come before the deadline.
func (s *shutdown) untilResponse(now, deadline time.Time) int64 {
	latest := s.plan.Load().TargetDeadline(deadline)
	if latest.Equal(deadline) {
		return 0
	}
	return max(latest.Sub(now).Milliseconds(), 1)
}

// stoppingDetail tells why a request is not started.
const stoppingDetail = "the node stops before the request is expected to end"

// stopRefusal returns the refusal of a request that the planned stop would cut, and false for other requests.
func (x *exchange) stopRefusal() (seamoutcome.End, bool) {
	if x.ingress.shutdown.mayStart(time.Now(), x) {
		return seamoutcome.End{}, false
	}
	return seamoutcome.NewRefused(seamoutcome.Draining, stoppingDetail), true
}

// bind derives a context from the caller's that is also canceled, with the cause errShuttingDown, when the node
// shuts down. The returned function releases the context.
func (s *shutdown) bind(caller context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(caller)
	stop := context.AfterFunc(s.ctx, func() { cancel(errShuttingDown) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// cancelBefore cancels the requests in flight FinalResponseMargin before the deadline of ctx. The returned function
// stops the timer.
func (s *shutdown) cancelBefore(ctx context.Context) (stop func()) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return func() {}
	}
	timer := time.AfterFunc(time.Until(deadline.Add(-FinalResponseMargin)), s.cancel)
	return func() { timer.Stop() }
}

// callerWaiting reports whether the caller still waits for its response.
func callerWaiting(ctx context.Context) bool {
	return ctx.Err() == nil || errors.Is(context.Cause(ctx), errShuttingDown)
}

// endForCaller translates the end of an attempt for the caller. A node that shuts down cancels its requests and
// reports that their callers disconnected; if the caller is still connected, it gets the actual reason.
func endForCaller(ctx context.Context, end seamoutcome.End) seamoutcome.End {
	if !callerWaiting(ctx) {
		return end
	}
	switch end.Reason {
	case seamoutcome.Gone:
		end.Reason, end.Detail = seamoutcome.Draining, "a node shut down before the request started"
	case seamoutcome.Cancelled:
		end.Reason, end.Detail = seamoutcome.Lost, "a node shut down while the request was running"
	}
	return end
}

// cancelAttempt ends an attempt at another node whose context has ended. If this node shuts down, the other node is told by
// the end of the request's side of the stream and reports whether the request ran.
func cancelAttempt(ctx context.Context, conn net.Conn) {
	if !errors.Is(context.Cause(ctx), errShuttingDown) {
		conn.SetDeadline(time.Unix(1, 0))
		return
	}
	// A part of the body that waits for the link must not outlast the stop.
	conn.SetWriteDeadline(time.Unix(1, 0))
	conn.SetReadDeadline(time.Now().Add(cancelReportTimeout))
	conn.Close()
}

// withdrawBeforeStop withdraws an attempt at another node at the refusal time of a planned stop, if it was not started by
// then. The returned function ends that and reports whether the attempt was withdrawn.
func (x *exchange) withdrawBeforeStop(ctx context.Context, conn net.Conn, at seampeer.Peer) (release func() (withdrawn bool)) {
	refusing := x.ingress.shutdown.refusing
	if x.head.GetIdempotent() {
		refusing = x.ingress.shutdown.refusingIdempotent
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	withdrawn := false
	stop := context.AfterFunc(refusing, func() {
		defer close(done)
		withdrawn = x.withdraw(ctx, conn, at)
	})
	return func() bool {
		cancel()
		if stop() {
			return false
		}
		<-done
		return withdrawn
	}
}

// withdraw voids the current attempt if the planned stop would cut it, and then ends its stream, so that the other node
// reports its end. It reports whether it did.
func (x *exchange) withdraw(ctx context.Context, conn net.Conn, at seampeer.Peer) bool {
	if x.ingress.shutdown.mayStart(time.Now(), x) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, voidTimeout)
	defer cancel()
	state, err := x.sendVoid(ctx, at, sentAttempt{time.Now(), time.Until(x.deadline)})
	if err != nil {
		return false
	}
	x.ingress.stats.countVoid(state)
	if state != x.withdrawnState() {
		return false
	}
	conn.SetReadDeadline(time.Now().Add(cancelReportTimeout))
	conn.Close()
	return true
}

// withdrawnState returns the state of an attempt that another node has withdrawn.
func (x *exchange) withdrawnState() seamdedup.State {
	if x.head.GetIdempotent() {
		return seamdedup.Withdrawn
	}
	return seamdedup.Voided
}
