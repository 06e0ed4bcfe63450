package seamcell

import (
	"time"

	"cardamomseam/internal/own/seamslot"
)

// Outcome is the result of a store call.
type Outcome int

// Outcomes of a store call.
const (
	// OK means that the call took effect. Entry holds the new revision or the value that was read.
	OK Outcome = iota
	// Conflict means that nothing was written. Entry holds the value that was found.
	Conflict
	// Unknown means that a write may or may not have taken effect.
	Unknown
	// Unavailable means that nothing was written.
	Unavailable
)

// StoreResult is the result of a CompareAndSwap, Read or Remove.
type StoreResult struct {
	// ID is the ID of the action.
	ID      uint64
	Outcome Outcome
	// Entry is set after OK of a CompareAndSwap (its Revision) or Read, and after Conflict.
	Entry Entry
}

// TargetState describes the local target. The zero value means that there is none.
type TargetState struct {
	// Service is the name of the service, or empty if there is no live target.
	Service string
	// Name identifies the incarnation of the target.
	Name string
	// Address is the ip:port on which the target accepts requests.
	Address string
	Labels  map[string]string
	// Concurrency is the number of requests that the target runs concurrently.
	Concurrency int
	// Connections is the number of connections that the target accepts.
	Connections int
	// Standby says that the target replicates to a standby before it acknowledges a request.
	Standby bool
	// Fence says that the target rejects requests of another epoch.
	Fence bool
	// ColdStart says that the target requests a slow start.
	ColdStart bool
	// Leaving says that the target is shutting down.
	Leaving bool
	// SyncedSlots lists the slots whose standby is up to date.
	SyncedSlots []SyncedSlot
	// RetainedSlots lists the slots that the target served last and has not handed over.
	RetainedSlots []RetainedSlot
	// InFlight is the number of requests in flight.
	InFlight int
	// Loads are the loads of the slots.
	Loads []SlotLoad
}

// SyncedSlot is a slot whose standby has a complete copy.
type SyncedSlot struct {
	Slot seamslot.ID
	// StandbyAddress is the address of the standby's target in the grants under which the slot was
	// copied.
	StandbyAddress string
}

// RetainedSlot is a slot whose state a target has.
type RetainedSlot struct {
	Slot seamslot.ID
	// Epoch is the fencing token under which the target last served the slot.
	Epoch uint64
}

// SlotLoad is the load of one slot.
type SlotLoad struct {
	Slot seamslot.ID
	// Rate is in requests per second.
	Rate float64
	// HottestKeyRate is the rate of the slot's most requested key, in requests per second, or 0 if
	// it is low.
	HottestKeyRate float64
	// CallerRegion is the other region from which most requests come, or empty.
	CallerRegion string
	// CallerShare is a lower bound on the fraction of requests that come from CallerRegion.
	CallerShare float64
}

// ServiceState is a keyed service as defined by the rules.
type ServiceState struct {
	Name string
	// Slots is the number of slots, or 0 if the service is no longer known.
	Slots uint32
	// HomeRegions are the regions among which the slots are divided in order, in equal parts.
	HomeRegions []string
	// MaxDeadline is the longest deadline of a request.
	MaxDeadline time.Duration
}
