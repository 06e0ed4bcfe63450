// Package seamcell decides who owns which slot. A Cell is the state machine of
// one node: events and the present time go in, actions come out. It performs no
// input or output, starts no goroutine and reads no clock.
package seamcell

import "time"

// Config holds the settings of a cell. All nodes of a deployment share them.
type Config struct {
	// Heartbeat is the time between renewals of a member and between beats to the backup.
	Heartbeat time.Duration
	// Promise is the time from receiving a beat during which the backup does not take over.
	Promise time.Duration
	// Margin is what is taken off one's own rights and added to those of others, for clock drift.
	Margin time.Duration
	// Grant is the longest life of a member's lease.
	Grant time.Duration
	// Collect is the time for which a new coordinator waits for the reports of members.
	Collect time.Duration
	// Confirm is the time for which a member may lag behind the coordinator's rules.
	Confirm time.Duration
	// Horizon is the time after its last write for which a record binds the nodes that did not write it.
	Horizon time.Duration
	// Handover is the time beyond the longest deadline of a request after which a slot is released
	// even if its server has not handed it over.
	Handover time.Duration
	// Return is the time for which a slot waits for a silent member whose server alone has its state.
	Return time.Duration
	// Orphan is the time without an answer after which a member looks for another cell.
	Orphan time.Duration
	// Publish is the shortest time between writes that only publish size and services.
	Publish time.Duration
	// Retry is the time between attempts of a failed call of the store.
	Retry time.Duration
	// Report is the time between reports of load.
	Report time.Duration
	// Plan is the time between two runs of the Placer.
	Plan time.Duration
	// Settle is the time between two moves of ranges to other cells.
	Settle time.Duration
	// Moves is the largest number of slots that move at a time in one cell.
	Moves int
	// Transfer is the smallest number of slots that moves to another cell for balance.
	Transfer int
	// Min is the number of members below which a cell merges into another.
	Min int
	// Max is the largest number of members.
	Max int
	// Datagram is the largest size of a message, in bytes.
	Datagram int
	// Restart says that a new incarnation on the same address proves that the older process has ended.
	Restart bool
}

// DefaultConfig returns the settings that the documentation describes.
func DefaultConfig() Config {
	return Config{
		Heartbeat: 300 * time.Millisecond,
		Promise:   1200 * time.Millisecond,
		Margin:    100 * time.Millisecond,
		Grant:     time.Second,
		Collect:   200 * time.Millisecond,
		Confirm:   3 * time.Second,
		Horizon:   30 * time.Minute,
		Handover:  2 * time.Second,
		Return:    10 * time.Second,
		Orphan:    10 * time.Second,
		Publish:   5 * time.Second,
		Retry:     200 * time.Millisecond,
		Report:    2 * time.Second,
		Plan:      500 * time.Millisecond,
		Settle:    5 * time.Second,
		Moves:     8,
		Transfer:  8,
		Min:       4,
		Max:       12,
		Datagram:  1200,
		Restart:   true,
	}
}
