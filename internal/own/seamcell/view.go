package seamcell

import (
	"sort"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

// Role is the role of a node in its cell.
type Role string

// Roles of a node.
const (
	RoleNone        Role = "none"
	RoleJoining     Role = "joining"
	RoleMember      Role = "member"
	RoleBackup      Role = "backup"
	RoleCoordinator Role = "coordinator"
)

// View is a node's view of its cell.
type View struct {
	Role  Role
	Cell  string
	Epoch uint32
	// Coordinator and Backup are zero if there is none or it is unknown.
	Coordinator seampeer.Peer
	Backup      seampeer.Peer
	// Members are the members including this node, sorted by name.
	Members []MemberView
	// Slots are the slots sorted by service and index.
	Slots []SlotView
	// LeaseExpiresAt is the end of this node's lease, or zero if it has none.
	LeaseExpiresAt seamclock.Instant
	// AuthorityExpiresAt is the end of the coordinator's authority to grant leases. It is zero at
	// other nodes.
	AuthorityExpiresAt seamclock.Instant
	// RecordExpiresAt is when the cell's record expires, at the coordinator. It is zero at other
	// nodes.
	RecordExpiresAt seamclock.Instant
	// ConfirmedRules is the revision of the rules that all live members have in force. It is 0 at
	// other nodes.
	ConfirmedRules int64
}

// MemberView describes a member of the cell.
type MemberView struct {
	Peer     seampeer.Peer
	Target   TargetState
	InFlight int
	Draining bool
	// AppliedRules is the revision of the rules at the member, known only to the coordinator.
	AppliedRules int64
}

// SlotView describes a slot of the cell.
type SlotView struct {
	Slot seamslot.ID
	// Owner is zero if the slot has none.
	Owner   seampeer.Peer
	Standby seampeer.Peer
	// Next is the member to which the slot moves, or zero if it does not move.
	Next seampeer.Peer
	// Synced says that the standby is up to date.
	Synced bool
	// Epoch is the fencing token.
	Epoch uint64
	// Moving says that the slot is being moved or has no owner.
	Moving bool
	// Rate is the load in requests per second, known only to the coordinator.
	Rate float64
}

// Owner returns the owner of a slot of this node's cell, or a zero peer.
func (c *Cell) Owner(id seamslot.ID) seampeer.Peer {
	if c.member == nil {
		return seampeer.Peer{}
	}
	t := c.member.table
	if e := t.slots[id]; e != nil && e.owner != 0 {
		return t.peer(e.owner)
	}
	return seampeer.Peer{}
}

// Moving reports whether the slot is between two owners, and returns the next owner if it is known.
func (c *Cell) Moving(id seamslot.ID) (seampeer.Peer, bool) {
	if c.member == nil {
		return seampeer.Peer{}, false
	}
	t := c.member.table
	e := t.slots[id]
	if e == nil || e.state == stateRemoved || e.owner != 0 && e.state == stateOwned {
		return seampeer.Peer{}, false
	}
	if e.externalSuccessor != nil {
		return e.externalSuccessor.peer, true
	}
	if e.state == stateWaiting {
		return seampeer.Peer{}, true
	}
	return t.peer(e.next), true
}

// View returns this node's view of its cell.
func (c *Cell) View(now seamclock.Instant) View {
	c.now = now
	m := c.member
	if m == nil {
		return View{Role: RoleNone}
	}
	v := View{Role: c.role(), Cell: m.cell, Epoch: m.epoch, Coordinator: m.coordinator, Backup: m.backup}
	v.LeaseExpiresAt, _ = c.Lease(now)
	v.Members = c.memberViews()
	v.Slots = c.slotViews()
	if r := c.coordination; r != nil {
		v.Epoch = r.entry.Record.Epoch
		v.Backup = r.entry.Record.Backup
		v.AuthorityExpiresAt, _ = c.authority()
		v.RecordExpiresAt = r.recordExpiresAt
		v.ConfirmedRules = c.confirmed()
	}
	return v
}

func (c *Cell) role() Role {
	switch {
	case c.coordination != nil:
		return RoleCoordinator
	case !c.member.joined:
		return RoleJoining
	case c.backup != nil:
		return RoleBackup
	default:
		return RoleMember
	}
}

// confirmed returns the lowest revision of the rules that any member has applied.
func (c *Cell) confirmed() int64 {
	r := c.coordination
	lowest := c.appliedRules
	for _, m := range r.members {
		lowest = min(lowest, m.appliedRules)
	}
	return lowest
}

func (c *Cell) memberViews() []MemberView {
	t := c.member.table
	var views []MemberView
	i := 0
	for _, id := range sortedKeys(t.roster) {
		e := t.roster[id]
		if e.removed {
			continue
		}
		v := MemberView{Peer: e.peer, Target: e.target, Draining: e.draining}
		if i < len(c.member.loads) {
			v.InFlight = int(c.member.loads[i])
		}
		if e.peer.Same(c.self) {
			v.Target = c.target
			v.InFlight = c.target.InFlight
			v.AppliedRules = c.appliedRules
		}
		if c.coordination != nil && c.coordination.members[id] != nil {
			v.AppliedRules = c.coordination.members[id].appliedRules
		}
		i++
		views = append(views, v)
	}
	sort.SliceStable(views, func(i, k int) bool { return views[i].Peer.Name < views[k].Peer.Name })
	return views
}

func (c *Cell) slotViews() []SlotView {
	t := c.member.table
	var views []SlotView
	for _, id := range t.ids() {
		e := t.slots[id]
		if e.state == stateRemoved {
			continue
		}
		v := SlotView{
			Slot: id, Owner: t.peer(e.owner), Standby: t.peer(e.standby), Synced: e.synced,
			Epoch: e.token, Moving: e.owner == 0 || e.state != stateOwned,
			Next: t.peer(e.next),
		}
		if e.state == stateWaiting {
			v.Next = seampeer.Peer{}
		}
		if c.coordination != nil {
			v.Rate = c.coordination.loads[id].Rate
		}
		views = append(views, v)
	}
	return views
}
