package seamcell

import (
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

// evacuations is the number of planned moves for each of Config.Moves while members stop.
const evacuations = 4

// plan moves slots away from members that stop, and those that the Placer names.
func (c *Cell) plan() {
	r := c.coordination
	moving := r.moving()
	moving = c.evacuate(moving)
	if moving >= c.cfg.MaxMoves || !c.mayPlan() {
		return
	}
	r.planned = c.now
	for _, m := range c.placer.Plan(c.now, c.placeView(moving)) {
		if moving >= c.cfg.MaxMoves {
			return
		}
		if c.move(m) {
			moving++
		}
	}
}

// mayPlan reports whether the loads are known and the last plan is old enough.
func (c *Cell) mayPlan() bool {
	r := c.coordination
	if !r.measured.Zero() && seamclock.MinElapsed(c.now, r.measured) < 0 {
		return false
	}
	return r.planned.Zero() || c.now.Mono-r.planned.Mono >= c.cfg.PlanInterval
}

func (r *coordination) moving() int {
	n := 0
	for _, e := range r.table.slots {
		if e.state == stateReleasing {
			n++
		}
	}
	return n
}

// evacuate moves slots off members that drain, or whose target has ended.
func (c *Cell) evacuate(moving int) int {
	r := c.coordination
	for _, id := range r.table.ids() {
		e := r.table.slots[id]
		m := r.infos[e.owner]
		if moving >= c.cfg.MaxMoves*evacuations {
			return moving
		}
		if m == nil || e.state != stateOwned || !c.mustGive(m, id.Service) || r.ranges.keeps(id) || c.rests(id) {
			continue
		}
		to := c.successor(id, e)
		if to == nil {
			continue
		}
		c.startMove(e, to.id)
		moving++
	}
	return moving
}

// rests reports whether the slot stays where it is because its hand-over failed lately.
func (c *Cell) rests(id seamslot.ID) bool {
	failed, ok := c.coordination.kept[id]
	if ok && seamclock.MinElapsed(c.now, failed) >= c.cfg.SettleDelay {
		delete(c.coordination.kept, id)
		return false
	}
	return ok
}

// mustGive reports whether the member is to give its slots of the service away.
func (c *Cell) mustGive(m *info, service string) bool {
	t := c.coordination.table.roster[m.id].target
	return c.memberDraining(m) || t.Leaving || t.Service != service
}

// successor returns the member to which a slot is moved, a synced standby by preference.
func (c *Cell) successor(id seamslot.ID, e *slotEntry) *info {
	r := c.coordination
	if m := r.infos[e.standby]; m != nil && e.synced && c.usable(m, id.Service) {
		return m
	}
	var list []*info
	for _, m := range c.candidates(id.Service) {
		if m.id != e.owner {
			list = append(list, m)
		}
	}
	return r.lightest(list, r.counts(id.Service))
}

func (c *Cell) startMove(e *slotEntry, to uint32) {
	e.next = to
	e.state = stateReleasing
	c.coordination.table.changeSlot(e)
}

// move begins a move that the Placer asks for, and reports whether it could.
func (c *Cell) move(m Move) bool {
	r := c.coordination
	e := r.table.slots[m.Slot]
	if e == nil || e.owner == 0 || e.state != stateOwned || r.ranges.keeps(m.Slot) || c.rests(m.Slot) {
		return false
	}
	to := named(c.candidates(m.Slot.Service), m.To)
	if to == nil || to.id == e.owner {
		return false
	}
	c.startMove(e, to.id)
	return true
}

func (c *Cell) placeView(moving int) PlacementView {
	r := c.coordination
	v := PlacementView{ActiveMoves: moving}
	for _, id := range sortedKeys(r.infos) {
		m := r.infos[id]
		e := r.table.roster[id]
		if _, keyed := c.services[e.target.Service]; !keyed || !c.usable(m, e.target.Service) {
			continue
		}
		v.Members = append(v.Members, PlacementMember{
			Name: m.peer.Name, Domain: m.peer.Domain, Region: m.peer.Region,
			Service: e.target.Service, Capacity: r.capacity(id), InFlight: m.inflight, ColdStart: e.target.ColdStart,
		})
	}
	for _, id := range r.table.ids() {
		e := r.table.slots[id]
		if e.owner == 0 || e.state != stateOwned || r.ranges.keeps(id) {
			continue
		}
		v.Slots = append(v.Slots, PlacementSlot{
			Slot: id, Owner: r.table.peer(e.owner).Name, Standby: r.table.peer(e.standby).Name, Synced: e.synced,
			Rate: r.loads[id].Rate, HottestKeyRate: r.loads[id].HottestKeyRate, HeldFor: seamclock.MinElapsed(c.now, r.since[id]),
		})
	}
	return v
}

// EvenPlacer spreads the slots of each service evenly by the capacity of the members.
type EvenPlacer struct{}

// Plan moves slots from the fullest to the emptiest member.
func (EvenPlacer) Plan(_ seamclock.Instant, v PlacementView) []Move {
	var moves []Move
	owned := map[string][]seamslot.ID{}
	for _, s := range v.Slots {
		owned[s.Owner] = append(owned[s.Owner], s.Slot)
	}
	for range v.Slots {
		from, to := extremes(v.Members, owned)
		if from.Name == "" {
			return moves
		}
		list := owned[from.Name]
		id := list[len(list)-1]
		owned[from.Name] = list[:len(list)-1]
		owned[to.Name] = append(owned[to.Name], id)
		moves = append(moves, Move{Slot: id, To: to.Name})
	}
	return moves
}

// extremes returns a pair of members of one service between which a move makes the spread more even.
func extremes(members []PlacementMember, owned map[string][]seamslot.ID) (from, to PlacementMember) {
	gain := 0.0
	for _, a := range members {
		for _, b := range members {
			if a.Service != b.Service || len(owned[a.Name]) == 0 {
				continue
			}
			after := float64(len(owned[b.Name])+1) / float64(b.Capacity)
			g := float64(len(owned[a.Name]))/float64(a.Capacity) - after
			if g > gain {
				gain, from, to = g, a, b
			}
		}
	}
	return from, to
}
