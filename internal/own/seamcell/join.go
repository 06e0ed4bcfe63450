package seamcell

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
	"cardamomseam/internal/platform/seamstore"
)

// joining is the search of a node for a cell.
type joining struct {
	since seamclock.Instant
	// refused are the instants until which cells are not asked again.
	refused map[string]seamclock.Instant
	seed    int
}

// tickJoining asks a cell with room for admission, or founds a new one.
func (c *Cell) tickJoining() {
	j := &c.joining
	if c.draining {
		c.drained = c.resignation == nil
		return
	}
	if j.since.Zero() {
		j.since = c.now
	}
	if !c.directory.loaded || len(c.directory.entries) == 0 && len(c.seeds) > 0 && c.now.Mono-j.since.Mono < c.cfg.Heartbeat*joinAttempts {
		c.askSeed()
		return
	}
	list, full := c.rooms()
	if len(list) > 0 {
		c.attempt(list[0].ID, list[0].Coordinator, list[0].Backup)
		return
	}
	if full || seamclock.MaxElapsed(c.now, j.since) >= c.cfg.OrphanTimeout {
		c.found()
	}
}

// askSeed asks the next seed for any cell.
func (c *Cell) askSeed() {
	j := &c.joining
	if len(c.seeds) == 0 {
		return
	}
	p := c.seeds[j.seed%len(c.seeds)]
	j.seed++
	if p.Address != c.self.Address {
		c.attempt("", p, seampeer.Peer{})
	}
}

// rooms returns the cells of the region that may be asked now, fullest first, and whether all
// known cells are full or given up.
func (c *Cell) rooms() (list []Record, full bool) {
	full = true
	for _, e := range c.directory.sorted() {
		r := e.Record
		if e.Deleted || r.ID == "" || r.Region != c.self.Region || r.Coordinator.Zero() {
			continue
		}
		until, refused := c.joining.refused[r.ID]
		if refused && !seamclock.Expired(c.now, until) {
			full = full && seamclock.MaxElapsed(until, c.now) > c.cfg.Heartbeat
			continue
		}
		full = false
		list = append(list, r)
	}
	sort.SliceStable(list, func(i, k int) bool {
		a, b := list[i], list[k]
		if (a.Size < c.cfg.MaxMembers) != (b.Size < c.cfg.MaxMembers) {
			return a.Size < c.cfg.MaxMembers
		}
		return a.Size > b.Size
	})
	return list, full
}

// attempt asks the coordinator of a cell for admission.
func (c *Cell) attempt(cell string, coordinator, backup seampeer.Peer) {
	c.member = newMember(c.now, cell, coordinator, backup)
	c.watch = nil
	c.renew()
}

// joinFailed ends an attempt; the cell is not asked again for the time given.
func (c *Cell) joinFailed(wait time.Duration) {
	c.joining.refused[c.member.cell] = c.now.Add(wait)
	c.member = nil
	c.watch = nil
}

// found creates a cell with this node alone.
func (c *Cell) found() {
	n := 1
	for {
		if _, ok := c.directory.get(fmt.Sprintf("%s%s-%d", CellPrefix, c.self.Region, n)); !ok {
			break
		}
		n++
	}
	r := Record{
		ID: fmt.Sprintf("%s-%d", c.self.Region, n), Region: c.self.Region, Epoch: 1,
		Coordinator: c.self, TTLMillis: c.cfg.RecordTTL.Milliseconds(), Size: 1,
	}
	if !c.mayCall(r.Key()) {
		return
	}
	c.swap(0, r, seamstore.Takeover, func(o Outcome, e Entry, first seamclock.Instant) {
		if o != OK {
			return
		}
		if c.member != nil && c.member.joined {
			c.abandon(e)
			return
		}
		c.emit(seamevent.CellCreated, seamevent.Fields{"cell": r.ID})
		c.startCoordination(e, first, seampeer.Peer{}, false)
	})
}

// abandon gives up a cell that this node has written but does not lead.
func (c *Cell) abandon(e Entry) {
	r := e.Record
	r.Epoch++
	r.Coordinator, r.Backup = seampeer.Peer{}, seampeer.Peer{}
	c.swap(e.Revision, r, seamstore.Keepalive, func(Outcome, Entry, seamclock.Instant) {})
}

// attest takes an operator's word that the named instances have ended.
func (c *Cell) attest(cell string, lost []string) {
	e, ok := c.directory.get(CellPrefix + cell)
	if !ok {
		return
	}
	names := map[string]bool{}
	for _, n := range lost {
		names[n] = true
	}
	r := e.Record
	if !names[r.Coordinator.Name] || !r.Backup.Zero() && !names[r.Backup.Name] {
		return
	}
	c.attests[partiesOf(r)] = c.now
}

// parties are the two runs that a record names.
type parties struct {
	cell        string
	coordinator run
	backup      run
}

// run is one run of one instance.
type run struct {
	name        string
	incarnation uint64
}

func partiesOf(r Record) parties {
	return parties{
		cell:        r.ID,
		coordinator: run{name: r.Coordinator.Name, incarnation: r.Coordinator.Incarnation},
		backup:      run{name: r.Backup.Name, incarnation: r.Backup.Incarnation},
	}
}

// horizonOver reports whether the record binds nobody any more.
func (c *Cell) horizonOver(e Entry) bool {
	h := time.Duration(e.Record.TTLMillis) * time.Millisecond
	return seamclock.MinElapsed(c.now, c.directory.seen[e.Key]) >= h
}

// abandoned reports whether, for at least extra, nobody can have had authority by the record.
func (c *Cell) abandoned(e Entry, extra time.Duration) bool {
	r := e.Record
	seen := seamclock.MinElapsed(c.now, c.directory.seen[e.Key])
	h := time.Duration(r.TTLMillis) * time.Millisecond
	return r.Coordinator.Zero() && seen >= extra || seen >= h+extra
}

// restarted reports whether later runs of the coordinator and the backup have taken their places.
func (c *Cell) restarted(r Record) bool {
	return c.cfg.RestartImpliesExit && !r.Coordinator.Zero() && c.replaced(r.Coordinator) &&
		(r.Backup.Zero() || c.replaced(r.Backup))
}

// attested reports whether an operator's word on the loss of both has stood for long enough
// that all leases are over.
func (c *Cell) attested(r Record) bool {
	at, ok := c.attests[partiesOf(r)]
	return ok && seamclock.MinElapsed(c.now, at) >= c.cfg.CoordinatorLease
}

// replaced reports whether a later run of the instance has stood on the same address for long
// enough that all leases of the earlier run are over.
func (c *Cell) replaced(p seampeer.Peer) bool {
	if p.Name == c.self.Name {
		started := c.joining.since
		return p.Address == c.self.Address && c.self.Incarnation > p.Incarnation &&
			!started.Zero() && seamclock.MinElapsed(c.now, started) >= c.cfg.CoordinatorLease
	}
	a, ok := c.arrivals[p.Name]
	return ok && a.peer.Address == p.Address && a.peer.Incarnation > p.Incarnation &&
		seamclock.MinElapsed(c.now, a.since) >= c.cfg.CoordinatorLease
}

// tickAbandoned takes over cells that nobody can lead any more. Their own members come first, for
// their servers have the state of the slots; then nodes without a cell; then other cells.
func (c *Cell) tickAbandoned() {
	idle := c.member == nil || !c.member.joined
	if c.draining || c.drained || !c.directory.loaded || !idle && c.now.Mono-c.looked.Mono < c.cfg.Heartbeat/2 {
		return
	}
	c.looked = c.now
	for _, e := range c.directory.sorted() {
		r := e.Record
		if e.Deleted || r.ID == "" || !c.mayCall(e.Key) || c.coordination != nil && c.coordination.entry.Key == e.Key {
			continue
		}
		own := c.member != nil && c.member.joined && c.member.cell == r.ID
		switch {
		case c.attested(r) && !own:
			c.abandon(e)
		case r.Region != c.self.Region:
		case own && (c.attested(r) || c.abandoned(e, 0)), idle && len(r.Ranges) > 0 && c.abandoned(e, 2*c.cfg.CoordinatorLease), idle && c.restarted(r):
			c.seize(e)
			return
		case c.coordination == nil || !c.coordination.settled || !c.abandoned(e, c.cfg.OrphanTimeout):
		case len(r.Ranges) > 0 || c.sourceTo(r) != "":
			c.absorb(e)
		case len(r.ReceivedTransfers) > 0:
			c.dropFrom(e)
		case len(r.Transfers) == 0:
			c.delete(e.Key, e.Revision)
		}
	}
}

// seize writes the next epoch of an abandoned cell with this node as the coordinator.
func (c *Cell) seize(e Entry) {
	r := e.Record
	before := r.Coordinator
	restarted := c.restarted(r)
	r.Epoch++
	r.Coordinator = c.self
	r.Backup = seampeer.Peer{}
	r.TTLMillis = c.cfg.RecordTTL.Milliseconds()
	r.Renewals++
	r.Size = 1
	c.swap(e.Revision, r, seamstore.Takeover, func(o Outcome, e Entry, first seamclock.Instant) {
		if o != OK {
			return
		}
		if c.coordination != nil || c.member != nil && c.member.joined && c.member.cell != r.ID {
			c.abandon(e)
			return
		}
		c.watch = nil
		c.startCoordination(e, first, before, false)
		c.coordination.collect = c.now.Add(c.cfg.CoordinatorLease)
		c.coordination.patient = true
		if restarted {
			c.coordination.collect = c.now.Add(c.cfg.Heartbeat + c.cfg.ClockMargin)
			c.gather()
		}
	})
}

// gather asks the nodes for their reports that have asked this one for admission to its cell before
// it led it. Each asks in every heartbeat, so that those that live are known by the time of a restart.
func (c *Cell) gather() {
	r := c.coordination
	for _, name := range sortedKeys(c.arrivals) {
		a := c.arrivals[name]
		if a.cell != r.entry.Record.ID || a.peer.Name == c.self.Name || r.find(a.peer) != nil {
			continue
		}
		m := c.admit(a.peer, TargetState{})
		m.reported = false
		c.sendLead(m.peer, m.id)
	}
}

// absorb turns the ranges of an abandoned cell, and transfers to it that it has not taken, into transfers to
// the own cell. It takes those transfers in the name of the abandoned cell, in the same write.
func (c *Cell) absorb(e Entry) {
	source := c.sourceTo(e.Record)
	if source == "" {
		c.writeAbsorbed(e, nil)
		return
	}
	if !c.mayCall(source) {
		return
	}
	c.read(source, seamstore.Takeover, func(o Outcome, g Entry, _ seamclock.Instant) {
		if o == OK && c.coordination != nil && c.mayCall(e.Key) {
			c.writeAbsorbed(e, transfersTo(g.Record, e.Record.ID))
		}
	})
}

// sourceTo returns the key of a record with a transfer that the cell has not taken, or an empty string.
func (c *Cell) sourceTo(r Record) string {
	for _, e := range c.directory.sorted() {
		if !e.Deleted && untaken(r, e.Record) {
			return e.Key
		}
	}
	return ""
}

func (c *Cell) writeAbsorbed(e Entry, transfers []Transfer) {
	r := e.Record
	ranges := append([]seamslot.Range(nil), r.Ranges...)
	r.ReceivedTransfers = append([]Transfer(nil), r.ReceivedTransfers...)
	for _, t := range transfers {
		if !slices.Contains(r.ReceivedTransfers, t) {
			r.ReceivedTransfers = append(r.ReceivedTransfers, t)
			ranges = append(ranges, t.Range)
			r.Epoch = max(r.Epoch, t.Epoch)
		}
	}
	r.Epoch++
	r.Coordinator, r.Backup = seampeer.Peer{}, seampeer.Peer{}
	r.Transfers = append([]Transfer(nil), r.Transfers...)
	for _, x := range ranges {
		r.Transfers = append(r.Transfers, Transfer{Range: x, Source: e.Key, Cell: c.coordination.entry.Record.ID, Epoch: r.Epoch})
	}
	r.Ranges = nil
	c.swap(e.Revision, r, seamstore.Takeover, func(Outcome, Entry, seamclock.Instant) {})
}
