package seamcell

import (
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamcellwire"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
	"cardamomseam/internal/platform/seamstore"
)

// coordination is the state of a cell's coordinator.
type coordination struct {
	entry Entry
	// term numbers the coordinators of a cell in ascending order. It is twice the epoch in which the
	// coordinator started, plus one if the coordinator of that epoch resigned in its favor.
	term uint64
	// acting says that the record still names the predecessor, which resigned in favor of this node.
	acting       bool
	tokenCounter uint32
	table        *table
	members      map[uint32]*memberInfo
	lastID       uint32

	// lastAnsweredHeartbeat is the send time of the latest heartbeat that the backup of the
	// recorded epoch answered.
	lastAnsweredHeartbeat seamclock.Instant
	// recordExpiresAt is when the authority of this coordinator under the record ends. It is earlier
	// than the record's expiry at other nodes, to allow for clock drift.
	recordExpiresAt seamclock.Instant
	lastWrite       seamclock.Instant
	// counterpartResigned says that the other node named in the record, backup or former
	// coordinator, has resigned.
	counterpartResigned bool
	resigned            bool
	roleChange          *roleChange

	sequence      uint64
	heartbeats    map[uint64]heartbeat
	lastHeartbeat seamclock.Instant
	// lastAnsweredSequence is the sequence number of the last answered heartbeat.
	lastAnsweredSequence uint64

	// recovered says that the table of the previous term has been rebuilt from reports.
	recovered bool
	// reportDeadline is until when the coordinator waits for the reports of all members.
	reportDeadline seamclock.Instant
	// lastReminder is when members were last asked for their reports.
	lastReminder seamclock.Instant
	// rosterIncomplete says that there may be members that are not in the roster yet.
	rosterIncomplete bool
	inherited        map[seamslot.ID]inheritedSlot
	// earlierLeasesEnd is the instant until which leases of an earlier term may be valid.
	earlierLeasesEnd seamclock.Instant
	startedAt        seamclock.Instant
	hadAuthority     bool
	ownedSince       map[seamslot.ID]seamclock.Instant
	// failedHandovers holds the times of failed handovers.
	failedHandovers map[seamslot.ID]seamclock.Instant
	loads           map[seamslot.ID]SlotLoad
	// preferredOwners holds the names of the nodes that are preferred as owners because they may
	// have the state of the slot.
	preferredOwners map[seamslot.ID]string
	// grantableAt holds the times before which slots are not granted, because a request at an
	// earlier owner may still run.
	grantableAt map[seamslot.ID]seamclock.Instant
	stateWaits  map[seamslot.ID]stateWait
	lastPlan    seamclock.Instant
	// loadsKnownAt is the instant by which members have reported the loads of inherited slots.
	loadsKnownAt     seamclock.Instant
	lastPublish      seamclock.Instant
	lastBackupChange seamclock.Instant
	ranges           rangeMoves
}

// roleChange is a change of the record's coordinator or backup whose outcome is unknown.
type roleChange struct {
	// firstSent is when the change was first sent.
	firstSent seamclock.Instant
}

// heartbeat is a heartbeat sent to the backup.
type heartbeat struct {
	sent  seamclock.Instant
	epoch uint32
	// rolesStable says that no change of roles was in progress when it was sent.
	rolesStable bool
}

// inheritedSlot is what is known about a slot from an earlier term.
type inheritedSlot struct {
	token   uint64
	owner   uint32
	standby uint32
	synced  bool
	// age is the time for which the owner has had the slot.
	age time.Duration
	// reported says that the owner itself has reported the slot.
	reported bool
}

// memberInfo is the coordinator's state of a member that is not part of the table.
type memberInfo struct {
	id   uint32
	peer seampeer.Peer
	// ackedVersion is the table version that the member has acknowledged, sentVersion the latest
	// version sent to it.
	ackedVersion uint64
	sentVersion  uint64
	lastRenewal  seamclock.Instant
	// missed is the number of renewals for which the member has received no answer.
	missed uint32
	// leaseEnd is the latest time at which a lease of the member may end.
	leaseEnd      seamclock.Instant
	appliedRules  int64
	lagSince      seamclock.Instant
	lagging       bool
	inflight      int
	targetVersion uint32
	reportParts   map[uint32]bool
	reported      bool
	leaving       bool
	// lastHeader is the header of the latest answer that had one, headerRepeats is how often it
	// was sent.
	lastHeader    answerHeader
	headerRepeats int
	// moveTo is the cell to which the member is to move, or empty.
	moveTo string
}

// actingCounter is the initial token counter of a coordinator that started through a resignation. Its
// tokens are higher than those of its predecessor, which has the same epoch.
const actingCounter = 1 << 31

// startCoordination makes this node the coordinator. firstSent is when the write that appointed it
// was first sent or, for an acting coordinator, when its last answer to a heartbeat was sent.
func (c *Cell) startCoordination(e Entry, firstSent seamclock.Instant, predecessor seampeer.Peer, acting bool) {
	r := &coordination{
		entry: e, term: uint64(e.Record.Epoch) << 1, acting: acting, members: map[uint32]*memberInfo{},
		lastAnsweredHeartbeat: firstSent, lastWrite: firstSent, counterpartResigned: acting, heartbeats: map[uint64]heartbeat{}, startedAt: c.now,
		inherited: map[seamslot.ID]inheritedSlot{}, ownedSince: map[seamslot.ID]seamclock.Instant{},
		failedHandovers: map[seamslot.ID]seamclock.Instant{},
		loads:           map[seamslot.ID]SlotLoad{}, preferredOwners: map[seamslot.ID]string{}, grantableAt: map[seamslot.ID]seamclock.Instant{}, stateWaits: map[seamslot.ID]stateWait{},
		lastPublish: c.now, lastBackupChange: c.now,
	}
	r.recordExpiresAt = c.recordExpiry(firstSent, e.Record)
	r.reportDeadline = c.now.Add(c.cfg.ReportTimeout)
	if acting {
		r.term++
		r.tokenCounter = actingCounter
		r.earlierLeasesEnd = c.now.Add(c.cfg.MaxLease + c.cfg.ClockMargin)
	}
	r.table = newTable(r.term)
	c.coordination = r
	if c.member == nil || c.member.cell != e.Record.ID || !c.member.joined {
		if c.member != nil {
			c.stopServing()
		}
		c.member = newMember(c.now, e.Record.ID, c.self, e.Record.Backup)
		c.member.joined = true
	}
	c.inherit(predecessor)
	c.member.coordinator = c.self
	c.member.epoch = e.Record.Epoch
	c.emit(seamevent.CellEpoch, seamevent.Fields{"cell": e.Record.ID, "epoch": e.Record.Epoch, "coordinator": c.self.Name, "backup": e.Record.Backup.Name})
	r.lastReminder = c.now
	for _, id := range sortedKeys(r.members) {
		c.requestReport(r.members[id].peer, id)
	}
}

// loadReportsBeforePlanning is the number of load reports for which a new coordinator waits before
// it plans. The second one also includes slots that a member received in the meantime.
const loadReportsBeforePlanning = 2

// inherit copies the roster and the slot owners from the table that this node has as a member.
func (c *Cell) inherit(predecessor seampeer.Peer) {
	r := c.coordination
	t := c.member.table
	for _, id := range sortedKeys(t.roster) {
		r.lastID = max(r.lastID, id)
		e := *t.roster[id]
		r.table.roster[id] = &e
		if e.peer.Same(predecessor) {
			e.removed = true
		}
		if !e.removed {
			r.members[id] = &memberInfo{id: id, peer: e.peer, lagSince: c.now}
		}
		r.table.changeMember(&e)
	}
	for _, id := range t.ids() {
		if e := t.slots[id]; e.state != stateRemoved && r.entry.Record.Contains(id) {
			r.inherited[id] = inheritedSlot{token: e.token, owner: e.owner, standby: e.standby, synced: e.synced}
			switch {
			case e.state == stateWaiting:
				r.inherited[id] = inheritedSlot{token: e.token, owner: e.next}
			case e.owner == 0:
				r.inherited[id] = inheritedSlot{}
			}
		}
	}
	if len(r.inherited) > 0 {
		r.loadsKnownAt = c.now.Add(loadReportsBeforePlanning * c.cfg.LoadReportInterval)
	}
	if r.find(c.self) == nil {
		c.admit(c.self, TargetState{}).reported = false
	}
}

// recordExpiry returns the time at which the authority of a record's writer ends, for a write that was
// first sent at firstSent. It is the record's TTL less a margin for clock drift.
func (c *Cell) recordExpiry(firstSent seamclock.Instant, r Record) seamclock.Instant {
	ttl := time.Duration(r.TTLMillis) * time.Millisecond
	return firstSent.Add(ttl - max(c.cfg.ClockMargin, ttl/recordDriftDivisor))
}

// recordDriftDivisor bounds the clock drift over the TTL of a record to 1/recordDriftDivisor of it.
const recordDriftDivisor = 1000

// authority returns the instant at which the coordinator's authority to grant leases ends, and
// whether it is still valid.
func (c *Cell) authority() (seamclock.Instant, bool) {
	r := c.coordination
	if r == nil || r.resigned {
		return seamclock.Instant{}, false
	}
	end := r.recordExpiresAt
	if !r.counterpartResigned && !r.entry.Record.Backup.Zero() {
		end = earlier(end, r.lastAnsweredHeartbeat.Add(c.cfg.CoordinatorLease-c.cfg.ClockMargin))
	} else if r.roleChange != nil {
		end = earlier(end, r.roleChange.firstSent.Add(c.cfg.CoordinatorLease-c.cfg.ClockMargin))
	}
	return end, !seamclock.Expired(c.now, end)
}

// find returns the member with the identity, or nil.
func (r *coordination) find(p seampeer.Peer) *memberInfo {
	for _, id := range sortedKeys(r.members) {
		if r.members[id].peer.Same(p) {
			return r.members[id]
		}
	}
	return nil
}

// nextToken returns a fencing token that is higher than all earlier ones of this coordinator.
func (r *coordination) nextToken() uint64 {
	r.tokenCounter++
	return uint64(r.entry.Record.Epoch)<<32 | uint64(r.tokenCounter)
}

// stepDown ends this node's role as coordinator, because another coordinator has started or will.
func (c *Cell) stepDown() {
	r := c.coordination
	c.coordination = nil
	c.emit(seamevent.CellStopped, seamevent.Fields{"cell": r.entry.Record.ID, "epoch": r.entry.Record.Epoch})
	if c.member != nil {
		c.stopServing()
		c.member.lastAnswer = c.now
		c.member.unanswered = 0
	}
}

// adoptRecord applies a revision of the cell's own record that another node has written.
func (c *Cell) adoptRecord(e Entry) {
	r := c.coordination
	if e.Revision <= r.entry.Revision {
		return
	}
	// The record of an acting coordinator still names the coordinator that has resigned.
	if e.Deleted || !e.Record.Coordinator.Same(r.entry.Record.Coordinator) {
		c.stepDown()
		if e.Deleted {
			c.leave()
			return
		}
		c.memberRecord(e)
		return
	}
	if e.Record.Epoch < r.entry.Record.Epoch {
		c.emit(seamevent.InvariantBroken, seamevent.Fields{"what": "epoch of a cell fell", "cell": e.Record.ID})
	}
	if !e.Record.Backup.Same(r.entry.Record.Backup) {
		r.lastAnsweredHeartbeat = seamclock.Instant{}
		r.heartbeats = map[uint64]heartbeat{}
	}
	r.entry = e
	c.removeForeignSlots()
}

func (c *Cell) tickCoordination() {
	r := c.coordination
	_, ok := c.authority()
	if r.hadAuthority && !ok && !r.resigned {
		c.emit(seamevent.CellStopped, seamevent.Fields{"cell": r.entry.Record.ID, "epoch": r.entry.Record.Epoch, "reason": "no authority"})
	}
	r.hadAuthority = ok
	c.sendHeartbeat()
	c.maintainBackup()
	if !ok || !r.recovered {
		return
	}
	c.updateLag()
	c.forgetRemoved()
	c.plan()
	c.tickRanges()
	c.keepalive()
	c.stopCoordinating()
}

// forgetRemoved deletes removed members once all other members know of the removal.
func (c *Cell) forgetRemoved() {
	r := c.coordination
	known := r.table.version
	for _, m := range r.members {
		known = min(known, m.ackedVersion)
	}
	r.table.prune(known)
}

// sendHeartbeat sends a heartbeat to the backup to renew the coordinator lease.
func (c *Cell) sendHeartbeat() {
	r := c.coordination
	b := r.entry.Record.Backup
	if b.Zero() || r.counterpartResigned || r.resigned || !r.lastHeartbeat.Zero() && c.now.Mono-r.lastHeartbeat.Mono < c.cfg.Heartbeat {
		return
	}
	r.lastHeartbeat = c.now
	r.sequence++
	r.heartbeats[r.sequence] = heartbeat{sent: c.now, epoch: r.entry.Record.Epoch, rolesStable: r.roleChange == nil}
	delete(r.heartbeats, r.sequence-heartbeatRetention)
	x := &seamcellwire.Beat{Sequence: r.sequence, Epoch: r.entry.Record.Epoch, Revision: r.entry.Revision, Backup: b.Incarnation}
	if r.lastAnsweredSequence == 0 || r.sequence-r.lastAnsweredSequence > maxMissedAnswers {
		x.Peer = peerToWire(c.self)
	}
	c.send(b, &seamcellwire.Message{Cell: r.entry.Record.ID, Term: r.term, Body: &seamcellwire.Message_Beat{Beat: x}})
}

func (c *Cell) onPromise(x *seamcellwire.Message, p *seamcellwire.Promise) {
	r := c.coordination
	if r == nil || x.GetCell() != r.entry.Record.ID {
		return
	}
	b, ok := r.heartbeats[p.GetSequence()]
	from := seampeer.Peer{Name: x.GetName(), Incarnation: x.GetIncarnation()}
	if !ok || !b.rolesStable || b.epoch != p.GetEpoch() || !r.entry.Record.Backup.Same(from) {
		return
	}
	delete(r.heartbeats, p.GetSequence())
	r.lastAnsweredSequence = max(r.lastAnsweredSequence, p.GetSequence())
	if r.lastAnsweredHeartbeat.Zero() || b.sent.Mono > r.lastAnsweredHeartbeat.Mono {
		r.lastAnsweredHeartbeat = b.sent
	}
}

// maintainBackup appoints another backup if there is none, or if the current one is unresponsive,
// has resigned, is not a member or is draining, or if a member in another failure domain is better.
func (c *Cell) maintainBackup() {
	r := c.coordination
	if r.resigned || !c.canCall(r.entry.Key) {
		return
	}
	current := r.entry.Record.Backup
	known := r.find(current)
	unresponsive := !r.counterpartResigned && !current.Zero() && seamclock.MaxElapsed(c.now, r.lastAnsweredHeartbeat) > c.unresponsiveTimeout()
	best := c.chooseBackup(current, unresponsive || r.counterpartResigned)
	switch {
	case current.Zero() && best.Zero():
		return
	case current.Zero(), r.counterpartResigned && !best.Zero(), unresponsive, known == nil:
	case r.acting && seamclock.MaxElapsed(c.now, r.startedAt) > c.unresponsiveTimeout():
		// No member can be the backup. The record is written nevertheless, because other nodes
		// find this coordinator by it.
	case c.memberDraining(known) && !best.Zero() && !best.Same(current):
	case r.backupImprovable(best, c.self) && seamclock.MaxElapsed(c.now, r.lastBackupChange) > c.cfg.SettleDelay:
	default:
		return
	}
	if known == nil && !unresponsive && !r.recovered {
		return
	}
	r.lastBackupChange = c.now
	if best.Same(current) && !r.counterpartResigned {
		return
	}
	c.changeBackup(best)
}

// backupImprovable reports whether best is in another failure domain than the coordinator and the
// current backup is not.
func (r *coordination) backupImprovable(best, self seampeer.Peer) bool {
	b := r.entry.Record.Backup
	return !best.Zero() && b.Domain == self.Domain && best.Domain != self.Domain
}

func (c *Cell) memberDraining(x *memberInfo) bool {
	e := c.coordination.table.roster[x.id]
	return e.draining || x.leaving || x.moveTo != ""
}

// chooseBackup returns the best responsive member to be the backup, or a zero peer. It prefers members
// in other failure domains, and among these the current backup unless that is excluded.
func (c *Cell) chooseBackup(current seampeer.Peer, excludeCurrent bool) seampeer.Peer {
	r := c.coordination
	var best seampeer.Peer
	rank := -1
	for _, id := range sortedKeys(r.members) {
		x := r.members[id]
		if x.peer.Same(c.self) || excludeCurrent && x.peer.Same(current) || !c.responsive(x) || c.memberDraining(x) {
			continue
		}
		n := 0
		if x.peer.Domain != c.self.Domain {
			n += 2
		}
		if x.peer.Same(current) {
			n++
		}
		if n > rank {
			best, rank = x.peer, n
		}
	}
	return best
}

// missesAnswers reports whether the member seems to receive no answers, for example because the
// network path to it is cut.
func (m *memberInfo) missesAnswers() bool {
	return m.missed >= maxMissedAnswers
}

// responsive reports whether the member has sent a renewal recently and receives answers.
func (c *Cell) responsive(x *memberInfo) bool {
	return !x.lastRenewal.Zero() && seamclock.MaxElapsed(c.now, x.lastRenewal) <= c.unresponsiveTimeout() && !x.missesAnswers()
}

// changeBackup writes the next epoch with another backup, or with none.
func (c *Cell) changeBackup(b seampeer.Peer) {
	r := c.coordination
	n := c.recordToPublish()
	n.Epoch++
	// After a resignation the record still names the node that resigned.
	n.Coordinator = c.self
	n.Backup = b
	r.roleChange = &roleChange{firstSent: c.now}
	c.swap(r.entry.Revision, n, seamstore.Takeover, func(o Outcome, e Entry, first seamclock.Instant) {
		r.roleChange = nil
		if o != OK || c.coordination != r {
			return
		}
		r.entry = e
		r.lastAnsweredHeartbeat = first
		r.recordExpiresAt = c.recordExpiry(first, e.Record)
		r.lastWrite = first
		r.counterpartResigned = false
		r.acting = false
		r.heartbeats = map[uint64]heartbeat{}
		r.lastHeartbeat = seamclock.Instant{}
		r.lastAnsweredSequence = 0
		c.member.epoch = e.Record.Epoch
		c.member.backup = b
		c.emit(seamevent.CellEpoch, seamevent.Fields{"cell": e.Record.ID, "epoch": e.Record.Epoch, "coordinator": c.self.Name, "backup": b.Name})
		c.sendHeartbeat()
	})
}

// recordToPublish returns the record with an updated TTL, renewal counter, size and services.
func (c *Cell) recordToPublish() Record {
	r := c.coordination
	n := r.entry.Record
	n.Renewals++
	n.TTLMillis = c.cfg.RecordTTL.Milliseconds()
	if r.recovered {
		n.Size, n.Services = c.sizeAndServices()
	}
	return n
}

// sizeAndServices returns the number of members that are not draining, and the services of those of
// their targets that are not leaving.
func (c *Cell) sizeAndServices() (int, []string) {
	r := c.coordination
	services := map[string]bool{}
	size := 0
	for _, id := range sortedKeys(r.members) {
		e := r.table.roster[id]
		if e.draining {
			continue
		}
		size++
		if e.target.Service != "" && !e.target.Leaving {
			services[e.target.Service] = true
		}
	}
	return size, sortedKeys(services)
}

// keepaliveParts is the number of writes of the record per record TTL.
const keepaliveParts = 3

// keepalive renews the record's TTL and publishes the size and the services of the cell.
func (c *Cell) keepalive() {
	r := c.coordination
	if r.resigned || !c.canCall(r.entry.Key) {
		return
	}
	n := c.recordToPublish()
	due := seamclock.MaxElapsed(c.now, r.lastWrite) >= c.cfg.RecordTTL/keepaliveParts
	changed := n.Size != r.entry.Record.Size || !equal(n.Services, r.entry.Record.Services)
	if !due && (!changed || seamclock.MaxElapsed(c.now, r.lastPublish) < c.cfg.MinPublishInterval) {
		return
	}
	r.lastPublish = c.now
	c.write(n, seamstore.Keepalive, func() {})
}

// write writes a record that names the same coordinator and backup, and calls done if the write
// took effect.
func (c *Cell) write(n Record, p seamstore.Priority, done func()) {
	r := c.coordination
	c.swap(r.entry.Revision, n, p, func(o Outcome, e Entry, first seamclock.Instant) {
		if o != OK || c.coordination != r {
			return
		}
		r.entry = e
		r.lastWrite = first
		if !r.counterpartResigned {
			r.recordExpiresAt = c.recordExpiry(first, e.Record)
		} else {
			r.recordExpiresAt = later(r.recordExpiresAt, c.recordExpiry(first, e.Record))
		}
		c.member.epoch = e.Record.Epoch
		done()
	})
}

func equal(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
