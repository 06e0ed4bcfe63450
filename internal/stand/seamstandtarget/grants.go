package seamstandtarget

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"cardamomseam/internal/member/seamtarget"
)

// grants holds the slots that the target may serve.
type grants struct {
	mu          sync.Mutex
	incarnation uint64
	sequence    uint64
	until       time.Time
	held        map[uint32]*slotGrant
	// seen is the highest epoch known of each slot, last that with which the target held it last.
	seen map[uint32]uint64
	last map[uint32]uint64
	// handed is the epoch under which a slot was handed over.
	handed map[uint32]uint64
}

type slotGrant struct {
	epoch   uint64
	standby string
	// running is the number of requests of the slot in flight.
	running int
	// released says that the slot was handed over and takes no requests.
	released bool
	idle     chan struct{}
}

func newGrants() *grants {
	return &grants{held: map[uint32]*slotGrant{}, seen: map[uint32]uint64{}, last: map[uint32]uint64{}, handed: map[uint32]uint64{}}
}

// StaleError says that orders are older than others that arrived before.
type StaleGrantError struct {
	Grant seamtarget.GrantRequest
}

// Error names the orders.
func (e *StaleGrantError) Error() string {
	return fmt.Sprintf("orders %d/%d are older than those in force", e.Grant.Incarnation, e.Grant.Sequence)
}

// FencedError says that the target may not run a request of the slot.
type FencedError struct {
	Slot  uint32
	Epoch uint64
	// Reason is one word.
	Reason string
}

// Error names the slot, the epoch and the reason.
func (e *FencedError) Error() string {
	return fmt.Sprintf("slot %d epoch %d: %s", e.Slot, e.Epoch, e.Reason)
}

// verdict tells what the orders changed.
type verdict struct {
	changed bool
	held    []HeldSlot
	// stale are the slots that the orders named with an epoch lower than one seen.
	stale []HeldSlot
	until time.Time
}

// apply takes orders that arrived at now.
func (g *grants) apply(now time.Time, o seamtarget.GrantRequest) (verdict, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if o.Incarnation < g.incarnation || (o.Incarnation == g.incarnation && o.Sequence < g.sequence) {
		return verdict{}, &StaleGrantError{Grant: o}
	}
	if !o.Full && o.Incarnation != g.incarnation {
		return verdict{}, &StaleGrantError{Grant: o} // a renewal of slots that this target never had
	}
	g.incarnation, g.sequence = o.Incarnation, o.Sequence
	g.until = end(now, o)
	v := verdict{until: g.until}
	if o.Full {
		v.changed, v.stale = g.replace(o.Slots)
		v.held = g.list()
	}
	return v, nil
}

// end returns the end of orders that arrived at now: the earlier of Life and Until, because
// orders may have been on the way for long.
func end(now time.Time, o seamtarget.GrantRequest) time.Time {
	until := now.Add(time.Duration(o.TTLMillis) * time.Millisecond)
	if o.ExpiresAtMillis == 0 {
		return until
	}
	left := time.UnixMilli(o.ExpiresAtMillis).Sub(now)
	return now.Add(min(left, until.Sub(now)))
}

// replace makes the slots the complete set.
func (g *grants) replace(orders []seamtarget.SlotGrant) (changed bool, stale []HeldSlot) {
	named := map[uint32]bool{}
	for _, o := range orders {
		if o.Epoch < g.seen[o.Slot] {
			stale = append(stale, HeldSlot{Slot: o.Slot, Epoch: o.Epoch})
			continue
		}
		named[o.Slot] = true
		changed = g.hold(o) || changed
	}
	for slot := range g.held {
		if !named[slot] {
			delete(g.held, slot)
			changed = true
		}
	}
	return changed, stale
}

// hold takes the order of one slot and reports whether its epoch is new.
func (g *grants) hold(o seamtarget.SlotGrant) bool {
	g.seen[o.Slot] = o.Epoch
	g.last[o.Slot] = o.Epoch
	s := g.held[o.Slot]
	if s == nil || s.epoch != o.Epoch {
		g.held[o.Slot] = &slotGrant{epoch: o.Epoch, standby: o.Standby}
		return true
	}
	s.standby = o.Standby
	return false
}

func (g *grants) list() []HeldSlot {
	list := make([]HeldSlot, 0, len(g.held))
	for slot, s := range g.held {
		if !s.released {
			list = append(list, HeldSlot{Slot: slot, Epoch: s.epoch})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Slot < list[j].Slot })
	return list
}

// hand notes that a slot was handed over.
func (g *grants) hand(slot uint32, epoch uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.handed[slot] = epoch
}

// kept returns the slots that the target held last and has not handed over.
func (g *grants) kept() []seamtarget.RetainedSlot {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []seamtarget.RetainedSlot
	for slot, epoch := range g.last {
		if g.seen[slot] == epoch && g.handed[slot] != epoch {
			list = append(list, seamtarget.RetainedSlot{Slot: slot, Epoch: epoch})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Slot < list[j].Slot })
	return list
}

// standbys returns the standby of each slot held.
func (g *grants) standbys() map[uint32]standbyOrder {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := map[uint32]standbyOrder{}
	for slot, s := range g.held {
		if !s.released && s.standby != "" {
			list[slot] = standbyOrder{address: s.standby, epoch: s.epoch}
		}
	}
	return list
}

// enter starts a request of a slot; leave must be called when it ends.
func (g *grants) enter(now time.Time, slot uint32, epoch uint64) (leave func(), err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if reason := g.reason(now, slot, epoch); reason != "" {
		return nil, &FencedError{Slot: slot, Epoch: epoch, Reason: reason}
	}
	s := g.held[slot]
	s.running++
	return func() { g.leave(s) }, nil
}

func (g *grants) leave(s *slotGrant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.running--
	if s.running == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// check returns a *FencedError unless the target may store an effect at now. A slot that is
// being released still finishes its running requests.
func (g *grants) check(now time.Time, slot uint32, epoch uint64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	reason := g.reason(now, slot, epoch)
	if reason == "" || (reason == reasonReleased && g.held[slot].running > 0) {
		return nil
	}
	return &FencedError{Slot: slot, Epoch: epoch, Reason: reason}
}

// Reasons of a FencedError.
const (
	reasonLapsed   = "lapsed"
	reasonEpoch    = "epoch"
	reasonReleased = "released"
	reasonSlot     = "slot"
)

// reason returns why the slot may not be served at now, or an empty string if it may.
func (g *grants) reason(now time.Time, slot uint32, epoch uint64) string {
	s := g.held[slot]
	switch {
	case s == nil:
		return reasonSlot
	case s.epoch != epoch:
		return reasonEpoch
	case !now.Before(g.until):
		return reasonLapsed
	case s.released:
		return reasonReleased
	}
	return ""
}

// release stops new requests of a slot and returns a channel that is closed once none runs.
// A slot that the target held last with this epoch, and that lapsed, runs none.
func (g *grants) release(slot uint32, epoch uint64) (<-chan struct{}, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.held[slot]
	done := make(chan struct{})
	if s == nil && g.last[slot] == epoch && g.seen[slot] == epoch {
		close(done)
		return done, nil
	}
	if s == nil || s.epoch != epoch {
		return nil, &FencedError{Slot: slot, Epoch: epoch, Reason: reasonEpoch}
	}
	s.released = true
	if s.running == 0 {
		close(done)
		return done, nil
	}
	if s.idle == nil {
		s.idle = done
	}
	return s.idle, nil
}

// receive checks the epoch of state that another target sends for a slot.
func (g *grants) receive(slot uint32, epoch uint64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if epoch < g.seen[slot] {
		return &FencedError{Slot: slot, Epoch: epoch, Reason: reasonEpoch}
	}
	g.seen[slot] = epoch
	return nil
}

// count returns the number of slots held at now.
func (g *grants) count(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !now.Before(g.until) {
		return 0
	}
	return len(g.list())
}
