package seamtarget

// Paths on a target that announced CanGrant.
const (
	// GrantPath accepts a PUT of GrantRequest from the target's node.
	GrantPath = "/seam/grant"
	// HandoverPath accepts a POST of Handover from the target's node. It responds once the successor has the
	// state.
	HandoverPath = "/seam/handover"
	// StatePath accepts a POST of state from another target: a handover, or updates for a standby.
	StatePath = "/seam/state"
)

// GrantRequest tells a target which slots it may serve. A request with a lower Incarnation than an earlier one, or with the
// same Incarnation and a lower Sequence, is rejected with status 409.
type GrantRequest struct {
	// Incarnation is the incarnation of the node that sends the request.
	Incarnation uint64 `json:"incarnation"`
	// Sequence increases with each request of one incarnation.
	Sequence uint64 `json:"sequence"`
	// TTLMillis is how long the grants are valid from the arrival of the request, in milliseconds.
	TTLMillis int `json:"life"`
	// ExpiresAtMillis bounds the grants by the wall clock of the machine, in milliseconds since the Unix epoch, so that
	// a delayed request does not extend them.
	ExpiresAtMillis int64 `json:"until"`
	// Full reports whether Slots is the complete set of grants. If false, the set is unchanged and only its expiry is
	// renewed.
	Full  bool        `json:"full,omitempty"`
	Slots []SlotGrant `json:"slots,omitempty"`
}

// SlotGrant is the grant of one slot.
type SlotGrant struct {
	Slot uint32 `json:"slot"`
	// Epoch is the fencing token. A target rejects an epoch lower than the highest it has seen for the slot.
	Epoch uint64 `json:"epoch"`
	// Standby is the ip:port of the target to replicate to before each acknowledgement, or empty.
	Standby string `json:"standby,omitempty"`
}

// Handover asks a target to stop serving a slot and to send its state to the successor.
type Handover struct {
	Slot  uint32 `json:"slot"`
	Epoch uint64 `json:"epoch"`
	// Successor is the ip:port of the target that takes over the slot.
	Successor string `json:"successor"`
}
