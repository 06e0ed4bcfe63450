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
	// leaseTTL is the duration of a node's store lease.
	leaseTTL = 5 * time.Second
	// renewInterval is the time between two renewals of the store lease.
	renewInterval = 1600 * time.Millisecond
	// retryBackoffInitial and retryBackoffMax bound the exponential back-off after a failed call.
	retryBackoffInitial = 150 * time.Millisecond
	retryBackoffMax     = time.Second
	// announcementWait is how long the first write waits for the target's announcement.
	announcementWait = 1500 * time.Millisecond
	// callTimeout bounds one call to the store.
	callTimeout = time.Second
)

// Store holds the members' entries and their leases.
type Store interface {
	seamstore.LeaseManager
	seamstore.EraReader
	Get(ctx context.Context, p seamstore.Priority, key string) (seamstore.Entry, error)
}

// Registration maintains this node's entry in the store under a lease. It is safe for concurrent use.
type Registration struct {
	store   Store
	sink    seamevent.Sink
	updated chan struct{}

	mu     sync.Mutex
	member Member

	// The fields below are used by Run only.
	lease seamstore.Lease
	// era is the era of the store in which the lease was granted.
	era         int64
	revision    int64
	lastWritten Member
	lastRenewal time.Time
}

// NewRegistration returns the registration of a member. Run writes its entry.
func NewRegistration(store Store, m Member, sink seamevent.Sink) *Registration {
	return &Registration{store: store, member: m, sink: sink, updated: make(chan struct{}, 1)}
}

// Update changes the registered member. Run writes the change to the store.
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

// Member returns the registered member.
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

// Run maintains the entry until ctx ends. It does not delete the entry, which then lasts until its lease expires: a node
// that restarts overwrites it, and other nodes notice through their sessions that the node is down.
func (r *Registration) Run(ctx context.Context) {
	attempt := 0
	if r.Member().Target.ID == "" {
		// Waiting for the target's first announcement saves a second write.
		r.pause(ctx, announcementWait, true)
	}
	for ctx.Err() == nil {
		err := r.step(ctx, time.Now())
		wait := renewInterval
		if err != nil {
			wait = min(retryBackoffInitial<<min(attempt, 6), retryBackoffMax)
			attempt++
			r.sink.Emit(time.Now(), seamevent.RegistrationFailed, seamevent.Fields{"lease": int64(r.lease), "error": err.Error()})
		} else {
			attempt = 0
		}
		r.pause(ctx, wait, err == nil)
	}
}

// pause waits. An interruptible wait ends early at an update. The wait after a failed store call is not interruptible, and
// is jittered.
func (r *Registration) pause(ctx context.Context, wait time.Duration, interruptible bool) {
	if !interruptible {
		seamwait.Jittered(ctx, wait)
		return
	}
	seamwait.Until(ctx, wait, r.updated)
}

// step makes the store calls that are due: it acquires or renews the lease, and writes a changed entry.
func (r *Registration) step(ctx context.Context, now time.Time) error {
	if r.store.Era() != r.era {
		// The copy from which the store came back may have an older entry, and the id of the lease may be that of another one.
		r.forgetLease()
	}
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
	lease, _, err := r.store.GrantLease(ctx, leaseTTL)
	if err != nil {
		return err
	}
	r.lease, r.era, r.lastRenewal, r.lastWritten = lease, r.store.Era(), sent, Member{}
	return nil
}

func (r *Registration) renew(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.store.RenewLease(ctx, r.lease)
	if err == nil {
		r.lastRenewal = now
		return nil
	}
	r.dropExpiredLease(err)
	return err
}

// dropExpiredLease forgets the lease and the entry if the error is *seamstore.LeaseNotFoundError, so that step acquires a
// new lease and writes the entry again.
func (r *Registration) dropExpiredLease(err error) {
	var leaseErr *seamstore.LeaseNotFoundError
	if errors.As(err, &leaseErr) {
		// The store has removed the entry together with the lease.
		r.forgetLease()
	}
}

// forgetLease makes step acquire a lease and write the entry.
func (r *Registration) forgetLease() {
	r.lease, r.revision, r.lastWritten = 0, 0, Member{}
}

func (r *Registration) write(ctx context.Context, wanted Member) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := proto.Marshal(MemberToWire(wanted))
	if err != nil {
		return err
	}
	key := KeyPrefix + wanted.Peer.Name
	revision, err := r.store.SwapLeased(ctx, seamstore.Takeover, key, r.revision, value, r.lease)
	var conflict *seamstore.ConflictError
	switch {
	case err == nil:
		r.revision, r.lastWritten = revision, wanted
		r.sink.Emit(time.Now(), seamevent.RegistrationWritten, seamevent.Fields{
			"lease": int64(r.lease), "revision": revision, "target": wanted.Target.Holder().String(), "service": wanted.Target.Service,
			"leaving": wanted.Leaving || wanted.Target.Leaving, "down": wanted.Target.Down,
		})
		return nil
	case errors.As(err, &conflict):
		// An earlier incarnation of the node wrote the entry, or the response to this one's write was lost.
		r.revision = conflict.Found.Revision
		r.wake()
		return nil
	}
	r.dropExpiredLease(err)
	return err
}
