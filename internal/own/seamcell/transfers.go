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

// acceptTransfers writes transfers to this cell into its own record. It reads the source's record
// again first, so that a transfer that was received and cleared before is not received twice.
func (c *Cell) acceptTransfers() {
	r := c.coordination
	if r.ranges.closing || !c.canCall(r.entry.Key) {
		return
	}
	for _, e := range c.directory.sorted() {
		if e.Deleted || !c.canCall(e.Key) || !hasUnreceivedTransfers(r.entry.Record, e.Record) {
			continue
		}
		c.read(e.Key, seamstore.Takeover, func(o Outcome, e Entry, _ seamclock.Instant) {
			if o == OK && c.coordination == r && c.canCall(r.entry.Key) && hasUnreceivedTransfers(r.entry.Record, e.Record) {
				c.receiveTransfers(transfersTo(e.Record, r.entry.Record.ID))
			}
		})
		return
	}
}

// hasUnreceivedTransfers reports whether the source has transfers to the cell that the cell's record
// does not list as received.
func hasUnreceivedTransfers(cell, source Record) bool {
	return slices.ContainsFunc(transfersTo(source, cell.ID), func(t Transfer) bool {
		return !slices.Contains(cell.ReceivedTransfers, t)
	})
}

func (c *Cell) receiveTransfers(transfers []Transfer) {
	r := c.coordination
	n := c.recordToPublish()
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
	n.Ranges = c.mergeAdjacent(n.Ranges)
	c.write(n, seamstore.Takeover, func() {
		for _, t := range transfers {
			c.setReceivedAt(t.Range)
			for i := t.From; i < t.To; i++ {
				r.preferredOwners[seamslot.ID{Service: t.Service, Index: i}] = t.Owner
			}
		}
		c.addSlots()
		for _, id := range sortedSlots(r.preferredOwners) {
			c.waitAfterTransfer(id)
		}
		r.ranges.lastMove = c.now
	})
}

func sortRanges(ranges []seamslot.Range) {
	sort.Slice(ranges, func(i, j int) bool {
		return slotLess(seamslot.ID{Service: ranges[i].Service, Index: ranges[i].From},
			seamslot.ID{Service: ranges[j].Service, Index: ranges[j].From})
	})
}

// clearReceived removes received transfers from their sources' records, and then from this cell's
// record.
func (c *Cell) clearReceived() {
	r := c.coordination
	if !c.canCall(r.entry.Key) {
		return
	}
	c.clearFirst(r.entry.Record.ReceivedTransfers, func(t Transfer) {
		if c.coordination != r || !c.canCall(r.entry.Key) {
			return
		}
		n := c.recordToPublish()
		n.ReceivedTransfers = withoutTransfer(n.ReceivedTransfers, t)
		c.write(n, seamstore.Configuration, func() {})
	})
}

// clearReceivedOf does the same as clearReceived for an abandoned cell.
func (c *Cell) clearReceivedOf(e Entry) {
	c.clearFirst(e.Record.ReceivedTransfers, func(t Transfer) {
		if !c.canCall(e.Key) {
			return
		}
		n := e.Record
		n.ReceivedTransfers = withoutTransfer(n.ReceivedTransfers, t)
		c.swap(e.Revision, n, seamstore.Configuration, func(Outcome, Entry, seamclock.Instant) {})
	})
}

// clearFirst removes the first received transfer from its source's record, or calls cleared if a
// new read shows that it is no longer there.
func (c *Cell) clearFirst(received []Transfer, cleared func(Transfer)) {
	for _, t := range received {
		if !c.canCall(t.Source) {
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
				cleared(t)
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
