package seamcell

import (
	"time"

	"google.golang.org/protobuf/proto"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamcellwire"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

func (c *Cell) onRenew(x *seamcellwire.Message, n *seamcellwire.Renew) {
	if n.GetPeer() != nil {
		c.noteArrival(peerOf(n.GetPeer()), x.GetCell())
	}
	r := c.coordination
	if r == nil || r.resigned || x.GetCell() != "" && x.GetCell() != r.entry.Record.ID {
		c.redirect(x, n)
		return
	}
	if x.GetTerm() > r.term && x.GetCell() == r.entry.Record.ID {
		c.stepDown()
		return
	}
	from := seampeer.Peer{Name: x.GetName(), Incarnation: x.GetIncarnation()}
	m := r.find(from)
	if m == nil {
		m = c.ask(x, n)
	}
	if m == nil {
		return
	}
	current := x.GetTerm() == r.term
	c.update(m, n, current)
	if r.infos[m.id] == nil {
		c.refuse(m.peer, n, seamcellwire.Refuse_LEFT)
		return
	}
	if m.cell != "" && c.movedAway(m, n) {
		return
	}
	c.answer(m, n, current)
}

// noteArrival remembers the latest incarnation of a node.
func (c *Cell) noteArrival(p seampeer.Peer, cell string) {
	if a, ok := c.arrivals[p.Name]; ok && a.peer.Incarnation >= p.Incarnation {
		if a.peer.Same(p) {
			a.cell = cell
			c.arrivals[p.Name] = a
		}
		return
	}
	if len(c.arrivals) >= arrivalLimit {
		c.arrivals = map[string]arrival{}
	}
	c.arrivals[p.Name] = arrival{peer: p, since: c.now, cell: cell}
}

// arrivalLimit is the number of arrivals that are remembered.
const arrivalLimit = 256

// ask admits a node that asks for admission, or refuses it.
func (c *Cell) ask(x *seamcellwire.Message, n *seamcellwire.Renew) *info {
	r := c.coordination
	from := c.sender(x, n)
	switch {
	case n.GetPeer() == nil:
		c.refuse(from, n, seamcellwire.Refuse_UNKNOWN)
		return nil
	case c.full(from.Name) || c.draining || r.ranges.closing:
		c.refuse(from, n, seamcellwire.Refuse_FULL)
		return nil
	}
	m := c.admit(from, targetOf(n.GetTarget()))
	m.reported = r.settled
	m.announced = n.GetAnnounced()
	c.emit(seamevent.CellMemberJoined, seamevent.Fields{"cell": r.entry.Record.ID, "member": from.Name})
	return m
}

// full reports whether the cell has no room for another instance.
func (c *Cell) full(name string) bool {
	r := c.coordination
	names := map[string]bool{name: true}
	for _, m := range r.infos {
		names[m.peer.Name] = true
	}
	return len(names) > c.cfg.MaxMembers
}

// sender returns the identity of the sender with the best address known.
func (c *Cell) sender(x *seamcellwire.Message, n *seamcellwire.Renew) seampeer.Peer {
	if n.GetPeer() != nil {
		return peerOf(n.GetPeer())
	}
	p := seampeer.Peer{Name: x.GetName(), Incarnation: x.GetIncarnation()}
	if c.member != nil {
		if known := c.member.table.known(p); !known.Zero() {
			return known
		}
	}
	if c.coordination != nil {
		if known := c.coordination.table.known(p); !known.Zero() {
			return known
		}
	}
	if a, ok := c.arrivals[p.Name]; ok && a.peer.Same(p) {
		return a.peer
	}
	return p
}

// known returns the peer with its address, also if it is gone.
func (t *table) known(p seampeer.Peer) seampeer.Peer {
	for _, id := range sortedKeys(t.roster) {
		if e := t.roster[id]; e.peer.Same(p) {
			return e.peer
		}
	}
	return seampeer.Peer{}
}

// admit adds a member to the roster.
func (c *Cell) admit(p seampeer.Peer, t TargetState) *info {
	r := c.coordination
	r.lastID++
	m := &info{id: r.lastID, peer: p, reported: true, lag: seamclock.Instant{}}
	e := &rosterEntry{id: m.id, peer: p, target: t}
	r.table.roster[m.id] = e
	r.table.changeMember(e)
	r.infos[m.id] = m
	return m
}

func (c *Cell) refuse(to seampeer.Peer, n *seamcellwire.Renew, cause seamcellwire.Refuse_Cause) {
	c.send(to, &seamcellwire.Message{
		Cell: c.coordination.entry.Record.ID, Term: c.coordination.term,
		Body: &seamcellwire.Message_Refuse{Refuse: &seamcellwire.Refuse{Sequence: n.GetSequence(), Cause: cause}},
	})
}

// redirect names the coordinator to a node that asks another member.
func (c *Cell) redirect(x *seamcellwire.Message, n *seamcellwire.Renew) {
	m := c.member
	if m == nil || !m.joined || x.GetCell() != "" && x.GetCell() != m.cell {
		return
	}
	if c.watch != nil {
		c.watch.heard[x.GetName()] = c.now
	}
	if m.coordinator.Zero() || m.coordinator.Same(c.self) {
		return
	}
	c.send(c.sender(x, n), &seamcellwire.Message{
		Cell: m.cell, Term: m.table.term,
		Body: &seamcellwire.Message_Refuse{Refuse: &seamcellwire.Refuse{
			Sequence: n.GetSequence(), Cause: seamcellwire.Refuse_ELSEWHERE, Coordinator: peerWire(m.coordinator),
		}},
	})
}

// update takes what a renewal says about its sender.
func (c *Cell) update(m *info, n *seamcellwire.Renew, current bool) {
	r := c.coordination
	m.heard = c.now
	m.missed = n.GetMissed()
	m.applied = max(m.applied, n.GetRules())
	m.inflight = int(n.GetInflight())
	m.version = 0
	if current {
		m.version = min(n.GetVersion(), r.table.version)
	}
	m.sent = m.version
	e := r.table.roster[m.id]
	if n.GetTarget() != nil && n.GetAnnounced() >= m.announced {
		m.announced = n.GetAnnounced()
		if !proto.Equal(n.GetTarget(), targetWire(e.target)) {
			before := e.target
			e.target = targetOf(n.GetTarget())
			r.table.changeMember(e)
			if before.Name != e.target.Name || before.Service != e.target.Service {
				r.forgetCopies(m.id)
			}
		}
	}
	if n.GetDraining() && !e.draining {
		e.draining = true
		r.table.changeMember(e)
	}
	if !current {
		return
	}
	for _, h := range n.GetReleased() {
		c.released(m, slotOf(h), h.GetToken(), h.GetKept())
	}
	for _, h := range n.GetSynced() {
		c.setSynced(m, slotOf(h), h.GetToken(), true)
	}
	for _, h := range n.GetLagging() {
		c.setSynced(m, slotOf(h), h.GetToken(), false)
	}
	if n.GetLeaving() && r.owned(m.id) == 0 && !r.entry.Record.Backup.Same(m.peer) {
		c.drop(m)
	}
}

// forgetCopies ends the part of a member as a standby, because the target that had the copies has ended.
func (r *coordination) forgetCopies(id uint32) {
	for _, slot := range r.table.ids() {
		if e := r.table.slots[slot]; e.standby == id {
			e.standby, e.synced = 0, false
			r.table.changeSlot(e)
		}
	}
}

func slotOf(h *seamcellwire.Held) seamslot.ID {
	return seamslot.ID{Service: h.GetService(), Index: h.GetIndex()}
}

// released takes a slot from its owner, who has handed it over. A kept slot, whose state
// could not be handed over, goes back to the owner.
func (c *Cell) released(m *info, id seamslot.ID, token uint64, kept bool) {
	r := c.coordination
	e := r.table.slots[id]
	if e == nil || e.owner != m.id || e.token != token {
		return
	}
	e.previous = e.owner
	e.owner = 0
	if kept {
		r.kept[id] = c.now
	}
	switch {
	case kept && e.outside != nil && r.ranges.out != nil:
		e.state, e.next = stateOwned, e.previous
		c.takeBack(r.ranges.out)
		r.ranges.settled = c.now
	case kept:
		e.state, e.next, e.outside = stateOwned, e.previous, nil
	case e.outside != nil && e.state == stateReleasing:
		e.state = stateReleased
	default:
		e.state = stateOwned
	}
	r.table.changeSlot(e)
}

func (c *Cell) setSynced(m *info, id seamslot.ID, token uint64, synced bool) {
	r := c.coordination
	e := r.table.slots[id]
	if e == nil || e.owner != m.id || e.token != token || e.standby == 0 || e.synced == synced {
		return
	}
	e.synced = synced
	r.table.changeSlot(e)
}

// owned returns the number of slots that the member owns.
func (r *coordination) owned(id uint32) int {
	n := 0
	for _, e := range r.table.slots {
		if e.owner == id {
			n++
		}
	}
	return n
}

// drop removes a member; its slots become free.
func (c *Cell) drop(m *info) {
	r := c.coordination
	before := len(r.waits)
	for _, id := range r.table.ids() {
		e := r.table.slots[id]
		synced := e.synced && e.standby == m.id
		if e.standby == m.id {
			e.standby, e.synced = 0, false
			r.table.changeSlot(e)
		}
		if e.owner == m.id {
			c.free(id, e)
		} else {
			c.awaitLost(id, e, m.id, synced)
		}
		e.owners = without(e.owners, m.id)
	}
	c.reportWaits(m.id, before)
	e := r.table.roster[m.id]
	e.gone = true
	r.table.changeMember(e)
	delete(r.infos, m.id)
}

// free takes a slot from an owner whose right is over.
func (c *Cell) free(id seamslot.ID, e *slotEntry) {
	e.previous = e.owner
	e.owner = 0
	e.next = 0
	switch {
	case c.await(id, e, e.previous):
	case e.outside != nil && e.state == stateReleasing:
		e.state = stateReleased
	default:
		e.state = stateOwned
	}
	c.coordination.table.changeSlot(e)
}

func without(ids []uint32, id uint32) []uint32 {
	var rest []uint32
	for _, x := range ids {
		if x != id {
			rest = append(rest, x)
		}
	}
	return rest
}

// limit returns the version of the table that members other than the backup may have. A change
// goes to the backup first, so that the backup's table is never older than that of a member.
func (c *Cell) limit() uint64 {
	r := c.coordination
	if r.sole || r.entry.Record.Backup.Zero() {
		return r.table.version
	}
	if b := r.find(r.entry.Record.Backup); b != nil {
		return b.version
	}
	return 0
}

// limitOf returns the version of the table that the member may have.
func (c *Cell) limitOf(m *info) uint64 {
	if m.peer.Same(c.coordination.entry.Record.Backup) {
		return c.coordination.table.version
	}
	return c.limit()
}

// answer answers a renewal.
func (c *Cell) answer(m *info, n *seamcellwire.Renew, current bool) {
	r := c.coordination
	life := time.Duration(0)
	if current {
		life = c.life(m)
	}
	a := &seamcellwire.Answer{}
	if c.mustTell(m, n, current) {
		a = c.header(m)
	}
	a.Sequence = n.GetSequence()
	a.Life = uint32(life / time.Millisecond)
	if a.Life > 0 {
		m.until = later(m.until, c.now.Add(life))
		if need := r.table.need(m.id); need > m.version {
			a.Need = need
		}
	}
	a.Loads = r.inflights()
	if !m.reported {
		a.Report = true
		a.Peer = peerWire(c.self)
	}
	c.sendChanges(m, a)
}

// life returns the length of the lease that the member can be given now. Nothing is granted
// before this node has rules.
func (c *Cell) life(m *info) time.Duration {
	r := c.coordination
	end, ok := c.authority()
	if !ok || !r.settled || !m.reported || c.lags(m) || m.deaf() || c.applied == 0 {
		return 0
	}
	life := min(c.cfg.MaxLease, end.Mono-c.now.Mono, end.Wall-c.now.Wall)
	life = life.Truncate(time.Millisecond)
	if granted := c.now.Add(life); life > 0 && (granted.Mono > end.Mono || granted.Wall > end.Wall) {
		c.emit(seamevent.InvariantBroken, seamevent.Fields{"what": "grant outlives authority", "member": m.peer.Name})
		return 0
	}
	return max(life, 0)
}

// lags reports whether the member has not confirmed the coordinator's rules for too long.
func (c *Cell) lags(m *info) bool {
	return m.applied < c.applied && (m.lag.Zero() || seamclock.MaxElapsed(c.now, m.lag) > c.cfg.MaxRulesLag)
}

// updateLag notes since when members lag behind the rules.
func (c *Cell) updateLag() {
	r := c.coordination
	for _, id := range sortedKeys(r.infos) {
		m := r.infos[id]
		switch {
		case m.applied >= c.applied:
			m.lagging = false
			m.lag = c.now
		case !m.lagging && !m.lag.Zero():
			m.lagging = true
			m.lag = c.now
		}
	}
}

// header returns an answer with the fields that all answers have.
func (c *Cell) header(m *info) *seamcellwire.Answer {
	r := c.coordination
	return &seamcellwire.Answer{
		Id: m.id, Announced: m.announced, Rules: c.applied, Directory: c.directory.revision,
		Epoch: r.entry.Record.Epoch, Backup: c.backupNumber(),
	}
}

// answerHeader is what the header of an answer says.
type answerHeader struct {
	announced        uint32
	rules, directory int64
	epoch, backup    uint32
}

const (
	// tellLimit is the number of answers that hold an unchanged header.
	tellLimit = 4
	// tellEach is the number of renewals after which an unchanged header is sent again.
	tellEach = 8
)

// mustTell reports whether the answer to the renewal has a header: while it is new, while answers
// are missed, while the member lags, and from time to time.
func (c *Cell) mustTell(m *info, n *seamcellwire.Renew, current bool) bool {
	h := answerHeader{
		announced: m.announced, rules: c.applied, directory: c.directory.revision,
		epoch: c.coordination.entry.Record.Epoch, backup: c.backupNumber(),
	}
	if h != m.told || !current || !m.reported || n.GetMissed() > 0 || n.GetPeer() != nil || n.GetTarget() != nil {
		m.told, m.tellings = h, 0
	}
	m.tellings++
	return m.tellings <= tellLimit || n.GetRules() < c.applied || n.GetSequence()%tellEach == 0
}

// backupNumber returns the number of the backup, or 0 if there is none that watches.
func (c *Cell) backupNumber() uint32 {
	if c.coordination.sole {
		return 0
	}
	return c.coordination.table.number(c.coordination.entry.Record.Backup)
}

// inflights returns the requests in flight at the members, in order of their numbers; nothing if
// there are none.
func (r *coordination) inflights() []uint32 {
	loads := make([]uint32, 0, len(r.infos))
	total := uint32(0)
	for _, id := range sortedKeys(r.infos) {
		n := uint32(max(r.infos[id].inflight, 0))
		loads = append(loads, n)
		total += n
	}
	if total == 0 {
		return nil
	}
	return loads
}

// sendChanges sends an answer with the changes that the member has not been sent.
func (c *Cell) sendChanges(m *info, a *seamcellwire.Answer) {
	r := c.coordination
	parts := r.table.changes(m.sent, c.limitOf(m), c.payload())
	if len(parts) == 0 {
		parts = []part{{}}
	}
	m.sent = max(m.sent, parts[len(parts)-1].to)
	for i, p := range parts {
		if i > 0 {
			a = c.header(m)
		}
		a.From, a.To, a.Members, a.Slots = p.from, p.to, p.members, p.slots
		c.send(m.peer, &seamcellwire.Message{Cell: r.entry.Record.ID, Term: r.term, Body: &seamcellwire.Message_Answer{Answer: a}})
	}
}

// pushAll sends changes to members without waiting for their renewals.
func (c *Cell) pushAll() {
	r := c.coordination
	for _, id := range sortedKeys(r.infos) {
		m := r.infos[id]
		if m != nil && m.sent < c.limitOf(m) && m.reported && c.coordination == r {
			c.sendChanges(m, c.header(m))
		}
	}
}

// sendLead tells a node that this one is the coordinator, and asks for its report.
func (c *Cell) sendLead(to seampeer.Peer, id uint32) {
	r := c.coordination
	c.send(to, &seamcellwire.Message{Cell: r.entry.Record.ID, Term: r.term, Body: &seamcellwire.Message_Answer{Answer: &seamcellwire.Answer{
		Id: id, Epoch: r.entry.Record.Epoch, Report: true, Peer: peerWire(c.self),
	}}})
}

// leadTo tells a member that this node is the coordinator.
func (c *Cell) leadTo(p seampeer.Peer) {
	r := c.coordination
	if known := r.table.known(p); !known.Zero() {
		c.sendLead(known, 0)
	}
}

func (c *Cell) onReport(x *seamcellwire.Message, p *seamcellwire.Report) {
	r := c.coordination
	if r == nil || x.GetCell() != r.entry.Record.ID || x.GetTerm() != r.term {
		return
	}
	m := r.find(seampeer.Peer{Name: x.GetName(), Incarnation: x.GetIncarnation()})
	if m == nil || m.reported {
		return
	}
	if m.parts == nil {
		m.parts = map[uint32]bool{}
	}
	m.parts[p.GetPart()] = true
	m.heard = c.now
	for _, h := range p.GetHeld() {
		id := slotOf(h)
		if b := r.beliefs[id]; r.entry.Record.Contains(id) && h.GetToken() >= b.token {
			if b.owner != m.id {
				b = belief{standby: b.standby, synced: b.synced && h.GetToken() == b.token}
			}
			b.token, b.owner, b.reported = h.GetToken(), m.id, true
			b.age = time.Duration(h.GetAge()) * time.Second
			r.beliefs[id] = b
		}
	}
	m.reported = len(m.parts) >= int(p.GetParts())
}

func (c *Cell) onLoad(x *seamcellwire.Message, l *seamcellwire.Load) {
	r := c.coordination
	if r == nil || x.GetCell() != r.entry.Record.ID || x.GetTerm() != r.term {
		return
	}
	m := r.find(seampeer.Peer{Name: x.GetName(), Incarnation: x.GetIncarnation()})
	if m == nil {
		return
	}
	service := ""
	for _, s := range l.GetSlots() {
		if s.GetService() != "" {
			service = s.GetService()
		}
		id := seamslot.ID{Service: service, Index: s.GetIndex()}
		if e := r.table.slots[id]; e != nil && e.owner == m.id {
			r.loads[id] = SlotLoad{
				Slot: id, Rate: rateOf(s.GetRate()), HottestKeyRate: rateOf(s.GetHottest()),
				CallerRegion: s.GetCaller(), CallerShare: float64(s.GetShare()) / shareUnit,
			}
		}
	}
}
