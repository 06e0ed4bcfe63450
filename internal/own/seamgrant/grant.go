// Package seamgrant defines the grant, a lease under which one server
// exclusively serves one slot.
package seamgrant

import (
	"fmt"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

// Grant is the lease on a slot that this node's server holds.
type Grant struct {
	Slot seamslot.ID
	// Epoch is the fencing token. It increases with each change of owner.
	Epoch uint64
	// ExpiresAt is the end of the lease by the monotonic and wall clocks of this process.
	ExpiresAt seamclock.Instant
}

// NotOwnerError reports that this node holds no valid grant for the slot.
// The request was not executed.
type NotOwnerError struct {
	Slot seamslot.ID
	// Owner is the address of the node that owns the slot according to this node's view, or empty.
	Owner string
	// Moving reports that the slot is moving to another owner, which will shortly be granted it.
	Moving bool
	// GrantPending reports that the slot is assigned to this node and will be granted to its server shortly.
	GrantPending bool
	// LeaseExpired reports that the slot is assigned to this node, but its lease has expired and was not renewed in
	// time. No node serves the slot until the lease is renewed or the slot is assigned to another node.
	LeaseExpired bool
}

// Error returns a message with the slot and the reason, or the owner according to this node's view.
func (e *NotOwnerError) Error() string {
	if e.LeaseExpired {
		return fmt.Sprintf("lease on slot %s has expired and was not renewed", e.Slot)
	}
	return fmt.Sprintf("slot %s is not owned by this node (owner %q, moving %t)", e.Slot, e.Owner, e.Moving)
}
