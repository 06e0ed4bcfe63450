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

// joining is the state of a node that looks for a cell.
type joining struct {
	since seamclock.Instant
	// refusedUntil holds, for each cell, the instant until which it is not asked again.
	refusedUntil map[string]seamclock.Instant
	// nextSeed is the index of the seed that is asked next, modulo the number of seeds.
	nextSeed int
}

// tickJoining asks a cell with room for admission, or creates a new cell.
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
	list, full := c.joinCandidates()
	if len(list) > 0 {
		c.requestAdmission(list[0].ID, list[0].Coordinator, list[0].Backup)
		return
	}
	if full || seamclock.MaxElapsed(c.now, j.since) >= c.cfg.OrphanTimeout {
		c.createCell()
	}
}

// askSeed asks the next seed for admission to any cell.
func (c *Cell) askSeed() {
	j := &c.joining
	if len(c.seeds) == 0 {
		return
	}
	p := c.seeds[j.nextSeed%len(c.seeds)]
	j.nextSeed++
	if p.Address != c.self.Address {
		c.requestAdmission("", p, seampeer.Peer{})
	}
}

// joinCandidates returns the cells of the region that may be asked for admission now: first those with
// fewer than Config.MaxMembers members, each group sorted by descending size. full reports that no
// cell with a coordinator can be asked within the next heartbeat interval.
func (c *Cell) joinCandidates() (list []Record, full bool) {
	full = true
	for _, e := range c.directory.sorted() {
		r := e.Record
		if e.Deleted || r.ID == "" || r.Region != c.self.Region || r.Coordinator.Zero() {
			continue
		}
		until, refused := c.joining.refusedUntil[r.ID]
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

// requestAdmission asks the coordinator of a cell for admission.
func (c *Cell) requestAdmission(cell string, coordinator, backup seampeer.Peer) {
	c.member = newMember(c.now, cell, coordinator, backup)
	c.backup = nil
	c.renew()
}

// joinFailed ends an attempt to join a cell. The node does not ask that cell again for the given time.
func (c *Cell) joinFailed(wait time.Duration) {
	c.joining.refusedUntil[c.member.cell] = c.now.Add(wait)
	c.member = nil
	c.backup = nil
}

// createCell creates a cell with this node as its only member.
func (c *Cell) createCell() {
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
	if !c.canCall(r.Key()) {
		return
	}
	c.swap(0, r, seamstore.Takeover, func(o Outcome, e Entry, first seamclock.Instant) {
		if o != OK {
			return
		}
		if c.member != nil && c.member.joined {
			c.clearCoordinator(e)
			return
		}
		c.emit(seamevent.CellCreated, seamevent.Fields{"cell": r.ID})
		c.startCoordination(e, first, seampeer.Peer{}, false)
	})
}

// clearCoordinator removes the coordinator and the backup from the record of a cell that this node
// does not coordinate, so that members of the cell can take it over.
func (c *Cell) clearCoordinator(e Entry) {
	r := e.Record
	r.Epoch++
	r.Coordinator, r.Backup = seampeer.Peer{}, seampeer.Peer{}
	c.swap(e.Revision, r, seamstore.Keepalive, func(Outcome, Entry, seamclock.Instant) {})
}

// attest records an operator's confirmation that the named instances have ended.
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
	c.attestations[recordPartiesOf(r)] = c.now
}

// recordParties identifies the coordinator and the backup that a record names.
type recordParties struct {
	cell        string
	coordinator processID
	backup      processID
}

// processID identifies one incarnation of an instance.
type processID struct {
	name        string
	incarnation uint64
}

func recordPartiesOf(r Record) recordParties {
	return recordParties{
		cell:        r.ID,
		coordinator: processID{name: r.Coordinator.Name, incarnation: r.Coordinator.Incarnation},
		backup:      processID{name: r.Backup.Name, incarnation: r.Backup.Incarnation},
	}
}

// recordExpired reports whether the record has not changed for its TTL, so that no node has authority
// under it.
func (c *Cell) recordExpired(e Entry) bool {
	ttl := time.Duration(e.Record.TTLMillis) * time.Millisecond
	return seamclock.MinElapsed(c.now, c.directory.seenAt[e.Key]) >= ttl
}

// abandoned reports whether, for at least extra, no node can have had authority under the record.
func (c *Cell) abandoned(e Entry, extra time.Duration) bool {
	r := e.Record
	seen := seamclock.MinElapsed(c.now, c.directory.seenAt[e.Key])
	ttl := time.Duration(r.TTLMillis) * time.Millisecond
	return r.Coordinator.Zero() && seen >= extra || seen >= ttl+extra
}

// restarted reports whether the coordinator and the backup have both been replaced by later
// incarnations.
func (c *Cell) restarted(r Record) bool {
	return c.cfg.RestartImpliesExit && !r.Coordinator.Zero() && c.replaced(r.Coordinator) &&
		(r.Backup.Zero() || c.replaced(r.Backup))
}

// attested reports whether an operator's confirmation of the loss of both nodes is old enough that
// all leases have expired.
func (c *Cell) attested(r Record) bool {
	at, ok := c.attestations[recordPartiesOf(r)]
	return ok && seamclock.MinElapsed(c.now, at) >= c.cfg.CoordinatorLease
}

// replaced reports whether a later incarnation of the instance has used the same address for long
// enough that all leases of the earlier incarnation have expired.
func (c *Cell) replaced(p seampeer.Peer) bool {
	if p.Name == c.self.Name {
		started := c.joining.since
		return p.Address == c.self.Address && c.self.Incarnation > p.Incarnation &&
			!started.Zero() && seamclock.MinElapsed(c.now, started) >= c.cfg.CoordinatorLease
	}
	a, ok := c.admissionRequests[p.Name]
	return ok && a.peer.Address == p.Address && a.peer.Incarnation > p.Incarnation &&
		seamclock.MinElapsed(c.now, a.since) >= c.cfg.CoordinatorLease
}

// tickAbandoned takes over cells whose coordinator and backup can have no authority any more. The
// cell's own members do so first, because their servers have the state of the slots; then nodes
// without a cell; then the coordinators of other cells, which absorb the cell's ranges or delete its
// record.
func (c *Cell) tickAbandoned() {
	idle := c.member == nil || !c.member.joined
	if c.draining || c.drained || !c.directory.loaded || !idle && c.now.Mono-c.abandonedChecked.Mono < c.cfg.Heartbeat/2 {
		return
	}
	c.abandonedChecked = c.now
	for _, e := range c.directory.sorted() {
		r := e.Record
		if e.Deleted || r.ID == "" || !c.canCall(e.Key) || c.coordination != nil && c.coordination.entry.Key == e.Key {
			continue
		}
		own := c.member != nil && c.member.joined && c.member.cell == r.ID
		switch {
		case c.attested(r) && !own:
			c.clearCoordinator(e)
		case r.Region != c.self.Region:
		case own && (c.attested(r) || c.abandoned(e, 0)), idle && len(r.Ranges) > 0 && c.abandoned(e, 2*c.cfg.CoordinatorLease), idle && c.restarted(r):
			c.takeOverAbandoned(e)
			return
		case c.coordination == nil || !c.coordination.recovered || !c.abandoned(e, c.cfg.OrphanTimeout):
		case len(r.Ranges) > 0 || c.unreceivedSource(r) != "":
			c.absorb(e)
		case len(r.ReceivedTransfers) > 0:
			c.clearReceivedOf(e)
		case len(r.Transfers) == 0:
			c.delete(e.Key, e.Revision)
		}
	}
}

// takeOverAbandoned writes the next epoch of an abandoned cell with this node as the coordinator.
func (c *Cell) takeOverAbandoned(e Entry) {
	r := e.Record
	predecessor := r.Coordinator
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
			c.clearCoordinator(e)
			return
		}
		c.backup = nil
		c.startCoordination(e, first, predecessor, false)
		c.coordination.reportDeadline = c.now.Add(c.cfg.CoordinatorLease)
		c.coordination.rosterIncomplete = true
		if restarted {
			c.coordination.reportDeadline = c.now.Add(c.cfg.Heartbeat + c.cfg.ClockMargin)
			c.admitRequesters()
		}
	})
}

// admitRequesters requests reports from the nodes that asked this node for admission to its cell
// before it was the coordinator. Each node without a cell asks at every heartbeat interval, so that
// all live ones have asked by the time the restart of the coordinator and the backup is established.
func (c *Cell) admitRequesters() {
	r := c.coordination
	for _, name := range sortedKeys(c.admissionRequests) {
		a := c.admissionRequests[name]
		if a.cell != r.entry.Record.ID || a.peer.Name == c.self.Name || r.find(a.peer) != nil {
			continue
		}
		m := c.admit(a.peer, TargetState{})
		m.reported = false
		c.requestReport(m.peer, m.id)
	}
}

// absorb turns the ranges of an abandoned cell, and the transfers to it that it has not received,
// into transfers to this node's cell. It receives those transfers on behalf of the abandoned cell,
// in the same write.
func (c *Cell) absorb(e Entry) {
	source := c.unreceivedSource(e.Record)
	if source == "" {
		c.writeAbsorbed(e, nil)
		return
	}
	if !c.canCall(source) {
		return
	}
	c.read(source, seamstore.Takeover, func(o Outcome, g Entry, _ seamclock.Instant) {
		if o == OK && c.coordination != nil && c.canCall(e.Key) {
			c.writeAbsorbed(e, transfersTo(g.Record, e.Record.ID))
		}
	})
}

// unreceivedSource returns the key of a record with a transfer that the cell has not received yet, or
// an empty string.
func (c *Cell) unreceivedSource(r Record) string {
	for _, e := range c.directory.sorted() {
		if !e.Deleted && hasUnreceivedTransfers(r, e.Record) {
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
