// Package seamplace decides which server owns which slot. It only decides: Plan takes
// what is known of one service and returns the moves that gain more than they cost.
package seamplace

import (
	"time"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

// View is what is known of one service at one moment.
type View struct {
	// Members are the live members whose targets serve the service.
	Members []Member
	// Slots are all slots to be owned by these members.
	Slots  []Slot
	Config Config
}

// Member is a node that may own slots.
type Member struct {
	Name   string
	Domain string
	Region string
	// Capacity is the number of requests that the target runs at once; 0 counts as 1.
	Capacity float64
	// InFlight is the number of requests that run or wait there.
	InFlight int
	// Draining says that the member leaves and must not own slots.
	Draining bool
	// Cold says that the target has started lately and takes less load.
	ColdStart bool
	// Copies says that the target can keep a standby copy of a slot.
	SupportsStandby bool
}

// Slot is the state of one slot.
type Slot struct {
	ID seamslot.ID
	// Owner is the name of the owner; empty, or a name that is no member, if it has none.
	Owner string
	// Standby is the name of the member that keeps a copy, or empty.
	Standby string
	// Rate is the load of the slot, in requests a second.
	Rate float64
	// Moved is the time of the last change of owner; zero if it never changed.
	MovedAt seamclock.Instant
	// Hot says that a single key of the slot carries at least half the mean load of a member.
	// The busiest such slot of a member does not move for balance; its neighbours do.
	Hot bool
	// Callers is the part of the requests that come from each region, by region.
	CallerShares map[string]float64
}

// Config weighs gains against costs. The unit in which they meet is one second in which
// one server carries twice the mean load.
type Config struct {
	// Imbalance weighs load above the mean.
	Imbalance float64
	// Churn weighs changes of owner.
	Churn float64
	// Unavailable weighs the time in which keys are not served.
	Unavailable float64
	// Base is the load for each member that all slots share alike besides their own, in
	// requests a second. It spreads unused slots by their number and damps the noise of low
	// rates; with 0, nothing is balanced below 1 request a second for each member.
	BaseRate float64
	// Moves is the largest number of moves of one plan that only improve the balance,
	// the region of owners or the place of standbys.
	MaxMoves int
	// Dwell is the time for which a moved slot stays where it is.
	Dwell time.Duration
	// Handover is the time in which a slot is not served while its state moves.
	HandoverTime time.Duration
	// Promotion is the same for a move to the slot's standby, which has the state.
	PromotionTime time.Duration
	// Transfer is the same for a move to another cell.
	TransferTime time.Duration
}

// ProductBase is the Base with which nodes plan: the noise of rates averaged over 10 s then
// stays below what a plan tolerates.
const NodeBaseRate = 10.0

// DefaultConfig returns equal weights and the defaults of the settings.
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

// Reason says why a slot moves.
type Reason string

// Reasons for moves.
const (
	// Assign gives an owner to a slot that has none.
	ReasonAssign Reason = "assign"
	// Drain takes a slot from a member that leaves.
	ReasonDrain Reason = "drain"
	// Region brings a slot to the region of its callers.
	ReasonRegion Reason = "region"
	// Balance takes load from a busy member.
	ReasonBalance Reason = "balance"
	// Standby changes the standby only.
	ReasonStandby Reason = "standby"
)

// Move is one change of the placement.
type Move struct {
	Slot seamslot.ID
	// From is the present owner, or empty. It equals To if only the standby changes.
	From string
	// To is the new owner.
	To string
	// Standby is the standby after the move, or empty.
	Standby string
	Reason  Reason
	// Gain is what a Balance or Region move gains beyond its cost, in the unit of Config.
	Gain float64
}
