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
	ctx    context.Context
	cancel context.CancelCauseFunc
	clock  Clock
	dedup  *seamdedup.Table
	id     seamdedup.ID
	// attempt identifies the attempt in the dedup table.
	attempt uint64
	// idempotent requests have no record in the dedup table and may be started more than once.
	idempotent bool
	// grant is the authority to serve the slot; nil for a service without keys.
	grant *seamgrant.Grant
	// deadline is the deadline of the request. After a pause of the process, the timer
	// of ctx may not have fired yet although the deadline has passed.
	deadline seamclock.Instant
	// isMismatched reports whether a response belongs to another request; nil means that none does.
	isMismatched func(*http.Response) bool

	mu      sync.Mutex
	started bool
	denial  seamoutcome.Reason
}

// deniedError reports that a request may not run.
type deniedError struct {
	Reason seamoutcome.Reason
}

// Error names the reason.
func (e *deniedError) Error() string {
	return "request was stopped before its first byte was sent: " + string(e.Reason)
}

// open marks the request as started, or returns *deniedError.
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

func (g *gate) check(now seamclock.Instant) seamoutcome.Reason {
	switch {
	case g.grant != nil && seamclock.Expired(now, g.grant.ExpiresAt):
		return seamoutcome.Owner
	case seamclock.Expired(now, g.deadline), errors.Is(g.ctx.Err(), context.DeadlineExceeded):
		return seamoutcome.Expired
	case g.ctx.Err() != nil:
		return seamoutcome.Gone
	case g.idempotent:
		return ""
	case g.started:
		return seamoutcome.Duplicate
	case !g.dedup.Start(now, g.id, g.attempt):
		return seamoutcome.Voided
	}
	return ""
}

// revertStart marks a request of which no byte was sent as not started.
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

// state reports whether the request was started and why it was denied.
func (g *gate) state() (started bool, denial seamoutcome.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.started, g.denial
}

// mayRetry reports whether the request was not started or is idempotent.
func (g *gate) mayRetry() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.idempotent || !g.started && (g.denial == "" || g.denial == seamoutcome.Target)
}
