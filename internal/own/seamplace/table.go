package seamplace

import (
	"cmp"
	"slices"

	"cardamomseam/internal/own/seamclock"
)

// coldPart is the part of its capacity that a cold target is given.
const coldPart = 0.5

// table is a view in the form in which moves are tried.
type table struct {
	now     seamclock.Instant
	config  Config
	members []*member
	byName  map[string]*member
	slots   []*slot
	// total is the whole load, in requests a second.
	total float64
	// mean is the load that one unit of capacity carries on average, in requests a second.
	mean float64
	// improved is the number of moves so far that count against Config.Moves.
	improved int
}

type member struct {
	Member
	capacity float64
	// load is the sum of the rates of the owned slots.
	load float64
	// owned is the number of owned slots.
	owned int
	// copied is the sum of the rates of the slots of which this is the standby.
	copied float64
}

type slot struct {
	Slot
	owner   *member
	standby *member
	// former is the owner before the planned move, or nil.
	former *member
	// near are the members that may own the slot.
	near []*member
	// move is the planned move, or nil.
	move *Move
}

func newTable(now seamclock.Instant, v View) *table {
	t := &table{now: now, config: v.Config, byName: map[string]*member{}}
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
		t.add(s)
	}
	t.mean = t.meanLoad()
	byHome := map[string][]*member{}
	for _, s := range t.slots {
		s.near = t.candidates(s.home(), byHome)
	}
	return t
}

func capacity(m Member) float64 {
	c := m.Capacity
	if c <= 0 {
		c = 1
	}
	if m.ColdStart {
		c *= coldPart
	}
	return c
}

// add counts the load of s.
func (t *table) add(s *slot) {
	t.total += s.Rate
	if s.owner != nil {
		s.owner.take(s)
	}
	if s.standby != nil {
		s.standby.copied += s.Rate
	}
}

// meanLoad returns the whole load divided by the capacity that stays.
func (t *table) meanLoad() float64 {
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

func (m *member) take(s *slot) {
	m.load += s.Rate
	m.owned++
}

func (m *member) drop(s *slot) {
	m.load -= s.Rate
	m.owned--
}

// saturated reports whether the target has no room for another request.
func (m *member) saturated() bool {
	return float64(m.InFlight) >= m.capacity
}

// relative returns the load of m for its capacity with rate added, as a multiple of the mean.
func (t *table) relative(m *member, rate float64) float64 {
	if t.mean == 0 {
		return 0
	}
	return (m.load + rate) / m.capacity / t.mean
}

// put plans a change of owner.
func (t *table) put(s *slot, to *member, reason Reason, gain float64) {
	s.move = &Move{Slot: s.ID, From: s.Owner, To: to.Name, Reason: reason, Gain: gain}
	if s.owner != nil {
		s.owner.drop(s)
	}
	s.former, s.owner = s.owner, to
	to.take(s)
}

// moves returns the planned moves in the order of the slots.
func (t *table) moves() []Move {
	var moves []Move
	for _, s := range t.slots {
		if s.move != nil {
			moves = append(moves, *s.move)
		}
	}
	return moves
}
