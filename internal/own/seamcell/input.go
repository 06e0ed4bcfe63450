package seamcell

import (
	"time"

	"cardamomseam/internal/own/seamslot"
)

// Outcome is how a call of the store ended.
type Outcome int

// Outcomes of a call of the store.
const (
	// OK means that the call took effect; Entry has the new revision, or what was read.
	OK Outcome = iota
	// Conflict means that nothing was written; Entry is what was found.
	Conflict
	// Unknown means that a write may or may not have taken effect.
	Unknown
	// Unavailable means that nothing was written.
	Unavailable
)

// StoreResult is the result of a Swap, Read or Remove.
type StoreResult struct {
	// ID is that of the action.
	ID      uint64
	Outcome Outcome
	// Entry is set after OK of a Swap (its Revision) or Read, and after Conflict.
	Entry Entry
}

// TargetState is what the node knows about its own target. The zero value means that there is none.
type TargetState struct {
	// Service is the name of the service; empty if there is no live target.
	Service string
	// Name identifies the run of the target.
	Name string
	// Address is the ip:port where the target takes requests.
	Address string
	Labels  map[string]string
	// Slots is the number of requests that the target runs at once.
	Concurrency int
	// Connections is the number of connections that it accepts.
	Connections int
	// Standby says that the target copies to a standby before it acknowledges.
	Standby bool
	// Fence says that the target refuses requests of another epoch.
	Fence bool
	// Cold says that the target wants a slow start.
	ColdStart bool
	// Leaving says that the target is about to stop.
	Leaving bool
	// Synced lists the slots whose standby is up to date.
	SyncedSlots []SyncedSlot
	// Kept lists the slots that the target served last, and has not handed over.
	RetainedSlots []RetainedSlot
	// InFlight is the number of requests in flight.
	InFlight int
	// Loads are the rates of the slots, in requests per second.
	Loads []SlotLoad
}

// SyncedSlot is a slot whose standby has a complete copy.
type SyncedSlot struct {
	Slot seamslot.ID
	// Standby is the address of the standby's target in the orders under which it was copied.
	StandbyAddress string
}

// KeptSlot is a slot whose state a target has.
type RetainedSlot struct {
	Slot seamslot.ID
	// Epoch is the fencing token under which the target served it last.
	Epoch uint64
}

// SlotLoad is the load of one slot.
type SlotLoad struct {
	Slot seamslot.ID
	// Rate is in requests per second.
	Rate float64
	// Hottest is the rate of the slot's most used key, in requests per second; 0 if it is low.
	HottestKeyRate float64
	// Caller is the other region from which most requests come, or empty.
	CallerRegion string
	// Share is the least part of the requests that come from there.
	CallerShare float64
}

// ServiceState is a keyed service as the rules describe it.
type ServiceState struct {
	Name string
	// Slots is the number of slots; 0 if the service is no longer known.
	Slots uint32
	// Homes are regions that divide the slots in order, in equal parts.
	HomeRegions []string
	// Deadline is the longest deadline of a request.
	MaxDeadline time.Duration
}
