package seamcell

import (
	"time"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

// Placer decides which slots move to which members. It is called by a coordinator only.
type Placer interface {
	Plan(now seamclock.Instant, view PlacementView) []Move
}

// RangePlacer is a Placer that also brings ranges to the regions of their callers.
type RangePlacer interface {
	// PlanRange returns the part of the range that is to move, if there is one.
	PlanRange(now seamclock.Instant, view RangeView) (RangeMove, bool)
}

// PlaceView is what a Placer sees of a cell.
type PlacementView struct {
	// Members can take slots and are in order of their names.
	Members []PlacementMember
	// Slots have an owner and are in order of service and index.
	Slots []PlacementSlot
	// Moving is the number of moves under way.
	ActiveMoves int
}

// PlaceMember is a member with a target of a keyed service.
type PlacementMember struct {
	Name     string
	Domain   string
	Region   string
	Service  string
	Capacity int
	InFlight int
	// Cold says that the target wants a slow start.
	ColdStart bool
}

// PlaceSlot is a slot with an owner.
type PlacementSlot struct {
	Slot    seamslot.ID
	Owner   string
	Standby string
	// Synced says that the standby is up to date.
	Synced bool
	// Rate is in requests per second.
	Rate float64
	// Hottest is the rate of the slot's most used key, in requests per second; 0 if it is low.
	HottestKeyRate float64
	// Held is the time since the owner got the slot.
	HeldFor time.Duration
}

// Move asks for one slot to be moved to the member named To.
type Move struct {
	Slot seamslot.ID
	To   string
}
