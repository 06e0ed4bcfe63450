package seamcell

import (
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamcellwire"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamgrant"
	"cardamomseam/internal/own/seamslot"
)

// pendingLease is a lease extension that takes effect once the table has reached the version need.
type pendingLease struct {
	expiresAt seamclock.Instant
	need      uint64
}

func (c *Cell) onAnswer(x *seamcellwire.Message, a *seamcellwire.Answer) {
	m := c.member
	if m == nil || (x.GetCell() != m.cell && (m.joined || m.cell != "")) || x.GetTerm() < m.table.term {
		return
	}
	from := seampeer.Peer{Name: x.GetName(), Incarnation: x.GetIncarnation()}
	if !m.joined {
		if a.GetId() == 0 {
			return
		}
		c.admitted(x.GetCell())
	}
	if x.GetTerm() > m.table.term {
		c.changeTerm(x.GetTerm())
	}
	if a.GetId() != 0 {
		m.id = a.GetId()
	}
	if p := a.GetPeer(); p != nil {
		m.coordinator = peerFromWire(p)
	}
	progress := m.table.apply(a)
	if !m.coordinator.Same(from) {
		m.coordinator = m.table.peer(m.table.number(from))
	}
	if a.GetEpoch() >= m.epoch {
		m.epoch = a.GetEpoch()
		m.backup = m.table.peer(a.GetBackup())
	}
	m.ackedTargetVersion = max(m.ackedTargetVersion, a.GetAnnounced())
	if w := c.backup; w != nil && w.resigned && a.GetBackup() != m.id && a.GetEpoch() >= w.epoch {
		c.backup = nil
	}
	c.recordLease(a)
	c.applyLeases()
	c.fetchNewer(a)
	if a.GetReport() && (m.lastReport.Zero() || c.now.Mono-m.lastReport.Mono >= c.reportRequestInterval()) {
		c.sendReport()
		c.renew()
		return
	}
	if progress && (m.leaseTerm != m.table.term || c.backup != nil || m.lapsed) {
		c.renew()
	}
}

func (c *Cell) admitted(cell string) {
	m := c.member
	m.joined = true
	m.cell = cell
	c.joining.since = seamclock.Instant{}
	c.emit(seamevent.CellMemberJoined, seamevent.Fields{"cell": cell})
}

// changeTerm starts a new term with an empty table. The lease of the earlier term stays valid.
func (c *Cell) changeTerm(term uint64) {
	m := c.member
	if c.coordination != nil && c.coordination.term < term {
		c.stepDown()
	}
	if m.leaseTerm == m.table.term {
		m.previousTable, m.previousID = m.table, m.id
	}
	m.table = newTable(term)
	m.id = 0
	m.pendingLeases = nil
	m.lastReport = seamclock.Instant{}
	m.ackedTargetVersion = 0
	m.unanswered = 0
}

func (c *Cell) recordLease(a *seamcellwire.Answer) {
	m := c.member
	sent, ok := m.sentAt[a.GetSequence()]
	if a.GetSequence() == 0 || !ok {
		return
	}
	m.lastAnswer = c.now
	m.unanswered = 0
	m.loads = a.GetLoads()
	if a.GetLife() > 0 {
		lease := time.Duration(a.GetLife()) * time.Millisecond
		m.pendingLeases = append(m.pendingLeases, pendingLease{expiresAt: sent.Add(lease), need: a.GetNeed()})
	}
}

// applyLeases extends the lease by the pending extensions whose table changes have arrived.
func (c *Cell) applyLeases() {
	m := c.member
	rest := m.pendingLeases[:0]
	for _, p := range m.pendingLeases {
		if p.need > m.table.version {
			if !seamclock.Expired(c.now, p.expiresAt) {
				rest = append(rest, p)
			}
			continue
		}
		if m.leaseTerm != m.table.term {
			m.leaseTerm = m.table.term
			m.lease = p.expiresAt
			m.previousTable = nil
			m.released = map[seamslot.ID]uint64{}
			continue
		}
		m.lease = later(m.lease, p.expiresAt)
	}
	m.pendingLeases = rest
}

// fetchOverlap is the number of revisions that are requested again, because two watches may have
// delivered changes to the coordinator in different orders.
const fetchOverlap = 256

// fetchAfter returns the revision after which records are requested.
func (c *Cell) fetchAfter() int64 {
	return max(0, c.directory.revision-fetchOverlap)
}

// fetchNewer requests rules and records from the coordinator if it has newer ones.
func (c *Cell) fetchNewer(a *seamcellwire.Answer) {
	m := c.member
	if c.coordination != nil || c.now.Mono-m.lastFetch.Mono < c.cfg.Heartbeat {
		return
	}
	if a.GetRules() > c.appliedRules {
		m.lastFetch = c.now
		c.addAction(Fetch{Kind: FetchRules, From: m.coordinator, Revision: c.appliedRules})
	}
	if a.GetDirectory() > c.directory.revision {
		m.lastFetch = c.now
		c.addAction(Fetch{Kind: FetchDirectory, From: m.coordinator, Revision: c.fetchAfter()})
	}
}

// Grant returns the grant of a slot if this node's server may serve it now.
func (c *Cell) Grant(now seamclock.Instant, id seamslot.ID) (seamgrant.Grant, bool) {
	m := c.member
	if m == nil || m.lease.Zero() || seamclock.Expired(now, m.lease) {
		return seamgrant.Grant{}, false
	}
	s := m.serving[id]
	if s == nil || s.releasing {
		return seamgrant.Grant{}, false
	}
	return seamgrant.Grant{Slot: id, Epoch: s.token, ExpiresAt: m.lease}, true
}

// Lease returns the end of this node's lease, and whether the lease is valid.
func (c *Cell) Lease(now seamclock.Instant) (seamclock.Instant, bool) {
	m := c.member
	if m == nil || m.lease.Zero() || seamclock.Expired(now, m.lease) {
		return seamclock.Instant{}, false
	}
	return m.lease, true
}
