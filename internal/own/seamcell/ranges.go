package seamcell

import (
	"time"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

const (
	// divideDelay is the time that a coordinator waits before it divides the slots of a new service.
	divideDelay = time.Second
	// offerPatience is the number of offers sent before the taker is thought silent.
	offerPatience = 8
	// imbalance is the ratio of slots a member between two cells above which ranges move.
	imbalance = 2
)

// rangeMoves is the exchange of ranges between cells.
type rangeMoves struct {
	// closing says that the cell gives everything away and ends.
	closing bool
	// into is the cell into which a closing cell merges, or empty.
	into    string
	closed  seamclock.Instant
	out     *outgoing
	settled seamclock.Instant
	wanted  map[string]seamclock.Instant
	// weighed is when ranges were last weighed against the regions of their callers.
	weighed seamclock.Instant
	// entered are the times at which this coordinator took slots into the cell.
	entered map[seamslot.ID]seamclock.Instant
}

// keeps reports whether the slot is part of a range on its way out.
func (m *rangeMoves) keeps(id seamslot.ID) bool {
	return m.out != nil && m.out.Contains(id) && m.out.releasing
}

// tickRanges takes, drops and gives ranges.
func (c *Cell) tickRanges() {
	r := c.coordination
	if r.resigned {
		return
	}
	c.divideServices()
	c.takeTransfers()
	c.dropTaken()
	if r.ranges.out != nil {
		c.tickOutgoing()
		return
	}
	if len(r.entry.Record.ReceivedTransfers) > 0 || len(r.entry.Record.Transfers) > 0 {
		return
	}
	c.considerMerge()
	c.considerMembers()
	c.startOutgoing()
	c.followCallers()
	c.closeCell()
}
