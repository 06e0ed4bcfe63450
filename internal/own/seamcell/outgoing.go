package seamcell

import (
	"slices"

	"cardamomseam/internal/own/seamcellwire"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
	"cardamomseam/internal/platform/seamstore"
)

// outgoing is a range that is being transferred to another cell.
type outgoing struct {
	seamslot.Range
	cell      string
	offers    int
	offered   seamclock.Instant
	successor *externalSuccessor
	releasing bool
	// towardsCallers says that the range moves to the region of its callers.
	towardsCallers bool
}

// startOutgoing chooses a range to transfer and a cell to receive it.
func (c *Cell) startOutgoing() {
	r := c.coordination
	if !r.ranges.closing && seamclock.MaxElapsed(c.now, r.ranges.lastMove) < c.cfg.SettleDelay {
		return
	}
	if !r.ranges.closing && seamclock.MaxElapsed(c.now, r.startedAt) < c.cfg.SettleDelay {
		return
	}
	for _, x := range r.entry.Record.Ranges {
		if r.waitsInRange(x) {
			continue
		}
		if to, part := c.recipient(x); to != "" {
			r.ranges.outgoing = &outgoing{Range: part, cell: to}
			r.ranges.lastMove = c.now
			return
		}
	}
}

// recipient returns the cell that is to receive the range or a part of it, or an empty string.
func (c *Cell) recipient(x seamslot.Range) (string, seamslot.Range) {
	r := c.coordination
	home := c.home(x)
	own := r.entry.Record
	if r.ranges.closing {
		for _, region := range []string{home, own.Region, ""} {
			if to := c.leastLoadedCell(region, x.Service); to != "" {
				return to, x
			}
		}
		return "", x
	}
	if home != "" && home != own.Region {
		if to := c.leastLoadedCell(home, x.Service); to != "" {
			return to, x
		}
	}
	if _, offers := c.sizeAndServices(); !slices.Contains(own.Services, x.Service) && !slices.Contains(offers, x.Service) {
		for _, region := range []string{own.Region, ""} {
			if to := c.leastLoadedCell(region, x.Service); to != "" {
				return to, x
			}
		}
	}
	return c.balancingPart(x)
}

// balancingPart returns the part of the range whose transfer balances the cells of the region.
func (c *Cell) balancingPart(x seamslot.Range) (string, seamslot.Range) {
	own := c.coordination.entry.Record
	to := c.leastLoadedCell(own.Region, x.Service)
	if to == "" || own.Size == 0 {
		return "", x
	}
	e, _ := c.directory.get(CellPrefix + to)
	ownSlots, otherSlots := slotsOf(own, x.Service), slotsOf(e.Record, x.Service)
	if ownSlots*e.Record.Size <= maxImbalance*otherSlots*own.Size || !c.hasMostSlots(own, x.Service) {
		return "", x
	}
	n := (ownSlots*e.Record.Size - otherSlots*own.Size) / (own.Size + e.Record.Size)
	if n < c.cfg.MinTransferSlots {
		return "", x
	}
	if uint32(n) < x.Len() {
		x.From = x.To - uint32(n)
	}
	return to, x
}

// hasMostSlots reports whether no other cell of the region has more slots of the service per
// member.
func (c *Cell) hasMostSlots(own Record, service string) bool {
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

// minRecipientMembers is the minimum number of members of a cell that receives ranges. A cell with
// one member has no backup.
const minRecipientMembers = 2

// leastLoadedCell returns the other cell of the region (of any region, if empty) that offers the
// service and has the fewest slots of it per member, or an empty string.
func (c *Cell) leastLoadedCell(region, service string) string {
	best := Record{}
	for _, e := range c.directory.sorted() {
		o := e.Record
		if !c.alive(e) || o.ID == c.coordination.entry.Record.ID || region != "" && o.Region != region ||
			o.Size < minRecipientMembers || o.Backup.Zero() || !slices.Contains(o.Services, service) {
			continue
		}
		if best.ID == "" || slotsOf(o, service)*best.Size < slotsOf(best, service)*o.Size {
			best = o
		}
	}
	return best.ID
}

// home returns the home region of the range, or an empty string.
func (c *Cell) home(x seamslot.Range) string {
	s, ok := c.services[x.Service]
	if !ok || len(s.HomeRegions) == 0 || s.Slots == 0 {
		return ""
	}
	for i, region := range s.HomeRegions {
		if x.From < partStart(s.Slots, i+1, len(s.HomeRegions)) {
			return region
		}
	}
	return ""
}

// tickOutgoing advances the transfer of the outgoing range.
func (c *Cell) tickOutgoing() {
	r := c.coordination
	o := r.ranges.outgoing
	if r.waitsInRange(o.Range) {
		c.abortOutgoing()
		return
	}
	e, ok := c.directory.get(CellPrefix + o.cell)
	if !o.releasing {
		if !ok || !c.alive(e) || o.offers >= maxOffers {
			r.ranges.outgoing = nil
			return
		}
		if c.now.Mono-o.offered.Mono >= c.cfg.Heartbeat {
			o.offers++
			o.offered = c.now
			c.send(e.Record.Coordinator, &seamcellwire.Message{Cell: o.cell, Body: &seamcellwire.Message_Offer{Offer: &seamcellwire.Offer{
				Service: o.Service, From: o.From, To: o.To, Target: r.entry.Record.ID, Peer: peerToWire(c.self),
			}}})
		}
		return
	}
	if c.releasedAll(o) && c.canCall(r.entry.Key) {
		c.transferRange(o)
	}
}

func (c *Cell) onOffer(_ *seamcellwire.Message, o *seamcellwire.Offer) {
	r := c.coordination
	if r == nil || !r.recovered {
		return
	}
	a := &seamcellwire.Accept{Service: o.GetService(), From: o.GetFrom(), To: o.GetTo(), Refused: true}
	if m := r.leastLoaded(c.candidates(o.GetService()), r.slotCounts(o.GetService())); m != nil && !r.ranges.closing {
		a.Refused = false
		a.Successor = &seamcellwire.Outside{Peer: peerToWire(m.peer), Target: r.table.roster[m.id].target.Address}
	}
	c.send(peerFromWire(o.GetPeer()), &seamcellwire.Message{Cell: o.GetTarget(), Body: &seamcellwire.Message_Accept{Accept: a}})
}

func (c *Cell) onAccept(x *seamcellwire.Message, a *seamcellwire.Accept) {
	r := c.coordination
	if r == nil || x.GetCell() != r.entry.Record.ID || r.ranges.outgoing == nil {
		return
	}
	o := r.ranges.outgoing
	if o.releasing || o.successor != nil || o.Service != a.GetService() || o.From != a.GetFrom() || o.To != a.GetTo() {
		return
	}
	if a.GetRefused() {
		r.ranges.outgoing = nil
		return
	}
	o.successor = &externalSuccessor{peer: peerFromWire(a.GetSuccessor().GetPeer()), address: a.GetSuccessor().GetTarget()}
	if !c.canCall(r.entry.Key) {
		r.ranges.outgoing = nil
		return
	}
	// The store must answer before anything is released, because the slots can enter their new
	// cell only through it.
	c.read(r.entry.Key, seamstore.Configuration, func(got Outcome, _ Entry, _ seamclock.Instant) {
		if c.coordination != r || r.ranges.outgoing != o {
			return
		}
		if got != OK {
			r.ranges.outgoing = nil
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
			e.state, e.next, e.externalSuccessor = stateReleasing, 0, o.successor
			r.table.changeSlot(e)
		case e.state == stateOwned && c.earlierLeasesOver(id):
			e.state = stateReleased
			r.table.changeSlot(e)
		}
	}
	return all
}

// transferRange removes the range from this cell's record and adds it as a transfer.
func (c *Cell) transferRange(o *outgoing) {
	r := c.coordination
	n := c.recordToPublish()
	n.Ranges = subtractRange(n.Ranges, o.Range)
	n.Transfers = append(append([]Transfer(nil), n.Transfers...), Transfer{
		Range: o.Range, Source: r.entry.Key, Cell: o.cell, Epoch: n.Epoch, Owner: o.successor.peer.Name,
	})
	c.swap(r.entry.Revision, n, seamstore.Takeover, func(got Outcome, e Entry, first seamclock.Instant) {
		if c.coordination != r {
			return
		}
		switch got {
		case OK:
			r.entry, r.lastWrite = e, first
			r.ranges.outgoing = nil
			r.ranges.lastMove = c.now
			c.reportMoved(o)
			c.removeForeignSlots()
		case Unavailable:
			c.restoreRange(o)
		}
	})
}

// abortOutgoing cancels the transfer of the outgoing range.
func (c *Cell) abortOutgoing() {
	r := c.coordination
	if o := r.ranges.outgoing; o.releasing {
		c.restoreRange(o)
	}
	r.ranges.outgoing = nil
	r.ranges.lastMove = c.now
}

// restoreRange returns a range that could not be transferred to its last owners.
func (c *Cell) restoreRange(o *outgoing) {
	r := c.coordination
	r.ranges.outgoing = nil
	for _, id := range r.table.ids() {
		e := r.table.slots[id]
		if !o.Contains(id) {
			continue
		}
		e.externalSuccessor = nil
		switch e.state {
		case stateReleased:
			e.state, e.next = stateOwned, e.previous
			r.preferredOwners[id] = r.table.peer(e.previous).Name
		case stateReleasing:
			r.preferredOwners[id] = r.table.peer(e.owner).Name
		}
		r.table.changeSlot(e)
	}
}

// subtractRange returns the ranges without x.
func subtractRange(ranges []seamslot.Range, x seamslot.Range) []seamslot.Range {
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
