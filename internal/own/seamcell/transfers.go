package seamcell

import (
	"slices"
	"sort"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
	"cardamomseam/internal/platform/seamstore"
)

// transfersTo returns the transfers of a record to a cell.
func transfersTo(r Record, cell string) []Transfer {
	var transfers []Transfer
	for _, t := range r.Transfers {
		if t.Cell == cell {
			transfers = append(transfers, t)
		}
	}
	return transfers
}

// takeTransfers writes transfers to this cell into its own record. The source's record is read afresh first,
// so that a transfer that was taken and dropped before is not taken twice.
func (c *Cell) takeTransfers() {
	r := c.coordination
	if r.ranges.closing || !c.mayCall(r.entry.Key) {
		return
	}
	for _, e := range c.directory.sorted() {
		if e.Deleted || !c.mayCall(e.Key) || !untaken(r.entry.Record, e.Record) {
			continue
		}
		c.read(e.Key, seamstore.Takeover, func(o Outcome, e Entry, _ seamclock.Instant) {
			if o == OK && c.coordination == r && c.mayCall(r.entry.Key) && untaken(r.entry.Record, e.Record) {
				c.take(transfersTo(e.Record, r.entry.Record.ID))
			}
		})
		return
	}
}

// untaken reports whether the source has transfers to the cell that the cell's record does not show as taken.
func untaken(cell, source Record) bool {
	return slices.ContainsFunc(transfersTo(source, cell.ID), func(t Transfer) bool {
		return !slices.Contains(cell.ReceivedTransfers, t)
	})
}

func (c *Cell) take(transfers []Transfer) {
	r := c.coordination
	n := c.published()
	n.Ranges = append([]seamslot.Range(nil), n.Ranges...)
	n.ReceivedTransfers = append([]Transfer(nil), n.ReceivedTransfers...)
	for _, t := range transfers {
		if slices.Contains(n.ReceivedTransfers, t) {
			continue
		}
		n.Ranges = append(n.Ranges, t.Range)
		n.ReceivedTransfers = append(n.ReceivedTransfers, t)
		n.Epoch = max(n.Epoch, t.Epoch)
	}
	n.Epoch++
	n.Ranges = c.joined(n.Ranges)
	c.write(n, seamstore.Takeover, func() {
		for _, t := range transfers {
			c.enter(t.Range)
			for i := t.From; i < t.To; i++ {
				r.hints[seamslot.ID{Service: t.Service, Index: i}] = t.Owner
			}
		}
		c.addSlots()
		for _, id := range sortedSlots(r.hints) {
			c.awaitGiven(id)
		}
		r.ranges.settled = c.now
	})
}

func sortRanges(ranges []seamslot.Range) {
	sort.Slice(ranges, func(i, j int) bool {
		return slotLess(seamslot.ID{Service: ranges[i].Service, Index: ranges[i].From},
			seamslot.ID{Service: ranges[j].Service, Index: ranges[j].From})
	})
}

// dropTaken removes transfers that were taken from their sources' records, and then from the own one.
func (c *Cell) dropTaken() {
	r := c.coordination
	if !c.mayCall(r.entry.Key) {
		return
	}
	c.dropEach(r.entry.Record.ReceivedTransfers, func(t Transfer) {
		if c.coordination != r || !c.mayCall(r.entry.Key) {
			return
		}
		n := c.published()
		n.ReceivedTransfers = withoutTransfer(n.ReceivedTransfers, t)
		c.write(n, seamstore.Configuration, func() {})
	})
}

// dropFrom does the same for a cell that was given up.
func (c *Cell) dropFrom(e Entry) {
	c.dropEach(e.Record.ReceivedTransfers, func(t Transfer) {
		if !c.mayCall(e.Key) {
			return
		}
		n := e.Record
		n.ReceivedTransfers = withoutTransfer(n.ReceivedTransfers, t)
		c.swap(e.Revision, n, seamstore.Configuration, func(Outcome, Entry, seamclock.Instant) {})
	})
}

// dropEach removes the first taken transfer from its source's record, or calls dropped if a fresh read
// shows that it is no longer there.
func (c *Cell) dropEach(taken []Transfer, dropped func(Transfer)) {
	for _, t := range taken {
		if !c.mayCall(t.Source) {
			continue
		}
		if e, ok := c.directory.get(t.Source); ok && slices.Contains(e.Record.Transfers, t) {
			n := e.Record
			n.Transfers = withoutTransfer(n.Transfers, t)
			c.swap(e.Revision, n, seamstore.Configuration, func(Outcome, Entry, seamclock.Instant) {})
			return
		}
		c.read(t.Source, seamstore.Configuration, func(o Outcome, e Entry, _ seamclock.Instant) {
			if o == OK && !slices.Contains(e.Record.Transfers, t) {
				dropped(t)
			}
		})
		return
	}
}

func withoutTransfer(transfers []Transfer, t Transfer) []Transfer {
	var rest []Transfer
	for _, x := range transfers {
		if x != t {
			rest = append(rest, x)
		}
	}
	return rest
}
