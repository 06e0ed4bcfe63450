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
	leaseTime = 5 * time.Second
	// renewInterval is the time between two renewals.
	renewInterval = 1600 * time.Millisecond
	// retryFirst and retryLast bound the wait after a failed call.
	retryFirst = 150 * time.Millisecond
	retryLast  = time.Second
	// firstWait is the time that the target has to announce itself before the entry is written without it.
	firstWait = 1500 * time.Millisecond
	// callTimeout bounds one call of the store.
	callTimeout = time.Second
)

// Store is what an entry is written to.
type Store interface {
	seamstore.LeaseManager
	Get(ctx context.Context, p seamstore.Priority, key string) (seamstore.Entry, error)
}

// Entry keeps the entry of this node in the store. It is safe for concurrent use.
type Registration struct {
	store Store
	sink  seamevent.Sink
	kick  chan struct{}

	mu     sync.Mutex
	member Member

	// What follows is used by Run only.
	lease    seamstore.Lease
	revision int64
	written  Member
	renewed  time.Time
}

// NewEntry returns the entry of a member.
func NewRegistration(store Store, m Member, sink seamevent.Sink) *Registration {
	return &Registration{store: store, member: m, sink: sink, kick: make(chan struct{}, 1)}
}

// Update changes what the entry says.
func (e *Registration) Update(change func(*Member)) {
	e.mu.Lock()
	before := e.member
	change(&e.member)
	changed := before != e.member
	e.mu.Unlock()
	if changed {
		e.wake()
	}
}

// Member returns what the entry says.
func (e *Registration) Member() Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.member
}

func (e *Registration) wake() {
	select {
	case e.kick <- struct{}{}:
	default:
	}
}

// Run keeps the entry until ctx ends. The entry then lasts as long as its lease: a node that restarts
// writes it anew, and others learn from its sessions that it is away.
func (e *Registration) Run(ctx context.Context) {
	attempt := 0
	if e.Member().Target.ID == "" {
		// The first announcement of the target saves a second writing.
		e.pause(ctx, firstWait, true)
	}
	for ctx.Err() == nil {
		err := e.step(ctx, time.Now())
		wait := renewInterval
		if err != nil {
			wait = min(retryFirst<<min(attempt, 6), retryLast)
			attempt++
			e.sink.Emit(time.Now(), seamevent.EntryFailed, seamevent.Fields{"lease": int64(e.lease), "error": err.Error()})
		} else {
			attempt = 0
		}
		e.pause(ctx, wait, err == nil)
	}
}

// pause waits; a change of the entry ends the wait if the store is there.
func (e *Registration) pause(ctx context.Context, wait time.Duration, kick bool) {
	if !kick {
		seamwait.Jittered(ctx, wait)
		return
	}
	seamwait.Until(ctx, wait, e.kick)
}

// step makes the calls that are due.
func (e *Registration) step(ctx context.Context, now time.Time) error {
	if e.lease == 0 {
		if err := e.begin(ctx); err != nil {
			return err
		}
	}
	wanted := e.Member()
	if wanted != e.written || e.revision == 0 {
		return e.write(ctx, wanted)
	}
	if now.Sub(e.renewed) < renewInterval/2 {
		return nil
	}
	return e.renew(ctx, now)
}

func (e *Registration) begin(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	lease, _, err := e.store.GrantLease(ctx, leaseTime)
	if err != nil {
		return err
	}
	e.lease, e.renewed, e.written = lease, sent, Member{}
	return nil
}

func (e *Registration) renew(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := e.store.RenewLease(ctx, e.lease)
	if err == nil {
		e.renewed = now
		return nil
	}
	e.forget(err)
	return err
}

// forget drops a lease that has ended.
func (e *Registration) forget(err error) {
	var ended *seamstore.LeaseNotFoundError
	if errors.As(err, &ended) {
		// The key went with the lease.
		e.lease, e.revision, e.written = 0, 0, Member{}
	}
}

func (e *Registration) write(ctx context.Context, wanted Member) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := proto.Marshal(Encode(wanted))
	if err != nil {
		return err
	}
	key := KeyPrefix + wanted.Peer.Name
	revision, err := e.store.SwapLeased(ctx, seamstore.Takeover, key, e.revision, value, e.lease)
	var conflict *seamstore.ConflictError
	switch {
	case err == nil:
		e.revision, e.written = revision, wanted
		e.sink.Emit(time.Now(), seamevent.EntryWritten, seamevent.Fields{
			"lease": int64(e.lease), "revision": revision, "target": wanted.Target.Holder().String(), "service": wanted.Target.Service,
			"leaving": wanted.Leaving || wanted.Target.Leaving, "down": wanted.Target.Down,
		})
		return nil
	case errors.As(err, &conflict):
		// An earlier run of the node, or a write whose answer was lost.
		e.revision = conflict.Found.Revision
		e.wake()
		return nil
	}
	e.forget(err)
	return err
}
