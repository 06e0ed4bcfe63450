package seamegress

import (
	"context"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamgrant"
	"cardamomseam/internal/route/seamdedup"
	"cardamomseam/internal/route/seamoutcome"
)

// gate decides whether a request may run, right before its first byte is sent to the target.
type gate struct {
	ctx context.Context
	// cancel cancels ctx when the gate denies the request.
	cancel context.CancelCauseFunc
	clock  Clock
	dedup  *seamdedup.Table
	// attempts holds the idempotent attempts that have not been started.
	attempts *seamdedup.Attempts
	id       seamdedup.ID
	// attempt identifies the attempt in the dedup table.
	attempt uint64
	// idempotent requests have no record in the dedup table and may be started more than once, but not after they were voided.
	idempotent bool
	// grant is the authority to serve the slot; nil for a service without keys.
	grant *seamgrant.Grant
	// deadline is the deadline of the request. It is checked in addition to ctx, whose timer may
	// fire late after a pause of the process.
	deadline seamclock.Instant
	// startDenial returns why the request must not be started now: the target or the node stops before its end, or the target
	// gets too many requests. It returns the empty reason if it may be.
	startDenial func() seamoutcome.Reason
	// isMismatched reports whether a response belongs to another request; nil means that none does.
	isMismatched func(*http.Response) bool

	mu sync.Mutex
	// started means that bytes of the request may have been sent.
	started bool
	// denial is the reason why a request that was not started was denied or could not be sent; empty if neither.
	denial seamoutcome.Reason
}

// deniedError reports that a request may not run.
type deniedError struct {
	Reason seamoutcome.Reason
}

// Error names the reason of the denial.
func (e *deniedError) Error() string {
	return "the request may not be sent to the target: " + string(e.Reason)
}

// open marks the request as started if it may run. Otherwise it cancels ctx and returns *deniedError.
func (g *gate) open() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	reason := g.check(g.clock.Now())
	if reason == "" {
		g.started = true
		return nil
	}
	if !g.started {
		g.denial = reason
	}
	err := &deniedError{reason}
	g.cancel(err)
	return err
}

// check returns the reason why the request may not run, or the empty reason if it may. For a request that is not
// idempotent, it then also records the start in the dedup table.
func (g *gate) check(now seamclock.Instant) seamoutcome.Reason {
	if reason := g.checkTime(now); reason != "" {
		return reason
	}
	if reason := g.startDenial(); reason != "" {
		return reason
	}
	switch {
	case g.idempotent && !g.attempts.Start(g.attempt):
		return seamoutcome.Voided
	case g.idempotent:
		return ""
	case g.started:
		return seamoutcome.Duplicate
	case !g.dedup.Start(now, g.id, g.attempt):
		return seamoutcome.Voided
	}
	return ""
}

// checkTime returns the reason why the request may not run any more, or the empty reason.
func (g *gate) checkTime(now seamclock.Instant) seamoutcome.Reason {
	switch {
	case g.grant != nil && seamclock.Expired(now, g.grant.ExpiresAt):
		return seamoutcome.Owner
	case seamclock.Expired(now, g.deadline), errors.Is(g.ctx.Err(), context.DeadlineExceeded):
		return seamoutcome.Expired
	case g.ctx.Err() != nil:
		return seamoutcome.Gone
	}
	return ""
}

// revertStart marks a request as not started because no byte of it could be sent to the target.
func (g *gate) revertStart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.started = false
	if !g.idempotent {
		g.dedup.UndoStart(g.id, g.attempt)
	}
	g.denial = seamoutcome.Target
}

// hasStarted reports whether bytes may have reached the target.
func (g *gate) hasStarted() bool {
	started, _ := g.state()
	return started
}

// state reports whether the request was started and, if it was not, why it was denied; denial may be empty.
func (g *gate) state() (started bool, denial seamoutcome.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.started, g.denial
}

// mayRetry reports whether the request may be sent again: it is idempotent, or it was not started and the gate did
// not deny it.
func (g *gate) mayRetry() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.idempotent || !g.started && (g.denial == "" || g.denial == seamoutcome.Target)
}
