// Package seamcell implements leader election, membership and leases for groups of nodes (cells)
// and assigns each slot of a service to exactly one owner. A Cell is the state machine of one node:
// it takes events and the current time and returns actions. It performs no input or output, starts
// no goroutine and reads no clock.
package seamcell

import "time"

// Config holds the timeouts and limits of a cell. All nodes of a deployment must use the same
// values.
type Config struct {
	// Heartbeat is the interval of lease renewals by members and of heartbeats from the
	// coordinator to the backup.
	Heartbeat time.Duration
	// CoordinatorLease is the time after receiving a heartbeat during which the backup does not
	// take over.
	CoordinatorLease time.Duration
	// ClockMargin allows for clock drift. It is subtracted from a node's own leases and added to
	// those of others.
	ClockMargin time.Duration
	// MaxLease is the maximum duration of a member's lease.
	MaxLease time.Duration
	// ReportTimeout is the time for which a new coordinator waits for the reports of members.
	ReportTimeout time.Duration
	// MaxRulesLag is the time for which a member may lag behind the coordinator's rules.
	MaxRulesLag time.Duration
	// RecordTTL is the time after the last write of a cell's record after which the cell counts as
	// abandoned, because its coordinator and backup can have no authority any more.
	RecordTTL time.Duration
	// HandoverGrace is added to the longest request deadline. After that time a slot is released
	// even if its server has not handed it over.
	HandoverGrace time.Duration
	// ReturnTimeout is the time for which a slot waits for an unresponsive member whose server has
	// the only copy of its state.
	ReturnTimeout time.Duration
	// OrphanTimeout is the time without a response from its cell after which a member looks for
	// another cell. The last member of a cell that shuts down waits as long for other
	// cells to receive the ranges.
	OrphanTimeout time.Duration
	// MinPublishInterval is the minimum time between writes of the cell's record that only update its
	// size and services.
	MinPublishInterval time.Duration
	// RetryInterval is the time between attempts of a failed store call.
	RetryInterval time.Duration
	// LoadReportInterval is the time between load reports.
	LoadReportInterval time.Duration
	// PlanInterval is the time between two calls of the Placer.
	PlanInterval time.Duration
	// SettleDelay is the minimum time between two range moves to other cells. It also delays such
	// moves after a new coordinator starts, another attempt after a failed handover, and the
	// replacement of a backup by a better one.
	SettleDelay time.Duration
	// MaxMoves is the maximum number of concurrent slot moves in a cell.
	MaxMoves int
	// MinTransferSlots is the minimum number of slots in a range that moves to another cell to balance
	// the load.
	MinTransferSlots int
	// MinMembers is the number of members below which a cell merges into another.
	MinMembers int
	// MaxMembers is the maximum number of members of a cell.
	MaxMembers int
	// MaxDatagramBytes is the maximum size of a datagram, in bytes.
	MaxDatagramBytes int
	// RestartImpliesExit says that a new incarnation on the same address proves that the previous
	// process has exited.
	RestartImpliesExit bool
}

// DefaultConfig returns the documented default settings.
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
