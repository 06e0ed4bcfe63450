package seamcell

import (
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

// Role is the part that a node plays in its cell.
type Role string

// Roles of a node.
const (
	RoleNone        Role = "none"
	RoleJoining     Role = "joining"
	RoleMember      Role = "member"
	RoleBackup      Role = "backup"
	RoleCoordinator Role = "coordinator"
)

// View is what a node knows of its cell.
type View struct {
	Role  Role
	Cell  string
	Epoch uint32
	// Coordinator and Backup are zero if there is none or it is not known.
	Coordinator seampeer.Peer
	Backup      seampeer.Peer
	// Members are in order of their names, this node included.
	Members []MemberView
	// Slots are in order of service and index.
	Slots []SlotView
	// Lease is the end of this node's own lease; zero if it has none.
	Lease seamclock.Instant
	// Authority is the end of the coordinator's authority; zero at other nodes.
	Authority seamclock.Instant
	// Horizon is the end of the record's horizon at the coordinator; zero at other nodes.
	Horizon seamclock.Instant
	// Confirmed is the revision of the rules that all live members have in force; 0 at other nodes.
	Confirmed int64
}

// MemberView is a member of the cell.
type MemberView struct {
	Peer     seampeer.Peer
	Target   TargetState
	InFlight int
	Draining bool
	// Applied is the revision of the rules at the member, known to the coordinator only.
	Applied int64
}

// SlotView is a slot of the cell.
type SlotView struct {
	Slot seamslot.ID
	// Owner is zero if the slot has none.
	Owner   seampeer.Peer
	Standby seampeer.Peer
	// Synced says that the standby is up to date.
	Synced bool
	// Epoch is the fencing token.
	Epoch uint64
	// Moving says that the slot is being released.
	Moving bool
	// Rate is the load in requests per second, known to the coordinator only.
	Rate float64
}
