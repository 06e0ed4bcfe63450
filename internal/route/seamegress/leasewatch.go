package seamegress

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamgrant"
)

// errLeaseExpired ends a request that is still running when the node's lease on its slot expires.
var errLeaseExpired = errors.Wrap(context.DeadlineExceeded, "lease on the slot expired")

// leaseWatch cancels a request when the node's lease on its slot expires. The lease may be
// renewed while the request runs.
type leaseWatch struct {
	owners Owners
	clock  Clock
	grant  seamgrant.Grant
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// limitByLease returns a context that is canceled when the lease expires, and a function
// that releases it.
func limitByLease(ctx context.Context, owners Owners, clock Clock, grant seamgrant.Grant) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	l := &leaseWatch{owners: owners, clock: clock, grant: grant, cancel: cancel}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = time.AfterFunc(l.remaining(grant.ExpiresAt), l.check)
	return ctx, l.stop
}

// remaining returns the time to until, by the clock on which less time remains.
func (l *leaseWatch) remaining(until seamclock.Instant) time.Duration {
	return -seamclock.MaxElapsed(l.clock.Now(), until)
}

// check cancels the request if the lease is lost; otherwise it schedules the next check for the renewed expiry.
func (l *leaseWatch) check() {
	until, held := l.owners.Held(l.grant.Slot, l.grant.Epoch)
	if !held {
		l.cancel(errLeaseExpired)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopped {
		l.timer.Reset(l.remaining(until))
	}
}

func (l *leaseWatch) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	l.timer.Stop()
	l.cancel(nil)
}
