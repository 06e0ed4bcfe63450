package seamingress

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/route/seamoutcome"
)

// FinalResponseMargin is the time before the drain deadline at which requests in flight are canceled, so that
// their callers still get a response.
const FinalResponseMargin = 350 * time.Millisecond

// errShuttingDown is the cancellation cause of requests in flight when the node shuts down.
var errShuttingDown = errors.New("node is shutting down")

// shutdown cancels the requests in flight shortly before the node stops.
type shutdown struct {
	ctx    context.Context
	cancel context.CancelFunc
}

func newShutdown() shutdown {
	ctx, cancel := context.WithCancel(context.Background())
	return shutdown{ctx: ctx, cancel: cancel}
}

// bind derives a context from the caller's that is also canceled, with the cause errShuttingDown, when the node
// shuts down. The returned function releases the context.
func (s shutdown) bind(caller context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(caller)
	stop := context.AfterFunc(s.ctx, func() { cancel(errShuttingDown) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// cancelBefore cancels the requests in flight FinalResponseMargin before the deadline of ctx. The returned function
// stops the timer.
func (s shutdown) cancelBefore(ctx context.Context) (stop func()) {
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
