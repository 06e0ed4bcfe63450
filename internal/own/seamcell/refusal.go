package seamcell

import (
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamcellwire"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

// onRefuse handles the refusal of a renewal or of a request for admission.
func (c *Cell) onRefuse(message *seamcellwire.Message, refusal *seamcellwire.Refuse) {
	m := c.member
	if m == nil || (message.GetCell() != m.cell && m.cell != "") || c.coordination != nil {
		return
	}
	if _, ok := m.sentAt[refusal.GetSequence()]; !ok {
		return
	}
	from := seampeer.Peer{Name: message.GetName(), Incarnation: message.GetIncarnation()}
	switch refusal.GetCause() {
	case seamcellwire.Refuse_ELSEWHERE:
		c.followRedirect(from, message, refusal)
	case seamcellwire.Refuse_FULL:
		if !m.joined {
			c.joinFailed(c.cfg.SettleDelay)
		}
	case seamcellwire.Refuse_UNKNOWN:
		if m.joined && from.Same(m.coordinator) {
			c.rejoin()
		}
	case seamcellwire.Refuse_MOVE:
		if m.joined && from.Same(m.coordinator) {
			c.leave()
			c.requestAdmission(refusal.GetCell(), peerFromWire(refusal.GetCoordinator()), seampeer.Peer{})
		}
	case seamcellwire.Refuse_LEFT:
		if m.leaveNotices > 0 && from.Same(m.coordinator) {
			c.finishLeaving()
		}
	}
}

// followRedirect makes the coordinator that another node has named the destination of renewals and
// requests for admission.
func (c *Cell) followRedirect(from seampeer.Peer, message *seamcellwire.Message, refusal *seamcellwire.Refuse) {
	m := c.member
	coordinator := peerFromWire(refusal.GetCoordinator())
	if coordinator.Zero() || coordinator.Same(from) || coordinator.Same(c.self) || coordinator.Same(m.coordinator) {
		return
	}
	if m.joined && message.GetTerm() < m.table.term {
		return
	}
	if m.cell == "" {
		c.requestAdmission(message.GetCell(), coordinator, seampeer.Peer{})
		return
	}
	m.coordinator = coordinator
	m.unanswered = 0
}

// rejoin requests admission again, with an empty table. The lease has expired by then.
func (c *Cell) rejoin() {
	m := c.member
	c.stopServing()
	m.joined = false
	m.unanswered = 0
	m.table = newTable(m.table.term)
	m.previousTable = nil
	m.id = 0
	m.pendingLeases = nil
	m.ackedTargetVersion = 0
	m.released = map[seamslot.ID]uint64{}
	m.sentAt = map[uint64]seamclock.Instant{}
	c.renew()
}
