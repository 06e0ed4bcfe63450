package seamcell

import (
	"sort"

	"google.golang.org/protobuf/proto"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamcellwire"
	"cardamomseam/internal/own/seamslot"
)

// state is where a slot stands between two owners.
type state uint32

const (
	// stateOwned is a slot with an owner, or one without that can be assigned.
	stateOwned state = iota
	// stateReleasing is a slot whose owner is to hand it over.
	stateReleasing
	// stateReleased is a slot that its owner has handed over to another cell.
	stateReleased
	// stateGone is a slot that the cell no longer owns.
	stateGone
	// stateWaiting is a slot that waits for the silent member, named as the next owner, whose server
	// alone has its state.
	stateWaiting
)

// outside is a successor in another cell.
type outside struct {
	peer   seampeer.Peer
	target string
}

// slotEntry is the state of one slot.
type slotEntry struct {
	token    uint64
	owner    uint32
	standby  uint32
	next     uint32
	state    state
	synced   bool
	stamp    uint64
	outside  *outside
	previous uint32
	// owners are the members that may believe they own the slot; kept by the coordinator only.
	owners []uint32
}

// rosterEntry is one member.
type rosterEntry struct {
	id       uint32
	peer     seampeer.Peer
	target   TargetState
	draining bool
	gone     bool
	stamp    uint64
}

// table says which member owns which slot. Each change has a stamp of its own, so that
// changes can be sent as the entries with stamps above those that the receiver has.
type table struct {
	term    uint64
	version uint64
	slots   map[seamslot.ID]*slotEntry
	roster  map[uint32]*rosterEntry
	order   []seamslot.ID
}

func newTable(term uint64) *table {
	return &table{term: term, slots: map[seamslot.ID]*slotEntry{}, roster: map[uint32]*rosterEntry{}}
}

// ids returns the slots in order of service and index. Slots are never removed from a table.
func (t *table) ids() []seamslot.ID {
	if len(t.order) != len(t.slots) {
		t.order = sortedSlots(t.slots)
	}
	return t.order
}

// goneLimit is the number of members that are gone of which a table keeps a memory.
const goneLimit = 32

// prune forgets members that are gone, whose going everybody with at least the version knows.
func (t *table) prune(version uint64) {
	var gone []uint32
	for _, id := range sortedKeys(t.roster) {
		if e := t.roster[id]; e.gone && e.stamp <= version {
			gone = append(gone, id)
		}
	}
	if len(gone) <= goneLimit {
		return
	}
	used := map[uint32]bool{}
	for _, e := range t.slots {
		used[e.owner], used[e.standby], used[e.next], used[e.previous] = true, true, true, true
	}
	for _, id := range gone[:len(gone)-goneLimit] {
		if !used[id] {
			delete(t.roster, id)
		}
	}
}

// changeSlot stamps a changed slot.
func (t *table) changeSlot(e *slotEntry) {
	t.version++
	e.stamp = t.version
}

// changeMember stamps a changed member.
func (t *table) changeMember(e *rosterEntry) {
	t.version++
	e.stamp = t.version
}

// peer returns the member with the number, or a zero peer.
func (t *table) peer(id uint32) seampeer.Peer {
	if e := t.roster[id]; e != nil {
		return e.peer
	}
	return seampeer.Peer{}
}

// number returns the number of a member that is not gone, or 0.
func (t *table) number(p seampeer.Peer) uint32 {
	for _, id := range sortedKeys(t.roster) {
		if e := t.roster[id]; !e.gone && e.peer.Same(p) {
			return id
		}
	}
	return 0
}

// need returns the version without which a member may believe that it owns what it does not.
func (t *table) need(id uint32) uint64 {
	var need uint64
	for _, e := range t.slots {
		if e.stamp > need && has(e.owners, id) {
			need = e.stamp
		}
	}
	return need
}

func has(ids []uint32, id uint32) bool {
	for _, x := range ids {
		if x == id {
			return true
		}
	}
	return false
}

// part is one datagram's worth of changes.
type part struct {
	from, to uint64
	members  []*seamcellwire.Member
	slots    []*seamcellwire.Slot
}

// change is one changed entry.
type change struct {
	stamp  uint64
	member *rosterEntry
	slot   *slotEntry
	id     seamslot.ID
}

// changes returns the entries with stamps in (from, to], in parts of at most size bytes.
func (t *table) changes(from, to uint64, size int) []part {
	if from >= to {
		return nil
	}
	list := t.changed(from, to)
	parts := []part{{from: from, to: to}}
	used := 0
	service := ""
	for i, x := range list {
		m, s := x.wire(service)
		n := proto.Size(m) + proto.Size(s) + 4
		if used+n > size && used > 0 {
			last := list[i-1].stamp
			parts[len(parts)-1].to = last
			parts = append(parts, part{from: last, to: to})
			used = 0
			m, s = x.wire("")
		}
		p := &parts[len(parts)-1]
		if m != nil {
			p.members = append(p.members, m)
		}
		if s != nil {
			p.slots = append(p.slots, s)
			service = x.id.Service
		}
		used += n
	}
	return parts
}

func (t *table) changed(from, to uint64) []change {
	var list []change
	for _, e := range t.roster {
		if e.stamp > from && e.stamp <= to {
			list = append(list, change{stamp: e.stamp, member: e})
		}
	}
	for id, e := range t.slots {
		if e.stamp > from && e.stamp <= to {
			list = append(list, change{stamp: e.stamp, slot: e, id: id})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].stamp < list[j].stamp })
	return list
}

// wire returns the change as a message; the service is left out if it equals the one before.
func (x change) wire(before string) (*seamcellwire.Member, *seamcellwire.Slot) {
	if x.member != nil {
		return x.member.wire(), nil
	}
	e := x.slot
	s := &seamcellwire.Slot{
		Index: x.id.Index, Token: e.token, Owner: e.owner, Standby: e.standby, Next: e.next,
		State: uint32(e.state), Synced: e.synced, Stamp: e.stamp,
	}
	if x.id.Service != before {
		s.Service = x.id.Service
	}
	if e.outside != nil {
		s.Outside = &seamcellwire.Outside{Peer: peerWire(e.outside.peer), Target: e.outside.target}
	}
	return nil, s
}

func (e *rosterEntry) wire() *seamcellwire.Member {
	m := &seamcellwire.Member{Id: e.id, Draining: e.draining, Gone: e.gone, Stamp: e.stamp}
	if !e.gone {
		m.Peer = peerWire(e.peer)
		m.Target = targetWire(e.target)
	}
	return m
}

// apply takes a part of the changes and reports whether it was the next one.
func (t *table) apply(a *seamcellwire.Answer) bool {
	if a.GetFrom() > t.version || a.GetTo() <= t.version {
		return false
	}
	for _, m := range a.GetMembers() {
		t.applyMember(m)
	}
	service := ""
	for _, s := range a.GetSlots() {
		if s.GetService() != "" {
			service = s.GetService()
		}
		t.applySlot(seamslot.ID{Service: service, Index: s.GetIndex()}, s)
	}
	t.version = a.GetTo()
	t.prune(t.version)
	return true
}

func (t *table) applyMember(m *seamcellwire.Member) {
	e := &rosterEntry{id: m.GetId(), draining: m.GetDraining(), gone: m.GetGone(), stamp: m.GetStamp()}
	if known := t.roster[e.id]; e.gone && known != nil {
		e.peer, e.target = known.peer, known.target
	}
	if m.GetPeer() != nil {
		e.peer = peerOf(m.GetPeer())
		e.target = targetOf(m.GetTarget())
	}
	t.roster[e.id] = e
}

func (t *table) applySlot(id seamslot.ID, s *seamcellwire.Slot) {
	e := &slotEntry{
		token: s.GetToken(), owner: s.GetOwner(), standby: s.GetStandby(), next: s.GetNext(),
		state: state(s.GetState()), synced: s.GetSynced(), stamp: s.GetStamp(),
	}
	if o := s.GetOutside(); o != nil {
		e.outside = &outside{peer: peerOf(o.GetPeer()), target: o.GetTarget()}
	}
	t.slots[id] = e
}

func peerWire(p seampeer.Peer) *seamcellwire.Peer {
	return &seamcellwire.Peer{
		Name: p.Name, Incarnation: p.Incarnation, Address: p.Address, Region: p.Region, Domain: p.Domain,
	}
}

func peerOf(p *seamcellwire.Peer) seampeer.Peer {
	return seampeer.Peer{
		Name: p.GetName(), Incarnation: p.GetIncarnation(), Address: p.GetAddress(),
		Region: p.GetRegion(), Domain: p.GetDomain(),
	}
}

const (
	abilityStandby = 1 << iota
	abilityFence
	abilityCold
	abilityLeaving
)

func targetWire(t TargetState) *seamcellwire.Target {
	w := &seamcellwire.Target{
		Service: t.Service, Name: t.Name, Address: t.Address, Labels: t.Labels,
		Slots: uint32(max(t.Concurrency, 0)), Connections: uint32(max(t.Connections, 0)),
	}
	for _, x := range []struct {
		set bool
		bit uint32
	}{{t.Standby, abilityStandby}, {t.Fence, abilityFence}, {t.ColdStart, abilityCold}, {t.Leaving, abilityLeaving}} {
		if x.set {
			w.Abilities |= x.bit
		}
	}
	return w
}

func targetOf(t *seamcellwire.Target) TargetState {
	return TargetState{
		Service: t.GetService(), Name: t.GetName(), Address: t.GetAddress(), Labels: t.GetLabels(),
		Concurrency: int(t.GetSlots()), Connections: int(t.GetConnections()),
		Standby:   t.GetAbilities()&abilityStandby != 0,
		Fence:     t.GetAbilities()&abilityFence != 0,
		ColdStart: t.GetAbilities()&abilityCold != 0,
		Leaving:   t.GetAbilities()&abilityLeaving != 0,
	}
}
