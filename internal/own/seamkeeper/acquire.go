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

// heldSlot is a slot that this node's target serves.
type heldSlot struct {
	epoch uint64
	// standby is the address of the standby target, or empty.
	standby string
	// ready says that the target has accepted a grant of the slot.
	ready atomic.Bool
	// closing says that no more requests are admitted.
	closing  atomic.Bool
	inFlight atomic.Int64
	served   atomic.Int64
	// The fields below are used only by the load reporter.
	// lastServed is the value of served at the last report.
	lastServed int64
	// rate is the moving average of requests per second, and measuredTime the total time that it covers.
	rate         float64
	measuredTime time.Duration
}

// heldSlots holds the slots of this node's target and the time at which the lease on them expires.
type heldSlots struct {
	mu       sync.RWMutex
	slots    map[slotID]*heldSlot
	leaseEnd seamclock.Instant
}

func (h *heldSlots) find(id slotID) (*heldSlot, seamclock.Instant) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.slots[id], h.leaseEnd
}

func (h *heldSlots) lease() seamclock.Instant {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.leaseEnd
}

// shortenLease sets the end of the lease to until if that is earlier.
func (h *heldSlots) shortenLease(until seamclock.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until.Mono < h.leaseEnd.Mono || until.Wall < h.leaseEnd.Wall {
		h.leaseEnd = until
	}
}

func (h *heldSlots) setLease(until seamclock.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaseEnd = until
}

// slotWaiters wakes requests that wait for a slot.
type slotWaiters struct {
	mu    sync.Mutex
	woken chan struct{}
	count atomic.Int64
}

func (a *slotWaiters) wakeup() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.woken == nil {
		a.woken = make(chan struct{})
	}
	return a.woken
}

func (a *slotWaiters) wake() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.woken != nil {
		close(a.woken)
		a.woken = nil
	}
}

// Acquire returns the grant under which a request for the slot may run at this node's target, and a
// function to call when the request has ended. While the grant is pending it waits, bounded by
// Config.SlotWaitTimeout and ctx. The error is a *seamgrant.NotOwnerError; the request must then not run here.
func (k *Keeper) Acquire(ctx context.Context, id slotID) (seamgrant.Grant, func(), error) {
	if grant, release, ok := k.tryAcquire(id); ok {
		return grant, release, nil
	}
	if !k.grantPending(id) {
		return seamgrant.Grant{}, nil, k.notOwner(id)
	}
	return k.waitAndAcquire(ctx, id)
}

func (k *Keeper) waitAndAcquire(ctx context.Context, id slotID) (seamgrant.Grant, func(), error) {
	if k.slotWaiters.count.Add(1) > int64(k.cfg.MaxSlotWaiters) {
		k.slotWaiters.count.Add(-1)
		return seamgrant.Grant{}, nil, k.notOwner(id)
	}
	defer k.slotWaiters.count.Add(-1)
	timer := time.NewTimer(k.cfg.SlotWaitTimeout)
	defer timer.Stop()
	for {
		changed := k.slotWaiters.wakeup()
		if grant, release, ok := k.tryAcquire(id); ok {
			return grant, release, nil
		}
		if !k.grantPending(id) {
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

// tryAcquire admits a request if the node currently holds the slot.
func (k *Keeper) tryAcquire(id slotID) (seamgrant.Grant, func(), bool) {
	h, until := k.heldSlots.find(id)
	if h == nil || h.closing.Load() || !h.ready.Load() || seamclock.Expired(k.deps.Clock.Now(), until) {
		return seamgrant.Grant{}, nil, false
	}
	h.inFlight.Add(1)
	if h.closing.Load() {
		// The slot started closing between the two checks, and awaitIdle may already have seen no requests in flight.
		h.inFlight.Add(-1)
		return seamgrant.Grant{}, nil, false
	}
	h.served.Add(1)
	grant := seamgrant.Grant{Slot: id, Epoch: h.epoch, ExpiresAt: until}
	return grant, func() { h.inFlight.Add(-1) }, true
}

// grantPending reports whether the slot is about to be granted to this node.
func (k *Keeper) grantPending(id slotID) bool {
	s, ok := k.snapshot.Load().slots[id]
	if !ok {
		return false
	}
	return s.Owner.Same(k.self) && !s.Moving || s.Next.Same(k.self)
}

// ownerInOtherCell returns the node to contact for a slot that belongs to another cell. The cell records
// take precedence over the owner cache, which may name an owner that no longer exists.
func (k *Keeper) ownerInOtherCell(id slotID) seampeer.Peer {
	if p := k.snapshot.Load().coordinatorFor(id, k.self); !p.Zero() {
		return p
	}
	p, _ := k.ownerCache.get(id)
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
		e.Owner = k.ownerInOtherCell(id).Address
	}
	return e
}

// Held returns the end of the node's lease on the slot and whether the lease is still valid. It is called
// immediately before a request is sent to the target.
func (k *Keeper) Held(id slotID, epoch uint64) (seamclock.Instant, bool) {
	h, until := k.heldSlots.find(id)
	if h == nil || h.epoch != epoch {
		return seamclock.Instant{}, false
	}
	return until, !seamclock.Expired(k.deps.Clock.Now(), until)
}

// leaseEnd returns the end of the state machine's lease, or now if it has none. The caller holds mu.
func (k *Keeper) leaseEnd(now seamclock.Instant) seamclock.Instant {
	until, valid := k.cell.Lease(now)
	if !valid {
		return now
	}
	return until
}

func (k *Keeper) serve(a seamcell.Serve) {
	k.heldSlots.mu.Lock()
	h := k.heldSlots.slots[a.Slot]
	if h == nil || h.epoch != a.Epoch || h.closing.Load() {
		h = &heldSlot{epoch: a.Epoch}
		k.heldSlots.slots[a.Slot] = h
	}
	h.standby = a.StandbyAddress
	k.heldSlots.mu.Unlock()
	k.grantSender.slotsChanged()
}

func (k *Keeper) stopServing(a seamcell.StopServing) {
	k.heldSlots.mu.Lock()
	h := k.heldSlots.slots[a.Slot]
	if h != nil {
		h.closing.Store(true)
		if !a.Graceful {
			delete(k.heldSlots.slots, a.Slot)
		}
	}
	k.heldSlots.mu.Unlock()
	if !a.Graceful {
		k.grantSender.slotsChanged()
		return
	}
	k.startTask(func() { k.releaseSlot(a, h) })
}

// releaseSlot waits for the slot's requests in flight, has the target send the slot's state to the successor,
// and releases the slot. If the state could not be sent, the slot returns to this node.
func (k *Keeper) releaseSlot(a seamcell.StopServing, h *heldSlot) {
	stateMoved := true
	if h != nil {
		if k.awaitIdle(a.Slot, h) {
			stateMoved = k.grantSender.transferState(k.ctx, a, h)
		}
		if !k.heldSlots.remove(a.Slot, h) {
			return // already released, because the handover took too long
		}
		k.grantSender.sendAndWait(k.ctx)
	}
	k.step(func(c *seamcell.Cell, now seamclock.Instant) []seamcell.Action {
		if held, _ := k.heldSlots.find(a.Slot); held != nil {
			return nil
		}
		if !stateMoved {
			return c.HandoverFailed(now, a.Slot)
		}
		return c.SlotReleased(now, a.Slot)
	})
}

// contains reports whether x is still the current entry of the slot.
func (h *heldSlots) contains(id slotID, x *heldSlot) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.slots[id] == x
}

// remove removes x and reports whether it was still the current entry of the slot.
func (h *heldSlots) remove(id slotID, x *heldSlot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.slots[id] != x {
		return false
	}
	delete(h.slots, id)
	return true
}

// awaitIdle waits until the slot has no requests in flight. It returns false if the lease expired or the slot
// was released first, because the slot may then have another owner.
func (k *Keeper) awaitIdle(id slotID, h *heldSlot) bool {
	const poll = 2 * time.Millisecond
	for {
		if k.ctx.Err() != nil || !k.heldSlots.contains(id, h) || seamclock.Expired(k.deps.Clock.Now(), k.heldSlots.lease()) {
			return false
		}
		if h.inFlight.Load() == 0 {
			return true
		}
		time.Sleep(poll)
	}
}
