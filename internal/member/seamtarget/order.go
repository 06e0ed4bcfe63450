package seamtarget

// Paths on a target that the node beside it calls, if the target announced CanGrant.
const (
	// GrantPath takes a PUT of Orders.
	GrantPath = "/seam/grant"
	// HandoverPath takes a POST of Handover and answers once the successor has the state.
	HandoverPath = "/seam/handover"
	// StatePath takes a POST of state from another target: a handover, or copies for a standby.
	StatePath = "/seam/state"
)

// Orders tells a target which slots it may serve. Orders with a lower Incarnation,
// or the same one and a lower Sequence, are refused with 409.
type GrantRequest struct {
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	// Life is the time from arrival for which the orders hold, in milliseconds.
	TTLMillis int `json:"life"`
	// Until bounds the orders by the wall clock of the machine, in milliseconds since the
	// Unix epoch: orders that were delayed on their way do not hold longer.
	ExpiresAtMillis int64 `json:"until"`
	// Full says that Slots is the complete set; otherwise the set stays as it is and only Life is renewed.
	Full  bool        `json:"full,omitempty"`
	Slots []SlotGrant `json:"slots,omitempty"`
}

// SlotOrder is the grant of one slot.
type SlotGrant struct {
	Slot uint32 `json:"slot"`
	// Epoch is the fencing token; a target refuses one lower than it has seen for the slot.
	Epoch uint64 `json:"epoch"`
	// Standby is the ip:port of the target to copy to before each acknowledgement, or empty.
	Standby string `json:"standby,omitempty"`
}

// Handover asks a target to stop serving a slot and to send its state to the successor.
type Handover struct {
	Slot  uint32 `json:"slot"`
	Epoch uint64 `json:"epoch"`
	// Successor is the ip:port of the target that takes over.
	Successor string `json:"successor"`
}
