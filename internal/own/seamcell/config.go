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
	CoordinatorLease time.Duration
	// Margin is what is taken off one's own rights and added to those of others, for clock drift.
	ClockMargin time.Duration
	// Grant is the longest life of a member's lease.
	MaxLease time.Duration
	// Collect is the time for which a new coordinator waits for the reports of members.
	ReportTimeout time.Duration
	// Confirm is the time for which a member may lag behind the coordinator's rules.
	MaxRulesLag time.Duration
	// Horizon is the time after its last write for which a record binds the nodes that did not write it.
	RecordTTL time.Duration
	// Handover is the time beyond the longest deadline of a request after which a slot is released
	// even if its server has not handed it over.
	HandoverGrace time.Duration
	// Return is the time for which a slot waits for a silent member whose server alone has its state.
	ReturnTimeout time.Duration
	// Orphan is the time without an answer after which a member looks for another cell.
	OrphanTimeout time.Duration
	// Publish is the shortest time between writes that only publish size and services.
	MinPublishInterval time.Duration
	// Retry is the time between attempts of a failed call of the store.
	RetryInterval time.Duration
	// Report is the time between reports of load.
	LoadReportInterval time.Duration
	// Plan is the time between two runs of the Placer.
	PlanInterval time.Duration
	// Settle is the time between two moves of ranges to other cells.
	SettleDelay time.Duration
	// Moves is the largest number of slots that move at a time in one cell.
	MaxMoves int
	// Transfer is the smallest number of slots that moves to another cell for balance.
	MinTransferSlots int
	// Min is the number of members below which a cell merges into another.
	MinMembers int
	// Max is the largest number of members.
	MaxMembers int
	// Datagram is the largest size of a message, in bytes.
	MaxDatagramBytes int
	// Restart says that a new incarnation on the same address proves that the older process has ended.
	RestartImpliesExit bool
}

// DefaultConfig returns the settings that the documentation describes.
func DefaultConfig() Config {
	return Config{
		Heartbeat:          300 * time.Millisecond,
		CoordinatorLease:   1200 * time.Millisecond,
		ClockMargin:        100 * time.Millisecond,
		MaxLease:           time.Second,
		ReportTimeout:      200 * time.Millisecond,
		MaxRulesLag:        3 * time.Second,
		RecordTTL:          30 * time.Minute,
		HandoverGrace:      2 * time.Second,
		ReturnTimeout:      10 * time.Second,
		OrphanTimeout:      10 * time.Second,
		MinPublishInterval: 5 * time.Second,
		RetryInterval:      200 * time.Millisecond,
		LoadReportInterval: 2 * time.Second,
		PlanInterval:       500 * time.Millisecond,
		SettleDelay:        5 * time.Second,
		MaxMoves:           8,
		MinTransferSlots:   8,
		MinMembers:         4,
		MaxMembers:         12,
		MaxDatagramBytes:   1200,
		RestartImpliesExit: true,
	}
}
