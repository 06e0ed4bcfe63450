package seamcell

import (
	"time"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

const (
	// divideDelay is the time that a coordinator waits before it divides the slots of a new service
	// among the cells.
	divideDelay = time.Second
	// maxOffers is the number of unanswered offers of a range after which the recipient counts as
	// unresponsive.
	maxOffers = 8
	// maxImbalance is the ratio of slots per member between two cells above which ranges move.
	maxImbalance = 2
)

// rangeMoves is the state of range transfers between cells.
type rangeMoves struct {
	// closing says that the cell transfers all its ranges to other cells and then ends.
	closing bool
	// mergeInto is the cell into which a closing cell merges, or empty.
	mergeInto string
	// emptiedAt is when a closing cell had no ranges left, or when its last member began to close it
	// in order to shut down.
	emptiedAt seamclock.Instant
	outgoing  *outgoing
	// lastMove is when a member or a range last moved between cells, or when a range failed to move. It
	// delays the next move.
	lastMove seamclock.Instant
	// undividedSince holds the times since which services are known to have no division of slots.
	undividedSince map[string]seamclock.Instant
	// lastCallerCheck is when ranges were last compared with the regions of their callers.
	lastCallerCheck seamclock.Instant
	// receivedAt holds the times at which this coordinator received slots into the cell.
	receivedAt map[seamslot.ID]seamclock.Instant
}

// isReleasing reports whether the slot belongs to an outgoing range that is being released.
func (m *rangeMoves) isReleasing(id seamslot.ID) bool {
	return m.outgoing != nil && m.outgoing.Contains(id) && m.outgoing.releasing
}

// tickRanges advances the range transfers. If there are none, it considers merging the cell, moving a
// member, new transfers, and closing the cell.
func (c *Cell) tickRanges() {
	r := c.coordination
	if r.resigned {
		return
	}
	c.divideServices()
	c.acceptTransfers()
	c.clearReceived()
	if r.ranges.outgoing != nil {
		c.tickOutgoing()
		return
	}
	if len(r.entry.Record.ReceivedTransfers) > 0 || len(r.entry.Record.Transfers) > 0 {
		return
	}
	c.considerMerge()
	c.considerMovingMember()
	c.startOutgoing()
	c.followCallers()
	c.closeCell()
}
