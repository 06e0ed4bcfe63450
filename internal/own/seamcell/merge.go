package seamcell

import (
	"encoding/json"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamcellwire"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/platform/seamstore"
)

// considerMerge starts to close a cell with few members if another cell of the region has room for them.
func (c *Cell) considerMerge() {
	r := c.coordination
	own := r.entry.Record
	size, _ := c.sizeAndServices()
	if r.ranges.closing || c.draining || size >= c.cfg.MinMembers || size != own.Size || seamclock.MaxElapsed(c.now, r.startedAt) < 2*c.cfg.SettleDelay {
		return
	}
	for _, e := range c.directory.sorted() {
		other := e.Record
		if !c.alive(e) || other.ID == own.ID || other.Region != own.Region || other.Size == 0 || other.Size+size > c.cfg.MaxMembers {
			continue
		}
		if other.Size > size || other.Size == size && other.ID < own.ID {
			r.ranges.closing = true
			r.ranges.mergeInto = other.ID
			return
		}
	}
}

// considerMovingMember moves a member to a cell of the region that has too few, if this cell has no
// room for all members of that cell.
func (c *Cell) considerMovingMember() {
	r := c.coordination
	own := r.entry.Record
	size, _ := c.sizeAndServices()
	if r.ranges.closing || size <= c.cfg.MinMembers+1 || size != own.Size || seamclock.MaxElapsed(c.now, r.ranges.lastMove) < c.cfg.SettleDelay {
		return
	}
	for _, e := range c.directory.sorted() {
		other := e.Record
		if !c.alive(e) || other.ID == own.ID || other.Region != own.Region || other.Size >= c.cfg.MinMembers || other.Size+size <= c.cfg.MaxMembers || other.Size == 0 {
			continue
		}
		if member := c.movableMember(); member != nil && c.hasMostMembers(own) {
			member.moveTo = other.ID
			r.ranges.lastMove = c.now
		}
		return
	}
}

// hasMostMembers reports whether no other cell of the region has more members.
func (c *Cell) hasMostMembers(own Record) bool {
	for _, e := range c.directory.sorted() {
		if c.alive(e) && e.Record.Region == own.Region && e.Record.Size > own.Size {
			return false
		}
	}
	return true
}

// movableMember returns a member that is neither coordinator nor backup nor draining, from the
// failure domain with the most members. It returns nil while another member is being moved.
func (c *Cell) movableMember() *memberInfo {
	r := c.coordination
	domains := map[string]int{}
	for _, m := range r.members {
		domains[m.peer.Domain]++
	}
	var best *memberInfo
	for _, id := range sortedKeys(r.members) {
		m := r.members[id]
		if m.moveTo != "" {
			return nil
		}
		if m.peer.Same(c.self) || m.peer.Same(r.entry.Record.Backup) || c.memberDraining(m) {
			continue
		}
		if best == nil || domains[m.peer.Domain] >= domains[best.peer.Domain] {
			best = m
		}
	}
	return best
}

// redirectMoved redirects a member that is being moved to its new cell once it owns no slots, and
// reports whether it did.
func (c *Cell) redirectMoved(m *memberInfo, renewal *seamcellwire.Renew) bool {
	r := c.coordination
	destination, ok := c.directory.get(CellPrefix + m.moveTo)
	if !ok || !c.alive(destination) {
		m.moveTo = ""
		return false
	}
	if r.owned(m.id) > 0 || m.peer.Same(r.entry.Record.Backup) && !r.ranges.closing {
		return false
	}
	c.send(m.peer, &seamcellwire.Message{Cell: r.entry.Record.ID, Term: r.term, Body: &seamcellwire.Message_Refuse{Refuse: &seamcellwire.Refuse{
		Sequence: renewal.GetSequence(), Cause: seamcellwire.Refuse_MOVE, Coordinator: peerToWire(destination.Record.Coordinator), Cell: m.moveTo,
	}}})
	return true
}

// closeCell ends a closing cell once it has transferred all its ranges to other cells.
func (c *Cell) closeCell() {
	r := c.coordination
	if !r.ranges.closing || r.ranges.outgoing != nil {
		return
	}
	own := r.entry.Record
	if len(own.Ranges) > 0 {
		c.reconsiderClosing()
		return
	}
	if r.ranges.emptiedAt.Zero() {
		r.ranges.emptiedAt = c.now
		for _, id := range sortedKeys(r.members) {
			if m := r.members[id]; !m.peer.Same(c.self) {
				m.moveTo = r.ranges.mergeInto
			}
		}
	}
	mayStop := len(r.members) == 1 || seamclock.MaxElapsed(c.now, r.ranges.emptiedAt) > c.cfg.CoordinatorLease*2
	if mayStop && c.canCall(r.entry.Key) {
		c.relinquish()
	}
}

// reconsiderClosing keeps the cell open if no range has moved to another cell for two settle delays.
func (c *Cell) reconsiderClosing() {
	r := c.coordination
	if c.draining {
		return
	}
	if seamclock.MaxElapsed(c.now, r.ranges.lastMove) > 2*c.cfg.SettleDelay {
		r.ranges.closing = false
		r.ranges.mergeInto = ""
	}
}

// relinquish writes a record without a coordinator and ends this node's role as coordinator.
func (c *Cell) relinquish() {
	r := c.coordination
	record := r.entry.Record
	record.Epoch++
	record.Coordinator, record.Backup = seampeer.Peer{}, seampeer.Peer{}
	record.Size = 0
	record.Services = nil
	r.resigned = true
	c.stopServing()
	c.swap(r.entry.Revision, record, seamstore.Takeover, func(outcome Outcome, e Entry, _ seamclock.Instant) {
		if c.coordination != r {
			return
		}
		if outcome != OK {
			r.resigned = false
			return
		}
		c.emit(seamevent.CellStopped, seamevent.Fields{"cell": record.ID, "epoch": record.Epoch, "reason": "given up"})
		c.coordination = nil
		c.finishLeaving()
	})
}

// stopCoordinating ends the role of a coordinator whose node is shutting down. It resigns if the cell
// has other members, and otherwise transfers the ranges to other cells and closes the cell.
func (c *Cell) stopCoordinating() {
	r := c.coordination
	if !c.draining || c.ownsAny() && len(r.members) > 1 || !c.canCall(r.entry.Key) {
		return
	}
	if len(r.members) > 1 {
		c.resign()
		return
	}
	if !r.ranges.closing {
		r.ranges.closing = true
		r.ranges.emptiedAt = c.now
		return
	}
	if r.ranges.outgoing != nil {
		return
	}
	if len(r.entry.Record.Ranges) == 0 && !c.ownsAny() || seamclock.MaxElapsed(c.now, r.ranges.emptiedAt) > c.cfg.OrphanTimeout || !c.hasRecipient() {
		c.relinquish()
	}
}

// hasRecipient reports whether another cell could receive one of the ranges.
func (c *Cell) hasRecipient() bool {
	for _, x := range c.coordination.entry.Record.Ranges {
		if to, _ := c.recipient(x); to != "" {
			return true
		}
	}
	return false
}

// resignation is the message that a former coordinator resends until its successor has started.
type resignation struct {
	term   uint64
	to     seampeer.Peer
	resign *seamcellwire.Resign
	cell   string
	sent   seamclock.Instant
}

// resign hands the coordinator role to the backup without a store write. It is final: this node
// grants no leases again in this epoch.
func (c *Cell) resign() {
	r := c.coordination
	backup := r.find(r.entry.Record.Backup)
	if backup == nil || r.counterpartResigned || r.roleChange != nil || r.ranges.outgoing != nil || backup.ackedVersion < r.table.version ||
		seamclock.MaxElapsed(c.now, r.lastAnsweredHeartbeat) > c.unresponsiveTimeout() || r.moving() > 0 || r.lastAnsweredSequence == 0 {
		return
	}
	if c.memberDraining(backup) && !c.chooseBackup(backup.peer, true).Zero() {
		return
	}
	data, err := json.Marshal(r.entry.Record)
	if err != nil || len(data) > c.maxListBytes() {
		return
	}
	validFor := min(r.recordExpiresAt.Mono-c.now.Mono, r.recordExpiresAt.Wall-c.now.Wall)
	r.resigned = true
	c.resignation = &resignation{term: r.term, to: backup.peer, cell: r.entry.Record.ID, resign: &seamcellwire.Resign{
		Epoch: r.entry.Record.Epoch, Sequence: r.lastAnsweredSequence, Left: uint64(max(validFor, 0) / time.Millisecond),
		Revision: r.entry.Revision, Record: data,
	}}
	c.coordination = nil
	c.stopServing()
	c.member.coordinator = backup.peer
	c.member.backup = seampeer.Peer{}
	c.tickResignation()
}

// tickResignation resends the resignation until the successor has started as coordinator.
func (c *Cell) tickResignation() {
	pending := c.resignation
	if c.member == nil || c.member.table.term > pending.term {
		c.resignation = nil
		return
	}
	if !pending.sent.Zero() && c.now.Mono-pending.sent.Mono < c.cfg.Heartbeat {
		return
	}
	pending.sent = c.now
	c.send(pending.to, &seamcellwire.Message{Cell: pending.cell, Term: pending.term, Body: &seamcellwire.Message_Resign{Resign: pending.resign}})
}

// onBackupResigned records that the backup will never take over in the current epoch.
func (c *Cell) onBackupResigned(from seampeer.Peer, message *seamcellwire.Message, resign *seamcellwire.Resign) {
	r := c.coordination
	if r == nil || message.GetCell() != r.entry.Record.ID || resign.GetEpoch() != r.entry.Record.Epoch || !r.entry.Record.Backup.Same(from) {
		return
	}
	r.counterpartResigned = true
}
