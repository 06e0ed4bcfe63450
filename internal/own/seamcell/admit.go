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
		c.recordArrival(peerFromWire(n.GetPeer()), x.GetCell())
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
		m = c.considerAdmission(x, n)
	}
	if m == nil {
		return
	}
	current := x.GetTerm() == r.term
	c.update(m, n, current)
	if r.members[m.id] == nil {
		c.refuse(m.peer, n, seamcellwire.Refuse_LEFT)
		return
	}
	if m.moveTo != "" && c.redirectMoved(m, n) {
		return
	}
	c.answer(m, n, current)
}

// recordArrival remembers the latest incarnation of a node.
func (c *Cell) recordArrival(p seampeer.Peer, cell string) {
	if a, ok := c.admissionRequests[p.Name]; ok && a.peer.Incarnation >= p.Incarnation {
		if a.peer.Same(p) {
			a.cell = cell
			c.admissionRequests[p.Name] = a
		}
		return
	}
	if len(c.admissionRequests) >= maxAdmissionRequests {
		c.admissionRequests = map[string]admissionRequest{}
	}
	c.admissionRequests[p.Name] = admissionRequest{peer: p, since: c.now, cell: cell}
}

// maxAdmissionRequests is the maximum number of admission requests that are remembered.
const maxAdmissionRequests = 256

// considerAdmission admits the sender of a renewal as a member, or refuses it.
func (c *Cell) considerAdmission(x *seamcellwire.Message, n *seamcellwire.Renew) *memberInfo {
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
	m := c.admit(from, targetFromWire(n.GetTarget()))
	m.reported = r.recovered
	m.targetVersion = n.GetAnnounced()
	c.emit(seamevent.CellMemberJoined, seamevent.Fields{"cell": r.entry.Record.ID, "member": from.Name})
	return m
}

// full reports whether the cell has no room for another instance.
func (c *Cell) full(name string) bool {
	r := c.coordination
	names := map[string]bool{name: true}
	for _, m := range r.members {
		names[m.peer.Name] = true
	}
	return len(names) > c.cfg.MaxMembers
}

// sender returns the identity of the sender with its most recent known address.
func (c *Cell) sender(x *seamcellwire.Message, n *seamcellwire.Renew) seampeer.Peer {
	if n.GetPeer() != nil {
		return peerFromWire(n.GetPeer())
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
	if a, ok := c.admissionRequests[p.Name]; ok && a.peer.Same(p) {
		return a.peer
	}
	return p
}

// known returns the peer with its address, even if it is no longer a member.
func (t *table) known(p seampeer.Peer) seampeer.Peer {
	for _, id := range sortedKeys(t.roster) {
		if e := t.roster[id]; e.peer.Same(p) {
			return e.peer
		}
	}
	return seampeer.Peer{}
}

// admit adds a member to the roster.
func (c *Cell) admit(p seampeer.Peer, t TargetState) *memberInfo {
	r := c.coordination
	r.lastID++
	m := &memberInfo{id: r.lastID, peer: p, reported: true, lagSince: seamclock.Instant{}}
	e := &rosterEntry{id: m.id, peer: p, target: t}
	r.table.roster[m.id] = e
	r.table.changeMember(e)
	r.members[m.id] = m
	return m
}

func (c *Cell) refuse(to seampeer.Peer, n *seamcellwire.Renew, cause seamcellwire.Refuse_Cause) {
	c.send(to, &seamcellwire.Message{
		Cell: c.coordination.entry.Record.ID, Term: c.coordination.term,
		Body: &seamcellwire.Message_Refuse{Refuse: &seamcellwire.Refuse{Sequence: n.GetSequence(), Cause: cause}},
	})
}

// redirect replies to a renewal that was sent to a member other than the coordinator with the name of
// the coordinator.
func (c *Cell) redirect(x *seamcellwire.Message, n *seamcellwire.Renew) {
	m := c.member
	if m == nil || !m.joined || x.GetCell() != "" && x.GetCell() != m.cell {
		return
	}
	if c.backup != nil {
		c.backup.lastRenewals[x.GetName()] = c.now
	}
	if m.coordinator.Zero() || m.coordinator.Same(c.self) {
		return
	}
	c.send(c.sender(x, n), &seamcellwire.Message{
		Cell: m.cell, Term: m.table.term,
		Body: &seamcellwire.Message_Refuse{Refuse: &seamcellwire.Refuse{
			Sequence: n.GetSequence(), Cause: seamcellwire.Refuse_ELSEWHERE, Coordinator: peerToWire(m.coordinator),
		}},
	})
}

// update applies the content of a renewal to the state of its sender.
func (c *Cell) update(m *memberInfo, n *seamcellwire.Renew, current bool) {
	r := c.coordination
	m.lastRenewal = c.now
	m.missed = n.GetMissed()
	m.appliedRules = max(m.appliedRules, n.GetRules())
	m.inflight = int(n.GetInflight())
	m.ackedVersion = 0
	if current {
		m.ackedVersion = min(n.GetVersion(), r.table.version)
	}
	m.sentVersion = m.ackedVersion
	e := r.table.roster[m.id]
	if n.GetTarget() != nil && n.GetAnnounced() >= m.targetVersion {
		m.targetVersion = n.GetAnnounced()
		if !proto.Equal(n.GetTarget(), targetToWire(e.target)) {
			before := e.target
			e.target = targetFromWire(n.GetTarget())
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
		c.released(m, slotFromWire(h), h.GetToken(), h.GetKept())
	}
	for _, h := range n.GetSynced() {
		c.setSynced(m, slotFromWire(h), h.GetToken(), true)
	}
	for _, h := range n.GetLagging() {
		c.setSynced(m, slotFromWire(h), h.GetToken(), false)
	}
	if n.GetLeaving() && r.owned(m.id) == 0 && !r.entry.Record.Backup.Same(m.peer) {
		c.removeMember(m)
	}
}

// forgetCopies removes a member as a standby, because the target that held the copies has ended.
func (r *coordination) forgetCopies(id uint32) {
	for _, slot := range r.table.ids() {
		if e := r.table.slots[slot]; e.standby == id {
			e.standby, e.synced = 0, false
			r.table.changeSlot(e)
		}
	}
}

func slotFromWire(h *seamcellwire.Held) seamslot.ID {
	return seamslot.ID{Service: h.GetService(), Index: h.GetIndex()}
}

// released clears the owner of a slot after a handover. A kept slot, whose state could not be
// handed over, returns to its previous owner.
func (c *Cell) released(m *memberInfo, id seamslot.ID, token uint64, kept bool) {
	r := c.coordination
	e := r.table.slots[id]
	if e == nil || e.owner != m.id || e.token != token {
		return
	}
	e.previous = e.owner
	e.owner = 0
	if kept {
		r.failedHandovers[id] = c.now
	}
	switch {
	case kept && e.externalSuccessor != nil && r.ranges.outgoing != nil:
		e.state, e.next = stateOwned, e.previous
		c.restoreRange(r.ranges.outgoing)
		r.ranges.lastMove = c.now
	case kept:
		e.state, e.next, e.externalSuccessor = stateOwned, e.previous, nil
	case e.externalSuccessor != nil && e.state == stateReleasing:
		e.state = stateReleased
	default:
		e.state = stateOwned
	}
	r.table.changeSlot(e)
}

func (c *Cell) setSynced(m *memberInfo, id seamslot.ID, token uint64, synced bool) {
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

// removeMember removes a member and frees its slots.
func (c *Cell) removeMember(m *memberInfo) {
	r := c.coordination
	before := len(r.stateWaits)
	for _, id := range r.table.ids() {
		e := r.table.slots[id]
		synced := e.synced && e.standby == m.id
		if e.standby == m.id {
			e.standby, e.synced = 0, false
			r.table.changeSlot(e)
		}
		if e.owner == m.id {
			c.freeSlot(id, e)
		} else {
			c.waitAfterLoss(id, e, m.id, synced)
		}
		e.owners = without(e.owners, m.id)
	}
	c.reportWaits(m.id, before)
	e := r.table.roster[m.id]
	e.removed = true
	r.table.changeMember(e)
	delete(r.members, m.id)
}

// freeSlot takes a slot from an owner whose lease has expired.
func (c *Cell) freeSlot(id seamslot.ID, e *slotEntry) {
	e.previous = e.owner
	e.owner = 0
	e.next = 0
	switch {
	case c.waitForState(id, e, e.previous):
	case e.externalSuccessor != nil && e.state == stateReleasing:
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

// maxSentVersion returns the highest table version that may be sent to members other than the
// backup. A change goes to the backup first, so that its table is never older than that of any
// member.
func (c *Cell) maxSentVersion() uint64 {
	r := c.coordination
	if r.counterpartResigned || r.entry.Record.Backup.Zero() {
		return r.table.version
	}
	if b := r.find(r.entry.Record.Backup); b != nil {
		return b.ackedVersion
	}
	return 0
}

// maxSentVersionFor returns the highest table version that may be sent to the member.
func (c *Cell) maxSentVersionFor(m *memberInfo) uint64 {
	if m.peer.Same(c.coordination.entry.Record.Backup) {
		return c.coordination.table.version
	}
	return c.maxSentVersion()
}

// answer responds to a renewal.
func (c *Cell) answer(m *memberInfo, n *seamcellwire.Renew, current bool) {
	r := c.coordination
	lease := time.Duration(0)
	if current {
		lease = c.leaseDuration(m)
	}
	a := &seamcellwire.Answer{}
	if c.needsHeader(m, n, current) {
		a = c.header(m)
	}
	a.Sequence = n.GetSequence()
	a.Life = uint32(lease / time.Millisecond)
	if a.Life > 0 {
		m.leaseEnd = later(m.leaseEnd, c.now.Add(lease))
		if need := r.table.requiredVersion(m.id); need > m.ackedVersion {
			a.Need = need
		}
	}
	a.Loads = r.inFlightCounts()
	if !m.reported {
		a.Report = true
		a.Peer = peerToWire(c.self)
	}
	c.sendChanges(m, a)
}

// leaseDuration returns the length of the lease that can be granted to the member now. Nothing is
// granted before this node has rules.
func (c *Cell) leaseDuration(m *memberInfo) time.Duration {
	r := c.coordination
	end, ok := c.authority()
	if !ok || !r.recovered || !m.reported || c.lags(m) || m.missesAnswers() || c.appliedRules == 0 {
		return 0
	}
	lease := min(c.cfg.MaxLease, end.Mono-c.now.Mono, end.Wall-c.now.Wall)
	lease = lease.Truncate(time.Millisecond)
	if granted := c.now.Add(lease); lease > 0 && (granted.Mono > end.Mono || granted.Wall > end.Wall) {
		c.emit(seamevent.InvariantBroken, seamevent.Fields{"what": "grant outlives authority", "member": m.peer.Name})
		return 0
	}
	return max(lease, 0)
}

// lags reports whether the member has been behind the coordinator's rules for longer than
// Config.MaxRulesLag.
func (c *Cell) lags(m *memberInfo) bool {
	return m.appliedRules < c.appliedRules && (m.lagSince.Zero() || seamclock.MaxElapsed(c.now, m.lagSince) > c.cfg.MaxRulesLag)
}

// updateLag records since when members lag behind the rules.
func (c *Cell) updateLag() {
	r := c.coordination
	for _, id := range sortedKeys(r.members) {
		m := r.members[id]
		switch {
		case m.appliedRules >= c.appliedRules:
			m.lagging = false
			m.lagSince = c.now
		case !m.lagging && !m.lagSince.Zero():
			m.lagging = true
			m.lagSince = c.now
		}
	}
}

// header returns an answer with the fields common to all answers.
func (c *Cell) header(m *memberInfo) *seamcellwire.Answer {
	r := c.coordination
	return &seamcellwire.Answer{
		Id: m.id, Announced: m.targetVersion, Rules: c.appliedRules, Directory: c.directory.revision,
		Epoch: r.entry.Record.Epoch, Backup: c.backupNumber(),
	}
}

// answerHeader holds the header values of an answer.
type answerHeader struct {
	announced        uint32
	rules, directory int64
	epoch, backup    uint32
}

const (
	// headerCopies is the number of consecutive answers that carry an unchanged header.
	headerCopies = 4
	// headerInterval is the number of renewals after which an unchanged header is sent again.
	headerInterval = 8
)

// needsHeader reports whether the answer to the renewal carries a header: while the header is new,
// while answers are lost, while the member lags, and periodically.
func (c *Cell) needsHeader(m *memberInfo, n *seamcellwire.Renew, current bool) bool {
	h := answerHeader{
		announced: m.targetVersion, rules: c.appliedRules, directory: c.directory.revision,
		epoch: c.coordination.entry.Record.Epoch, backup: c.backupNumber(),
	}
	if h != m.lastHeader || !current || !m.reported || n.GetMissed() > 0 || n.GetPeer() != nil || n.GetTarget() != nil {
		m.lastHeader, m.headerRepeats = h, 0
	}
	m.headerRepeats++
	return m.headerRepeats <= headerCopies || n.GetRules() < c.appliedRules || n.GetSequence()%headerInterval == 0
}

// backupNumber returns the member number of the backup, or 0 if there is no active backup.
func (c *Cell) backupNumber() uint32 {
	if c.coordination.counterpartResigned {
		return 0
	}
	return c.coordination.table.number(c.coordination.entry.Record.Backup)
}

// inFlightCounts returns the requests in flight at each member, ordered by member number, or nil if
// all are 0.
func (r *coordination) inFlightCounts() []uint32 {
	loads := make([]uint32, 0, len(r.members))
	total := uint32(0)
	for _, id := range sortedKeys(r.members) {
		n := uint32(max(r.members[id].inflight, 0))
		loads = append(loads, n)
		total += n
	}
	if total == 0 {
		return nil
	}
	return loads
}

// sendChanges sends an answer with the table changes that the member has not been sent yet.
func (c *Cell) sendChanges(m *memberInfo, a *seamcellwire.Answer) {
	r := c.coordination
	parts := r.table.changes(m.sentVersion, c.maxSentVersionFor(m), c.maxListBytes())
	if len(parts) == 0 {
		parts = []changePart{{}}
	}
	m.sentVersion = max(m.sentVersion, parts[len(parts)-1].to)
	for i, p := range parts {
		if i > 0 {
			a = c.header(m)
		}
		a.From, a.To, a.Members, a.Slots = p.from, p.to, p.members, p.slots
		c.send(m.peer, &seamcellwire.Message{Cell: r.entry.Record.ID, Term: r.term, Body: &seamcellwire.Message_Answer{Answer: a}})
	}
}

// pushAll sends pending changes to members without waiting for their renewals.
func (c *Cell) pushAll() {
	r := c.coordination
	for _, id := range sortedKeys(r.members) {
		m := r.members[id]
		if m != nil && m.sentVersion < c.maxSentVersionFor(m) && m.reported && c.coordination == r {
			c.sendChanges(m, c.header(m))
		}
	}
}

// requestReport announces this node to another node as the coordinator and requests its report.
func (c *Cell) requestReport(to seampeer.Peer, id uint32) {
	r := c.coordination
	c.send(to, &seamcellwire.Message{Cell: r.entry.Record.ID, Term: r.term, Body: &seamcellwire.Message_Answer{Answer: &seamcellwire.Answer{
		Id: id, Epoch: r.entry.Record.Epoch, Report: true, Peer: peerToWire(c.self),
	}}})
}

// requestReportFrom does the same for a member, by its identity.
func (c *Cell) requestReportFrom(p seampeer.Peer) {
	r := c.coordination
	if known := r.table.known(p); !known.Zero() {
		c.requestReport(known, 0)
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
	if m.reportParts == nil {
		m.reportParts = map[uint32]bool{}
	}
	m.reportParts[p.GetPart()] = true
	m.lastRenewal = c.now
	for _, h := range p.GetHeld() {
		id := slotFromWire(h)
		if b := r.inherited[id]; r.entry.Record.Contains(id) && h.GetToken() >= b.token {
			if b.owner != m.id {
				b = inheritedSlot{standby: b.standby, synced: b.synced && h.GetToken() == b.token}
			}
			b.token, b.owner, b.reported = h.GetToken(), m.id, true
			b.age = time.Duration(h.GetAge()) * time.Second
			r.inherited[id] = b
		}
	}
	m.reported = len(m.reportParts) >= int(p.GetParts())
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
				Slot: id, Rate: rateFromWire(s.GetRate()), HottestKeyRate: rateFromWire(s.GetHottest()),
				CallerRegion: s.GetCaller(), CallerShare: float64(s.GetShare()) / shareUnit,
			}
		}
	}
}
