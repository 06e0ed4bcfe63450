package seamcell

import (
	"encoding/json"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamcellwire"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/platform/seamstore"
)

// backupState is the state of a cell's backup.
type backupState struct {
	cell        string
	coordinator seampeer.Peer
	epoch       uint32
	revision    int64
	// since is when this node learned of its appointment in the epoch.
	since seamclock.Instant
	// lastHeartbeat is when the last heartbeat arrived.
	lastHeartbeat seamclock.Instant
	// answeredAt holds the times at which this node answered the latest heartbeats, by sequence
	// number.
	answeredAt map[uint64]seamclock.Instant
	// lastRenewals holds when nodes last sent a renewal to this node, which is not their
	// coordinator, by name.
	lastRenewals map[string]seamclock.Instant
	// resigned says that this node has committed never to take over in the epoch.
	resigned bool
}

// heartbeatRetention is the number of latest heartbeats for which the coordinator keeps the send time
// and the backup the time of its answer.
const heartbeatRetention = 64

// startBackup makes this node the backup of the coordinator in an epoch.
func (c *Cell) startBackup(coordinator seampeer.Peer, epoch uint32, revision int64) {
	b := &backupState{
		cell: c.member.cell, coordinator: coordinator, epoch: epoch, revision: revision, since: c.now,
		answeredAt: map[uint64]seamclock.Instant{}, lastRenewals: map[string]seamclock.Instant{},
	}
	if c.backup != nil && c.backup.coordinator.Same(coordinator) {
		b.lastRenewals = c.backup.lastRenewals
		b.answeredAt = c.backup.answeredAt
	}
	c.backup = b
}

// updateBackup applies a new revision of the record to the state of the backup.
func (c *Cell) updateBackup(e Entry) {
	b := c.backup
	switch {
	case e.Deleted:
		c.backup = nil
	case e.Record.Epoch < b.epoch:
	case !e.Record.Backup.Same(c.self):
		c.backup = nil
	case e.Record.Epoch > b.epoch:
		c.startBackup(e.Record.Coordinator, e.Record.Epoch, e.Revision)
	default:
		b.revision = max(b.revision, e.Revision)
	}
}

func (c *Cell) onBeat(x *seamcellwire.Message, beat *seamcellwire.Beat) {
	p := c.heartbeatSender(x, beat)
	if c.coordination != nil && x.GetCell() == c.coordination.entry.Record.ID {
		if x.GetTerm() < c.coordination.term && !c.coordination.resigned {
			c.requestReport(p, 0)
		}
		return
	}
	if p.Address == "" || beat.GetBackup() != c.self.Incarnation || c.member == nil || x.GetCell() != c.member.cell || !c.member.joined {
		return
	}
	if !c.isBackupFor(p, beat) {
		return
	}
	b := c.backup
	// The lease cannot be extended while a takeover may be taking effect.
	if b.resigned || c.calls.pending[CellPrefix+b.cell] != nil {
		return
	}
	b.lastHeartbeat = c.now
	b.revision = max(b.revision, beat.GetRevision())
	b.answeredAt[beat.GetSequence()] = c.now
	delete(b.answeredAt, beat.GetSequence()-heartbeatRetention)
	c.send(p, &seamcellwire.Message{
		Cell: b.cell, Term: x.GetTerm(),
		Body: &seamcellwire.Message_Promise{Promise: &seamcellwire.Promise{Sequence: beat.GetSequence(), Epoch: beat.GetEpoch()}},
	})
}

// heartbeatSender returns the coordinator that sent a heartbeat. The coordinator includes its full
// identity until the backup answers.
func (c *Cell) heartbeatSender(x *seamcellwire.Message, beat *seamcellwire.Beat) seampeer.Peer {
	if beat.GetPeer() != nil {
		return peerFromWire(beat.GetPeer())
	}
	from := seampeer.Peer{Name: x.GetName(), Incarnation: x.GetIncarnation()}
	if c.backup != nil && c.backup.coordinator.Same(from) {
		return c.backup.coordinator
	}
	return c.sender(x, nil)
}

// isBackupFor reports whether this node is the backup that the heartbeat addresses.
func (c *Cell) isBackupFor(p seampeer.Peer, beat *seamcellwire.Beat) bool {
	b := c.backup
	if b != nil && beat.GetEpoch() <= b.epoch {
		return beat.GetEpoch() == b.epoch && p.Same(b.coordinator)
	}
	if e, ok := c.directory.get(CellPrefix + c.member.cell); ok && e.Record.Epoch > beat.GetEpoch() {
		return false
	}
	c.startBackup(p, beat.GetEpoch(), beat.GetRevision())
	return true
}

// tickBackup takes over from a coordinator whose heartbeats have not arrived for a coordinator lease.
func (c *Cell) tickBackup() {
	b := c.backup
	if b.resigned || seamclock.MinElapsed(c.now, b.since) < c.cfg.CoordinatorLease {
		return
	}
	if !b.lastHeartbeat.Zero() && seamclock.MinElapsed(c.now, b.lastHeartbeat) < c.cfg.CoordinatorLease {
		return
	}
	c.takeOver()
}

// takeOver writes the next epoch with this node as the coordinator.
func (c *Cell) takeOver() {
	b := c.backup
	key := CellPrefix + b.cell
	if !c.canCall(key) {
		return
	}
	e, ok := c.directory.get(key)
	if !ok || e.Record.Epoch < b.epoch {
		c.read(key, seamstore.Takeover, func(Outcome, Entry, seamclock.Instant) {})
		return
	}
	r := e.Record
	if !r.Coordinator.Same(b.coordinator) || !r.Backup.Same(c.self) {
		c.backup = nil
		return
	}
	r.Epoch++
	r.Coordinator = c.self
	r.Backup = c.chooseNextBackup(b)
	r.TTLMillis = c.cfg.RecordTTL.Milliseconds()
	r.Renewals++
	c.swap(e.Revision, r, seamstore.Takeover, func(o Outcome, e Entry, first seamclock.Instant) {
		if o == OK {
			c.backup = nil
			c.startCoordination(e, first, b.coordinator, false)
		}
	})
}

// chooseNextBackup returns the backup for the epoch in which this node takes over, or a zero peer: a
// member that has recently sent this node a renewal, preferably in another failure domain and not
// draining.
func (c *Cell) chooseNextBackup(b *backupState) seampeer.Peer {
	var best seampeer.Peer
	rank := -1
	t := c.member.table
	for _, id := range sortedKeys(t.roster) {
		r := t.roster[id]
		lastSeen, ok := b.lastRenewals[r.peer.Name]
		if r.removed || !ok || r.peer.Same(c.self) || r.peer.Same(b.coordinator) {
			continue
		}
		if seamclock.MaxElapsed(c.now, lastSeen) > c.unresponsiveTimeout()+c.cfg.Heartbeat {
			continue
		}
		n := 0
		if r.peer.Domain != c.self.Domain {
			n += 2
		}
		if !r.draining {
			n++
		}
		if n > rank {
			best, rank = r.peer, n
		}
	}
	return best
}

// unresponsiveTimeout is the time without a message after which a node is considered unresponsive.
func (c *Cell) unresponsiveTimeout() time.Duration {
	return c.cfg.Heartbeat * 5 / 2
}

// resignBackup commits to the coordinator that this node never takes over in the current epoch.
func (c *Cell) resignBackup() {
	b := c.backup
	if c.calls.pending[CellPrefix+b.cell] != nil {
		return
	}
	b.resigned = true
	c.send(b.coordinator, &seamcellwire.Message{
		Cell: b.cell, Term: c.member.table.term,
		Body: &seamcellwire.Message_Resign{Resign: &seamcellwire.Resign{Epoch: b.epoch, Backup: true}},
	})
}

func (c *Cell) onResign(x *seamcellwire.Message, s *seamcellwire.Resign) {
	from := seampeer.Peer{Name: x.GetName(), Incarnation: x.GetIncarnation()}
	if s.GetBackup() {
		c.onBackupResigned(from, x, s)
		return
	}
	b := c.backup
	if c.coordination != nil && c.coordination.entry.Record.ID == x.GetCell() {
		c.requestReportFrom(from)
		return
	}
	if b == nil || b.cell != x.GetCell() || b.epoch != s.GetEpoch() || !b.coordinator.Same(from) {
		return
	}
	if c.calls.pending[CellPrefix+b.cell] != nil {
		return
	}
	answeredAt, ok := b.answeredAt[s.GetSequence()]
	if !ok {
		return
	}
	e := Entry{Key: CellPrefix + b.cell, Revision: s.GetRevision()}
	if json.Unmarshal(s.GetRecord(), &e.Record) != nil || e.Record.Epoch != b.epoch {
		return
	}
	c.observe(e)
	c.backup = nil
	c.startCoordination(e, answeredAt, from, true)
	c.coordination.recordExpiresAt = answeredAt.Add(time.Duration(s.GetLeft()) * time.Millisecond)
}
