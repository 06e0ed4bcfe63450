package seamcell

import (
	"sort"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
	"cardamomseam/internal/platform/seamstore"
)

// giftsTo returns the gifts of a record to a cell.
func giftsTo(r Record, cell string) []Gift {
	var gifts []Gift
	for _, g := range r.Gifts {
		if g.Cell == cell {
			gifts = append(gifts, g)
		}
	}
	return gifts
}

// takeGifts writes gifts to this cell into its own record. The giver's record is read afresh first,
// so that a gift that was taken and dropped before is not taken twice.
func (c *Cell) takeGifts() {
	r := c.coordination
	if r.ranges.closing || !c.mayCall(r.entry.Key) {
		return
	}
	for _, e := range c.directory.sorted() {
		if e.Deleted || !c.mayCall(e.Key) || !c.untaken(e.Record) {
			continue
		}
		c.read(e.Key, seamstore.Takeover, func(o Outcome, e Entry, _ seamclock.Instant) {
			if o == OK && c.coordination == r && c.mayCall(r.entry.Key) && c.untaken(e.Record) {
				c.take(giftsTo(e.Record, r.entry.Record.ID))
			}
		})
		return
	}
}

// untaken reports whether the record has gifts to this cell that its own record does not show as taken.
func (c *Cell) untaken(e Record) bool {
	r := c.coordination.entry.Record
	for _, g := range giftsTo(e, r.ID) {
		if !took(r, g) {
			return true
		}
	}
	return false
}

func took(r Record, g Gift) bool {
	for _, x := range r.Taken {
		if x == g {
			return true
		}
	}
	return false
}

func (c *Cell) take(gifts []Gift) {
	r := c.coordination
	n := c.published()
	n.Ranges = append([]seamslot.Range(nil), n.Ranges...)
	n.Taken = append([]Gift(nil), n.Taken...)
	for _, g := range gifts {
		if took(n, g) {
			continue
		}
		n.Ranges = append(n.Ranges, g.Range)
		n.Taken = append(n.Taken, g)
		n.Epoch = max(n.Epoch, g.Epoch)
	}
	n.Epoch++
	n.Ranges = c.joined(n.Ranges)
	c.write(n, seamstore.Takeover, func() {
		for _, g := range gifts {
			c.enter(g.Range)
			for i := g.From; i < g.To; i++ {
				r.hints[seamslot.ID{Service: g.Service, Index: i}] = g.Owner
			}
		}
		c.addSlots()
		r.ranges.settled = c.now
	})
}

func sortRanges(ranges []seamslot.Range) {
	sort.Slice(ranges, func(i, j int) bool {
		return slotLess(seamslot.ID{Service: ranges[i].Service, Index: ranges[i].From},
			seamslot.ID{Service: ranges[j].Service, Index: ranges[j].From})
	})
}

// dropTaken removes gifts that were taken from their givers' records, and then from the own one.
func (c *Cell) dropTaken() {
	r := c.coordination
	if !c.mayCall(r.entry.Key) {
		return
	}
	c.dropEach(r.entry.Record.Taken, func(g Gift) {
		if c.coordination != r || !c.mayCall(r.entry.Key) {
			return
		}
		n := c.published()
		n.Taken = withoutGift(n.Taken, g)
		c.write(n, seamstore.Configuration, func() {})
	})
}

// dropFrom does the same for a cell that was given up.
func (c *Cell) dropFrom(e Entry) {
	c.dropEach(e.Record.Taken, func(g Gift) {
		if !c.mayCall(e.Key) {
			return
		}
		n := e.Record
		n.Taken = withoutGift(n.Taken, g)
		c.swap(e.Revision, n, seamstore.Configuration, func(Outcome, Entry, seamclock.Instant) {})
	})
}

// dropEach removes the first taken gift from its giver's record, or calls dropped if a fresh read
// shows that it is no longer there.
func (c *Cell) dropEach(taken []Gift, dropped func(Gift)) {
	for _, g := range taken {
		if !c.mayCall(g.Giver) {
			continue
		}
		if e, ok := c.directory.get(g.Giver); ok && hasGift(e.Record, g) {
			n := e.Record
			n.Gifts = withoutGift(n.Gifts, g)
			c.swap(e.Revision, n, seamstore.Configuration, func(Outcome, Entry, seamclock.Instant) {})
			return
		}
		c.read(g.Giver, seamstore.Configuration, func(o Outcome, e Entry, _ seamclock.Instant) {
			if o == OK && !hasGift(e.Record, g) {
				dropped(g)
			}
		})
		return
	}
}

func hasGift(r Record, g Gift) bool {
	for _, x := range r.Gifts {
		if x == g {
			return true
		}
	}
	return false
}

func withoutGift(gifts []Gift, g Gift) []Gift {
	var rest []Gift
	for _, x := range gifts {
		if x != g {
			rest = append(rest, x)
		}
	}
	return rest
}
