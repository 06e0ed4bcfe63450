// Package seamgrant holds the grant, the right of one server to serve one slot
// for a limited time.
package seamgrant

import (
	"fmt"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

// Grant is the right of this node's server to serve a slot.
type Grant struct {
	Slot seamslot.ID
	// Epoch is the fencing token. It rises with each change of owner.
	Epoch uint64
	// Until is the end of the right on the clocks of this process.
	ExpiresAt seamclock.Instant
}

// NotOwnerError says that this node holds no valid grant for the slot.
// The request was not run.
type NotOwnerError struct {
	Slot seamslot.ID
	// Owner is the address of the node believed to own the slot, or empty.
	Owner string
	// Moving says that the slot is between two owners and will be granted shortly.
	Moving bool
	// Arriving says that the slot is this node's and its server will have it shortly.
	GrantPending bool
	// Lapsed says that the slot is this node's, but its right is over and nobody renews it. Until that changes no
	// node serves the slot.
	LeaseExpired bool
}

// Error names the slot and the likely owner.
func (e *NotOwnerError) Error() string {
	if e.LeaseExpired {
		return fmt.Sprintf("the right to slot %s is over and was not renewed", e.Slot)
	}
	return fmt.Sprintf("slot %s is not owned here (owner %q, moving %t)", e.Slot, e.Owner, e.Moving)
}
