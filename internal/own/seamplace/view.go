// Package seamplace plans the placement of slots on servers: Plan balances the load of one service within a cell, and
// PlanRange moves slots to the region of their callers. It returns moves whose benefit exceeds their cost and does
// not execute them.
package seamplace

import (
	"time"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

// View is the input of Plan: the state of one service within a cell.
type View struct {
	// Members are the live members whose targets serve the service.
	Members []Member
	// Slots are all slots of the service that the cell owns.
	Slots  []Slot
	Config Config
}

// Member is a member of the cell.
type Member struct {
	Name   string
	Domain string
	Region string
	// Capacity is the number of requests that the target runs concurrently; 0 counts as 1.
	Capacity float64
	// InFlight is the number of running and waiting requests of the target.
	InFlight int
	// Draining says that the member is leaving and must not own slots.
	Draining bool
	// ColdStart says that the target started recently and can serve less load.
	ColdStart bool
	// SupportsStandby says that the target can be the standby of a slot.
	SupportsStandby bool
}

// Slot is the state of one slot.
type Slot struct {
	ID seamslot.ID
	// Owner is the name of the owner. A slot whose owner is empty or not a member has no owner.
	Owner string
	// Standby is the name of the member that replicates the slot, or empty.
	Standby string
	// Rate is the load of the slot, in requests per second.
	Rate float64
	// MovedAt is the time of the last change of owner, or zero if it never changed.
	MovedAt seamclock.Instant
	// Hot says that the load of a single key of the slot is at least half the mean load of a member. The busiest hot slot
	// of a member does not move for balance; the member's other slots do.
	Hot bool
	// CallerShares holds the fraction of the slot's requests that come from callers in each region.
	CallerShares map[string]float64
}

// Config weighs benefits against costs. Their common unit is one second in which one server has twice the mean load.
type Config struct {
	// Imbalance is the weight of load above the mean.
	Imbalance float64
	// Churn is the weight of changes of owner.
	Churn float64
	// Unavailable is the weight of the time in which keys are not served. It is also the weight of the benefit of load
	// that no longer crosses regions after a move.
	Unavailable float64
	// BaseRate is a load per member, in requests per second, that is divided equally among all slots and added to their
	// own. It spreads idle slots by number and dampens the noise of low rates. If it is 0, nothing is balanced below
	// 1 request per second per member.
	BaseRate float64
	// MaxMoves is the maximum number of moves in one plan that only improve the balance, the region of owners or the
	// failure domain of standbys.
	MaxMoves int
	// Dwell is the minimum time between moves of a slot.
	Dwell time.Duration
	// HandoverTime is how long a slot is not served while its state moves to another member.
	HandoverTime time.Duration
	// PromotionTime is how long a slot is not served while it moves to its standby, which has the state.
	PromotionTime time.Duration
	// TransferTime is how long a slot is not served while it moves to another cell.
	TransferTime time.Duration
}

// NodeBaseRate is the BaseRate that nodes use. It keeps the noise of rates averaged over 10 s below the tolerance
// of a plan.
const NodeBaseRate = 10.0

// DefaultConfig returns equal weights and the default settings, with a BaseRate of 0.
func DefaultConfig() Config {
	return Config{
		Imbalance:     1,
		Churn:         1,
		Unavailable:   1,
		MaxMoves:      16,
		Dwell:         20 * time.Second,
		HandoverTime:  200 * time.Millisecond,
		PromotionTime: 50 * time.Millisecond,
		TransferTime:  500 * time.Millisecond,
	}
}

// Reason is the reason for a move.
type Reason string

// Reasons for moves.
const (
	// ReasonAssign assigns an owner to a slot that has none.
	ReasonAssign Reason = "assign"
	// ReasonDrain moves a slot away from a draining member.
	ReasonDrain Reason = "drain"
	// ReasonRegion moves a slot to the region of its callers.
	ReasonRegion Reason = "region"
	// ReasonBalance moves load away from a busy member.
	ReasonBalance Reason = "balance"
	// ReasonStandby changes only the standby.
	ReasonStandby Reason = "standby"
)

// Move is one change of the placement.
type Move struct {
	Slot seamslot.ID
	// From is the current owner, or empty. It equals To if only the standby changes.
	From string
	// To is the new owner.
	To string
	// Standby is the standby after the move, or empty.
	Standby string
	Reason  Reason
	// Gain is the benefit of a ReasonBalance or ReasonRegion move minus its cost, in the unit of Config.
	Gain float64
}
