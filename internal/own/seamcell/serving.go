package seamcell

import (
	"time"

	"google.golang.org/protobuf/proto"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

// serving is a slot that the own target was told to serve.
type serving struct {
	token     uint64
	standby   seampeer.Peer
	target    string
	releasing bool
	since     seamclock.Instant
}

func (c *Cell) stopServing() {
	m := c.member
	for _, id := range sortedSlots(m.serving) {
		c.do(StopServing{Slot: id, Epoch: m.serving[id].token})
	}
	m.serving = map[seamslot.ID]*serving{}
	m.lease = seamclock.Instant{}
}

// setTarget takes the state of the own target. Slots of a target that has ended or is silent
// are given up.
func (c *Cell) setTarget(t TargetState) {
	before := c.target
	c.target = t
	if !proto.Equal(targetWire(before), targetWire(t)) {
		c.announced++
	}
	if c.member == nil || before.Service == "" || before.Name == t.Name && before.Service == t.Service {
		return
	}
	m := c.member
	m.past = map[seamslot.ID]uint64{}
	m.had = map[seamslot.ID]seamclock.Instant{}
	for _, id := range sortedSlots(m.serving) {
		token := m.serving[id].token
		c.do(StopServing{Slot: id, Epoch: token})
		m.ending[id] = ending{token: token, until: m.lease}
	}
	m.serving = map[seamslot.ID]*serving{}
	if m.joined {
		c.renew()
	}
}

// ending is a slot of a target that does not answer any more. A target that is only silent
// serves it until the end of the lease that it was told last.
type ending struct {
	token uint64
	until seamclock.Instant
}

// releaseEnded releases the slots that no earlier target can serve any more.
func (c *Cell) releaseEnded() {
	m := c.member
	over := false
	for _, id := range sortedSlots(m.ending) {
		e := m.ending[id]
		if seamclock.MinElapsed(c.now, e.until) < 0 {
			continue
		}
		delete(m.ending, id)
		m.released[id] = e.token
		over = true
	}
	if over && m.joined {
		c.renew()
	}
}

// releaseKept releases a slot whose state could not be handed over. The member gets it
// back under a new token, so that acknowledged state is not left behind.
func (c *Cell) releaseKept(id seamslot.ID) {
	if s := c.member.serving[id]; s != nil {
		c.member.kept[id] = s.token
	}
	c.release(id)
}

// release marks a slot as handed over.
func (c *Cell) release(id seamslot.ID) {
	m := c.member
	t, number := m.active()
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

// releaseOverdue releases slots whose hand-over has taken longer than any request may.
func (c *Cell) releaseOverdue() {
	m := c.member
	for _, id := range sortedSlots(m.serving) {
		s := m.serving[id]
		if s == nil || !s.releasing || seamclock.MinElapsed(c.now, s.since) < c.deadline(id.Service)+c.cfg.HandoverGrace {
			continue
		}
		c.do(StopServing{Slot: id, Epoch: s.token})
		c.releaseKept(id)
	}
}

// defaultDeadline is the longest deadline of a service whose rules are not known.
const defaultDeadline = 2 * time.Second

// deadline returns the longest deadline of a request to the service.
func (c *Cell) deadline(service string) time.Duration {
	if s, ok := c.services[service]; ok && s.MaxDeadline > 0 {
		return s.MaxDeadline
	}
	return defaultDeadline
}

// reconcile tells the own target what it may serve.
func (c *Cell) reconcile() {
	m := c.member
	t, number := m.active()
	live := t != nil && !m.lease.Zero() && !seamclock.Expired(c.now, m.lease)
	c.noteLapse(live)
	for _, id := range sortedSlots(m.serving) {
		if live && t.slots[id] != nil && t.slots[id].owner == number && t.slots[id].token == m.serving[id].token {
			continue
		}
		c.do(StopServing{Slot: id, Epoch: m.serving[id].token})
		delete(m.serving, id)
	}
	if t == nil {
		return
	}
	c.forgetReleased(t, number)
	c.forgetPast()
	if !live {
		return
	}
	for _, id := range t.ids() {
		e := t.slots[id]
		if e.owner != number || number == 0 || m.released[id] == e.token || m.ending[id].token == e.token {
			continue
		}
		c.serve(t, id, e)
	}
}

// noteLapse reports the end of a lease that had been running.
func (c *Cell) noteLapse(live bool) {
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

// forgetPast forgets slots that another member has been granted since.
func (c *Cell) forgetPast() {
	m := c.member
	for _, id := range sortedSlots(m.past) {
		e := m.table.slots[id]
		if e != nil && (e.state == stateGone || e.owner != 0 && e.owner != m.id && e.token > m.past[id]) {
			delete(m.past, id)
			delete(m.had, id)
		}
	}
}

// serve brings the own target in line with the entry of a slot that this node owns.
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
	if s != nil && s.standby.Same(standby) && s.target == target {
		return
	}
	if e.token < m.past[id] {
		c.emit(seamevent.InvariantBroken, seamevent.Fields{"what": "epoch fell", "slot": id.String(), "epoch": e.token, "before": m.past[id]})
	}
	if s == nil {
		c.emit(seamevent.SlotGranted, seamevent.Fields{"slot": id.String(), "epoch": e.token, "cell": m.cell})
	}
	m.serving[id] = &serving{token: e.token, standby: standby, target: target}
	m.past[id] = e.token
	if m.had[id].Zero() {
		m.had[id] = c.now
	}
	c.do(Serve{Slot: id, Epoch: e.token, Standby: standby, StandbyAddress: target})
}

func standbyOf(t *table, e *slotEntry) (seampeer.Peer, string) {
	if r := t.roster[e.standby]; r != nil && e.standby != 0 && !r.gone {
		return r.peer, r.target.Address
	}
	return seampeer.Peer{}, ""
}

func (c *Cell) stopGracefully(t *table, id seamslot.ID, e *slotEntry, s *serving) {
	m := c.member
	if s == nil {
		m.released[id] = e.token
		if m.past[id] != 0 {
			// The lease had lapsed, so that nothing was handed over: the target has the state.
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
	if e.outside != nil {
		stop.Successor, stop.SuccessorAddress = e.outside.peer, e.outside.target
	} else if r := t.roster[e.next]; r != nil {
		stop.Successor, stop.SuccessorAddress = r.peer, r.target.Address
	}
	c.do(stop)
}
