package seamcell

import (
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

// evacuationFactor multiplies Config.MaxMoves while members are draining.
const evacuationFactor = 4

// plan moves slots away from draining members, and those that the Placer selects.
func (c *Cell) plan() {
	r := c.coordination
	moving := r.moving()
	moving = c.evacuate(moving)
	if moving >= c.cfg.MaxMoves || !c.mayPlan() {
		return
	}
	r.lastPlan = c.now
	for _, m := range c.placer.Plan(c.now, c.placeView(moving)) {
		if moving >= c.cfg.MaxMoves {
			return
		}
		if c.move(m) {
			moving++
		}
	}
}

// mayPlan reports whether the loads are known and Config.PlanInterval has passed since the last
// plan.
func (c *Cell) mayPlan() bool {
	r := c.coordination
	if !r.loadsKnownAt.Zero() && seamclock.MinElapsed(c.now, r.loadsKnownAt) < 0 {
		return false
	}
	return r.lastPlan.Zero() || c.now.Mono-r.lastPlan.Mono >= c.cfg.PlanInterval
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

// evacuate moves slots away from draining members and from members whose target is shutting down or
// has ended.
func (c *Cell) evacuate(moving int) int {
	r := c.coordination
	for _, id := range r.table.ids() {
		e := r.table.slots[id]
		m := r.members[e.owner]
		if moving >= c.cfg.MaxMoves*evacuationFactor {
			return moving
		}
		if m == nil || e.state != stateOwned || !c.mustEvacuate(m, id.Service) || r.ranges.isReleasing(id) || c.handoverFailedRecently(id) {
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

// handoverFailedRecently reports whether the slot must stay where it is because its handover failed
// within Config.SettleDelay.
func (c *Cell) handoverFailedRecently(id seamslot.ID) bool {
	failed, ok := c.coordination.failedHandovers[id]
	if ok && seamclock.MinElapsed(c.now, failed) >= c.cfg.SettleDelay {
		delete(c.coordination.failedHandovers, id)
		return false
	}
	return ok
}

// mustEvacuate reports whether the slots of the service must move away from the member.
func (c *Cell) mustEvacuate(m *memberInfo, service string) bool {
	t := c.coordination.table.roster[m.id].target
	return c.memberDraining(m) || t.Leaving || t.Service != service
}

// successor returns the member to which a slot is moved, preferably a synced standby.
func (c *Cell) successor(id seamslot.ID, e *slotEntry) *memberInfo {
	r := c.coordination
	if m := r.members[e.standby]; m != nil && e.synced && c.usable(m, id.Service) {
		return m
	}
	var list []*memberInfo
	for _, m := range c.candidates(id.Service) {
		if m.id != e.owner {
			list = append(list, m)
		}
	}
	return r.leastLoaded(list, r.slotCounts(id.Service))
}

func (c *Cell) startMove(e *slotEntry, to uint32) {
	e.next = to
	e.state = stateReleasing
	c.coordination.table.changeSlot(e)
}

// move starts a move that the Placer requests, and reports whether it was possible.
func (c *Cell) move(m Move) bool {
	r := c.coordination
	e := r.table.slots[m.Slot]
	if e == nil || e.owner == 0 || e.state != stateOwned || r.ranges.isReleasing(m.Slot) || c.handoverFailedRecently(m.Slot) {
		return false
	}
	to := findByName(c.candidates(m.Slot.Service), m.To)
	if to == nil || to.id == e.owner {
		return false
	}
	c.startMove(e, to.id)
	return true
}

func (c *Cell) placeView(moving int) PlacementView {
	r := c.coordination
	v := PlacementView{ActiveMoves: moving}
	for _, id := range sortedKeys(r.members) {
		m := r.members[id]
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
		if e.owner == 0 || e.state != stateOwned || r.ranges.isReleasing(id) {
			continue
		}
		v.Slots = append(v.Slots, PlacementSlot{
			Slot: id, Owner: r.table.peer(e.owner).Name, Standby: r.table.peer(e.standby).Name, Synced: e.synced,
			Rate: r.loads[id].Rate, HottestKeyRate: r.loads[id].HottestKeyRate, HeldFor: seamclock.MinElapsed(c.now, r.ownedSince[id]),
		})
	}
	return v
}

// EvenPlacer distributes the slots of each service evenly by the capacity of the members.
type EvenPlacer struct{}

// Plan moves slots from the most loaded to the least loaded member.
func (EvenPlacer) Plan(_ seamclock.Instant, v PlacementView) []Move {
	var moves []Move
	owned := map[string][]seamslot.ID{}
	for _, s := range v.Slots {
		owned[s.Owner] = append(owned[s.Owner], s.Slot)
	}
	for range v.Slots {
		from, to := bestMove(v.Members, owned)
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

// bestMove returns the two members of one service between which a move improves the balance most.
func bestMove(members []PlacementMember, owned map[string][]seamslot.ID) (from, to PlacementMember) {
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
