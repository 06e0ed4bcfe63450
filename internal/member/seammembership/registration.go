package seammembership

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/platform/seamwait"
)

const (
	// leaseTime is the duration of a node's lease.
	leaseTTL = 5 * time.Second
	// renewInterval is the time between two renewals.
	renewInterval = 1600 * time.Millisecond
	// retryFirst and retryLast bound the wait after a failed call.
	retryBackoffInitial = 150 * time.Millisecond
	retryBackoffMax     = time.Second
	// firstWait is the time that the target has to announce itself before the entry is written without it.
	announcementWait = 1500 * time.Millisecond
	// callTimeout bounds one call of the store.
	callTimeout = time.Second
)

// Store is what an entry is written to.
type Store interface {
	seamstore.Leases
	Get(ctx context.Context, p seamstore.Priority, key string) (seamstore.Entry, error)
}

// Entry keeps the entry of this node in the store. It is safe for concurrent use.
type Registration struct {
	store   Store
	sink    seamevent.Sink
	updated chan struct{}

	mu     sync.Mutex
	member Member

	// What follows is used by Run only.
	lease       seamstore.Lease
	revision    int64
	lastWritten Member
	lastRenewal time.Time
}

// NewEntry returns the entry of a member.
func NewRegistration(store Store, m Member, sink seamevent.Sink) *Registration {
	return &Registration{store: store, member: m, sink: sink, updated: make(chan struct{}, 1)}
}

// Update changes what the entry says.
func (r *Registration) Update(change func(*Member)) {
	r.mu.Lock()
	before := r.member
	change(&r.member)
	changed := before != r.member
	r.mu.Unlock()
	if changed {
		r.wake()
	}
}

// Member returns what the entry says.
func (r *Registration) Member() Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.member
}

func (r *Registration) wake() {
	select {
	case r.updated <- struct{}{}:
	default:
	}
}

// Run keeps the entry until ctx ends. The entry then lasts as long as its lease: a node that restarts
// writes it anew, and others learn from its sessions that it is away.
func (r *Registration) Run(ctx context.Context) {
	attempt := 0
	if r.Member().Target.ID == "" {
		// The first announcement of the target saves a second writing.
		r.pause(ctx, announcementWait, true)
	}
	for ctx.Err() == nil {
		err := r.step(ctx, time.Now())
		wait := renewInterval
		if err != nil {
			wait = min(retryBackoffInitial<<min(attempt, 6), retryBackoffMax)
			attempt++
			r.sink.Emit(time.Now(), seamevent.EntryFailed, seamevent.Fields{"lease": int64(r.lease), "error": err.Error()})
		} else {
			attempt = 0
		}
		r.pause(ctx, wait, err == nil)
	}
}

// pause waits; a change of the entry ends the wait if the store is there.
func (r *Registration) pause(ctx context.Context, wait time.Duration, interruptible bool) {
	if !interruptible {
		seamwait.Jittered(ctx, wait)
		return
	}
	seamwait.Until(ctx, wait, r.updated)
}

// step makes the calls that are due.
func (r *Registration) step(ctx context.Context, now time.Time) error {
	if r.lease == 0 {
		if err := r.acquireLease(ctx); err != nil {
			return err
		}
	}
	wanted := r.Member()
	if wanted != r.lastWritten || r.revision == 0 {
		return r.write(ctx, wanted)
	}
	if now.Sub(r.lastRenewal) < renewInterval/2 {
		return nil
	}
	return r.renew(ctx, now)
}

func (r *Registration) acquireLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	lease, _, err := r.store.Begin(ctx, leaseTTL)
	if err != nil {
		return err
	}
	r.lease, r.lastRenewal, r.lastWritten = lease, sent, Member{}
	return nil
}

func (r *Registration) renew(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.store.Renew(ctx, r.lease)
	if err == nil {
		r.lastRenewal = now
		return nil
	}
	r.dropExpiredLease(err)
	return err
}

// forget drops a lease that has ended.
func (r *Registration) dropExpiredLease(err error) {
	var leaseErr *seamstore.LeaseError
	if errors.As(err, &leaseErr) {
		// The key went with the lease.
		r.lease, r.revision, r.lastWritten = 0, 0, Member{}
	}
}

func (r *Registration) write(ctx context.Context, wanted Member) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := proto.Marshal(Encode(wanted))
	if err != nil {
		return err
	}
	key := KeyPrefix + wanted.Peer.Name
	revision, err := r.store.SwapLeased(ctx, seamstore.Takeover, key, r.revision, value, r.lease)
	var conflict *seamstore.ConflictError
	switch {
	case err == nil:
		r.revision, r.lastWritten = revision, wanted
		r.sink.Emit(time.Now(), seamevent.EntryWritten, seamevent.Fields{
			"lease": int64(r.lease), "revision": revision, "target": wanted.Target.Holder().String(), "service": wanted.Target.Service,
			"leaving": wanted.Leaving || wanted.Target.Leaving, "down": wanted.Target.Down,
		})
		return nil
	case errors.As(err, &conflict):
		// An earlier run of the node, or a write whose answer was lost.
		r.revision = conflict.Found.Revision
		r.wake()
		return nil
	}
	r.dropExpiredLease(err)
	return err
}
