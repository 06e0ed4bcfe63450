// Package seamtarget defines the messages between a target and its node: announcements, grants and handovers.
package seamtarget

import "time"

// Announcement is the body of PUT /v1/target on the announcement address of a node. A target repeats it before it expires;
// the field "life" of each response is the time for which the announcement is valid.
type Announcement struct {
	// Service is the name of the service that the target serves.
	Service string `json:"service"`
	// Name is the id of the target. A restarted target announces another name.
	Name string `json:"name"`
	// Address is the ip:port at which the target accepts HTTP requests.
	Address string `json:"address"`
	// Labels are the target's own labels. Operators may add more.
	Labels map[string]string `json:"labels,omitempty"`
	// MaxConcurrency is the maximum number of requests that the target runs concurrently.
	MaxConcurrency int `json:"slots"`
	// Connections is the maximum number of connections that the target accepts.
	Connections int `json:"connections"`
	// Capabilities lists what the target supports, such as CanGrant.
	Capabilities []string `json:"can,omitempty"`
	// ColdStart reports whether the target starts with empty caches and needs a slow start.
	ColdStart bool `json:"cold,omitempty"`
	// WarmupLeft is the time for which the target is still cold; 0 means that it is not. A negative one counts as 0.
	WarmupLeft time.Duration `json:"warmup,omitempty"`
	// Leaving reports whether the target is about to stop and accepts no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Started is the start time of this incarnation of the target, in milliseconds since the Unix epoch; 0 if unknown.
	Started int64 `json:"born,omitempty"`
	// Sequence increases with each announcement of one incarnation, so that a late one is detected; 0 if unknown.
	Sequence uint64 `json:"sequence,omitempty"`
	// SyncedSlots lists the slots whose standby is up to date.
	SyncedSlots []SyncedSlot `json:"synced,omitempty"`
	// RetainedSlots lists the slots whose state the target still has: as far as it knows, it was the last target to serve
	// them, and it has not handed them over. A restarted node reads from this list
	// which slots' state its target has.
	RetainedSlots []RetainedSlot `json:"kept,omitempty"`
	// ArrivedAt is the time at which the node accepted the announcement; it is no part of it.
	ArrivedAt time.Time `json:"-"`
}

// RetainedSlot is a slot whose state the target has.
type RetainedSlot struct {
	Slot uint32 `json:"slot"`
	// Epoch is the epoch of the last grant under which the target served the slot.
	Epoch uint64 `json:"epoch"`
}

// SyncedSlot is a slot whose standby has a complete copy.
type SyncedSlot struct {
	Slot uint32 `json:"slot"`
	// Standby is the ip:port of the standby's target, as named in the grant.
	Standby string `json:"standby"`
}

// Capabilities that a target may announce.
const (
	// CanGrant means that the target accepts grants at /seam/grant.
	CanGrant = "grant"
	// CanFence means that the target rejects a request whose epoch differs from that of its grant.
	CanFence = "fence"
	// CanCancel means that the target stops work when the connection closes.
	CanCancel = "cancel"
	// CanDeadline means that the target rejects requests whose Seam-Deadline has passed.
	CanDeadline = "deadline"
	// CanStandby means that the target replicates its slots to a standby before it acknowledges a request.
	CanStandby = "standby"
)

// HasCapability reports whether the target announced the capability.
func (a Announcement) HasCapability(capability string) bool {
	for _, c := range a.Capabilities {
		if c == capability {
			return true
		}
	}
	return false
}
