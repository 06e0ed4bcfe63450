package seamcell

import (
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

const (
	// listLimit is the largest number of slots in one list of a renewal.
	maxRenewalSlots = 32
	// reportLimit is the largest number of slots in one report.
	maxReportSlots = 24
	// joinAttempts is the number of renewals after which a request for admission has failed.
	joinAttempts = 3
	// patience is the number of unanswered renewals after which the backup is asked too.
	maxMissedAnswers = 2
	// leaveAttempts is the number of leaveNotices that a leaving member sends.
	leaveAttempts = 5
	// sentLife is the number of heartbeats for which the sending of a renewal is remembered.
	sentRetention = 20
)

// member is the part of every node of a cell, its coordinator included.
type member struct {
	cell        string
	joined      bool
	coordinator seampeer.Peer
	backup      seampeer.Peer
	epoch       uint32
	id          uint32
	table       *table
	// old and oldID are those of the earlier term while the lease is still of that term.
	previousTable *table
	previousID    uint32

	lease         seamclock.Instant
	leaseTerm     uint64
	lapsed        bool
	pendingLeases []pendingLease

	sequence    uint64
	sentAt      map[uint64]seamclock.Instant
	lastRenewal seamclock.Instant
	lastAnswer  seamclock.Instant
	unanswered  int
	known       uint32
	// reported is when the report to the coordinator of the term was sent last.
	lastReport     seamclock.Instant
	lastLoadReport seamclock.Instant
	lastFetch      seamclock.Instant
	leaveNotices   int
	// done is when a planned stop had moved everything away.
	emptySince seamclock.Instant

	serving map[seamslot.ID]*serving
	// ending are the slots that an earlier target may still serve.
	formerServing map[seamslot.ID]formerServing
	// released are the tokens of slots handed over and not yet seen to have changed.
	released map[seamslot.ID]uint64
	// kept are the tokens of released slots whose state could not be handed over.
	kept map[seamslot.ID]uint64
	// past are the tokens under which slots were served last.
	lastServed map[seamslot.ID]uint64
	// had is since when the slots of past were served here.
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

// active returns the table under which the lease runs, and the own number in it.
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

// pollStore asks for the records in the store while the coordinator is silent.
func (c *Cell) pollStore() {
	m := c.member
	silent := m.joined && c.coordination == nil && c.now.Mono-m.lastAnswer.Mono >= c.cfg.CoordinatorLease*2
	if silent && c.now.Mono-m.lastFetch.Mono >= c.cfg.CoordinatorLease {
		m.lastFetch = c.now
		c.do(Fetch{Kind: FetchDirectory, Revision: c.fetchAfter()})
	}
}

// orphaned reports whether the cell has been silent for so long that the node looks for another.
// A node that has served slots stays until the record's horizon, for its server has their state.
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

// leave forgets the cell.
func (c *Cell) leave() {
	c.stopServing()
	c.member = nil
	c.backup = nil
}

// leaveWhenDone leaves the cell once a planned stop has moved everything away.
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

// memberRecord follows a new revision of the cell's record.
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
