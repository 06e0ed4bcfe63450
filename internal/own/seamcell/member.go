package seamcell

import (
	"time"

	"google.golang.org/protobuf/proto"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamcellwire"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamgrant"
	"cardamomseam/internal/own/seamslot"
)

const (
	// listLimit is the largest number of slots in one list of a renewal.
	listLimit = 32
	// reportLimit is the largest number of slots in one report.
	reportLimit = 40
	// joinAttempts is the number of renewals after which a request for admission has failed.
	joinAttempts = 3
	// patience is the number of unanswered renewals after which the backup is asked too.
	patience = 2
	// leaveAttempts is the number of farewells that a leaving member sends.
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
	reported   bool
	loaded     seamclock.Instant
	fetched    seamclock.Instant
	farewells  int
	// done is when a planned stop had moved everything away.
	done seamclock.Instant

	serving map[seamslot.ID]*serving
	// released are the tokens of slots handed over and not yet seen to have changed.
	released map[seamslot.ID]uint64
	// kept are the tokens of released slots whose state could not be handed over.
	kept map[seamslot.ID]uint64
	// past are the tokens under which slots were served last.
	past  map[seamslot.ID]uint64
	loads []uint32
}

// pendingLease is a renewal that counts once the table has reached the version need.
type pendingLease struct {
	until seamclock.Instant
	need  uint64
}

// serving is a slot that the own target was told to serve.
type serving struct {
	token     uint64
	standby   seampeer.Peer
	target    string
	releasing bool
	since     seamclock.Instant
}

func newMember(now seamclock.Instant, cell string, coordinator, backup seampeer.Peer) *member {
	return &member{
		cell: cell, coordinator: coordinator, backup: backup, table: newTable(0), answered: now,
		sent: map[uint64]seamclock.Instant{}, serving: map[seamslot.ID]*serving{},
		released: map[seamslot.ID]uint64{}, kept: map[seamslot.ID]uint64{}, past: map[seamslot.ID]uint64{},
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
	if c.now.Mono-m.renewed.Mono >= c.cfg.Heartbeat || m.renewed.Zero() {
		c.leaveWhenDone()
		if c.member == m {
			c.renew()
		}
	}
	if c.member != m {
		return
	}
	if m.joined && c.now.Mono-m.loaded.Mono >= c.cfg.Report {
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
	silent := m.joined && c.reign == nil && c.now.Mono-m.answered.Mono >= c.cfg.Promise*2
	if silent && c.now.Mono-m.fetched.Mono >= c.cfg.Promise {
		m.fetched = c.now
		c.do(Fetch{Kind: Directory, Revision: c.since()})
	}
}

// orphaned reports whether the cell has been silent for so long that the node looks for another.
// A node that has served slots stays until the record's horizon, for its server has their state.
func (c *Cell) orphaned() bool {
	m := c.member
	if !m.joined || c.reign != nil || c.now.Mono-m.answered.Mono < c.cfg.Orphan {
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

func (c *Cell) stopServing() {
	m := c.member
	for _, id := range sortedSlots(m.serving) {
		c.do(StopServing{Slot: id, Epoch: m.serving[id].token})
	}
	m.serving = map[seamslot.ID]*serving{}
	m.lease = seamclock.Instant{}
}

// leaveWhenDone leaves the cell once a planned stop has moved everything away.
func (c *Cell) leaveWhenDone() {
	m := c.member
	if !c.draining || c.reign != nil || !m.joined || c.ownsAny() {
		return
	}
	if m.done.Zero() {
		m.done = c.now
	}
	if c.watch != nil {
		if seamclock.Most(c.now, m.done) >= c.cfg.Promise {
			c.resignBackup()
		}
		return
	}
	m.farewells++
	if m.farewells > leaveAttempts {
		c.left()
	}
}

func (c *Cell) left() {
	c.leave()
	if c.draining && c.farewell == nil {
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

// renew asks the coordinator to renew the lease.
func (c *Cell) renew() {
	m := c.member
	m.sequence++
	m.sent[m.sequence] = c.now
	m.renewed = c.now
	delete(m.sent, m.sequence-sentLife)
	x := c.renewal()
	m.unanswered++
	to := c.asked()
	spread := m.unanswered > patience && !m.backup.Zero() && !m.backup.Same(to)
	backup := m.backup
	c.send(to, &seamcellwire.Message{Cell: m.cell, Term: m.table.term, Body: &seamcellwire.Message_Renew{Renew: x}})
	if spread && !backup.Same(c.self) {
		y := proto.Clone(x).(*seamcellwire.Renew)
		c.send(backup, &seamcellwire.Message{Cell: m.cell, Term: m.table.term, Body: &seamcellwire.Message_Renew{Renew: y}})
	}
}

// asked returns the node that is asked to renew the lease.
func (c *Cell) asked() seampeer.Peer {
	m := c.member
	if c.reign != nil || !m.coordinator.Same(c.self) {
		return m.coordinator
	}
	if e, ok := c.directory.get(CellPrefix + m.cell); ok && !e.Record.Coordinator.Same(c.self) {
		return e.Record.Coordinator
	}
	return m.backup
}

func (c *Cell) renewal() *seamcellwire.Renew {
	m := c.member
	x := &seamcellwire.Renew{
		Sequence: m.sequence, Version: m.table.version, Rules: c.applied,
		Inflight: uint32(max(c.target.InFlight, 0)), Draining: c.draining, Announced: c.announced,
		Leaving: m.farewells > 0, Missed: uint32(m.unanswered),
	}
	if !m.joined {
		x.Peer = peerWire(c.self)
	}
	if m.known != c.announced || !m.joined {
		x.Target = targetWire(c.target)
	}
	for _, id := range sortedSlots(m.released) {
		if m.leaseTerm == m.table.term && len(x.Released) < listLimit {
			h := held(id, m.released[id])
			h.Kept = m.kept[id] == h.GetToken()
			x.Released = append(x.Released, h)
		}
	}
	c.addSynced(x)
	return x
}

func held(id seamslot.ID, token uint64) *seamcellwire.Held {
	return &seamcellwire.Held{Service: id.Service, Index: id.Index, Token: token}
}

// addSynced adds the slots of which the table says something else about the standby than the target does.
func (c *Cell) addSynced(x *seamcellwire.Renew) {
	m := c.member
	claimed := map[seamslot.ID]string{}
	for _, s := range c.target.Synced {
		claimed[s.Slot] = s.Standby
	}
	for _, id := range sortedSlots(m.serving) {
		e := m.table.slots[id]
		if e == nil || e.owner != m.id || e.standby == 0 || e.token != m.serving[id].token {
			continue
		}
		r := m.table.roster[e.standby]
		synced := r != nil && r.target.Address != "" && claimed[id] == r.target.Address
		switch {
		case synced && !e.synced && len(x.Synced) < listLimit:
			x.Synced = append(x.Synced, held(id, e.token))
		case !synced && e.synced && len(x.Lagging) < listLimit:
			x.Lagging = append(x.Lagging, held(id, e.token))
		}
	}
}

// sendLoad reports the loads of the slots in as many datagrams as they need.
func (c *Cell) sendLoad() {
	c.member.loaded = c.now
	l := &seamcellwire.Load{}
	size := 0
	for _, s := range c.target.Loads {
		w := &seamcellwire.SlotLoad{Service: s.Slot.Service, Index: s.Slot.Index, Rate: rateWire(s.Rate), Hottest: rateWire(s.Hottest)}
		n := proto.Size(w) + 2
		if size+n > c.payload() {
			c.sendLoads(l)
			l, size = &seamcellwire.Load{}, 0
		}
		l.Slots = append(l.Slots, w)
		size += n
	}
	c.sendLoads(l)
}

func (c *Cell) sendLoads(l *seamcellwire.Load) {
	m := c.member
	if len(l.GetSlots()) > 0 {
		c.send(m.coordinator, &seamcellwire.Message{Cell: m.cell, Term: m.table.term, Body: &seamcellwire.Message_Load{Load: l}})
	}
}

// rateUnit is the number of units of a rate on the wire in one request per second.
const rateUnit = 1000

func rateWire(rate float64) uint64 { return uint64(max(rate, 0) * rateUnit) }

func rateOf(wire uint64) float64 { return float64(wire) / rateUnit }

// envelope is the room left in a datagram for all but lists, in bytes.
const envelope = 300

// payload is the room for lists in a datagram, in bytes.
func (c *Cell) payload() int {
	return max(c.cfg.Datagram-envelope, envelope)
}

func (c *Cell) onAnswer(x *seamcellwire.Message, a *seamcellwire.Answer) {
	m := c.member
	if m == nil || (x.GetCell() != m.cell && (m.joined || m.cell != "")) || x.GetTerm() < m.table.term {
		return
	}
	from := seampeer.Peer{Name: x.GetName(), Incarnation: x.GetIncarnation()}
	if !m.joined {
		if a.GetId() == 0 {
			return
		}
		c.admitted(x.GetCell())
	}
	if x.GetTerm() > m.table.term {
		c.changeTerm(x.GetTerm())
	}
	if a.GetId() != 0 {
		m.id = a.GetId()
	}
	if p := a.GetPeer(); p != nil {
		m.coordinator = peerOf(p)
	}
	progress := m.table.apply(a)
	if !m.coordinator.Same(from) {
		m.coordinator = m.table.peer(m.table.number(from))
	}
	if a.GetEpoch() >= m.epoch {
		m.epoch = a.GetEpoch()
		m.backup = m.table.peer(a.GetBackup())
	}
	m.known = max(m.known, a.GetAnnounced())
	if w := c.watch; w != nil && w.resigned && a.GetBackup() != m.id && a.GetEpoch() >= w.epoch {
		c.watch = nil
	}
	c.takeLease(a)
	c.useLeases()
	c.fetchNewer(a)
	if a.GetReport() && !m.reported {
		c.sendReport()
		c.renew()
		return
	}
	if progress && (m.leaseTerm != m.table.term || c.watch != nil || m.lapsed) {
		c.renew()
	}
}

func (c *Cell) admitted(cell string) {
	m := c.member
	m.joined = true
	m.cell = cell
	c.joining.since = seamclock.Instant{}
	c.emit(seamevent.CellMemberJoined, seamevent.Fields{"cell": cell})
}

// changeTerm begins with an empty table; the lease of the earlier term runs on.
func (c *Cell) changeTerm(term uint64) {
	m := c.member
	if c.reign != nil && c.reign.term < term {
		c.stepDown()
	}
	if m.leaseTerm == m.table.term {
		m.old, m.oldID = m.table, m.id
	}
	m.table = newTable(term)
	m.id = 0
	m.pending = nil
	m.reported = false
	m.known = 0
	m.unanswered = 0
}

func (c *Cell) takeLease(a *seamcellwire.Answer) {
	m := c.member
	sent, ok := m.sent[a.GetSequence()]
	if a.GetSequence() == 0 || !ok {
		return
	}
	m.answered = c.now
	m.unanswered = 0
	if len(a.GetLoads()) > 0 {
		m.loads = a.GetLoads()
	}
	if a.GetLife() > 0 {
		life := time.Duration(a.GetLife()) * time.Millisecond
		m.pending = append(m.pending, pendingLease{until: sent.Add(life), need: a.GetNeed()})
	}
}

// useLeases extends the lease by the renewals whose changes of the table have arrived.
func (c *Cell) useLeases() {
	m := c.member
	rest := m.pending[:0]
	for _, p := range m.pending {
		if p.need > m.table.version {
			if !seamclock.Past(c.now, p.until) {
				rest = append(rest, p)
			}
			continue
		}
		if m.leaseTerm != m.table.term {
			m.leaseTerm = m.table.term
			m.lease = p.until
			m.old = nil
			m.released = map[seamslot.ID]uint64{}
			continue
		}
		m.lease = later(m.lease, p.until)
	}
	m.pending = rest
}

// fetchOverlap is the number of revisions that are asked for again, because two watches may have
// told the coordinator of changes in another order.
const fetchOverlap = 256

// since returns the revision after which records are asked for.
func (c *Cell) since() int64 {
	return max(0, c.directory.revision-fetchOverlap)
}

// fetchNewer asks the coordinator for rules and records that are newer than the own ones.
func (c *Cell) fetchNewer(a *seamcellwire.Answer) {
	m := c.member
	if c.reign != nil || c.now.Mono-m.fetched.Mono < c.cfg.Heartbeat {
		return
	}
	if a.GetRules() > c.applied {
		m.fetched = c.now
		c.do(Fetch{Kind: Rules, From: m.coordinator, Revision: c.applied})
	}
	if a.GetDirectory() > c.directory.revision {
		m.fetched = c.now
		c.do(Fetch{Kind: Directory, From: m.coordinator, Revision: c.since()})
	}
}

// sendReport tells a new coordinator which slots the own target served last.
func (c *Cell) sendReport() {
	m := c.member
	m.reported = true
	live := !m.lease.Zero() && !seamclock.Past(c.now, m.lease)
	ids := sortedSlots(m.past)
	parts := max(1, (len(ids)+reportLimit-1)/reportLimit)
	for i := range parts {
		r := &seamcellwire.Report{Part: uint32(i), Parts: uint32(parts)}
		for _, id := range ids[i*reportLimit : min(len(ids), (i+1)*reportLimit)] {
			h := held(id, m.past[id])
			h.Live = live
			r.Held = append(r.Held, h)
		}
		c.send(m.coordinator, &seamcellwire.Message{Cell: m.cell, Term: m.table.term, Body: &seamcellwire.Message_Report{Report: r}})
	}
}

func (c *Cell) onRefuse(x *seamcellwire.Message, f *seamcellwire.Refuse) {
	m := c.member
	if m == nil || (x.GetCell() != m.cell && m.cell != "") || c.reign != nil {
		return
	}
	if _, ok := m.sent[f.GetSequence()]; !ok {
		return
	}
	from := seampeer.Peer{Name: x.GetName(), Incarnation: x.GetIncarnation()}
	switch f.GetCause() {
	case seamcellwire.Refuse_ELSEWHERE:
		c.redirected(from, x, f)
	case seamcellwire.Refuse_FULL:
		if !m.joined {
			c.joinFailed(c.cfg.Settle)
		}
	case seamcellwire.Refuse_UNKNOWN:
		if m.joined && from.Same(m.coordinator) {
			c.readmit()
		}
	case seamcellwire.Refuse_MOVE:
		if m.joined && from.Same(m.coordinator) {
			c.leave()
			c.attempt(f.GetCell(), peerOf(f.GetCoordinator()), seampeer.Peer{})
		}
	case seamcellwire.Refuse_LEFT:
		if m.farewells > 0 && from.Same(m.coordinator) {
			c.left()
		}
	}
}

// redirected asks the coordinator that another member has named.
func (c *Cell) redirected(from seampeer.Peer, x *seamcellwire.Message, f *seamcellwire.Refuse) {
	m := c.member
	p := peerOf(f.GetCoordinator())
	if p.Zero() || p.Same(from) || p.Same(c.self) || p.Same(m.coordinator) {
		return
	}
	if m.joined && x.GetTerm() < m.table.term {
		return
	}
	if m.cell == "" {
		c.attempt(x.GetCell(), p, seampeer.Peer{})
		return
	}
	m.coordinator = p
	m.unanswered = 0
}

// readmit asks for admission anew, with an empty table. The lease is over by then.
func (c *Cell) readmit() {
	m := c.member
	c.stopServing()
	m.joined = false
	m.unanswered = 0
	m.table = newTable(m.table.term)
	m.old = nil
	m.id = 0
	m.pending = nil
	m.known = 0
	m.released = map[seamslot.ID]uint64{}
	m.sent = map[uint64]seamclock.Instant{}
	c.renew()
}

// memberRecord follows a new revision of the cell's record.
func (c *Cell) memberRecord(e Entry) {
	m := c.member
	if e.Deleted {
		if c.reign == nil && m.joined {
			c.leave()
		}
		return
	}
	if e.Record.Coordinator.Zero() && len(e.Record.Ranges) == 0 && c.reign == nil && m.joined {
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

// setTarget takes the state of the own target. Slots of a target that has ended are released.
func (c *Cell) setTarget(t TargetState) {
	before := c.target
	c.target = t
	if !proto.Equal(targetWire(before), targetWire(t)) {
		c.announced++
	}
	if c.member == nil || before.Service == "" || before.Name == t.Name && before.Service == t.Service {
		return
	}
	m := c.member
	m.past = map[seamslot.ID]uint64{}
	for _, id := range sortedSlots(m.serving) {
		token := m.serving[id].token
		c.do(StopServing{Slot: id, Epoch: token})
		m.released[id] = token
	}
	m.serving = map[seamslot.ID]*serving{}
	if m.joined {
		c.renew()
	}
}

// releaseKept releases a slot whose state could not be handed over. The member gets it
// back under a new token, so that acknowledged state is not left behind.
func (c *Cell) releaseKept(id seamslot.ID) {
	if s := c.member.serving[id]; s != nil {
		c.member.kept[id] = s.token
	}
	c.release(id)
}

// release marks a slot as handed over.
func (c *Cell) release(id seamslot.ID) {
	m := c.member
	t, number := m.active()
	if t == nil {
		return
	}
	e := t.slots[id]
	if e == nil || e.owner != number || e.state != stateReleasing {
		return
	}
	if m.released[id] == e.token {
		return
	}
	delete(m.serving, id)
	m.released[id] = e.token
	c.emit(seamevent.SlotReleased, seamevent.Fields{"slot": id.String(), "epoch": e.token})
	c.renew()
}

// releaseOverdue releases slots whose hand-over has taken longer than any request may.
func (c *Cell) releaseOverdue() {
	m := c.member
	for _, id := range sortedSlots(m.serving) {
		s := m.serving[id]
		if s == nil || !s.releasing || seamclock.Least(c.now, s.since) < c.deadline(id.Service)+c.cfg.Handover {
			continue
		}
		c.do(StopServing{Slot: id, Epoch: s.token})
		c.releaseKept(id)
	}
}

// defaultDeadline is the longest deadline of a service whose rules are not known.
const defaultDeadline = 2 * time.Second

// deadline returns the longest deadline of a request to the service.
func (c *Cell) deadline(service string) time.Duration {
	if s, ok := c.services[service]; ok && s.Deadline > 0 {
		return s.Deadline
	}
	return defaultDeadline
}

// reconcile tells the own target what it may serve.
func (c *Cell) reconcile() {
	m := c.member
	t, number := m.active()
	live := t != nil && !m.lease.Zero() && !seamclock.Past(c.now, m.lease)
	c.noteLapse(live)
	for _, id := range sortedSlots(m.serving) {
		if live && t.slots[id] != nil && t.slots[id].owner == number && t.slots[id].token == m.serving[id].token {
			continue
		}
		c.do(StopServing{Slot: id, Epoch: m.serving[id].token})
		delete(m.serving, id)
	}
	if t == nil {
		return
	}
	c.forgetReleased(t, number)
	c.forgetPast()
	if !live {
		return
	}
	for _, id := range t.ids() {
		if e := t.slots[id]; e.owner == number && number != 0 && m.released[id] != e.token {
			c.serve(t, id, e)
		}
	}
}

// noteLapse reports the end of a lease that had been running.
func (c *Cell) noteLapse(live bool) {
	m := c.member
	lapsed := !live && len(m.serving) > 0
	if lapsed && !m.lapsed {
		c.emit(seamevent.SlotLapsed, seamevent.Fields{"cell": m.cell, "slots": len(m.serving)})
	}
	m.lapsed = !live && (m.lapsed || lapsed)
}

func (c *Cell) forgetReleased(t *table, number uint32) {
	m := c.member
	for _, id := range sortedSlots(m.released) {
		if e := t.slots[id]; e == nil || e.owner != number || e.token != m.released[id] {
			delete(m.released, id)
			delete(m.kept, id)
		}
	}
}

// forgetPast forgets slots that another member has been granted since.
func (c *Cell) forgetPast() {
	m := c.member
	for _, id := range sortedSlots(m.past) {
		e := m.table.slots[id]
		if e != nil && (e.state == stateGone || e.owner != 0 && e.owner != m.id && e.token > m.past[id]) {
			delete(m.past, id)
		}
	}
}

// serve brings the own target in line with the entry of a slot that this node owns.
func (c *Cell) serve(t *table, id seamslot.ID, e *slotEntry) {
	m := c.member
	s := m.serving[id]
	if e.state == stateReleasing {
		c.stopGracefully(t, id, e, s)
		return
	}
	if c.target.Service != id.Service {
		m.released[id] = e.token
		return
	}
	standby, target := standbyOf(t, e)
	if s != nil && s.standby.Same(standby) && s.target == target {
		return
	}
	if e.token < m.past[id] {
		c.emit(seamevent.InvariantBroken, seamevent.Fields{"what": "epoch fell", "slot": id.String(), "epoch": e.token, "before": m.past[id]})
	}
	if s == nil {
		c.emit(seamevent.SlotGranted, seamevent.Fields{"slot": id.String(), "epoch": e.token, "cell": m.cell})
	}
	m.serving[id] = &serving{token: e.token, standby: standby, target: target}
	m.past[id] = e.token
	c.do(Serve{Slot: id, Epoch: e.token, Standby: standby, Target: target})
}

func standbyOf(t *table, e *slotEntry) (seampeer.Peer, string) {
	if r := t.roster[e.standby]; r != nil && e.standby != 0 && !r.gone {
		return r.peer, r.target.Address
	}
	return seampeer.Peer{}, ""
}

func (c *Cell) stopGracefully(t *table, id seamslot.ID, e *slotEntry, s *serving) {
	m := c.member
	if s == nil {
		m.released[id] = e.token
		return
	}
	if s.releasing {
		return
	}
	s.releasing = true
	s.since = c.now
	stop := StopServing{Slot: id, Epoch: e.token, Graceful: true}
	if e.outside != nil {
		stop.Successor, stop.Target = e.outside.peer, e.outside.target
	} else if r := t.roster[e.next]; r != nil {
		stop.Successor, stop.Target = r.peer, r.target.Address
	}
	c.do(stop)
}

// Held returns the grant of a slot that this node's server may serve now.
func (c *Cell) Held(now seamclock.Instant, id seamslot.ID) (seamgrant.Grant, bool) {
	m := c.member
	if m == nil || m.lease.Zero() || seamclock.Past(now, m.lease) {
		return seamgrant.Grant{}, false
	}
	s := m.serving[id]
	if s == nil || s.releasing {
		return seamgrant.Grant{}, false
	}
	return seamgrant.Grant{Slot: id, Epoch: s.token, Until: m.lease}, true
}

// Lease returns the end of this node's lease, and whether it is running.
func (c *Cell) Lease(now seamclock.Instant) (seamclock.Instant, bool) {
	m := c.member
	if m == nil || m.lease.Zero() || seamclock.Past(now, m.lease) {
		return seamclock.Instant{}, false
	}
	return m.lease, true
}
