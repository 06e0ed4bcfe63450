package seamcell

import (
	"time"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

// Placer decides which slots move to which members. It is called by a coordinator only.
type Placer interface {
	Plan(now seamclock.Instant, view PlaceView) []Move
}

// RangePlacer is a Placer that also brings ranges to the regions of their callers.
type RangePlacer interface {
	// PlanRange returns the part of the range that is to move, if there is one.
	PlanRange(now seamclock.Instant, view RangeView) (RangeMove, bool)
}

// PlaceView is what a Placer sees of a cell.
type PlaceView struct {
	// Members can take slots and are in order of their names.
	Members []PlaceMember
	// Slots have an owner and are in order of service and index.
	Slots []PlaceSlot
	// Moving is the number of moves under way.
	Moving int
}

// PlaceMember is a member with a target of a keyed service.
type PlaceMember struct {
	Name     string
	Domain   string
	Region   string
	Service  string
	Capacity int
	InFlight int
	// Cold says that the target wants a slow start.
	Cold bool
}

// PlaceSlot is a slot with an owner.
type PlaceSlot struct {
	Slot    seamslot.ID
	Owner   string
	Standby string
	// Synced says that the standby is up to date.
	Synced bool
	// Rate is in requests per second.
	Rate float64
	// Hottest is the rate of the slot's most used key, in requests per second; 0 if it is low.
	Hottest float64
	// Held is the time since the owner got the slot.
	Held time.Duration
}

// Move asks for one slot to be moved to the member named To.
type Move struct {
	Slot seamslot.ID
	To   string
}
