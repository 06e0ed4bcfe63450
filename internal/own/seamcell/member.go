package seamcell

import (
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

const (
	// listLimit is the largest number of slots in one list of a renewal.
	listLimit = 32
	// reportLimit is the largest number of slots in one report.
	reportLimit = 24
	// joinAttempts is the number of renewals after which a request for admission has failed.
	joinAttempts = 3
	// patience is the number of unanswered renewals after which the backup is asked too.
	patience = 2
	// leaveAttempts is the number of leaveNotices that a leaving member sends.
	leaveAttempts = 5
	// sentLife is the number of heartbeats for which the sending of a renewal is remembered.
	sentLife = 20
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
	old   *table
	oldID uint32

	lease     seamclock.Instant
	leaseTerm uint64
	lapsed    bool
	pending   []pendingLease

	sequence   uint64
	sent       map[uint64]seamclock.Instant
	renewed    seamclock.Instant
	answered   seamclock.Instant
	unanswered int
	known      uint32
	// reported is when the report to the coordinator of the term was sent last.
	reported     seamclock.Instant
	loaded       seamclock.Instant
	fetched      seamclock.Instant
	leaveNotices int
	// done is when a planned stop had moved everything away.
	done seamclock.Instant

	serving map[seamslot.ID]*serving
	// ending are the slots that an earlier target may still serve.
	ending map[seamslot.ID]ending
	// released are the tokens of slots handed over and not yet seen to have changed.
	released map[seamslot.ID]uint64
	// kept are the tokens of released slots whose state could not be handed over.
	kept map[seamslot.ID]uint64
	// past are the tokens under which slots were served last.
	past map[seamslot.ID]uint64
	// had is since when the slots of past were served here.
	had   map[seamslot.ID]seamclock.Instant
	loads []uint32
}

func newMember(now seamclock.Instant, cell string, coordinator, backup seampeer.Peer) *member {
	return &member{
		cell: cell, coordinator: coordinator, backup: backup, table: newTable(0), answered: now,
		sent: map[uint64]seamclock.Instant{}, serving: map[seamslot.ID]*serving{},
		ending: map[seamslot.ID]ending{}, released: map[seamslot.ID]uint64{}, kept: map[seamslot.ID]uint64{}, past: map[seamslot.ID]uint64{},
		had: map[seamslot.ID]seamclock.Instant{},
	}
}

// active returns the table under which the lease runs, and the own number in it.
func (m *member) active() (*table, uint32) {
	if m.leaseTerm == m.table.term {
		return m.table, m.id
	}
	return m.old, m.oldID
}

func (c *Cell) tickMember() {
	m := c.member
	if !m.joined && m.unanswered >= joinAttempts {
		c.joinFailed(c.cfg.Heartbeat)
		return
	}
	c.releaseOverdue()
	c.releaseEnded()
	if c.now.Mono-m.renewed.Mono >= c.cfg.Heartbeat || m.renewed.Zero() {
		c.leaveWhenDone()
		if c.member == m {
			c.renew()
		}
	}
	if c.member != m {
		return
	}
	if m.joined && c.now.Mono-m.loaded.Mono >= c.cfg.LoadReportInterval {
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
	silent := m.joined && c.coordination == nil && c.now.Mono-m.answered.Mono >= c.cfg.CoordinatorLease*2
	if silent && c.now.Mono-m.fetched.Mono >= c.cfg.CoordinatorLease {
		m.fetched = c.now
		c.do(Fetch{Kind: FetchDirectory, Revision: c.since()})
	}
}

// orphaned reports whether the cell has been silent for so long that the node looks for another.
// A node that has served slots stays until the record's horizon, for its server has their state.
func (c *Cell) orphaned() bool {
	m := c.member
	if !m.joined || c.coordination != nil || c.now.Mono-m.answered.Mono < c.cfg.OrphanTimeout {
		return false
	}
	e, ok := c.directory.get(CellPrefix + m.cell)
	if !ok {
		return c.directory.loaded
	}
	return len(m.past) == 0 || c.horizonOver(e)
}

// leave forgets the cell.
func (c *Cell) leave() {
	c.stopServing()
	c.member = nil
	c.watch = nil
}

// leaveWhenDone leaves the cell once a planned stop has moved everything away.
func (c *Cell) leaveWhenDone() {
	m := c.member
	if !c.draining || c.coordination != nil || !m.joined || c.ownsAny() {
		return
	}
	if m.done.Zero() {
		m.done = c.now
	}
	if c.watch != nil {
		if seamclock.MaxElapsed(c.now, m.done) >= c.cfg.CoordinatorLease {
			c.resignBackup()
		}
		return
	}
	m.leaveNotices++
	if m.leaveNotices > leaveAttempts {
		c.left()
	}
}

func (c *Cell) left() {
	c.leave()
	if c.draining && c.resignation == nil {
		c.drained = true
	}
}

func (c *Cell) ownsAny() bool {
	t, id := c.member.active()
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
	if m.backup.Same(c.self) && m.joined && (c.watch == nil || c.watch.epoch < m.epoch) {
		c.watchFrom(e.Record.Coordinator, e.Record.Epoch, e.Revision)
	}
}
