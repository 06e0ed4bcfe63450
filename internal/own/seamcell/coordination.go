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

// coordination is the part of the coordinator of a cell.
type coordination struct {
	entry Entry
	// term orders the tenures of coordinators of a cell: twice the epoch in which it began, plus one if it
	// began by the resignation of the coordinator of that epoch.
	term    uint64
	acting  bool
	counter uint32
	table   *table
	infos   map[uint32]*info
	lastID  uint32

	// promised is when the latest beat was sent that the backup of the recorded epoch answered.
	promised seamclock.Instant
	// horizon is the instant at which the record ceases to bind others.
	horizon seamclock.Instant
	written seamclock.Instant
	// sole says that the other party of the record has resigned.
	sole     bool
	resigned bool
	gate     *gate

	sequence uint64
	beats    map[uint64]beat
	beaten   seamclock.Instant
	// lastPromise is the sequence of the last promise that arrived.
	lastPromise uint64

	// settled says that the reports of an earlier term have been collected.
	settled bool
	collect seamclock.Instant
	// reminded is when members were asked for their reports last.
	reminded seamclock.Instant
	// patient says that members may exist that are not in the roster yet.
	patient bool
	beliefs map[seamslot.ID]belief
	// quiet is the instant before which leases of an earlier term may run.
	quiet seamclock.Instant
	begun seamclock.Instant
	had   bool
	since map[seamslot.ID]seamclock.Instant
	// kept are the times at which hand-overs failed.
	kept    map[seamslot.ID]seamclock.Instant
	loads   map[seamslot.ID]SlotLoad
	hints   map[seamslot.ID]string
	holds   map[seamslot.ID]seamclock.Instant
	waits   map[seamslot.ID]wait
	planned seamclock.Instant
	// measured is the instant by which members have reported the loads of inherited slots.
	measured  seamclock.Instant
	published seamclock.Instant
	improved  seamclock.Instant
	ranges    rangeMoves
}

// gate is a change of the record's roles whose outcome is not known.
type gate struct {
	// first is when the change was first sent.
	first seamclock.Instant
}

// beat is one question to the backup.
type beat struct {
	sent  seamclock.Instant
	epoch uint32
	// counts says that no change of roles was under way when it was sent.
	counts bool
}

// belief is what is known of a slot from an earlier term.
type belief struct {
	token   uint64
	owner   uint32
	standby uint32
	synced  bool
	// age is the time for which the owner has had the slot.
	age time.Duration
	// reported says that the owner itself has reported the slot.
	reported bool
}

// info is what the coordinator knows of a member besides the table.
type info struct {
	id      uint32
	peer    seampeer.Peer
	version uint64
	sent    uint64
	heard   seamclock.Instant
	// missed is the number of renewals of which the member has seen no answer.
	missed uint32
	// until is the latest end of a lease that the member can have.
	until     seamclock.Instant
	applied   int64
	lag       seamclock.Instant
	lagging   bool
	inflight  int
	announced uint32
	parts     map[uint32]bool
	reported  bool
	leaving   bool
	// told is the header of the latest answer that had one, tellings how often it was sent.
	told     answerHeader
	tellings int
	// cell is the cell that the member is to move to, or empty.
	cell string
}

// actingCounter is the first token counter of a coordination that began by a resignation.
const actingCounter = 1 << 31

// startCoordination makes this node the coordinator. first is when the write that made it so was first sent,
// or, of an acting coordinator, when its last promise was.
func (c *Cell) startCoordination(e Entry, first seamclock.Instant, before seampeer.Peer, acting bool) {
	r := &coordination{
		entry: e, term: uint64(e.Record.Epoch) << 1, acting: acting, infos: map[uint32]*info{},
		promised: first, written: first, sole: acting, beats: map[uint64]beat{}, begun: c.now,
		beliefs: map[seamslot.ID]belief{}, since: map[seamslot.ID]seamclock.Instant{},
		kept:  map[seamslot.ID]seamclock.Instant{},
		loads: map[seamslot.ID]SlotLoad{}, hints: map[seamslot.ID]string{}, holds: map[seamslot.ID]seamclock.Instant{}, waits: map[seamslot.ID]wait{},
		published: c.now, improved: c.now,
	}
	r.horizon = c.horizonFrom(first, e.Record)
	r.collect = c.now.Add(c.cfg.ReportTimeout)
	if acting {
		r.term++
		r.counter = actingCounter
		r.quiet = c.now.Add(c.cfg.MaxLease + c.cfg.ClockMargin)
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
	c.inherit(before)
	c.member.coordinator = c.self
	c.member.epoch = e.Record.Epoch
	c.emit(seamevent.CellEpoch, seamevent.Fields{"cell": e.Record.ID, "epoch": e.Record.Epoch, "coordinator": c.self.Name, "backup": e.Record.Backup.Name})
	r.reminded = c.now
	for _, id := range sortedKeys(r.infos) {
		c.sendLead(r.infos[id].peer, id)
	}
}

// measureReports is the number of reports of load for which a new coordinator waits before
// it plans. The second comes also from members that were given slots meanwhile.
const measureReports = 2

// inherit takes over the roster and the owners that this node knows as a member.
func (c *Cell) inherit(before seampeer.Peer) {
	r := c.coordination
	t := c.member.table
	for _, id := range sortedKeys(t.roster) {
		r.lastID = max(r.lastID, id)
		e := *t.roster[id]
		r.table.roster[id] = &e
		if e.peer.Same(before) {
			e.gone = true
		}
		if !e.gone {
			r.infos[id] = &info{id: id, peer: e.peer, lag: c.now}
		}
		r.table.changeMember(&e)
	}
	for _, id := range t.ids() {
		if e := t.slots[id]; e.state != stateGone && r.entry.Record.Contains(id) {
			r.beliefs[id] = belief{token: e.token, owner: e.owner, standby: e.standby, synced: e.synced}
			switch {
			case e.state == stateWaiting:
				r.beliefs[id] = belief{token: e.token, owner: e.next}
			case e.owner == 0:
				r.beliefs[id] = belief{}
			}
		}
	}
	if len(r.beliefs) > 0 {
		r.measured = c.now.Add(measureReports * c.cfg.LoadReportInterval)
	}
	if r.find(c.self) == nil {
		c.admit(c.self, TargetState{}).reported = false
	}
}

// horizonFrom returns the end of the rights of the writer of a record that was sent at first.
func (c *Cell) horizonFrom(first seamclock.Instant, r Record) seamclock.Instant {
	h := time.Duration(r.TTLMillis) * time.Millisecond
	return first.Add(h - max(c.cfg.ClockMargin, h/horizonDrift))
}

// horizonDrift is the part of the horizon by which clocks may differ after it: one in so many.
const horizonDrift = 1000

// authority returns the instant at which the coordinator's right to grant ends, and whether it has one.
func (c *Cell) authority() (seamclock.Instant, bool) {
	r := c.coordination
	if r == nil || r.resigned {
		return seamclock.Instant{}, false
	}
	end := r.horizon
	if !r.sole && !r.entry.Record.Backup.Zero() {
		end = earlier(end, r.promised.Add(c.cfg.CoordinatorLease-c.cfg.ClockMargin))
	} else if r.gate != nil {
		end = earlier(end, r.gate.first.Add(c.cfg.CoordinatorLease-c.cfg.ClockMargin))
	}
	return end, !seamclock.Expired(c.now, end)
}

// find returns the member with the identity, or nil.
func (r *coordination) find(p seampeer.Peer) *info {
	for _, id := range sortedKeys(r.infos) {
		if r.infos[id].peer.Same(p) {
			return r.infos[id]
		}
	}
	return nil
}

// token returns the next fencing token.
func (r *coordination) token() uint64 {
	r.counter++
	return uint64(r.entry.Record.Epoch)<<32 | uint64(r.counter)
}

// stepDown ends the coordination; another has begun or will.
func (c *Cell) stepDown() {
	r := c.coordination
	c.coordination = nil
	c.emit(seamevent.CellStopped, seamevent.Fields{"cell": r.entry.Record.ID, "epoch": r.entry.Record.Epoch})
	if c.member != nil {
		c.stopServing()
		c.member.answered = c.now
		c.member.unanswered = 0
	}
}

// adoptRecord takes a revision of the own cell's record that another node has written.
func (c *Cell) adoptRecord(e Entry) {
	r := c.coordination
	if e.Revision <= r.entry.Revision {
		return
	}
	// The record of an acting coordinator still names the one that has resigned.
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
		r.promised = seamclock.Instant{}
		r.beats = map[uint64]beat{}
	}
	r.entry = e
	c.dropForeign()
}

func (c *Cell) tickCoordination() {
	r := c.coordination
	_, ok := c.authority()
	if r.had && !ok && !r.resigned {
		c.emit(seamevent.CellStopped, seamevent.Fields{"cell": r.entry.Record.ID, "epoch": r.entry.Record.Epoch, "reason": "no authority"})
	}
	r.had = ok
	c.beat()
	c.appoint()
	if !ok || !r.settled {
		return
	}
	c.updateLag()
	c.forgetGone()
	c.plan()
	c.tickRanges()
	c.keepalive()
	c.retire()
}

// forgetGone forgets members that are gone once all others know it.
func (c *Cell) forgetGone() {
	r := c.coordination
	known := r.table.version
	for _, m := range r.infos {
		known = min(known, m.version)
	}
	r.table.prune(known)
}

// beat asks the backup for its promise.
func (c *Cell) beat() {
	r := c.coordination
	b := r.entry.Record.Backup
	if b.Zero() || r.sole || r.resigned || !r.beaten.Zero() && c.now.Mono-r.beaten.Mono < c.cfg.Heartbeat {
		return
	}
	r.beaten = c.now
	r.sequence++
	r.beats[r.sequence] = beat{sent: c.now, epoch: r.entry.Record.Epoch, counts: r.gate == nil}
	delete(r.beats, r.sequence-promisesKept)
	x := &seamcellwire.Beat{Sequence: r.sequence, Epoch: r.entry.Record.Epoch, Revision: r.entry.Revision, Backup: b.Incarnation}
	if r.lastPromise == 0 || r.sequence-r.lastPromise > patience {
		x.Peer = peerWire(c.self)
	}
	c.send(b, &seamcellwire.Message{Cell: r.entry.Record.ID, Term: r.term, Body: &seamcellwire.Message_Beat{Beat: x}})
}

func (c *Cell) onPromise(x *seamcellwire.Message, p *seamcellwire.Promise) {
	r := c.coordination
	if r == nil || x.GetCell() != r.entry.Record.ID {
		return
	}
	b, ok := r.beats[p.GetSequence()]
	from := seampeer.Peer{Name: x.GetName(), Incarnation: x.GetIncarnation()}
	if !ok || !b.counts || b.epoch != p.GetEpoch() || !r.entry.Record.Backup.Same(from) {
		return
	}
	delete(r.beats, p.GetSequence())
	r.lastPromise = max(r.lastPromise, p.GetSequence())
	if r.promised.Zero() || b.sent.Mono > r.promised.Mono {
		r.promised = b.sent
	}
}

// appoint names a backup if there is none that answers.
func (c *Cell) appoint() {
	r := c.coordination
	if r.resigned || !c.mayCall(r.entry.Key) {
		return
	}
	current := r.entry.Record.Backup
	known := r.find(current)
	silent := !r.sole && !current.Zero() && seamclock.MaxElapsed(c.now, r.promised) > c.silence()
	best := c.chooseBackup(current, silent || r.sole)
	switch {
	case current.Zero() && best.Zero():
		return
	case current.Zero(), r.sole && !best.Zero(), silent, known == nil:
	case r.acting && seamclock.MaxElapsed(c.now, r.begun) > c.silence():
		// No member can be the backup; others find this node by the record all the same.
	case c.memberDraining(known) && !best.Zero() && !best.Same(current):
	case r.improvable(best, c.self) && seamclock.MaxElapsed(c.now, r.improved) > c.cfg.SettleDelay:
	default:
		return
	}
	if known == nil && !silent && !r.settled {
		return
	}
	r.improved = c.now
	if best.Same(current) && !r.sole {
		return
	}
	c.changeBackup(best)
}

// improvable reports whether best stands in another failure domain than the coordinator and the backup does not.
func (r *coordination) improvable(best, self seampeer.Peer) bool {
	b := r.entry.Record.Backup
	return !best.Zero() && b.Domain == self.Domain && best.Domain != self.Domain
}

func (c *Cell) memberDraining(x *info) bool {
	e := c.coordination.table.roster[x.id]
	return e.draining || x.leaving || x.cell != ""
}

// chooseBackup returns the best live member to be the backup, or a zero peer.
func (c *Cell) chooseBackup(current seampeer.Peer, exclude bool) seampeer.Peer {
	r := c.coordination
	var best seampeer.Peer
	rank := -1
	for _, id := range sortedKeys(r.infos) {
		x := r.infos[id]
		if x.peer.Same(c.self) || exclude && x.peer.Same(current) || !c.hears(x) || c.memberDraining(x) {
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

// deaf reports whether the member does not seem to get answers, as when the way to it is cut.
func (m *info) deaf() bool {
	return m.missed >= patience
}

// hears reports whether the member has shown a sign of life lately.
func (c *Cell) hears(x *info) bool {
	return !x.heard.Zero() && seamclock.MaxElapsed(c.now, x.heard) <= c.silence() && !x.deaf()
}

// changeBackup writes the next epoch with another backup, or with none.
func (c *Cell) changeBackup(b seampeer.Peer) {
	r := c.coordination
	n := c.published()
	n.Epoch++
	// After a resignation the record still names the one that resigned.
	n.Coordinator = c.self
	n.Backup = b
	r.gate = &gate{first: c.now}
	c.swap(r.entry.Revision, n, seamstore.Takeover, func(o Outcome, e Entry, first seamclock.Instant) {
		r.gate = nil
		if o != OK || c.coordination != r {
			return
		}
		r.entry = e
		r.promised = first
		r.horizon = c.horizonFrom(first, e.Record)
		r.written = first
		r.sole = false
		r.acting = false
		r.beats = map[uint64]beat{}
		r.beaten = seamclock.Instant{}
		r.lastPromise = 0
		c.member.epoch = e.Record.Epoch
		c.member.backup = b
		c.emit(seamevent.CellEpoch, seamevent.Fields{"cell": e.Record.ID, "epoch": e.Record.Epoch, "coordinator": c.self.Name, "backup": b.Name})
		c.beat()
	})
}

// published returns the record with its slow fields brought up to date.
func (c *Cell) published() Record {
	r := c.coordination
	n := r.entry.Record
	n.Renewals++
	n.TTLMillis = c.cfg.RecordTTL.Milliseconds()
	if r.settled {
		n.Size, n.Services = c.sizeAndOffers()
	}
	return n
}

// sizeAndOffers returns the number of members and the services of their targets.
func (c *Cell) sizeAndOffers() (int, []string) {
	r := c.coordination
	offers := map[string]bool{}
	size := 0
	for _, id := range sortedKeys(r.infos) {
		e := r.table.roster[id]
		if e.draining {
			continue
		}
		size++
		if e.target.Service != "" && !e.target.Leaving {
			offers[e.target.Service] = true
		}
	}
	return size, sortedKeys(offers)
}

// keepaliveParts is the number of writes of the record within one horizon.
const keepaliveParts = 3

// keepalive renews the horizon, and publishes the size and the services of the cell.
func (c *Cell) keepalive() {
	r := c.coordination
	if r.resigned || !c.mayCall(r.entry.Key) {
		return
	}
	n := c.published()
	due := seamclock.MaxElapsed(c.now, r.written) >= c.cfg.RecordTTL/keepaliveParts
	changed := n.Size != r.entry.Record.Size || !equal(n.Services, r.entry.Record.Services)
	if !due && (!changed || seamclock.MaxElapsed(c.now, r.published) < c.cfg.MinPublishInterval) {
		return
	}
	r.published = c.now
	c.write(n, seamstore.Keepalive, func() {})
}

// write writes a record that names the same coordinator and backup, and calls done if it took effect.
func (c *Cell) write(n Record, p seamstore.Priority, done func()) {
	r := c.coordination
	c.swap(r.entry.Revision, n, p, func(o Outcome, e Entry, first seamclock.Instant) {
		if o != OK || c.coordination != r {
			return
		}
		r.entry = e
		r.written = first
		if !r.sole {
			r.horizon = c.horizonFrom(first, e.Record)
		} else {
			r.horizon = later(r.horizon, c.horizonFrom(first, e.Record))
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
