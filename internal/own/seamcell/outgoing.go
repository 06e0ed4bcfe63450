package seamcell

import (
	"slices"

	"cardamomseam/internal/own/seamcellwire"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
	"cardamomseam/internal/platform/seamstore"
)

// outgoing is a range on its way out.
type outgoing struct {
	seamslot.Range
	cell      string
	offers    int
	offered   seamclock.Instant
	successor *outside
	releasing bool
	// callers says that it moves to the region of its callers.
	callers bool
}

// startOutgoing chooses a range to give away, and a cell to give it to.
func (c *Cell) startOutgoing() {
	r := c.coordination
	if !r.ranges.closing && seamclock.MaxElapsed(c.now, r.ranges.settled) < c.cfg.SettleDelay {
		return
	}
	if !r.ranges.closing && seamclock.MaxElapsed(c.now, r.begun) < c.cfg.SettleDelay {
		return
	}
	for _, x := range r.entry.Record.Ranges {
		if r.waitsIn(x) {
			continue
		}
		if to, part := c.recipient(x); to != "" {
			r.ranges.out = &outgoing{Range: part, cell: to}
			r.ranges.settled = c.now
			return
		}
	}
}

// recipient returns the cell to which the range, or a part of it, is to go, or an empty string.
func (c *Cell) recipient(x seamslot.Range) (string, seamslot.Range) {
	r := c.coordination
	home := c.home(x)
	own := r.entry.Record
	if r.ranges.closing {
		for _, region := range []string{home, own.Region, ""} {
			if to := c.poorest(region, x.Service); to != "" {
				return to, x
			}
		}
		return "", x
	}
	if home != "" && home != own.Region {
		if to := c.poorest(home, x.Service); to != "" {
			return to, x
		}
	}
	if _, offers := c.sizeAndOffers(); !slices.Contains(own.Services, x.Service) && !slices.Contains(offers, x.Service) {
		for _, region := range []string{own.Region, ""} {
			if to := c.poorest(region, x.Service); to != "" {
				return to, x
			}
		}
	}
	return c.share(x)
}

// share returns the part of the range that makes the cells of the region more even.
func (c *Cell) share(x seamslot.Range) (string, seamslot.Range) {
	own := c.coordination.entry.Record
	to := c.poorest(own.Region, x.Service)
	if to == "" || own.Size == 0 {
		return "", x
	}
	e, _ := c.directory.get(CellPrefix + to)
	mine, theirs := slotsOf(own, x.Service), slotsOf(e.Record, x.Service)
	if mine*e.Record.Size <= imbalance*theirs*own.Size || !c.richest(own, x.Service) {
		return "", x
	}
	n := (mine*e.Record.Size - theirs*own.Size) / (own.Size + e.Record.Size)
	if n < c.cfg.MinTransferSlots {
		return "", x
	}
	if uint32(n) < x.Len() {
		x.From = x.To - uint32(n)
	}
	return to, x
}

// richest reports whether no other cell of the region has more slots of the service a member.
func (c *Cell) richest(own Record, service string) bool {
	for _, e := range c.directory.sorted() {
		o := e.Record
		if !c.alive(e) || o.ID == own.ID || o.Region != own.Region || o.Size == 0 {
			continue
		}
		if slotsOf(o, service)*own.Size > slotsOf(own, service)*o.Size {
			return false
		}
	}
	return true
}

func slotsOf(r Record, service string) int {
	n := 0
	for _, x := range r.Ranges {
		if x.Service == service {
			n += int(x.Len())
		}
	}
	return n
}

// smallestTaker is the smallest number of members of a cell that takes ranges: one has no backup.
const smallestTaker = 2

// poorest returns the other cell of the region (any, if empty) that offers the service and has the
// fewest slots of it a member, or an empty string.
func (c *Cell) poorest(region, service string) string {
	best := Record{}
	for _, e := range c.directory.sorted() {
		o := e.Record
		if !c.alive(e) || o.ID == c.coordination.entry.Record.ID || region != "" && o.Region != region ||
			o.Size < smallestTaker || o.Backup.Zero() || !slices.Contains(o.Services, service) {
			continue
		}
		if best.ID == "" || slotsOf(o, service)*best.Size < slotsOf(best, service)*o.Size {
			best = o
		}
	}
	return best.ID
}

// home returns the region in which the range is at home, or an empty string.
func (c *Cell) home(x seamslot.Range) string {
	s, ok := c.services[x.Service]
	if !ok || len(s.HomeRegions) == 0 || s.Slots == 0 {
		return ""
	}
	for i, region := range s.HomeRegions {
		if x.From < bound(s.Slots, i+1, len(s.HomeRegions)) {
			return region
		}
	}
	return ""
}

// tickOutgoing carries the range on its way out further.
func (c *Cell) tickOutgoing() {
	r := c.coordination
	o := r.ranges.out
	if r.waitsIn(o.Range) {
		c.abortOutgoing()
		return
	}
	e, ok := c.directory.get(CellPrefix + o.cell)
	if !o.releasing {
		if !ok || !c.alive(e) || o.offers >= offerPatience {
			r.ranges.out = nil
			return
		}
		if c.now.Mono-o.offered.Mono >= c.cfg.Heartbeat {
			o.offers++
			o.offered = c.now
			c.send(e.Record.Coordinator, &seamcellwire.Message{Cell: o.cell, Body: &seamcellwire.Message_Offer{Offer: &seamcellwire.Offer{
				Service: o.Service, From: o.From, To: o.To, Target: r.entry.Record.ID, Peer: peerWire(c.self),
			}}})
		}
		return
	}
	if c.releasedAll(o) && c.mayCall(r.entry.Key) {
		c.give(o)
	}
}

func (c *Cell) onOffer(_ *seamcellwire.Message, o *seamcellwire.Offer) {
	r := c.coordination
	if r == nil || !r.settled {
		return
	}
	a := &seamcellwire.Accept{Service: o.GetService(), From: o.GetFrom(), To: o.GetTo(), Refused: true}
	if m := r.lightest(c.candidates(o.GetService()), r.counts(o.GetService())); m != nil && !r.ranges.closing {
		a.Refused = false
		a.Successor = &seamcellwire.Outside{Peer: peerWire(m.peer), Target: r.table.roster[m.id].target.Address}
	}
	c.send(peerOf(o.GetPeer()), &seamcellwire.Message{Cell: o.GetTarget(), Body: &seamcellwire.Message_Accept{Accept: a}})
}

func (c *Cell) onAccept(x *seamcellwire.Message, a *seamcellwire.Accept) {
	r := c.coordination
	if r == nil || x.GetCell() != r.entry.Record.ID || r.ranges.out == nil {
		return
	}
	o := r.ranges.out
	if o.releasing || o.successor != nil || o.Service != a.GetService() || o.From != a.GetFrom() || o.To != a.GetTo() {
		return
	}
	if a.GetRefused() {
		r.ranges.out = nil
		return
	}
	o.successor = &outside{peer: peerOf(a.GetSuccessor().GetPeer()), target: a.GetSuccessor().GetTarget()}
	if !c.mayCall(r.entry.Key) {
		r.ranges.out = nil
		return
	}
	// The store must answer before anything is released, for the slots can enter their new
	// cell only through it.
	c.read(r.entry.Key, seamstore.Configuration, func(got Outcome, _ Entry, _ seamclock.Instant) {
		if c.coordination != r || r.ranges.out != o {
			return
		}
		if got != OK {
			r.ranges.out = nil
			return
		}
		o.releasing = true
	})
}

// releasedAll asks the owners of the range to release it, and reports whether all have.
func (c *Cell) releasedAll(o *outgoing) bool {
	r := c.coordination
	all := true
	for _, id := range r.table.ids() {
		e := r.table.slots[id]
		if !o.Contains(id) || e.state == stateReleased {
			continue
		}
		all = false
		switch {
		case e.state == stateOwned && e.owner != 0:
			e.state, e.next, e.outside = stateReleasing, 0, o.successor
			r.table.changeSlot(e)
		case e.state == stateOwned && c.rested(id):
			e.state = stateReleased
			r.table.changeSlot(e)
		}
	}
	return all
}

// give writes the range out of the own record, as a transfer.
func (c *Cell) give(o *outgoing) {
	r := c.coordination
	n := c.published()
	n.Ranges = cut(n.Ranges, o.Range)
	n.Transfers = append(append([]Transfer(nil), n.Transfers...), Transfer{
		Range: o.Range, Source: r.entry.Key, Cell: o.cell, Epoch: n.Epoch, Owner: o.successor.peer.Name,
	})
	c.swap(r.entry.Revision, n, seamstore.Takeover, func(got Outcome, e Entry, first seamclock.Instant) {
		if c.coordination != r {
			return
		}
		switch got {
		case OK:
			r.entry, r.written = e, first
			r.ranges.out = nil
			r.ranges.settled = c.now
			c.gave(o)
			c.dropForeign()
		case Unavailable:
			c.takeBack(o)
		}
	})
}

// abortOutgoing keeps the range that was on its way out.
func (c *Cell) abortOutgoing() {
	r := c.coordination
	if o := r.ranges.out; o.releasing {
		c.takeBack(o)
	}
	r.ranges.out = nil
	r.ranges.settled = c.now
}

// takeBack gives a range that could not leave to its last owners.
func (c *Cell) takeBack(o *outgoing) {
	r := c.coordination
	r.ranges.out = nil
	for _, id := range r.table.ids() {
		e := r.table.slots[id]
		if !o.Contains(id) {
			continue
		}
		e.outside = nil
		switch e.state {
		case stateReleased:
			e.state, e.next = stateOwned, e.previous
			r.hints[id] = r.table.peer(e.previous).Name
		case stateReleasing:
			r.hints[id] = r.table.peer(e.owner).Name
		}
		r.table.changeSlot(e)
	}
}

// cut returns the ranges without x.
func cut(ranges []seamslot.Range, x seamslot.Range) []seamslot.Range {
	var rest []seamslot.Range
	for _, r := range ranges {
		if r.Service != x.Service || r.To <= x.From || r.From >= x.To {
			rest = append(rest, r)
			continue
		}
		if r.From < x.From {
			rest = append(rest, seamslot.Range{Service: r.Service, From: r.From, To: x.From})
		}
		if r.To > x.To {
			rest = append(rest, seamslot.Range{Service: r.Service, From: x.To, To: r.To})
		}
	}
	return rest
}
