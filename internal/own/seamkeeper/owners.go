package seamkeeper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamgrant"
	"cardamomseam/internal/own/seamslot"
)

type slotID = seamslot.ID

// holding is a slot that this node's server serves.
type holding struct {
	epoch uint64
	// standby is the address of the standby's target, or empty.
	standby string
	// ready says that the target has taken the orders that contain the slot.
	ready atomic.Bool
	// closing says that no further request is admitted.
	closing  atomic.Bool
	inFlight atomic.Int64
	served   atomic.Int64
	// What follows belongs to the reporter of loads alone.
	// counted is the value of served at the last report.
	counted int64
	// rate is the average of the requests per second, seen the time over which it was taken.
	rate float64
	seen time.Duration
}

// holdings are the slots of this node's server, and the end of its lease.
type holdings struct {
	mu    sync.RWMutex
	slots map[slotID]*holding
	until seamclock.Instant
}

func (h *holdings) find(id slotID) (*holding, seamclock.Instant) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.slots[id], h.until
}

func (h *holdings) lease() seamclock.Instant {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.until
}

// shortenLease moves the end of the lease to until if that is earlier.
func (h *holdings) shortenLease(until seamclock.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until.Mono < h.until.Mono || until.Wall < h.until.Wall {
		h.until = until
	}
}

func (h *holdings) setLease(until seamclock.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.until = until
}

// arrivals wakes requests that wait for a slot.
type arrivals struct {
	mu      sync.Mutex
	changed chan struct{}
	waiting atomic.Int64
}

func (a *arrivals) next() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.changed == nil {
		a.changed = make(chan struct{})
	}
	return a.changed
}

func (a *arrivals) wake() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}

// Acquire returns the grant under which a request for the slot may run at this
// node's target, and a function to call when the request has ended. A request
// for a slot that is arriving waits, bounded by Config.Wait and ctx. The error is
// *seamgrant.NotOwnerError; the request was not run.
func (k *Keeper) Acquire(ctx context.Context, id slotID) (seamgrant.Grant, func(), error) {
	if grant, release, ok := k.try(id); ok {
		return grant, release, nil
	}
	if !k.arriving(id) {
		return seamgrant.Grant{}, nil, k.notOwner(id)
	}
	return k.await(ctx, id)
}

func (k *Keeper) await(ctx context.Context, id slotID) (seamgrant.Grant, func(), error) {
	if k.arrivals.waiting.Add(1) > int64(k.cfg.MaxSlotWaiters) {
		k.arrivals.waiting.Add(-1)
		return seamgrant.Grant{}, nil, k.notOwner(id)
	}
	defer k.arrivals.waiting.Add(-1)
	timer := time.NewTimer(k.cfg.SlotWaitTimeout)
	defer timer.Stop()
	for {
		changed := k.arrivals.next()
		if grant, release, ok := k.try(id); ok {
			return grant, release, nil
		}
		if !k.arriving(id) {
			return seamgrant.Grant{}, nil, k.notOwner(id)
		}
		select {
		case <-ctx.Done():
			return seamgrant.Grant{}, nil, k.notOwner(id)
		case <-timer.C:
			return seamgrant.Grant{}, nil, k.notOwner(id)
		case <-changed:
		}
	}
}

// try admits a request if the slot is held now.
func (k *Keeper) try(id slotID) (seamgrant.Grant, func(), bool) {
	h, until := k.holdings.find(id)
	if h == nil || h.closing.Load() || !h.ready.Load() || seamclock.Expired(k.parts.Clock.Now(), until) {
		return seamgrant.Grant{}, nil, false
	}
	h.inFlight.Add(1)
	if h.closing.Load() {
		// The slot began to close between the two looks; its last request may be counted already.
		h.inFlight.Add(-1)
		return seamgrant.Grant{}, nil, false
	}
	h.served.Add(1)
	grant := seamgrant.Grant{Slot: id, Epoch: h.epoch, ExpiresAt: until}
	return grant, func() { h.inFlight.Add(-1) }, true
}

// arriving reports whether the slot is about to be granted to this node.
func (k *Keeper) arriving(id slotID) bool {
	s, ok := k.snapshot.Load().slots[id]
	if !ok {
		return false
	}
	return s.Owner.Same(k.self) && !s.Moving || s.Next.Same(k.self)
}

// knownElsewhere returns the node to ask for a slot that is not in the own cell.
// The records go before what was learned, which may name an owner that is gone.
func (k *Keeper) knownElsewhere(id slotID) seampeer.Peer {
	if p := k.snapshot.Load().keeperOf(id, k.self); !p.Zero() {
		return p
	}
	p, _ := k.hints.find(id)
	return p
}

func (k *Keeper) notOwner(id slotID) error {
	snap := k.snapshot.Load()
	s, ok := snap.slots[id]
	e := &seamgrant.NotOwnerError{Slot: id}
	switch {
	case ok && !s.Next.Zero() && !s.Next.Same(k.self):
		e.Owner = s.Next.Address
		e.Moving = true
	case ok && !s.Owner.Zero() && !s.Owner.Same(k.self):
		e.Owner = s.Owner.Address
		e.Moving = s.Moving
	case ok:
		e.Moving = true
	default:
		e.Owner = k.knownElsewhere(id).Address
	}
	return e
}

// Held returns the end of the node's lease on the slot, for the check right
// before a request is sent to the target.
func (k *Keeper) Held(id slotID, epoch uint64) (seamclock.Instant, bool) {
	h, until := k.holdings.find(id)
	if h == nil || h.epoch != epoch {
		return seamclock.Instant{}, false
	}
	return until, !seamclock.Expired(k.parts.Clock.Now(), until)
}

// lease returns the end of the lease by the state machine. mu is held.
func (k *Keeper) lease(now seamclock.Instant) seamclock.Instant {
	until, running := k.cell.Lease(now)
	if !running {
		return now
	}
	return until
}

func (k *Keeper) serve(a seamcell.Serve) {
	k.holdings.mu.Lock()
	h := k.holdings.slots[a.Slot]
	if h == nil || h.epoch != a.Epoch || h.closing.Load() {
		h = &holding{epoch: a.Epoch}
		k.holdings.slots[a.Slot] = h
	}
	h.standby = a.StandbyAddress
	k.holdings.mu.Unlock()
	k.orders.change()
}

func (k *Keeper) stopServing(a seamcell.StopServing) {
	k.holdings.mu.Lock()
	h := k.holdings.slots[a.Slot]
	if h != nil {
		h.closing.Store(true)
		if !a.Graceful {
			delete(k.holdings.slots, a.Slot)
		}
	}
	k.holdings.mu.Unlock()
	if !a.Graceful {
		k.orders.change()
		return
	}
	k.background(func() { k.handOver(a, h) })
}

// handOver waits for the requests in flight on the slot, lets the target send
// its state to the successor, and releases the slot. A slot whose state could not
// be sent comes back.
func (k *Keeper) handOver(a seamcell.StopServing, h *holding) {
	handed := true
	if h != nil {
		if k.awaitIdle(a.Slot, h) {
			handed = k.orders.handOver(k.ctx, a, h)
		}
		if !k.holdings.drop(a.Slot, h) {
			return // released already, because it took too long
		}
		k.orders.changeAndWait(k.ctx)
	}
	k.step(func(c *seamcell.Cell, now seamclock.Instant) []seamcell.Action {
		if again, _ := k.holdings.find(a.Slot); again != nil {
			return nil
		}
		if !handed {
			return c.HandoverFailed(now, a.Slot)
		}
		return c.SlotReleased(now, a.Slot)
	})
}

// has reports whether h is still the holding of the slot.
func (h *holdings) has(id slotID, x *holding) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.slots[id] == x
}

// drop removes a holding and reports whether it was still that of the slot.
func (h *holdings) drop(id slotID, x *holding) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.slots[id] != x {
		return false
	}
	delete(h.slots, id)
	return true
}

// awaitIdle waits until no request is in flight on the slot. It reports false
// if the lease ended or the slot was released before, because the slot may then
// have another owner.
func (k *Keeper) awaitIdle(id slotID, h *holding) bool {
	const poll = 2 * time.Millisecond
	for {
		if k.ctx.Err() != nil || !k.holdings.has(id, h) || seamclock.Expired(k.parts.Clock.Now(), k.holdings.lease()) {
			return false
		}
		if h.inFlight.Load() == 0 {
			return true
		}
		time.Sleep(poll)
	}
}
