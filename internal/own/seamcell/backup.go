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
	// leaseStarts holds the times at which the latest heartbeats were answered, by sequence
	// number.
	leaseStarts map[uint64]seamclock.Instant
	// renewalsSeen is when members last sent this node a renewal instead of the coordinator.
	renewalsSeen map[string]seamclock.Instant
	// resigned says that this node has committed never to take over in the epoch.
	resigned bool
}

// heartbeatRetention is the number of heartbeats for which the time of sending or answering is kept.
const heartbeatRetention = 64

// startBackup makes this node the backup of the coordinator in an epoch.
func (c *Cell) startBackup(coordinator seampeer.Peer, epoch uint32, revision int64) {
	w := &backupState{
		cell: c.member.cell, coordinator: coordinator, epoch: epoch, revision: revision, since: c.now,
		leaseStarts: map[uint64]seamclock.Instant{}, renewalsSeen: map[string]seamclock.Instant{},
	}
	if c.backup != nil && c.backup.coordinator.Same(coordinator) {
		w.renewalsSeen = c.backup.renewalsSeen
		w.leaseStarts = c.backup.leaseStarts
	}
	c.backup = w
}

// updateBackup applies a new revision of the record.
func (c *Cell) updateBackup(e Entry) {
	w := c.backup
	switch {
	case e.Deleted:
		c.backup = nil
	case e.Record.Epoch < w.epoch:
	case !e.Record.Backup.Same(c.self):
		c.backup = nil
	case e.Record.Epoch > w.epoch:
		c.startBackup(e.Record.Coordinator, e.Record.Epoch, e.Revision)
	default:
		w.revision = max(w.revision, e.Revision)
	}
}

func (c *Cell) onBeat(x *seamcellwire.Message, b *seamcellwire.Beat) {
	p := c.heartbeatSender(x, b)
	if c.coordination != nil && x.GetCell() == c.coordination.entry.Record.ID {
		if x.GetTerm() < c.coordination.term && !c.coordination.resigned {
			c.requestReport(p, 0)
		}
		return
	}
	if p.Address == "" || b.GetBackup() != c.self.Incarnation || c.member == nil || x.GetCell() != c.member.cell || !c.member.joined {
		return
	}
	if !c.isBackupFor(p, b) {
		return
	}
	w := c.backup
	// The lease cannot be extended while a takeover may be taking effect.
	if w.resigned || c.calls.pending[CellPrefix+w.cell] != nil {
		return
	}
	w.lastHeartbeat = c.now
	w.revision = max(w.revision, b.GetRevision())
	w.leaseStarts[b.GetSequence()] = c.now
	delete(w.leaseStarts, b.GetSequence()-heartbeatRetention)
	c.send(p, &seamcellwire.Message{
		Cell: w.cell, Term: x.GetTerm(),
		Body: &seamcellwire.Message_Promise{Promise: &seamcellwire.Promise{Sequence: b.GetSequence(), Epoch: b.GetEpoch()}},
	})
}

// heartbeatSender returns the coordinator that sent a heartbeat. The coordinator includes its full
// identity until it is answered.
func (c *Cell) heartbeatSender(x *seamcellwire.Message, b *seamcellwire.Beat) seampeer.Peer {
	if b.GetPeer() != nil {
		return peerFromWire(b.GetPeer())
	}
	from := seampeer.Peer{Name: x.GetName(), Incarnation: x.GetIncarnation()}
	if c.backup != nil && c.backup.coordinator.Same(from) {
		return c.backup.coordinator
	}
	return c.sender(x, nil)
}

// isBackupFor reports whether this node is the backup that the heartbeat addresses.
func (c *Cell) isBackupFor(p seampeer.Peer, b *seamcellwire.Beat) bool {
	w := c.backup
	if w != nil && b.GetEpoch() <= w.epoch {
		return b.GetEpoch() == w.epoch && p.Same(w.coordinator)
	}
	if e, ok := c.directory.get(CellPrefix + c.member.cell); ok && e.Record.Epoch > b.GetEpoch() {
		return false
	}
	c.startBackup(p, b.GetEpoch(), b.GetRevision())
	return true
}

func (c *Cell) tickBackup() {
	w := c.backup
	if w.resigned || seamclock.MinElapsed(c.now, w.since) < c.cfg.CoordinatorLease {
		return
	}
	if !w.lastHeartbeat.Zero() && seamclock.MinElapsed(c.now, w.lastHeartbeat) < c.cfg.CoordinatorLease {
		return
	}
	c.takeOver()
}

// takeOver writes the next epoch with this node as the coordinator.
func (c *Cell) takeOver() {
	w := c.backup
	key := CellPrefix + w.cell
	if !c.canCall(key) {
		return
	}
	e, ok := c.directory.get(key)
	if !ok || e.Record.Epoch < w.epoch {
		c.read(key, seamstore.Takeover, func(Outcome, Entry, seamclock.Instant) {})
		return
	}
	r := e.Record
	if !r.Coordinator.Same(w.coordinator) || !r.Backup.Same(c.self) {
		c.backup = nil
		return
	}
	r.Epoch++
	r.Coordinator = c.self
	r.Backup = c.chooseSuccessor(w)
	r.TTLMillis = c.cfg.RecordTTL.Milliseconds()
	r.Renewals++
	c.swap(e.Revision, r, seamstore.Takeover, func(o Outcome, e Entry, first seamclock.Instant) {
		if o == OK {
			c.backup = nil
			c.startCoordination(e, first, w.coordinator, false)
		}
	})
}

// chooseSuccessor returns a member that has sent a renewal recently, preferably in another failure
// domain.
func (c *Cell) chooseSuccessor(w *backupState) seampeer.Peer {
	var best seampeer.Peer
	rank := -1
	t := c.member.table
	for _, id := range sortedKeys(t.roster) {
		r := t.roster[id]
		lastSeen, ok := w.renewalsSeen[r.peer.Name]
		if r.removed || !ok || r.peer.Same(c.self) || r.peer.Same(w.coordinator) {
			continue
		}
		if seamclock.MaxElapsed(c.now, lastSeen) > c.silenceTimeout()+c.cfg.Heartbeat {
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

// silenceTimeout is the time without a message after which a node is considered lost.
func (c *Cell) silenceTimeout() time.Duration {
	return c.cfg.Heartbeat * 5 / 2
}

// resignBackup commits to the coordinator that this node never takes over in the current epoch.
func (c *Cell) resignBackup() {
	w := c.backup
	if c.calls.pending[CellPrefix+w.cell] != nil {
		return
	}
	w.resigned = true
	c.send(w.coordinator, &seamcellwire.Message{
		Cell: w.cell, Term: c.member.table.term,
		Body: &seamcellwire.Message_Resign{Resign: &seamcellwire.Resign{Epoch: w.epoch, Backup: true}},
	})
}

func (c *Cell) onResign(x *seamcellwire.Message, s *seamcellwire.Resign) {
	from := seampeer.Peer{Name: x.GetName(), Incarnation: x.GetIncarnation()}
	if s.GetBackup() {
		c.onBackupResigned(from, x, s)
		return
	}
	w := c.backup
	if c.coordination != nil && c.coordination.entry.Record.ID == x.GetCell() {
		c.requestReportFrom(from)
		return
	}
	if w == nil || w.cell != x.GetCell() || w.epoch != s.GetEpoch() || !w.coordinator.Same(from) {
		return
	}
	if c.calls.pending[CellPrefix+w.cell] != nil {
		return
	}
	answeredAt, ok := w.leaseStarts[s.GetSequence()]
	if !ok {
		return
	}
	e := Entry{Key: CellPrefix + w.cell, Revision: s.GetRevision()}
	if json.Unmarshal(s.GetRecord(), &e.Record) != nil || e.Record.Epoch != w.epoch {
		return
	}
	c.observe(e)
	c.backup = nil
	c.startCoordination(e, answeredAt, from, true)
	c.coordination.recordExpiresAt = answeredAt.Add(time.Duration(s.GetLeft()) * time.Millisecond)
}
