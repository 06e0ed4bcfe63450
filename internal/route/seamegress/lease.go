package seamegress

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamgrant"
)

// errLease is why a request ends that outlasts the node's lease on its slot.
var errLease = errors.Wrap(context.DeadlineExceeded, "lease on the slot is over")

// lease ends a request with the node's lease on its slot, which is renewed
// while the request runs.
type lease struct {
	owners Owners
	clock  Clock
	grant  seamgrant.Grant
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// limitByLease returns a context that ends with the lease, and a function that
// releases it.
func limitByLease(ctx context.Context, owners Owners, clock Clock, grant seamgrant.Grant) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	l := &lease{owners: owners, clock: clock, grant: grant, cancel: cancel}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = time.AfterFunc(l.left(grant.ExpiresAt), l.check)
	return ctx, l.stop
}

// left returns the time to until by the clock that leaves less.
func (l *lease) left(until seamclock.Instant) time.Duration {
	return -seamclock.MaxElapsed(l.clock.Now(), until)
}

// check ends the request or looks again when the renewed lease ends.
func (l *lease) check() {
	until, held := l.owners.Held(l.grant.Slot, l.grant.Epoch)
	if !held {
		l.cancel(errLease)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopped {
		l.timer.Reset(l.left(until))
	}
}

func (l *lease) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	l.timer.Stop()
	l.cancel(nil)
}
