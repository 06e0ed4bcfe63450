package seamcell

import (
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

// advanceCoordination recovers the table if necessary, frees and assigns slots, and sends the
// changes.
func (c *Cell) advanceCoordination() {
	r := c.coordination
	if _, ok := c.authority(); !ok {
		return
	}
	if !r.recovered {
		c.recoverTable()
	}
	if r.recovered {
		c.removeLost()
		c.endWaits()
		c.assignFree()
		c.assignStandbys()
	}
	c.pushAll()
}

// recoverTable builds the table of this term from the members' reports about the previous term.
func (c *Cell) recoverTable() {
	r := c.coordination
	if !c.allReported() && seamclock.MinElapsed(c.now, r.reportDeadline) < 0 {
		c.resendReportRequests()
		return
	}
	r.recovered = true
	for _, id := range sortedSlots(r.inherited) {
		c.recoverSlot(id, r.inherited[id])
	}
	c.addSlots()
	for _, id := range sortedKeys(r.members) {
		if m := r.members[id]; !m.reported {
			c.removeMember(m)
		}
	}
	r.inherited = nil
}

// reportRequestInterval is the time between two requests for the same report. It is shorter than
// the report timeout because a request may be lost.
func (c *Cell) reportRequestInterval() time.Duration { return c.cfg.ReportTimeout / 2 }

// resendReportRequests asks the members again that have not reported.
func (c *Cell) resendReportRequests() {
	r := c.coordination
	if c.now.Mono-r.lastReminder.Mono < c.reportRequestInterval() {
		return
	}
	r.lastReminder = c.now
	for _, id := range sortedKeys(r.members) {
		if m := r.members[id]; !m.reported {
			c.requestReport(m.peer, id)
		}
	}
}

// allReported reports whether all members that may have served slots have reported.
func (c *Cell) allReported() bool {
	if c.coordination.rosterIncomplete {
		return false
	}
	for _, m := range c.coordination.members {
		if !m.reported {
			return false
		}
	}
	return true
}

func (c *Cell) recoverSlot(id seamslot.ID, b inheritedSlot) {
	r := c.coordination
	e := &slotEntry{token: b.token, previous: b.owner, standby: b.standby, synced: b.synced}
	if r.members[b.standby] == nil {
		e.standby, e.synced = 0, false
	}
	owner := r.members[b.owner]
	switch {
	case owner != nil && b.reported:
		// The inherited table is known to be complete only after a resignation. Otherwise the
		// slot may have had another owner since, under a higher token.
		if !r.acting {
			e.token = r.nextToken()
		}
		e.owner = b.owner
		e.owners = []uint32{b.owner}
		r.ownedSince[id] = c.now.Add(-b.age)
	case b.owner != 0:
		r.preferredOwners[id] = r.table.peer(b.owner).Name
		if !r.checksEpochs(b.owner) {
			r.grantableAt[id] = c.now.Add(c.deadline(id.Service))
		}
		e.previous = b.owner
		// After the takeover of an abandoned cell there is no wait: the cell has waited already, or
		// its members have ended.
		if !r.rosterIncomplete {
			c.waitForState(id, e, b.owner)
		}
	}
	r.table.slots[id] = e
	r.table.changeSlot(e)
}

// checksEpochs reports whether the member's target rejects requests of an earlier epoch.
func (r *coordination) checksEpochs(id uint32) bool {
	e := r.table.roster[id]
	return e != nil && e.target.Fence
}

// addSlots creates missing entries for the slots of the cell's ranges.
func (c *Cell) addSlots() {
	r := c.coordination
	for _, x := range r.entry.Record.Ranges {
		for i := x.From; i < x.To; i++ {
			id := seamslot.ID{Service: x.Service, Index: i}
			if e := r.table.slots[id]; e != nil && e.state != stateRemoved {
				continue
			}
			e := &slotEntry{}
			r.table.slots[id] = e
			r.table.changeSlot(e)
		}
	}
}

// removeForeignSlots marks slots that have left the cell's ranges as removed.
func (c *Cell) removeForeignSlots() {
	r := c.coordination
	for _, id := range r.table.ids() {
		e := r.table.slots[id]
		if e.state == stateRemoved || r.entry.Record.Contains(id) {
			continue
		}
		if e.owner != 0 {
			c.emit(seamevent.InvariantBroken, seamevent.Fields{"what": "owned slot left the cell", "slot": id.String()})
		}
		e.state, e.owner, e.standby, e.synced, e.next, e.externalSuccessor = stateRemoved, 0, 0, false, 0, nil
		r.table.changeSlot(e)
		delete(r.ownedSince, id)
		delete(r.loads, id)
		delete(r.ranges.receivedAt, id)
	}
}

// removeLost removes unresponsive members whose leases have expired.
func (c *Cell) removeLost() {
	r := c.coordination
	for _, id := range sortedKeys(r.members) {
		m := r.members[id]
		if m.peer.Same(c.self) || !c.leaseExpired(m) {
			continue
		}
		switch {
		case m.lastRenewal.Zero() || m.missesAnswers() || seamclock.MinElapsed(c.now, m.lastRenewal) >= c.cfg.MaxLease:
			c.emit(seamevent.CellMemberLost, seamevent.Fields{"cell": r.entry.Record.ID, "member": m.peer.Name, "incarnation": m.peer.Incarnation})
			c.removeMember(m)
		case c.lags(m) && r.owned(m.id) > 0:
			c.freeSlotsOf(m)
		}
	}
}

// leaseExpired reports whether the member can neither have a valid lease nor be running a request
// that its target would not reject.
func (c *Cell) leaseExpired(m *memberInfo) bool {
	r := c.coordination
	wait := c.cfg.ClockMargin
	if n := r.table.roster[m.id]; !n.target.Fence && r.owned(m.id) > 0 {
		wait += c.deadline(n.target.Service)
	}
	return m.leaseEnd.Zero() || seamclock.MinElapsed(c.now, m.leaseEnd) >= wait
}

func (c *Cell) freeSlotsOf(m *memberInfo) {
	r := c.coordination
	before := len(r.stateWaits)
	defer func() { c.reportWaits(m.id, before) }()
	for _, id := range r.table.ids() {
		if e := r.table.slots[id]; e.owner == m.id {
			c.freeSlot(id, e)
		}
	}
}

// usable reports whether slots of the service can be assigned to the member.
func (c *Cell) usable(m *memberInfo, service string) bool {
	e := c.coordination.table.roster[m.id]
	return e.target.Service == service && service != "" && !e.target.Leaving && !c.memberDraining(m) &&
		m.reported && !c.lags(m) && c.responsive(m)
}

// candidates returns the members to which slots of the service can be assigned.
func (c *Cell) candidates(service string) []*memberInfo {
	r := c.coordination
	var list []*memberInfo
	for _, id := range sortedKeys(r.members) {
		if c.usable(r.members[id], service) {
			list = append(list, r.members[id])
		}
	}
	return list
}

// slotCounts returns, for each member, the number of slots of the service that it owns or that are
// moving to it.
func (r *coordination) slotCounts(service string) map[uint32]int {
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

// capacity returns the weight of a member for an even distribution.
func (r *coordination) capacity(id uint32) int {
	return max(r.table.roster[id].target.Concurrency, 1)
}

// leastLoaded returns the member with the fewest slots relative to its capacity, or nil.
func (r *coordination) leastLoaded(list []*memberInfo, counts map[uint32]int) *memberInfo {
	var best *memberInfo
	for _, m := range list {
		if best == nil || (counts[m.id]+1)*r.capacity(best.id) < (counts[best.id]+1)*r.capacity(m.id) {
			best = m
		}
	}
	return best
}

// assignFree assigns an owner to each free slot.
func (c *Cell) assignFree() {
	r := c.coordination
	var counts map[uint32]int
	service := ""
	var list []*memberInfo
	for _, id := range r.table.ids() {
		e := r.table.slots[id]
		if e.owner != 0 || e.state != stateOwned || r.ranges.isReleasing(id) || !c.earlierLeasesOver(id) {
			continue
		}
		if id.Service != service {
			service = id.Service
			list = c.candidates(service)
			counts = r.slotCounts(service)
		}
		if m := c.pick(id, e, list, counts); m != nil {
			c.assign(id, e, m)
			counts[m.id]++
		}
	}
}

// earlierLeasesOver reports whether no lease of an earlier term can still cover the slot.
func (c *Cell) earlierLeasesOver(id seamslot.ID) bool {
	r := c.coordination
	if !r.earlierLeasesEnd.Zero() && seamclock.MinElapsed(c.now, r.earlierLeasesEnd) < 0 {
		return false
	}
	if h, ok := r.grantableAt[id]; ok {
		if seamclock.MinElapsed(c.now, h) < 0 {
			return false
		}
		delete(r.grantableAt, id)
	}
	return true
}

// pick returns the member to which a free slot is assigned. In order of preference: the planned
// successor, the same incarnation of the target, the standby, the previous owner, and the member
// with the fewest slots.
func (c *Cell) pick(id seamslot.ID, e *slotEntry, list []*memberInfo, counts map[uint32]int) *memberInfo {
	r := c.coordination
	if m := c.stateHolder(id, e); m != nil {
		return c.ready(m, id.Service)
	}
	if m := r.members[e.next]; m != nil && c.usable(m, id.Service) {
		return m
	}
	if m := r.sameIncarnation(e.previous, list); m != nil {
		return m
	}
	if e.next != 0 {
		if m := r.members[e.previous]; m != nil && c.usable(m, id.Service) {
			return m
		}
	}
	standby := r.members[e.standby]
	if standby != nil && standby.id != e.previous && e.synced {
		return c.ready(standby, id.Service)
	}
	if m := findByName(list, r.preferredOwners[id]); m != nil {
		return m
	}
	if standby != nil && standby.id != e.previous && c.usable(standby, id.Service) {
		return standby
	}
	return r.leastLoaded(list, counts)
}

// stateHolder returns the member that released the slot but still has its state, even if the member
// is draining or not ready yet. It returns nil if the member was lost.
func (c *Cell) stateHolder(id seamslot.ID, e *slotEntry) *memberInfo {
	m := c.coordination.members[e.previous]
	if m == nil || e.next != e.previous || c.coordination.table.roster[m.id].target.Service != id.Service {
		return nil
	}
	return m
}

// ready returns the member, or nil if it cannot be granted slots yet.
func (c *Cell) ready(m *memberInfo, service string) *memberInfo {
	e := c.coordination.table.roster[m.id]
	if e.target.Service != service || !c.responsive(m) || c.lags(m) {
		return nil
	}
	return m
}

// sameIncarnation returns the member whose target is the same incarnation as the target of a lost
// member.
func (r *coordination) sameIncarnation(previous uint32, list []*memberInfo) *memberInfo {
	lost := r.table.roster[previous]
	if lost == nil || !lost.removed || lost.target.Name == "" {
		return nil
	}
	for _, m := range list {
		if t := r.table.roster[m.id].target; t.Name == lost.target.Name && t.Address == lost.target.Address {
			return m
		}
	}
	return nil
}

func findByName(list []*memberInfo, name string) *memberInfo {
	for _, m := range list {
		if name != "" && m.peer.Name == name {
			return m
		}
	}
	return nil
}

func (c *Cell) assign(id seamslot.ID, e *slotEntry, m *memberInfo) {
	r := c.coordination
	if e.previous != 0 && e.previous != m.id {
		c.emit(seamevent.SlotMoved, seamevent.Fields{
			"slot": id.String(), "from": r.table.peer(e.previous).Name, "to": m.peer.Name, "planned": e.next != 0,
		})
	}
	token := r.nextToken()
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
	if !containsID(e.owners, m.id) {
		e.owners = append(e.owners, m.id)
	}
	r.table.changeSlot(e)
	r.ownedSince[id] = c.now
	delete(r.preferredOwners, id)
}

// assignStandbys chooses a standby for each slot whose target replicates to one.
func (c *Cell) assignStandbys() {
	r := c.coordination
	load := map[uint32]int{}
	for _, e := range r.table.slots {
		load[e.standby]++
	}
	service := ""
	var list []*memberInfo
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

// pickStandby returns the standby for a slot: the current one if it is suitable, otherwise the
// member with the fewest standby slots, preferably in another failure domain.
func (c *Cell) pickStandby(e *slotEntry, list []*memberInfo, load map[uint32]int) *memberInfo {
	r := c.coordination
	owner := r.members[e.owner]
	if owner == nil {
		return nil
	}
	var best *memberInfo
	for _, m := range list {
		if m.id == e.owner || !r.table.roster[m.id].target.Standby {
			continue
		}
		if best == nil || c.betterStandby(owner.peer, m, best, load) {
			best = m
		}
	}
	current := r.members[e.standby]
	if current == nil || best == nil {
		return best
	}
	otherDomain := current.peer.Domain != owner.peer.Domain
	if c.memberDraining(current) || !otherDomain && best.peer.Domain != owner.peer.Domain {
		return best
	}
	return current
}

func (c *Cell) betterStandby(owner seampeer.Peer, m, best *memberInfo, load map[uint32]int) bool {
	otherDomain, bestOtherDomain := m.peer.Domain != owner.Domain, best.peer.Domain != owner.Domain
	if otherDomain != bestOtherDomain {
		return otherDomain
	}
	return load[m.id] < load[best.id]
}
