package seamcell

import (
	"time"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

// Placer decides which slots move to which members. Only a coordinator calls it.
type Placer interface {
	Plan(now seamclock.Instant, view PlacementView) []Move
}

// RangePlacer is a Placer that also moves ranges to the regions of their callers.
type RangePlacer interface {
	// PlanRange returns the part of the range that is to move, if any.
	PlanRange(now seamclock.Instant, view RangeView) (RangeMove, bool)
}

// PlacementView is the input of a Placer.
type PlacementView struct {
	// Members are the members to which slots can be assigned, sorted by name.
	Members []PlacementMember
	// Slots are the slots that have an owner, sorted by service and index.
	Slots []PlacementSlot
	// ActiveMoves is the number of moves in progress.
	ActiveMoves int
}

// PlacementMember is a member with a target of a keyed service.
type PlacementMember struct {
	Name     string
	Domain   string
	Region   string
	Service  string
	Capacity int
	InFlight int
	// ColdStart says that the target requests a slow start.
	ColdStart bool
}

// PlacementSlot is a slot with an owner.
type PlacementSlot struct {
	Slot    seamslot.ID
	Owner   string
	Standby string
	// Synced says that the standby is up to date.
	Synced bool
	// Rate is in requests per second.
	Rate float64
	// HottestKeyRate is the rate of the slot's most requested key, in requests per second, or 0 if
	// it is low.
	HottestKeyRate float64
	// HeldFor is the time since the owner received the slot.
	HeldFor time.Duration
}

// Move requests that one slot move to the member named To.
type Move struct {
	Slot seamslot.ID
	To   string
}
