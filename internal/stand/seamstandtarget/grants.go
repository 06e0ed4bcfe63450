package seamstandtarget

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"cardamomseam/internal/member/seamtarget"
)

// grants holds the slots that the target may serve, and enforces their epochs and expiry.
type grants struct {
	mu          sync.Mutex
	incarnation uint64
	sequence    uint64
	expiresAt   time.Time
	held        map[uint32]*slotGrant
	// highestEpoch is the highest epoch seen of each slot. lastHeldEpoch is the epoch under
	// which the target last held it.
	highestEpoch  map[uint32]uint64
	lastHeldEpoch map[uint32]uint64
	// handedOverEpoch is the epoch under which a slot was last handed over.
	handedOverEpoch map[uint32]uint64
}

type slotGrant struct {
	epoch   uint64
	standby string
	// inFlight is the number of running requests of the slot.
	inFlight int
	// released is set when a handover starts; the slot then accepts no new requests.
	released bool
	idle     chan struct{}
}

func newGrants() *grants {
	return &grants{held: map[uint32]*slotGrant{}, highestEpoch: map[uint32]uint64{}, lastHeldEpoch: map[uint32]uint64{}, handedOverEpoch: map[uint32]uint64{}}
}

// StaleGrantError reports a grant that is older than one received before.
type StaleGrantError struct {
	Grant seamtarget.GrantRequest
}

// Error names the incarnation and sequence of the grant.
func (e *StaleGrantError) Error() string {
	return fmt.Sprintf("grant %d/%d is older than the current grant", e.Grant.Incarnation, e.Grant.Sequence)
}

// FencedError reports that the target may not run a request of the slot at the epoch.
type FencedError struct {
	Slot  uint32
	Epoch uint64
	// Reason is one of the reasons below.
	Reason string
}

// Error names the slot, the epoch and the reason.
func (e *FencedError) Error() string {
	return fmt.Sprintf("slot %d epoch %d: %s", e.Slot, e.Epoch, e.Reason)
}

// applyResult describes the effect of a grant.
type applyResult struct {
	changed bool
	held    []HeldSlot
	// stale holds the slots that the grant named with an epoch lower than the highest one seen.
	stale     []HeldSlot
	expiresAt time.Time
}

// apply replaces or renews the grants with those received at now. It returns a
// *StaleGrantError if they are out of date.
func (g *grants) apply(now time.Time, o seamtarget.GrantRequest) (applyResult, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if o.Incarnation < g.incarnation || (o.Incarnation == g.incarnation && o.Sequence < g.sequence) {
		return applyResult{}, &StaleGrantError{Grant: o}
	}
	if !o.Full && o.Incarnation != g.incarnation {
		return applyResult{}, &StaleGrantError{Grant: o} // renews slots that this target was never granted
	}
	g.incarnation, g.sequence = o.Incarnation, o.Sequence
	g.expiresAt = expiryOf(now, o)
	v := applyResult{expiresAt: g.expiresAt}
	if o.Full {
		v.changed, v.stale = g.replaceSlots(o.Slots)
		v.held = g.heldLocked()
	}
	return v, nil
}

// expiryOf returns the expiry of a grant received at now: the earlier of TTLMillis from now
// and ExpiresAtMillis, because the message may have been delayed.
func expiryOf(now time.Time, o seamtarget.GrantRequest) time.Time {
	expiresAt := now.Add(time.Duration(o.TTLMillis) * time.Millisecond)
	if o.ExpiresAtMillis == 0 {
		return expiresAt
	}
	left := time.UnixMilli(o.ExpiresAtMillis).Sub(now)
	return now.Add(min(left, expiresAt.Sub(now)))
}

// replaceSlots replaces the held slots. It reports whether the set changed, and the slots
// with a stale epoch, which it ignores.
func (g *grants) replaceSlots(slots []seamtarget.SlotGrant) (changed bool, stale []HeldSlot) {
	granted := map[uint32]bool{}
	for _, o := range slots {
		if o.Epoch < g.highestEpoch[o.Slot] {
			stale = append(stale, HeldSlot{Slot: o.Slot, Epoch: o.Epoch})
			continue
		}
		granted[o.Slot] = true
		changed = g.grantSlot(o) || changed
	}
	for slot := range g.held {
		if !granted[slot] {
			delete(g.held, slot)
			changed = true
		}
	}
	return changed, stale
}

// grantSlot grants one slot and reports whether its epoch is new.
func (g *grants) grantSlot(o seamtarget.SlotGrant) bool {
	g.highestEpoch[o.Slot] = o.Epoch
	g.lastHeldEpoch[o.Slot] = o.Epoch
	s := g.held[o.Slot]
	if s == nil || s.epoch != o.Epoch {
		g.held[o.Slot] = &slotGrant{epoch: o.Epoch, standby: o.Standby}
		return true
	}
	s.standby = o.Standby
	return false
}

func (g *grants) heldLocked() []HeldSlot {
	list := make([]HeldSlot, 0, len(g.held))
	for slot, s := range g.held {
		if !s.released {
			list = append(list, HeldSlot{Slot: slot, Epoch: s.epoch})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Slot < list[j].Slot })
	return list
}

// markHandedOver records that a slot was handed over.
func (g *grants) markHandedOver(slot uint32, epoch uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.handedOverEpoch[slot] = epoch
}

// retained returns the slots that this target was the last to hold and has not handed over.
func (g *grants) retained() []seamtarget.RetainedSlot {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []seamtarget.RetainedSlot
	for slot, epoch := range g.lastHeldEpoch {
		if g.highestEpoch[slot] == epoch && g.handedOverEpoch[slot] != epoch {
			list = append(list, seamtarget.RetainedSlot{Slot: slot, Epoch: epoch})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Slot < list[j].Slot })
	return list
}

// standbyTargets returns the standbys of the held slots.
func (g *grants) standbyTargets() map[uint32]standbyTarget {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := map[uint32]standbyTarget{}
	for slot, s := range g.held {
		if !s.released && s.standby != "" {
			list[slot] = standbyTarget{address: s.standby, epoch: s.epoch}
		}
	}
	return list
}

// startRequest registers a request of a slot; finish must be called when it ends. It returns
// a *FencedError if the target may not serve the slot.
func (g *grants) startRequest(now time.Time, slot uint32, epoch uint64) (finish func(), err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if reason := g.fencedReason(now, slot, epoch); reason != "" {
		return nil, &FencedError{Slot: slot, Epoch: epoch, Reason: reason}
	}
	s := g.held[slot]
	s.inFlight++
	return func() { g.finishRequest(s) }, nil
}

func (g *grants) finishRequest(s *slotGrant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.inFlight--
	if s.inFlight == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// checkHeld returns a *FencedError unless the target may store an effect at now. Requests that
// were running when the release of their slot began may still finish.
func (g *grants) checkHeld(now time.Time, slot uint32, epoch uint64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	reason := g.fencedReason(now, slot, epoch)
	if reason == "" || (reason == reasonReleased && g.held[slot].inFlight > 0) {
		return nil
	}
	return &FencedError{Slot: slot, Epoch: epoch, Reason: reason}
}

// Reasons of a FencedError.
const (
	reasonExpired  = "lapsed"
	reasonEpoch    = "epoch"
	reasonReleased = "released"
	reasonSlot     = "slot"
)

// fencedReason returns the reason why the slot may not be served at now, or an empty string if it may.
func (g *grants) fencedReason(now time.Time, slot uint32, epoch uint64) string {
	s := g.held[slot]
	switch {
	case s == nil:
		return reasonSlot
	case s.epoch != epoch:
		return reasonEpoch
	case !now.Before(g.expiresAt):
		return reasonExpired
	case s.released:
		return reasonReleased
	}
	return ""
}

// release rejects new requests of a slot and returns a channel that is closed once none is
// running. A slot that the target was the last to hold, at this epoch, and whose grant ended, runs
// none.
func (g *grants) release(slot uint32, epoch uint64) (<-chan struct{}, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.held[slot]
	done := make(chan struct{})
	if s == nil && g.lastHeldEpoch[slot] == epoch && g.highestEpoch[slot] == epoch {
		close(done)
		return done, nil
	}
	if s == nil || s.epoch != epoch {
		return nil, &FencedError{Slot: slot, Epoch: epoch, Reason: reasonEpoch}
	}
	s.released = true
	if s.inFlight == 0 {
		close(done)
		return done, nil
	}
	if s.idle == nil {
		s.idle = done
	}
	return s.idle, nil
}

// checkTransferEpoch records the epoch of state that another target sends for a slot. It
// returns a *FencedError if the epoch is older than the highest one seen.
func (g *grants) checkTransferEpoch(slot uint32, epoch uint64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if epoch < g.highestEpoch[slot] {
		return &FencedError{Slot: slot, Epoch: epoch, Reason: reasonEpoch}
	}
	g.highestEpoch[slot] = epoch
	return nil
}

// count returns the number of slots that the target may serve at now.
func (g *grants) count(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !now.Before(g.expiresAt) {
		return 0
	}
	return len(g.heldLocked())
}
