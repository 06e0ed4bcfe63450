package seamingress

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/route/seamoutcome"
)

// lastWord is the time before the end of a drain at which requests in flight are given an answer.
const finalAnswerTime = 350 * time.Millisecond

// errEnding is the cause with which requests are ended because the node ends.
var errShuttingDown = errors.New("the node ends")

// ending ends the requests in flight shortly before the node does.
type shutdown struct {
	ctx    context.Context
	cancel context.CancelFunc
}

func newShutdown() shutdown {
	ctx, cancel := context.WithCancel(context.Background())
	return shutdown{ctx: ctx, cancel: cancel}
}

// bind returns a context that ends with the caller's, and with errEnding as its cause when the node ends.
func (e shutdown) bind(caller context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(caller)
	stop := context.AfterFunc(e.ctx, func() { cancel(errShuttingDown) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// before ends the requests in flight lastWord before ctx ends. The returned function calls that off.
func (e shutdown) cancelBefore(ctx context.Context) (stop func()) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return func() {}
	}
	timer := time.AfterFunc(time.Until(deadline.Add(-finalAnswerTime)), e.cancel)
	return func() { timer.Stop() }
}

// callerThere reports whether the caller of a request still waits for its answer.
func callerWaiting(ctx context.Context) bool {
	return ctx.Err() == nil || errors.Is(context.Cause(ctx), errShuttingDown)
}

// toCaller returns the end of an attempt as the caller is told it. To a node that ends, it looks as if the
// callers of its requests had left.
func endForCaller(ctx context.Context, end seamoutcome.End) seamoutcome.End {
	if !callerWaiting(ctx) {
		return end
	}
	switch end.Reason {
	case seamoutcome.Gone:
		end.Reason, end.Detail = seamoutcome.Draining, "a node ended before the request was started"
	case seamoutcome.Cancelled:
		end.Reason, end.Detail = seamoutcome.Lost, "a node ended while the request ran"
	}
	return end
}
