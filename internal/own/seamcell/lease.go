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

// pendingLease is a renewal that counts once the table has reached the version need.
type pendingLease struct {
	until seamclock.Instant
	need  uint64
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
		m.coordinator = peerOf(p)
	}
	progress := m.table.apply(a)
	if !m.coordinator.Same(from) {
		m.coordinator = m.table.peer(m.table.number(from))
	}
	if a.GetEpoch() >= m.epoch {
		m.epoch = a.GetEpoch()
		m.backup = m.table.peer(a.GetBackup())
	}
	m.known = max(m.known, a.GetAnnounced())
	if w := c.watch; w != nil && w.resigned && a.GetBackup() != m.id && a.GetEpoch() >= w.epoch {
		c.watch = nil
	}
	c.takeLease(a)
	c.useLeases()
	c.fetchNewer(a)
	if a.GetReport() && (m.reported.Zero() || c.now.Mono-m.reported.Mono >= c.reminder()) {
		c.sendReport()
		c.renew()
		return
	}
	if progress && (m.leaseTerm != m.table.term || c.watch != nil || m.lapsed) {
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

// changeTerm begins with an empty table; the lease of the earlier term runs on.
func (c *Cell) changeTerm(term uint64) {
	m := c.member
	if c.coordination != nil && c.coordination.term < term {
		c.stepDown()
	}
	if m.leaseTerm == m.table.term {
		m.old, m.oldID = m.table, m.id
	}
	m.table = newTable(term)
	m.id = 0
	m.pending = nil
	m.reported = seamclock.Instant{}
	m.known = 0
	m.unanswered = 0
}

func (c *Cell) takeLease(a *seamcellwire.Answer) {
	m := c.member
	sent, ok := m.sent[a.GetSequence()]
	if a.GetSequence() == 0 || !ok {
		return
	}
	m.answered = c.now
	m.unanswered = 0
	m.loads = a.GetLoads()
	if a.GetLife() > 0 {
		life := time.Duration(a.GetLife()) * time.Millisecond
		m.pending = append(m.pending, pendingLease{until: sent.Add(life), need: a.GetNeed()})
	}
}

// useLeases extends the lease by the renewals whose changes of the table have arrived.
func (c *Cell) useLeases() {
	m := c.member
	rest := m.pending[:0]
	for _, p := range m.pending {
		if p.need > m.table.version {
			if !seamclock.Expired(c.now, p.until) {
				rest = append(rest, p)
			}
			continue
		}
		if m.leaseTerm != m.table.term {
			m.leaseTerm = m.table.term
			m.lease = p.until
			m.old = nil
			m.released = map[seamslot.ID]uint64{}
			continue
		}
		m.lease = later(m.lease, p.until)
	}
	m.pending = rest
}

// fetchOverlap is the number of revisions that are asked for again, because two watches may have
// told the coordinator of changes in another order.
const fetchOverlap = 256

// since returns the revision after which records are asked for.
func (c *Cell) since() int64 {
	return max(0, c.directory.revision-fetchOverlap)
}

// fetchNewer asks the coordinator for rules and records that are newer than the own ones.
func (c *Cell) fetchNewer(a *seamcellwire.Answer) {
	m := c.member
	if c.coordination != nil || c.now.Mono-m.fetched.Mono < c.cfg.Heartbeat {
		return
	}
	if a.GetRules() > c.applied {
		m.fetched = c.now
		c.do(Fetch{Kind: FetchRules, From: m.coordinator, Revision: c.applied})
	}
	if a.GetDirectory() > c.directory.revision {
		m.fetched = c.now
		c.do(Fetch{Kind: FetchDirectory, From: m.coordinator, Revision: c.since()})
	}
}

// Held returns the grant of a slot that this node's server may serve now.
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

// Lease returns the end of this node's lease, and whether it is running.
func (c *Cell) Lease(now seamclock.Instant) (seamclock.Instant, bool) {
	m := c.member
	if m == nil || m.lease.Zero() || seamclock.Expired(now, m.lease) {
		return seamclock.Instant{}, false
	}
	return m.lease, true
}
