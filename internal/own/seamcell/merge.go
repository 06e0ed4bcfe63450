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

// considerMerge closes a cell with few members if another of the region has room for them.
func (c *Cell) considerMerge() {
	r := c.coordination
	own := r.entry.Record
	size, _ := c.sizeAndOffers()
	if r.ranges.closing || c.draining || size >= c.cfg.MinMembers || size != own.Size || seamclock.MaxElapsed(c.now, r.begun) < 2*c.cfg.SettleDelay {
		return
	}
	for _, e := range c.directory.sorted() {
		o := e.Record
		if !c.alive(e) || o.ID == own.ID || o.Region != own.Region || o.Size == 0 || o.Size+size > c.cfg.MaxMembers {
			continue
		}
		if o.Size > size || o.Size == size && o.ID < own.ID {
			r.ranges.closing = true
			r.ranges.into = o.ID
			return
		}
	}
}

// considerMembers moves a member to a cell of the region that has too few, if none has room for its members.
func (c *Cell) considerMembers() {
	r := c.coordination
	own := r.entry.Record
	size, _ := c.sizeAndOffers()
	if r.ranges.closing || size <= c.cfg.MinMembers+1 || size != own.Size || seamclock.MaxElapsed(c.now, r.ranges.settled) < c.cfg.SettleDelay {
		return
	}
	for _, e := range c.directory.sorted() {
		o := e.Record
		if !c.alive(e) || o.ID == own.ID || o.Region != own.Region || o.Size >= c.cfg.MinMembers || o.Size+size <= c.cfg.MaxMembers || o.Size == 0 {
			continue
		}
		if m := c.spare(); m != nil && c.largest(own) {
			m.cell = o.ID
			r.ranges.settled = c.now
		}
		return
	}
}

// largest reports whether no other cell of the region has more members.
func (c *Cell) largest(own Record) bool {
	for _, e := range c.directory.sorted() {
		if c.alive(e) && e.Record.Region == own.Region && e.Record.Size > own.Size {
			return false
		}
	}
	return true
}

// spare returns a member that is neither coordinator nor backup, from the failure domain with the most members.
func (c *Cell) spare() *info {
	r := c.coordination
	domains := map[string]int{}
	for _, m := range r.infos {
		domains[m.peer.Domain]++
	}
	var best *info
	for _, id := range sortedKeys(r.infos) {
		m := r.infos[id]
		if m.cell != "" {
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

// movedAway sends a member that owns nothing to its new cell, and reports whether it did.
func (c *Cell) movedAway(m *info, n *seamcellwire.Renew) bool {
	r := c.coordination
	e, ok := c.directory.get(CellPrefix + m.cell)
	if !ok || !c.alive(e) {
		m.cell = ""
		return false
	}
	if r.owned(m.id) > 0 || m.peer.Same(r.entry.Record.Backup) && !r.ranges.closing {
		return false
	}
	c.send(m.peer, &seamcellwire.Message{Cell: r.entry.Record.ID, Term: r.term, Body: &seamcellwire.Message_Refuse{Refuse: &seamcellwire.Refuse{
		Sequence: n.GetSequence(), Cause: seamcellwire.Refuse_MOVE, Coordinator: peerWire(e.Record.Coordinator), Cell: m.cell,
	}}})
	return true
}

// closeCell ends a cell that has given everything away.
func (c *Cell) closeCell() {
	r := c.coordination
	if !r.ranges.closing || r.ranges.out != nil {
		return
	}
	own := r.entry.Record
	if len(own.Ranges) > 0 {
		c.reconsiderClosing()
		return
	}
	if r.ranges.closed.Zero() {
		r.ranges.closed = c.now
		for _, id := range sortedKeys(r.infos) {
			if m := r.infos[id]; !m.peer.Same(c.self) {
				m.cell = r.ranges.into
			}
		}
	}
	alone := len(r.infos) == 1 || seamclock.MaxElapsed(c.now, r.ranges.closed) > c.cfg.CoordinatorLease*2
	if alone && c.mayCall(r.entry.Key) {
		c.vacate()
	}
}

// reconsiderClosing stays open if nobody takes the ranges.
func (c *Cell) reconsiderClosing() {
	r := c.coordination
	if c.draining {
		return
	}
	if seamclock.MaxElapsed(c.now, r.ranges.settled) > 2*c.cfg.SettleDelay {
		r.ranges.closing = false
		r.ranges.into = ""
	}
}

// vacate writes a record without coordinator and ends the coordination.
func (c *Cell) vacate() {
	r := c.coordination
	n := r.entry.Record
	n.Epoch++
	n.Coordinator, n.Backup = seampeer.Peer{}, seampeer.Peer{}
	n.Size = 0
	n.Services = nil
	r.resigned = true
	c.stopServing()
	c.swap(r.entry.Revision, n, seamstore.Takeover, func(o Outcome, e Entry, _ seamclock.Instant) {
		if c.coordination != r {
			return
		}
		if o != OK {
			r.resigned = false
			return
		}
		c.emit(seamevent.CellStopped, seamevent.Fields{"cell": n.ID, "epoch": n.Epoch, "reason": "given up"})
		c.coordination = nil
		c.left()
	})
}

// retire ends the coordination of a node that stops.
func (c *Cell) retire() {
	r := c.coordination
	if !c.draining || c.ownsAny() && len(r.infos) > 1 || !c.mayCall(r.entry.Key) {
		return
	}
	if len(r.infos) > 1 {
		c.resign()
		return
	}
	if !r.ranges.closing {
		r.ranges.closing = true
		r.ranges.closed = c.now
		return
	}
	if r.ranges.out != nil {
		return
	}
	if len(r.entry.Record.Ranges) == 0 && !c.ownsAny() || seamclock.MaxElapsed(c.now, r.ranges.closed) > c.cfg.OrphanTimeout || !c.takers() {
		c.vacate()
	}
}

// takers reports whether another cell could take one of the ranges.
func (c *Cell) takers() bool {
	for _, x := range c.coordination.entry.Record.Ranges {
		if to, _ := c.recipient(x); to != "" {
			return true
		}
	}
	return false
}

// resignation is the resignation of a coordinator until the backup has taken it.
type resignation struct {
	term    uint64
	to      seampeer.Peer
	message *seamcellwire.Resign
	cell    string
	sent    seamclock.Instant
}

// resign hands the coordination to the backup without the store. It is for good: this node will not
// grant again in the epoch.
func (c *Cell) resign() {
	r := c.coordination
	b := r.find(r.entry.Record.Backup)
	if b == nil || r.sole || r.gate != nil || r.ranges.out != nil || b.version < r.table.version ||
		seamclock.MaxElapsed(c.now, r.promised) > c.silence() || r.moving() > 0 || r.lastPromise == 0 {
		return
	}
	if c.memberDraining(b) && !c.chooseBackup(b.peer, true).Zero() {
		return
	}
	data, err := json.Marshal(r.entry.Record)
	if err != nil || len(data) > c.payload() {
		return
	}
	left := min(r.horizon.Mono-c.now.Mono, r.horizon.Wall-c.now.Wall)
	r.resigned = true
	c.resignation = &resignation{term: r.term, to: b.peer, cell: r.entry.Record.ID, message: &seamcellwire.Resign{
		Epoch: r.entry.Record.Epoch, Sequence: r.lastPromise, Left: uint64(max(left, 0) / time.Millisecond),
		Revision: r.entry.Revision, Record: data,
	}}
	c.coordination = nil
	c.stopServing()
	c.member.coordinator = b.peer
	c.member.backup = seampeer.Peer{}
	c.tickResignation()
}

// tickResignation repeats the resignation until the successor has begun its coordination.
func (c *Cell) tickResignation() {
	f := c.resignation
	if c.member == nil || c.member.table.term > f.term {
		c.resignation = nil
		return
	}
	if !f.sent.Zero() && c.now.Mono-f.sent.Mono < c.cfg.Heartbeat {
		return
	}
	f.sent = c.now
	c.send(f.to, &seamcellwire.Message{Cell: f.cell, Term: f.term, Body: &seamcellwire.Message_Resign{Resign: f.message}})
}

// onBackupResigned notes that the backup will never take over in the present epoch.
func (c *Cell) onBackupResigned(from seampeer.Peer, x *seamcellwire.Message, s *seamcellwire.Resign) {
	r := c.coordination
	if r == nil || x.GetCell() != r.entry.Record.ID || s.GetEpoch() != r.entry.Record.Epoch || !r.entry.Record.Backup.Same(from) {
		return
	}
	r.sole = true
}
