package seamcell

import (
	"time"

	"google.golang.org/protobuf/proto"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

// serving is a slot that the local target has been ordered to serve.
type serving struct {
	token          uint64
	standby        seampeer.Peer
	standbyAddress string
	releasing      bool
	since          seamclock.Instant
}

func (c *Cell) stopServing() {
	m := c.member
	for _, id := range sortedSlots(m.serving) {
		c.addAction(StopServing{Slot: id, Epoch: m.serving[id].token})
	}
	m.serving = map[seamslot.ID]*serving{}
	m.lease = seamclock.Instant{}
}

// setTarget sets the state of the local target. Slots of a target that has ended or is
// unresponsive are released.
func (c *Cell) setTarget(t TargetState) {
	before := c.target
	c.target = t
	if !proto.Equal(targetToWire(before), targetToWire(t)) {
		c.targetVersion++
	}
	if c.member == nil || before.Service == "" || before.Name == t.Name && before.Service == t.Service {
		return
	}
	m := c.member
	m.lastServed = map[seamslot.ID]uint64{}
	m.servedSince = map[seamslot.ID]seamclock.Instant{}
	for _, id := range sortedSlots(m.serving) {
		token := m.serving[id].token
		c.addAction(StopServing{Slot: id, Epoch: token})
		m.formerServing[id] = formerServing{token: token, expiresAt: m.lease}
	}
	m.serving = map[seamslot.ID]*serving{}
	if m.joined {
		c.renew()
	}
}

// formerServing is a slot of a target that no longer responds. A target that is only unresponsive
// serves the slot until the end of the last lease that it received.
type formerServing struct {
	token     uint64
	expiresAt seamclock.Instant
}

// releaseFormer releases the slots that no earlier target can serve any more.
func (c *Cell) releaseFormer() {
	m := c.member
	anyReleased := false
	for _, id := range sortedSlots(m.formerServing) {
		e := m.formerServing[id]
		if seamclock.MinElapsed(c.now, e.expiresAt) < 0 {
			continue
		}
		delete(m.formerServing, id)
		m.released[id] = e.token
		anyReleased = true
	}
	if anyReleased && m.joined {
		c.renew()
	}
}

// releaseRetained releases a slot whose state could not be handed over. The member is granted it
// again under a new token, so that acknowledged state is not lost.
func (c *Cell) releaseRetained(id seamslot.ID) {
	if s := c.member.serving[id]; s != nil {
		c.member.kept[id] = s.token
	}
	c.release(id)
}

// release marks a slot as handed over.
func (c *Cell) release(id seamslot.ID) {
	m := c.member
	t, number := m.leaseTable()
	if t == nil {
		return
	}
	e := t.slots[id]
	if e == nil || e.owner != number || e.state != stateReleasing {
		return
	}
	if m.released[id] == e.token {
		return
	}
	delete(m.serving, id)
	m.released[id] = e.token
	c.emit(seamevent.SlotReleased, seamevent.Fields{"slot": id.String(), "epoch": e.token})
	c.renew()
}

// releaseTimedOut releases slots whose handover has taken longer than the longest request deadline
// plus Config.HandoverGrace.
func (c *Cell) releaseTimedOut() {
	m := c.member
	for _, id := range sortedSlots(m.serving) {
		s := m.serving[id]
		if s == nil || !s.releasing || seamclock.MinElapsed(c.now, s.since) < c.deadline(id.Service)+c.cfg.HandoverGrace {
			continue
		}
		c.addAction(StopServing{Slot: id, Epoch: s.token})
		c.releaseRetained(id)
	}
}

// defaultDeadline is the longest request deadline of a service whose rules are unknown.
const defaultDeadline = 2 * time.Second

// deadline returns the longest deadline of a request to the service.
func (c *Cell) deadline(service string) time.Duration {
	if s, ok := c.services[service]; ok && s.MaxDeadline > 0 {
		return s.MaxDeadline
	}
	return defaultDeadline
}

// reconcile starts and stops serving slots at the local target to match the table and the lease.
func (c *Cell) reconcile() {
	m := c.member
	t, number := m.leaseTable()
	live := t != nil && !m.lease.Zero() && !seamclock.Expired(c.now, m.lease)
	c.reportLapse(live)
	for _, id := range sortedSlots(m.serving) {
		if live && t.slots[id] != nil && t.slots[id].owner == number && t.slots[id].token == m.serving[id].token {
			continue
		}
		c.addAction(StopServing{Slot: id, Epoch: m.serving[id].token})
		delete(m.serving, id)
	}
	if t == nil {
		return
	}
	c.forgetReleased(t, number)
	c.forgetReassigned()
	if !live {
		return
	}
	for _, id := range t.ids() {
		e := t.slots[id]
		if e.owner != number || number == 0 || m.released[id] == e.token || m.formerServing[id].token == e.token {
			continue
		}
		c.serve(t, id, e)
	}
}

// reportLapse reports the expiry of a lease under which slots were served.
func (c *Cell) reportLapse(live bool) {
	m := c.member
	lapsed := !live && len(m.serving) > 0
	if lapsed && !m.lapsed {
		c.emit(seamevent.SlotsExpired, seamevent.Fields{"cell": m.cell, "slots": len(m.serving)})
	}
	m.lapsed = !live && (m.lapsed || lapsed)
}

func (c *Cell) forgetReleased(t *table, number uint32) {
	m := c.member
	for _, id := range sortedSlots(m.released) {
		if e := t.slots[id]; e == nil || e.owner != number || e.token != m.released[id] {
			delete(m.released, id)
			delete(m.kept, id)
		}
	}
}

// forgetReassigned forgets slots that have been granted to another member since.
func (c *Cell) forgetReassigned() {
	m := c.member
	for _, id := range sortedSlots(m.lastServed) {
		e := m.table.slots[id]
		if e != nil && (e.state == stateRemoved || e.owner != 0 && e.owner != m.id && e.token > m.lastServed[id]) {
			delete(m.lastServed, id)
			delete(m.servedSince, id)
		}
	}
}

// serve updates the local target to match the entry of a slot that this node owns.
func (c *Cell) serve(t *table, id seamslot.ID, e *slotEntry) {
	m := c.member
	s := m.serving[id]
	if e.state == stateReleasing {
		c.stopGracefully(t, id, e, s)
		return
	}
	if c.target.Service != id.Service {
		m.released[id] = e.token
		return
	}
	standby, target := standbyOf(t, e)
	if s != nil && s.standby.Same(standby) && s.standbyAddress == target {
		return
	}
	if e.token < m.lastServed[id] {
		c.emit(seamevent.InvariantBroken, seamevent.Fields{"what": "epoch fell", "slot": id.String(), "epoch": e.token, "before": m.lastServed[id]})
	}
	if s == nil {
		c.emit(seamevent.SlotGranted, seamevent.Fields{"slot": id.String(), "epoch": e.token, "cell": m.cell})
	}
	m.serving[id] = &serving{token: e.token, standby: standby, standbyAddress: target}
	m.lastServed[id] = e.token
	if m.servedSince[id].Zero() {
		m.servedSince[id] = c.now
	}
	c.addAction(Serve{Slot: id, Epoch: e.token, Standby: standby, StandbyAddress: target})
}

func standbyOf(t *table, e *slotEntry) (seampeer.Peer, string) {
	if r := t.roster[e.standby]; r != nil && e.standby != 0 && !r.removed {
		return r.peer, r.target.Address
	}
	return seampeer.Peer{}, ""
}

func (c *Cell) stopGracefully(t *table, id seamslot.ID, e *slotEntry, s *serving) {
	m := c.member
	if s == nil {
		m.released[id] = e.token
		if m.lastServed[id] != 0 {
			// The lease had expired, so nothing was handed over: the target still has the state.
			m.kept[id] = e.token
		}
		return
	}
	if s.releasing {
		return
	}
	s.releasing = true
	s.since = c.now
	stop := StopServing{Slot: id, Epoch: e.token, Graceful: true}
	if e.externalSuccessor != nil {
		stop.Successor, stop.SuccessorAddress = e.externalSuccessor.peer, e.externalSuccessor.address
	} else if r := t.roster[e.next]; r != nil {
		stop.Successor, stop.SuccessorAddress = r.peer, r.target.Address
	}
	c.addAction(stop)
}
