package seamcell

import (
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

// advanceCoordination settles, frees and assigns slots, and sends the changes.
func (c *Cell) advanceCoordination() {
	r := c.coordination
	if _, ok := c.authority(); !ok {
		return
	}
	if !r.settled {
		c.settle()
	}
	if r.settled {
		c.dropLost()
		c.endWaits()
		c.assignFree()
		c.assignStandbys()
	}
	c.pushAll()
}

// settle turns the reports of an earlier term into the table of this one.
func (c *Cell) settle() {
	r := c.coordination
	if !c.collected() && seamclock.MinElapsed(c.now, r.collect) < 0 {
		c.remind()
		return
	}
	r.settled = true
	for _, id := range sortedSlots(r.beliefs) {
		c.settleSlot(id, r.beliefs[id])
	}
	c.addSlots()
	for _, id := range sortedKeys(r.infos) {
		if m := r.infos[id]; !m.reported {
			c.drop(m)
		}
	}
	r.beliefs = nil
}

// reminder is the time between two requests for the same report, one of which may be lost.
func (c *Cell) reminder() time.Duration { return c.cfg.ReportTimeout / 2 }

// remind asks the members again that have not reported.
func (c *Cell) remind() {
	r := c.coordination
	if c.now.Mono-r.reminded.Mono < c.reminder() {
		return
	}
	r.reminded = c.now
	for _, id := range sortedKeys(r.infos) {
		if m := r.infos[id]; !m.reported {
			c.sendLead(m.peer, id)
		}
	}
}

// collected reports whether all members that may have served have reported.
func (c *Cell) collected() bool {
	if c.coordination.patient {
		return false
	}
	for _, m := range c.coordination.infos {
		if !m.reported {
			return false
		}
	}
	return true
}

func (c *Cell) settleSlot(id seamslot.ID, b belief) {
	r := c.coordination
	e := &slotEntry{token: b.token, previous: b.owner, standby: b.standby, synced: b.synced}
	if r.infos[b.standby] == nil {
		e.standby, e.synced = 0, false
	}
	owner := r.infos[b.owner]
	switch {
	case owner != nil && b.reported:
		// Only after a resignation is the earlier table known to be complete. Otherwise the slot
		// may have had another owner since, under a higher token.
		if !r.acting {
			e.token = r.token()
		}
		e.owner = b.owner
		e.owners = []uint32{b.owner}
		r.since[id] = c.now.Add(-b.age)
	case b.owner != 0:
		r.hints[id] = r.table.peer(b.owner).Name
		if !r.fences(b.owner) {
			r.holds[id] = c.now.Add(c.deadline(id.Service))
		}
		e.previous = b.owner
		if !r.patient { // or else the cell has waited already, or its members have ended
			c.await(id, e, b.owner)
		}
	}
	r.table.slots[id] = e
	r.table.changeSlot(e)
}

// fences reports whether the member's target refuses requests of an earlier epoch.
func (r *coordination) fences(id uint32) bool {
	e := r.table.roster[id]
	return e != nil && e.target.Fence
}

// addSlots makes entries for slots of the cell's ranges that have none.
func (c *Cell) addSlots() {
	r := c.coordination
	for _, x := range r.entry.Record.Ranges {
		for i := x.From; i < x.To; i++ {
			id := seamslot.ID{Service: x.Service, Index: i}
			if e := r.table.slots[id]; e != nil && e.state != stateGone {
				continue
			}
			e := &slotEntry{}
			r.table.slots[id] = e
			r.table.changeSlot(e)
		}
	}
}

// dropForeign marks slots that have left the cell's ranges.
func (c *Cell) dropForeign() {
	r := c.coordination
	for _, id := range r.table.ids() {
		e := r.table.slots[id]
		if e.state == stateGone || r.entry.Record.Contains(id) {
			continue
		}
		if e.owner != 0 {
			c.emit(seamevent.InvariantBroken, seamevent.Fields{"what": "owned slot left the cell", "slot": id.String()})
		}
		e.state, e.owner, e.standby, e.synced, e.next, e.outside = stateGone, 0, 0, false, 0, nil
		r.table.changeSlot(e)
		delete(r.since, id)
		delete(r.loads, id)
		delete(r.ranges.entered, id)
	}
}

// dropLost removes members that are silent and whose leases are over.
func (c *Cell) dropLost() {
	r := c.coordination
	for _, id := range sortedKeys(r.infos) {
		m := r.infos[id]
		if m.peer.Same(c.self) || !c.leaseOver(m) {
			continue
		}
		switch {
		case m.heard.Zero() || m.deaf() || seamclock.MinElapsed(c.now, m.heard) >= c.cfg.MaxLease:
			c.emit(seamevent.CellMemberLost, seamevent.Fields{"cell": r.entry.Record.ID, "member": m.peer.Name, "incarnation": m.peer.Incarnation})
			c.drop(m)
		case c.lags(m) && r.owned(m.id) > 0:
			c.freeAll(m)
		}
	}
}

// leaseOver reports whether no lease of the member can be running, and no request of one
// that its target would not refuse.
func (c *Cell) leaseOver(m *info) bool {
	r := c.coordination
	wait := c.cfg.ClockMargin
	if n := r.table.roster[m.id]; !n.target.Fence && r.owned(m.id) > 0 {
		wait += c.deadline(n.target.Service)
	}
	return m.until.Zero() || seamclock.MinElapsed(c.now, m.until) >= wait
}

func (c *Cell) freeAll(m *info) {
	r := c.coordination
	before := len(r.waits)
	defer func() { c.reportWaits(m.id, before) }()
	for _, id := range r.table.ids() {
		if e := r.table.slots[id]; e.owner == m.id {
			c.free(id, e)
		}
	}
}

// usable reports whether the member can be given slots of the service.
func (c *Cell) usable(m *info, service string) bool {
	e := c.coordination.table.roster[m.id]
	return e.target.Service == service && service != "" && !e.target.Leaving && !c.memberDraining(m) &&
		m.reported && !c.lags(m) && c.hears(m)
}

// candidates returns the members that can be given slots of the service.
func (c *Cell) candidates(service string) []*info {
	r := c.coordination
	var list []*info
	for _, id := range sortedKeys(r.infos) {
		if c.usable(r.infos[id], service) {
			list = append(list, r.infos[id])
		}
	}
	return list
}

// counts returns the number of slots of the service owned by, or moving to, each member.
func (r *coordination) counts(service string) map[uint32]int {
	n := map[uint32]int{}
	for id, e := range r.table.slots {
		if id.Service != service {
			continue
		}
		if e.next != 0 {
			n[e.next]++
		} else if e.owner != 0 {
			n[e.owner]++
		}
	}
	return n
}

// capacity returns the weight of a member in an even spread.
func (r *coordination) capacity(id uint32) int {
	return max(r.table.roster[id].target.Concurrency, 1)
}

// lightest returns the member with the fewest slots for its capacity, or nil.
func (r *coordination) lightest(list []*info, counts map[uint32]int) *info {
	var best *info
	for _, m := range list {
		if best == nil || (counts[m.id]+1)*r.capacity(best.id) < (counts[best.id]+1)*r.capacity(m.id) {
			best = m
		}
	}
	return best
}

// assignFree gives each free slot an owner.
func (c *Cell) assignFree() {
	r := c.coordination
	var counts map[uint32]int
	service := ""
	var list []*info
	for _, id := range r.table.ids() {
		e := r.table.slots[id]
		if e.owner != 0 || e.state != stateOwned || r.ranges.keeps(id) || !c.rested(id) {
			continue
		}
		if id.Service != service {
			service = id.Service
			list = c.candidates(service)
			counts = r.counts(service)
		}
		if m := c.pick(id, e, list, counts); m != nil {
			c.assign(id, e, m)
			counts[m.id]++
		}
	}
}

// rested reports whether no right of an earlier term can be left for the slot.
func (c *Cell) rested(id seamslot.ID) bool {
	r := c.coordination
	if !r.quiet.Zero() && seamclock.MinElapsed(c.now, r.quiet) < 0 {
		return false
	}
	if h, ok := r.holds[id]; ok {
		if seamclock.MinElapsed(c.now, h) < 0 {
			return false
		}
		delete(r.holds, id)
	}
	return true
}

// pick returns the member that gets a free slot: the planned successor, the same run of the
// target, the standby, the member that had the slot, or the one with the fewest.
func (c *Cell) pick(id seamslot.ID, e *slotEntry, list []*info, counts map[uint32]int) *info {
	r := c.coordination
	if m := c.keeper(id, e); m != nil {
		return c.ready(m, id.Service)
	}
	if m := r.infos[e.next]; m != nil && c.usable(m, id.Service) {
		return m
	}
	if m := r.sameRun(e.previous, list); m != nil {
		return m
	}
	if e.next != 0 {
		if m := r.infos[e.previous]; m != nil && c.usable(m, id.Service) {
			return m
		}
	}
	standby := r.infos[e.standby]
	if standby != nil && standby.id != e.previous && e.synced {
		return c.ready(standby, id.Service)
	}
	if m := named(list, r.hints[id]); m != nil {
		return m
	}
	if standby != nil && standby.id != e.previous && c.usable(standby, id.Service) {
		return standby
	}
	return r.lightest(list, counts)
}

// keeper returns the member that released the slot but still has its state, also if it
// is to give its slots away or must be waited for. A lost member is none.
func (c *Cell) keeper(id seamslot.ID, e *slotEntry) *info {
	m := c.coordination.infos[e.previous]
	if m == nil || e.next != e.previous || c.coordination.table.roster[m.id].target.Service != id.Service {
		return nil
	}
	return m
}

// ready returns the member, or nil while it must be waited for.
func (c *Cell) ready(m *info, service string) *info {
	e := c.coordination.table.roster[m.id]
	if e.target.Service != service || !c.hears(m) || c.lags(m) {
		return nil
	}
	return m
}

// sameRun returns the member whose target is the run that a lost member had.
func (r *coordination) sameRun(previous uint32, list []*info) *info {
	lost := r.table.roster[previous]
	if lost == nil || !lost.gone || lost.target.Name == "" {
		return nil
	}
	for _, m := range list {
		if t := r.table.roster[m.id].target; t.Name == lost.target.Name && t.Address == lost.target.Address {
			return m
		}
	}
	return nil
}

func named(list []*info, name string) *info {
	for _, m := range list {
		if name != "" && m.peer.Name == name {
			return m
		}
	}
	return nil
}

func (c *Cell) assign(id seamslot.ID, e *slotEntry, m *info) {
	r := c.coordination
	if e.previous != 0 && e.previous != m.id {
		c.emit(seamevent.SlotMoved, seamevent.Fields{
			"slot": id.String(), "from": r.table.peer(e.previous).Name, "to": m.peer.Name, "planned": e.next != 0,
		})
	}
	token := r.token()
	if token <= e.token {
		c.emit(seamevent.InvariantBroken, seamevent.Fields{"what": "epoch of a slot fell", "slot": id.String(), "epoch": token, "before": e.token})
		return
	}
	e.token = token
	e.owner = m.id
	e.next = 0
	e.state = stateOwned
	if e.standby == m.id {
		e.standby, e.synced = 0, false
	}
	e.synced = false
	if !has(e.owners, m.id) {
		e.owners = append(e.owners, m.id)
	}
	r.table.changeSlot(e)
	r.since[id] = c.now
	delete(r.hints, id)
}

// assignStandbys names a standby for each slot whose target copies to one.
func (c *Cell) assignStandbys() {
	r := c.coordination
	load := map[uint32]int{}
	for _, e := range r.table.slots {
		load[e.standby]++
	}
	service := ""
	var list []*info
	for _, id := range r.table.ids() {
		e := r.table.slots[id]
		if e.owner == 0 || e.state != stateOwned || !r.table.roster[e.owner].target.Standby {
			continue
		}
		if id.Service != service {
			service = id.Service
			list = c.candidates(service)
		}
		m := c.pickStandby(e, list, load)
		if m == nil || m.id == e.standby {
			continue
		}
		load[e.standby]--
		load[m.id]++
		e.standby, e.synced = m.id, false
		r.table.changeSlot(e)
	}
}

// pickStandby returns the standby of a slot: the present one if it will do, or else the one with
// the fewest, in another failure domain if there is one.
func (c *Cell) pickStandby(e *slotEntry, list []*info, load map[uint32]int) *info {
	r := c.coordination
	owner := r.infos[e.owner]
	if owner == nil {
		return nil
	}
	var best *info
	for _, m := range list {
		if m.id == e.owner || !r.table.roster[m.id].target.Standby {
			continue
		}
		if best == nil || c.betterStandby(owner.peer, m, best, load) {
			best = m
		}
	}
	current := r.infos[e.standby]
	if current == nil || best == nil {
		return best
	}
	apart := current.peer.Domain != owner.peer.Domain
	if c.memberDraining(current) || !apart && best.peer.Domain != owner.peer.Domain {
		return best
	}
	return current
}

func (c *Cell) betterStandby(owner seampeer.Peer, m, best *info, load map[uint32]int) bool {
	apart, bestApart := m.peer.Domain != owner.Domain, best.peer.Domain != owner.Domain
	if apart != bestApart {
		return apart
	}
	return load[m.id] < load[best.id]
}
