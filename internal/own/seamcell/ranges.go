package seamcell

import (
	"sort"
	"time"

	"cardamomseam/internal/own/seamcellwire"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
	"cardamomseam/internal/platform/seamstore"
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
}

// outgoing is a range on its way out.
type outgoing struct {
	seamslot.Range
	cell      string
	offers    int
	offered   seamclock.Instant
	successor *outside
	releasing bool
}

// keeps reports whether the slot is part of a range on its way out.
func (m *rangeMoves) keeps(id seamslot.ID) bool {
	return m.out != nil && m.out.Has(id) && m.out.releasing
}

// tickRanges takes, drops and gives ranges.
func (c *Cell) tickRanges() {
	r := c.reign
	if r.resigned {
		return
	}
	c.divideServices()
	c.takeGifts()
	c.dropTaken()
	if r.ranges.out != nil {
		c.tickOutgoing()
		return
	}
	if len(r.entry.Record.Taken) > 0 || len(r.entry.Record.Gifts) > 0 {
		return
	}
	c.considerMerge()
	c.considerMembers()
	c.startOutgoing()
	c.closeCell()
}

// divideServices writes the first division of the slots of services that have none.
func (c *Cell) divideServices() {
	r := c.reign
	if r.ranges.wanted == nil {
		r.ranges.wanted = map[string]seamclock.Instant{}
	}
	_, offers := c.sizeAndOffers()
	for _, name := range offers {
		s, ok := c.services[name]
		key := SlotsPrefix + name
		if _, divided := c.directory.get(key); !ok || divided || !c.directory.loaded {
			delete(r.ranges.wanted, name)
			continue
		}
		since, waiting := r.ranges.wanted[name]
		if !waiting {
			r.ranges.wanted[name] = c.now
			continue
		}
		if seamclock.Least(c.now, since) >= divideDelay && c.mayCall(key) {
			c.swap(0, Record{Service: name, Gifts: c.division(s)}, seamstore.Takeover, func(Outcome, Entry, seamclock.Instant) {})
		}
	}
}

// division returns the gifts that hand a service's slots to the cells that can serve them.
func (c *Cell) division(s ServiceState) []Gift {
	homes := s.Homes
	if len(homes) == 0 {
		homes = []string{c.self.Region}
	}
	var gifts []Gift
	for i, region := range homes {
		band := seamslot.Range{Service: s.Name, From: bound(s.Slots, i, len(homes)), To: bound(s.Slots, i+1, len(homes))}
		cells := c.cellsOf(region, s.Name)
		for k, cell := range cells {
			x := band
			x.From = band.From + bound(band.Len(), k, len(cells))
			x.To = band.From + bound(band.Len(), k+1, len(cells))
			if x.Len() > 0 {
				gifts = append(gifts, Gift{Range: x, Giver: SlotsPrefix + s.Name, Cell: cell})
			}
		}
	}
	return gifts
}

// bound returns the lower bound of part i of n equal parts of total.
func bound(total uint32, i, n int) uint32 {
	return uint32(uint64(total) * uint64(i) / uint64(n))
}

// cellsOf returns the cells of a region that offer the service, or the own cell if there is none.
func (c *Cell) cellsOf(region, service string) []string {
	var cells []string
	for _, e := range c.directory.sorted() {
		if c.alive(e) && e.Record.Region == region && contains(e.Record.Offers, service) {
			cells = append(cells, e.Record.ID)
		}
	}
	own := c.reign.entry.Record.ID
	if region == c.self.Region && !contains(cells, own) || len(cells) == 0 {
		cells = append(cells, own)
		sort.Strings(cells)
	}
	return cells
}

// alive reports whether the entry is a cell with a coordinator.
func (c *Cell) alive(e Entry) bool {
	return !e.Deleted && e.Record.ID != "" && !e.Record.Coordinator.Zero() && !c.horizonOver(e)
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

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
	r := c.reign
	if r.ranges.closing || !c.mayCall(r.entry.Key) {
		return
	}
	for _, e := range c.directory.sorted() {
		if e.Deleted || !c.mayCall(e.Key) || !c.untaken(e.Record) {
			continue
		}
		c.read(e.Key, seamstore.Takeover, func(o Outcome, e Entry, _ seamclock.Instant) {
			if o == OK && c.reign == r && c.mayCall(r.entry.Key) && c.untaken(e.Record) {
				c.take(giftsTo(e.Record, r.entry.Record.ID))
			}
		})
		return
	}
}

// untaken reports whether the record has gifts to this cell that its own record does not show as taken.
func (c *Cell) untaken(e Record) bool {
	r := c.reign.entry.Record
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
	r := c.reign
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
	sortRanges(n.Ranges)
	c.write(n, seamstore.Takeover, func() {
		for _, g := range gifts {
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
	r := c.reign
	if !c.mayCall(r.entry.Key) {
		return
	}
	c.dropEach(r.entry.Record.Taken, func(g Gift) {
		if c.reign != r || !c.mayCall(r.entry.Key) {
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

// startOutgoing chooses a range to give away, and a cell to give it to.
func (c *Cell) startOutgoing() {
	r := c.reign
	if !r.ranges.closing && seamclock.Most(c.now, r.ranges.settled) < c.cfg.Settle {
		return
	}
	if !r.ranges.closing && seamclock.Most(c.now, r.begun) < c.cfg.Settle {
		return
	}
	for _, x := range r.entry.Record.Ranges {
		if to, part := c.recipient(x); to != "" {
			r.ranges.out = &outgoing{Range: part, cell: to}
			r.ranges.settled = c.now
			return
		}
	}
}

// recipient returns the cell to which the range, or a part of it, is to go, or an empty string.
func (c *Cell) recipient(x seamslot.Range) (string, seamslot.Range) {
	r := c.reign
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
	if !contains(own.Offers, x.Service) {
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
	own := c.reign.entry.Record
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
	if n < c.cfg.Gift {
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
		if !c.alive(e) || o.ID == c.reign.entry.Record.ID || region != "" && o.Region != region ||
			o.Size < smallestTaker || o.Backup.Zero() || !contains(o.Offers, service) {
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
	if !ok || len(s.Homes) == 0 || s.Slots == 0 {
		return ""
	}
	for i, region := range s.Homes {
		if x.From < bound(s.Slots, i+1, len(s.Homes)) {
			return region
		}
	}
	return ""
}

// tickOutgoing carries the range on its way out further.
func (c *Cell) tickOutgoing() {
	r := c.reign
	o := r.ranges.out
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
	r := c.reign
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
	r := c.reign
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
		if c.reign != r || r.ranges.out != o {
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
	r := c.reign
	all := true
	for _, id := range r.table.ids() {
		e := r.table.slots[id]
		if !o.Has(id) || e.state == stateReleased {
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

// give writes the range out of the own record, as a gift.
func (c *Cell) give(o *outgoing) {
	r := c.reign
	n := c.published()
	n.Ranges = cut(n.Ranges, o.Range)
	n.Gifts = append(append([]Gift(nil), n.Gifts...), Gift{
		Range: o.Range, Giver: r.entry.Key, Cell: o.cell, Epoch: n.Epoch, Owner: o.successor.peer.Name,
	})
	c.swap(r.entry.Revision, n, seamstore.Takeover, func(got Outcome, e Entry, first seamclock.Instant) {
		if c.reign != r {
			return
		}
		switch got {
		case OK:
			r.entry, r.written = e, first
			r.ranges.out = nil
			r.ranges.settled = c.now
			c.dropForeign()
		case Unavailable:
			c.takeBack(o)
		}
	})
}

// takeBack gives a range that could not leave to its last owners.
func (c *Cell) takeBack(o *outgoing) {
	r := c.reign
	r.ranges.out = nil
	for _, id := range r.table.ids() {
		e := r.table.slots[id]
		if !o.Has(id) {
			continue
		}
		e.outside = nil
		switch e.state {
		case stateReleased:
			e.state = stateOwned
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
