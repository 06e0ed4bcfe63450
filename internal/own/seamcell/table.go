package seamcell

import (
	"sort"

	"google.golang.org/protobuf/proto"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamcellwire"
	"cardamomseam/internal/own/seamslot"
)

// state is the stage of a slot in a move between two owners.
type state uint32

const (
	// stateOwned is a slot that has an owner or can be assigned one.
	stateOwned state = iota
	// stateReleasing is a slot whose owner is to hand it over.
	stateReleasing
	// stateReleased is a slot that its owner has handed over to another cell.
	stateReleased
	// stateRemoved is a slot that the cell no longer owns.
	stateRemoved
	// stateWaiting is a slot that waits for an unresponsive member, stored as the next owner,
	// whose server has the only copy of its state.
	stateWaiting
)

// externalSuccessor is a successor in another cell.
type externalSuccessor struct {
	peer    seampeer.Peer
	address string
}

// slotEntry is the state of one slot.
type slotEntry struct {
	token             uint64
	owner             uint32
	standby           uint32
	next              uint32
	state             state
	synced            bool
	stamp             uint64
	externalSuccessor *externalSuccessor
	previous          uint32
	// owners are the members that may assume they own the slot. Only the coordinator maintains it.
	owners []uint32
}

// rosterEntry is the state of one member.
type rosterEntry struct {
	id       uint32
	peer     seampeer.Peer
	target   TargetState
	draining bool
	removed  bool
	stamp    uint64
}

// table maps slots to members. Each change has its own stamp, so that the changes for a receiver
// are the entries with higher stamps than it has.
type table struct {
	term      uint64
	version   uint64
	slots     map[seamslot.ID]*slotEntry
	roster    map[uint32]*rosterEntry
	sortedIDs []seamslot.ID
}

func newTable(term uint64) *table {
	return &table{term: term, slots: map[seamslot.ID]*slotEntry{}, roster: map[uint32]*rosterEntry{}}
}

// ids returns the slots sorted by service and index. Slots are never removed from a table.
func (t *table) ids() []seamslot.ID {
	if len(t.sortedIDs) != len(t.slots) {
		t.sortedIDs = sortedSlots(t.slots)
	}
	return t.sortedIDs
}

// maxRemovedMembers is the number of removed members that a table keeps.
const maxRemovedMembers = 32

// prune deletes removed members with a stamp of at most version, except the last maxRemovedMembers
// and those that a slot refers to. The coordinator passes a version that all members have.
func (t *table) prune(version uint64) {
	var removed []uint32
	for _, id := range sortedKeys(t.roster) {
		if e := t.roster[id]; e.removed && e.stamp <= version {
			removed = append(removed, id)
		}
	}
	if len(removed) <= maxRemovedMembers {
		return
	}
	used := map[uint32]bool{}
	for _, e := range t.slots {
		used[e.owner], used[e.standby], used[e.next], used[e.previous] = true, true, true, true
	}
	for _, id := range removed[:len(removed)-maxRemovedMembers] {
		if !used[id] {
			delete(t.roster, id)
		}
	}
}

// changeSlot assigns a new stamp to a changed slot.
func (t *table) changeSlot(e *slotEntry) {
	t.version++
	e.stamp = t.version
}

// changeMember assigns a new stamp to a changed member.
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

// number returns the number of a current member, or 0.
func (t *table) number(p seampeer.Peer) uint32 {
	for _, id := range sortedKeys(t.roster) {
		if e := t.roster[id]; !e.removed && e.peer.Same(p) {
			return id
		}
	}
	return 0
}

// requiredVersion returns the lowest table version with which the member does not wrongly assume
// that it owns a slot.
func (t *table) requiredVersion(id uint32) uint64 {
	var need uint64
	for _, e := range t.slots {
		if e.stamp > need && containsID(e.owners, id) {
			need = e.stamp
		}
	}
	return need
}

func containsID(ids []uint32, id uint32) bool {
	for _, x := range ids {
		if x == id {
			return true
		}
	}
	return false
}

// changePart holds the changes that fit into one datagram.
type changePart struct {
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
func (t *table) changes(from, to uint64, size int) []changePart {
	if from >= to {
		return nil
	}
	list := t.changed(from, to)
	parts := []changePart{{from: from, to: to}}
	used := 0
	service := ""
	for i, x := range list {
		m, s := x.wire(service)
		n := proto.Size(m) + proto.Size(s) + 4
		if used+n > size && used > 0 {
			last := list[i-1].stamp
			parts[len(parts)-1].to = last
			parts = append(parts, changePart{from: last, to: to})
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

// wire returns the change as a message. The service is omitted if it equals the previous one.
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
	if e.externalSuccessor != nil {
		s.Outside = &seamcellwire.Outside{Peer: peerToWire(e.externalSuccessor.peer), Target: e.externalSuccessor.address}
	}
	return nil, s
}

func (e *rosterEntry) wire() *seamcellwire.Member {
	m := &seamcellwire.Member{Id: e.id, Draining: e.draining, Gone: e.removed, Stamp: e.stamp}
	if !e.removed {
		m.Peer = peerToWire(e.peer)
		m.Target = targetToWire(e.target)
	}
	return m
}

// apply applies a part of the changes and reports whether it was the next one.
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
	e := &rosterEntry{id: m.GetId(), draining: m.GetDraining(), removed: m.GetGone(), stamp: m.GetStamp()}
	if known := t.roster[e.id]; e.removed && known != nil {
		e.peer, e.target = known.peer, known.target
	}
	if m.GetPeer() != nil {
		e.peer = peerFromWire(m.GetPeer())
		e.target = targetFromWire(m.GetTarget())
	}
	t.roster[e.id] = e
}

func (t *table) applySlot(id seamslot.ID, s *seamcellwire.Slot) {
	e := &slotEntry{
		token: s.GetToken(), owner: s.GetOwner(), standby: s.GetStandby(), next: s.GetNext(),
		state: state(s.GetState()), synced: s.GetSynced(), stamp: s.GetStamp(),
	}
	if o := s.GetOutside(); o != nil {
		e.externalSuccessor = &externalSuccessor{peer: peerFromWire(o.GetPeer()), address: o.GetTarget()}
	}
	t.slots[id] = e
}

func peerToWire(p seampeer.Peer) *seamcellwire.Peer {
	return &seamcellwire.Peer{
		Name: p.Name, Incarnation: p.Incarnation, Address: p.Address, Region: p.Region, Domain: p.Domain,
	}
}

func peerFromWire(p *seamcellwire.Peer) seampeer.Peer {
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

func targetToWire(t TargetState) *seamcellwire.Target {
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

func targetFromWire(t *seamcellwire.Target) TargetState {
	return TargetState{
		Service: t.GetService(), Name: t.GetName(), Address: t.GetAddress(), Labels: t.GetLabels(),
		Concurrency: int(t.GetSlots()), Connections: int(t.GetConnections()),
		Standby:   t.GetAbilities()&abilityStandby != 0,
		Fence:     t.GetAbilities()&abilityFence != 0,
		ColdStart: t.GetAbilities()&abilityCold != 0,
		Leaving:   t.GetAbilities()&abilityLeaving != 0,
	}
}
