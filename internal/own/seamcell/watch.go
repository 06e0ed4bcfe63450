package seamcell

import (
	"encoding/json"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamcellwire"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/platform/seamstore"
)

// watch is the part of the backup of a cell.
type watch struct {
	cell        string
	coordinator seampeer.Peer
	epoch       uint32
	revision    int64
	// since is when this node learned of its appointment in the epoch.
	since seamclock.Instant
	// beat is when the last beat arrived.
	beat seamclock.Instant
	// promised is when the promises that answered the latest beats were sent.
	promised map[uint64]seamclock.Instant
	// heard is when members last asked this node instead of the coordinator.
	heard map[string]seamclock.Instant
	// resigned says that this node has promised never to take over in the epoch.
	resigned bool
}

// promisesKept is the number of promises whose sending is remembered.
const promisesKept = 64

// watchFrom begins the watch over the coordinator of an epoch.
func (c *Cell) watchFrom(coordinator seampeer.Peer, epoch uint32, revision int64) {
	w := &watch{
		cell: c.member.cell, coordinator: coordinator, epoch: epoch, revision: revision, since: c.now,
		promised: map[uint64]seamclock.Instant{}, heard: map[string]seamclock.Instant{},
	}
	if c.watch != nil && c.watch.coordinator.Same(coordinator) {
		w.heard = c.watch.heard
		w.promised = c.watch.promised
	}
	c.watch = w
}

// watchRecord follows a new revision of the record.
func (c *Cell) watchRecord(e Entry) {
	w := c.watch
	switch {
	case e.Deleted:
		c.watch = nil
	case e.Record.Epoch < w.epoch:
	case !e.Record.Backup.Same(c.self):
		c.watch = nil
	case e.Record.Epoch > w.epoch:
		c.watchFrom(e.Record.Coordinator, e.Record.Epoch, e.Revision)
	default:
		w.revision = max(w.revision, e.Revision)
	}
}

func (c *Cell) onBeat(x *seamcellwire.Message, b *seamcellwire.Beat) {
	p := c.beating(x, b)
	if c.coordination != nil && x.GetCell() == c.coordination.entry.Record.ID {
		if x.GetTerm() < c.coordination.term && !c.coordination.resigned {
			c.sendLead(p, 0)
		}
		return
	}
	if p.Address == "" || b.GetBackup() != c.self.Incarnation || c.member == nil || x.GetCell() != c.member.cell || !c.member.joined {
		return
	}
	if !c.watches(p, b) {
		return
	}
	w := c.watch
	// A promise cannot be given while a takeover may be taking effect.
	if w.resigned || c.calls.pending[CellPrefix+w.cell] != nil {
		return
	}
	w.beat = c.now
	w.revision = max(w.revision, b.GetRevision())
	w.promised[b.GetSequence()] = c.now
	delete(w.promised, b.GetSequence()-promisesKept)
	c.send(p, &seamcellwire.Message{
		Cell: w.cell, Term: x.GetTerm(),
		Body: &seamcellwire.Message_Promise{Promise: &seamcellwire.Promise{Sequence: b.GetSequence(), Epoch: b.GetEpoch()}},
	})
}

// beating returns the coordinator that sent a beat. It names itself whole until it is answered.
func (c *Cell) beating(x *seamcellwire.Message, b *seamcellwire.Beat) seampeer.Peer {
	if b.GetPeer() != nil {
		return peerOf(b.GetPeer())
	}
	from := seampeer.Peer{Name: x.GetName(), Incarnation: x.GetIncarnation()}
	if c.watch != nil && c.watch.coordinator.Same(from) {
		return c.watch.coordinator
	}
	return c.sender(x, nil)
}

// watches reports whether this node is the backup that the beat asks for.
func (c *Cell) watches(p seampeer.Peer, b *seamcellwire.Beat) bool {
	w := c.watch
	if w != nil && b.GetEpoch() <= w.epoch {
		return b.GetEpoch() == w.epoch && p.Same(w.coordinator)
	}
	if e, ok := c.directory.get(CellPrefix + c.member.cell); ok && e.Record.Epoch > b.GetEpoch() {
		return false
	}
	c.watchFrom(p, b.GetEpoch(), b.GetRevision())
	return true
}

func (c *Cell) tickWatch() {
	w := c.watch
	if w.resigned || seamclock.MinElapsed(c.now, w.since) < c.cfg.CoordinatorLease {
		return
	}
	if !w.beat.Zero() && seamclock.MinElapsed(c.now, w.beat) < c.cfg.CoordinatorLease {
		return
	}
	c.takeOver()
}

// takeOver writes the next epoch with this node as the coordinator.
func (c *Cell) takeOver() {
	w := c.watch
	key := CellPrefix + w.cell
	if !c.mayCall(key) {
		return
	}
	e, ok := c.directory.get(key)
	if !ok || e.Record.Epoch < w.epoch {
		c.read(key, seamstore.Takeover, func(Outcome, Entry, seamclock.Instant) {})
		return
	}
	r := e.Record
	if !r.Coordinator.Same(w.coordinator) || !r.Backup.Same(c.self) {
		c.watch = nil
		return
	}
	r.Epoch++
	r.Coordinator = c.self
	r.Backup = c.chooseSuccessor(w)
	r.TTLMillis = c.cfg.RecordTTL.Milliseconds()
	r.Renewals++
	c.swap(e.Revision, r, seamstore.Takeover, func(o Outcome, e Entry, first seamclock.Instant) {
		if o == OK {
			c.watch = nil
			c.startCoordination(e, first, w.coordinator, false)
		}
	})
}

// chooseSuccessor returns a member that was heard of lately, in another failure domain if there is one.
func (c *Cell) chooseSuccessor(w *watch) seampeer.Peer {
	var best seampeer.Peer
	rank := -1
	t := c.member.table
	for _, id := range sortedKeys(t.roster) {
		r := t.roster[id]
		heard, ok := w.heard[r.peer.Name]
		if r.gone || !ok || r.peer.Same(c.self) || r.peer.Same(w.coordinator) {
			continue
		}
		if seamclock.MaxElapsed(c.now, heard) > c.silence()+c.cfg.Heartbeat {
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

// silence is the time without a sign of life after which a node is thought lost.
func (c *Cell) silence() time.Duration {
	return c.cfg.Heartbeat * 5 / 2
}

// resignBackup promises the coordinator never to take over in the present epoch.
func (c *Cell) resignBackup() {
	w := c.watch
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
	w := c.watch
	if c.coordination != nil && c.coordination.entry.Record.ID == x.GetCell() {
		c.leadTo(from)
		return
	}
	if w == nil || w.cell != x.GetCell() || w.epoch != s.GetEpoch() || !w.coordinator.Same(from) {
		return
	}
	if c.calls.pending[CellPrefix+w.cell] != nil {
		return
	}
	promised, ok := w.promised[s.GetSequence()]
	if !ok {
		return
	}
	e := Entry{Key: CellPrefix + w.cell, Revision: s.GetRevision()}
	if json.Unmarshal(s.GetRecord(), &e.Record) != nil || e.Record.Epoch != w.epoch {
		return
	}
	c.learn(e)
	c.watch = nil
	c.startCoordination(e, promised, from, true)
	c.coordination.horizon = promised.Add(time.Duration(s.GetLeft()) * time.Millisecond)
}
