// Package seamtarget holds what a target announces about itself to the node beside it.
package seamtarget

// Announcement is the body of PUT /v1/target on the announcement address of a node.
// A target repeats it at least every Life; each answer states the life.
type Announcement struct {
	// Service is the name of the service that the target serves.
	Service string `json:"service"`
	// Name identifies the run of the target; a restarted target announces another name.
	Name string `json:"name"`
	// Address is the ip:port where the target takes HTTP requests.
	Address string `json:"address"`
	// Labels are the target's own labels; operators may add more.
	Labels map[string]string `json:"labels,omitempty"`
	// Slots is the number of requests that the target runs at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that the target accepts.
	Connections int `json:"connections"`
	// Can lists what the target supports: grant, fence, cancel, deadline, standby, drain.
	Capabilities []string `json:"can,omitempty"`
	// Cold says that the target starts with empty caches and wants a slow start.
	ColdStart bool `json:"cold,omitempty"`
	// Leaving says that the target is about to stop and wants no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Born is the start of this life of the target, in milliseconds since the Unix epoch; 0 if it is not told.
	Started int64 `json:"born,omitempty"`
	// Sequence rises with each announcement of one life, so that a late one is recognized; 0 if it is not told.
	Sequence uint64 `json:"sequence,omitempty"`
	// Synced lists the slots whose standby is up to date.
	SyncedSlots []SyncedSlot `json:"synced,omitempty"`
	// Kept lists the slots that the target served last, as far as it knows, and has not handed over. A node
	// that has restarted beside the target learns from it whose state is here.
	RetainedSlots []RetainedSlot `json:"kept,omitempty"`
}

// KeptSlot is a slot whose state the target has.
type RetainedSlot struct {
	Slot uint32 `json:"slot"`
	// Epoch is that of the order under which the target served it last.
	Epoch uint64 `json:"epoch"`
}

// SyncedSlot is a slot whose standby has a complete copy.
type SyncedSlot struct {
	Slot uint32 `json:"slot"`
	// Standby is the ip:port of the standby's target, as the orders named it.
	Standby string `json:"standby"`
}

// Abilities that a target may announce.
const (
	// CanGrant means that the target takes grants on /seam/grant.
	CanGrant = "grant"
	// CanFence means that the target refuses a request whose epoch is not that of its grant.
	CanFence = "fence"
	// CanCancel means that the target stops work when the connection closes.
	CanCancel = "cancel"
	// CanDeadline means that the target refuses work that is past the Seam-Deadline header.
	CanDeadline = "deadline"
	// CanStandby means that the target copies its slots to a standby before it acknowledges.
	CanStandby = "standby"
)

// Has reports whether the target announced the ability.
func (a Announcement) HasCapability(ability string) bool {
	for _, c := range a.Capabilities {
		if c == ability {
			return true
		}
	}
	return false
}
