package seamcell

import (
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

const (
	// maxRenewalSlots is the maximum number of slots in one list of a renewal.
	maxRenewalSlots = 32
	// maxReportSlots is the maximum number of slots in one report.
	maxReportSlots = 24
	// joinAttempts is the number of renewals after which a request for admission has failed.
	joinAttempts = 3
	// maxMissedAnswers is the number of unanswered renewals after which the backup is asked too.
	maxMissedAnswers = 2
	// leaveAttempts is the number of leave notices that a leaving member sends.
	leaveAttempts = 5
	// sentRetention is the number of heartbeats for which the send time of a renewal is kept.
	sentRetention = 20
)

// member is the state that every node of a cell has, including its coordinator.
type member struct {
	cell        string
	joined      bool
	coordinator seampeer.Peer
	backup      seampeer.Peer
	epoch       uint32
	id          uint32
	table       *table
	// previousTable and previousID belong to the earlier term while the lease is still of that
	// term.
	previousTable *table
	previousID    uint32

	lease         seamclock.Instant
	leaseTerm     uint64
	lapsed        bool
	pendingLeases []pendingLease

	sequence           uint64
	sentAt             map[uint64]seamclock.Instant
	lastRenewal        seamclock.Instant
	lastAnswer         seamclock.Instant
	unanswered         int
	ackedTargetVersion uint32
	// lastReport is when the report to the coordinator of this term was last sent.
	lastReport     seamclock.Instant
	lastLoadReport seamclock.Instant
	lastFetch      seamclock.Instant
	leaveNotices   int
	// emptySince is when a planned shutdown had moved all slots away.
	emptySince seamclock.Instant

	serving map[seamslot.ID]*serving
	// formerServing holds the slots that an earlier target may still serve.
	formerServing map[seamslot.ID]formerServing
	// released holds the tokens of slots that were handed over and whose table entry has not
	// changed yet.
	released map[seamslot.ID]uint64
	// kept holds the tokens of released slots whose state could not be handed over.
	kept map[seamslot.ID]uint64
	// lastServed holds the tokens under which slots were last served.
	lastServed map[seamslot.ID]uint64
	// servedSince holds the times since which the slots in lastServed were served here.
	servedSince map[seamslot.ID]seamclock.Instant
	loads       []uint32
}

func newMember(now seamclock.Instant, cell string, coordinator, backup seampeer.Peer) *member {
	return &member{
		cell: cell, coordinator: coordinator, backup: backup, table: newTable(0), lastAnswer: now,
		sentAt: map[uint64]seamclock.Instant{}, serving: map[seamslot.ID]*serving{},
		formerServing: map[seamslot.ID]formerServing{}, released: map[seamslot.ID]uint64{}, kept: map[seamslot.ID]uint64{}, lastServed: map[seamslot.ID]uint64{},
		servedSince: map[seamslot.ID]seamclock.Instant{},
	}
}

// leaseTable returns the table to which the lease belongs, and this node's number in it.
func (m *member) leaseTable() (*table, uint32) {
	if m.leaseTerm == m.table.term {
		return m.table, m.id
	}
	return m.previousTable, m.previousID
}

func (c *Cell) tickMember() {
	m := c.member
	if !m.joined && m.unanswered >= joinAttempts {
		c.joinFailed(c.cfg.Heartbeat)
		return
	}
	c.releaseTimedOut()
	c.releaseFormer()
	if c.now.Mono-m.lastRenewal.Mono >= c.cfg.Heartbeat || m.lastRenewal.Zero() {
		c.leaveWhenEmpty()
		if c.member == m {
			c.renew()
		}
	}
	if c.member != m {
		return
	}
	if m.joined && c.now.Mono-m.lastLoadReport.Mono >= c.cfg.LoadReportInterval {
		c.sendLoad()
	}
	if c.orphaned() {
		c.leave()
		return
	}
	c.pollStore()
}

// pollStore requests the records from the store while the coordinator is unresponsive.
func (c *Cell) pollStore() {
	m := c.member
	unresponsive := m.joined && c.coordination == nil && c.now.Mono-m.lastAnswer.Mono >= c.cfg.CoordinatorLease*2
	if unresponsive && c.now.Mono-m.lastFetch.Mono >= c.cfg.CoordinatorLease {
		m.lastFetch = c.now
		c.addAction(Fetch{Kind: FetchDirectory, Revision: c.fetchAfter()})
	}
}

// orphaned reports whether the cell has been unresponsive for so long that the node looks for
// another. A node that has served slots stays until the record expires, because its server has
// their state.
func (c *Cell) orphaned() bool {
	m := c.member
	if !m.joined || c.coordination != nil || c.now.Mono-m.lastAnswer.Mono < c.cfg.OrphanTimeout {
		return false
	}
	e, ok := c.directory.get(CellPrefix + m.cell)
	if !ok {
		return c.directory.loaded
	}
	return len(m.lastServed) == 0 || c.recordExpired(e)
}

// leave stops serving and drops all state of the cell.
func (c *Cell) leave() {
	c.stopServing()
	c.member = nil
	c.backup = nil
}

// leaveWhenEmpty leaves the cell once a planned shutdown has moved all slots away.
func (c *Cell) leaveWhenEmpty() {
	m := c.member
	if !c.draining || c.coordination != nil || !m.joined || c.ownsAny() {
		return
	}
	if m.emptySince.Zero() {
		m.emptySince = c.now
	}
	if c.backup != nil {
		if seamclock.MaxElapsed(c.now, m.emptySince) >= c.cfg.CoordinatorLease {
			c.resignBackup()
		}
		return
	}
	m.leaveNotices++
	if m.leaveNotices > leaveAttempts {
		c.finishLeaving()
	}
}

func (c *Cell) finishLeaving() {
	c.leave()
	if c.draining && c.resignation == nil {
		c.drained = true
	}
}

func (c *Cell) ownsAny() bool {
	t, id := c.member.leaseTable()
	if t == nil {
		return false
	}
	for _, e := range t.slots {
		if e.owner == id {
			return true
		}
	}
	return len(c.member.serving) > 0
}

// memberRecord applies a new revision of the cell's record.
func (c *Cell) memberRecord(e Entry) {
	m := c.member
	if e.Deleted {
		if c.coordination == nil && m.joined {
			c.leave()
		}
		return
	}
	if e.Record.Coordinator.Zero() && len(e.Record.Ranges) == 0 && c.coordination == nil && m.joined {
		c.leave()
		return
	}
	if e.Record.Epoch <= m.epoch || e.Record.Coordinator.Zero() {
		return
	}
	m.epoch = e.Record.Epoch
	m.coordinator = e.Record.Coordinator
	m.backup = e.Record.Backup
	if m.backup.Same(c.self) && m.joined && (c.backup == nil || c.backup.epoch < m.epoch) {
		c.startBackup(e.Record.Coordinator, e.Record.Epoch, e.Revision)
	}
}
