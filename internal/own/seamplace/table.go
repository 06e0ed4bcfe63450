package seamplace

import (
	"cmp"
	"slices"

	"cardamomseam/internal/own/seamclock"
)

// coldStartCapacity is the fraction of its capacity that a target is assumed to have during its cold start.
const coldStartCapacity = 0.5

// planState is the state of a plan under construction: the view with the planned moves applied.
type planState struct {
	now     seamclock.Instant
	config  Config
	members []*member
	byName  map[string]*member
	slots   []*slot
	// total is the total load, in requests per second.
	total float64
	// mean is the mean load of one unit of capacity, in requests per second.
	mean float64
	// improvements is the number of planned moves that count against Config.MaxMoves.
	improvements int
}

type member struct {
	Member
	capacity float64
	// load is the total rate of the owned slots.
	load float64
	// ownedSlots is the number of owned slots.
	ownedSlots int
	// standbyLoad is the total rate of the slots for which the member is the standby.
	standbyLoad float64
}

type slot struct {
	Slot
	owner   *member
	standby *member
	// previousOwner is the owner before the planned move, or nil.
	previousOwner *member
	// eligible holds the members that may own the slot.
	eligible []*member
	// move is the planned move, or nil.
	move *Move
}

func newPlanState(now seamclock.Instant, v View) *planState {
	t := &planState{now: now, config: v.Config, byName: map[string]*member{}}
	for _, m := range v.Members {
		x := &member{Member: m, capacity: capacity(m)}
		t.members = append(t.members, x)
		t.byName[m.Name] = x
	}
	slices.SortFunc(t.members, func(a, b *member) int { return cmp.Compare(a.Name, b.Name) })
	base := v.Config.BaseRate * float64(len(v.Members)) / float64(max(1, len(v.Slots)))
	for _, s := range v.Slots {
		s.Rate += base
		t.slots = append(t.slots, &slot{Slot: s, owner: t.byName[s.Owner], standby: t.byName[s.Standby]})
	}
	slices.SortFunc(t.slots, func(a, b *slot) int { return cmp.Compare(a.ID.Index, b.ID.Index) })
	for _, s := range t.slots {
		t.countLoad(s)
	}
	t.mean = t.meanLoad()
	byHome := map[string][]*member{}
	for _, s := range t.slots {
		s.eligible = t.eligibleMembers(s.homeRegion(), byHome)
	}
	return t
}

func capacity(m Member) float64 {
	c := m.Capacity
	if c <= 0 {
		c = 1
	}
	if m.ColdStart {
		c *= coldStartCapacity
	}
	return c
}

// countLoad adds the load of s to the totals of the plan, its owner and its standby.
func (t *planState) countLoad(s *slot) {
	t.total += s.Rate
	if s.owner != nil {
		s.owner.addSlot(s)
	}
	if s.standby != nil {
		s.standby.standbyLoad += s.Rate
	}
}

// meanLoad returns the total load divided by the capacity of the members that are not draining.
func (t *planState) meanLoad() float64 {
	var capacity float64
	for _, m := range t.members {
		if !m.Draining {
			capacity += m.capacity
		}
	}
	if capacity == 0 {
		return 0
	}
	return t.total / capacity
}

func (m *member) addSlot(s *slot) {
	m.load += s.Rate
	m.ownedSlots++
}

func (m *member) removeSlot(s *slot) {
	m.load -= s.Rate
	m.ownedSlots--
}

// saturated reports whether the target has no capacity for another request.
func (m *member) saturated() bool {
	return float64(m.InFlight) >= m.capacity
}

// relativeLoad returns the load of m, with rate added, per unit of capacity, as a multiple of the mean.
func (t *planState) relativeLoad(m *member, rate float64) float64 {
	if t.mean == 0 {
		return 0
	}
	return (m.load + rate) / m.capacity / t.mean
}

// planMove plans a change of owner and applies it to the state.
func (t *planState) planMove(s *slot, to *member, reason Reason, gain float64) {
	s.move = &Move{Slot: s.ID, From: s.Owner, To: to.Name, Reason: reason, Gain: gain}
	if s.owner != nil {
		s.owner.removeSlot(s)
	}
	s.previousOwner, s.owner = s.owner, to
	to.addSlot(s)
}

// plannedMoves returns the planned moves, sorted by slot.
func (t *planState) plannedMoves() []Move {
	var moves []Move
	for _, s := range t.slots {
		if s.move != nil {
			moves = append(moves, *s.move)
		}
	}
	return moves
}
