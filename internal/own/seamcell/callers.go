package seamcell

import (
	"time"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

// maxRanges is the maximum number of ranges that a record may have after a part of a range has moved
// towards its callers. A record must fit into the datagram by which a coordinator resigns.
const maxRanges = 8

// RangeView is the input of a RangePlacer for one range of the cell.
type RangeView struct {
	Service string
	Region  string
	// OtherRegions are the other regions with a cell that can receive a part of the range.
	OtherRegions []string
	// Members is the number of members to which slots of the service can be assigned.
	Members int
	// TotalRate is the load of the service in the cell, in requests per second.
	TotalRate float64
	// Slots are the slots of the range, ordered by index.
	Slots []RangeSlot
}

// RangeSlot describes a slot of a range.
type RangeSlot struct {
	Index uint32
	// Rate is in requests per second.
	Rate float64
	// CallerRegion is the other region from which most requests come, or empty.
	CallerRegion string
	// CallerShare is a lower bound on the fraction of requests that come from CallerRegion.
	CallerShare float64
	// HeldFor is the time since the cell received the slot.
	HeldFor time.Duration
}

// RangeMove requests that the slots in [From, To) of a range move to a region.
type RangeMove struct {
	From, To uint32
	Region   string
}

// followCallers starts to move a part of a range to the region of its callers. The ranges of services
// with home regions in the rules are not moved.
func (c *Cell) followCallers() {
	r := c.coordination
	p, ok := c.placer.(RangePlacer)
	if !ok || r.ranges.outgoing != nil || r.ranges.closing || c.draining || !c.mayFollowCallers() {
		return
	}
	r.ranges.lastCallerCheck = c.now
	for _, x := range r.entry.Record.Ranges {
		if !c.hasNoHome(x) {
			continue
		}
		m, ok := p.PlanRange(c.now, c.rangeView(x))
		if !ok {
			continue
		}
		part := seamslot.Range{Service: x.Service, From: max(m.From, x.From), To: min(m.To, x.To)}
		to := c.leastLoadedCell(m.Region, x.Service)
		if part.From < part.To && c.canReceiveRange(to) && len(subtractRange(r.entry.Record.Ranges, part)) <= maxRanges {
			r.ranges.outgoing = &outgoing{Range: part, cell: to, towardsCallers: true}
			return
		}
	}
}

// mayFollowCallers reports whether the loads are known, this node has been the coordinator for
// Config.SettleDelay and the last check is at least Config.LoadReportInterval ago. Loads arrive at
// that interval.
func (c *Cell) mayFollowCallers() bool {
	r := c.coordination
	if !r.loadsKnownAt.Zero() && seamclock.MinElapsed(c.now, r.loadsKnownAt) < 0 || seamclock.MaxElapsed(c.now, r.startedAt) < c.cfg.SettleDelay {
		return false
	}
	return r.ranges.lastCallerCheck.Zero() || c.now.Mono-r.ranges.lastCallerCheck.Mono >= c.cfg.LoadReportInterval
}

// hasNoHome reports whether the range's service is known and its rules name no home region.
func (c *Cell) hasNoHome(x seamslot.Range) bool {
	s, ok := c.services[x.Service]
	return ok && len(s.HomeRegions) == 0
}

// canReceiveRange reports whether the record of the cell can hold one more range.
func (c *Cell) canReceiveRange(cell string) bool {
	e, ok := c.directory.get(CellPrefix + cell)
	return cell != "" && ok && len(e.Record.Ranges) < maxRanges
}

func (c *Cell) rangeView(x seamslot.Range) RangeView {
	r := c.coordination
	v := RangeView{
		Service: x.Service, Region: r.entry.Record.Region, OtherRegions: c.recipientRegions(x.Service),
		Members: len(c.candidates(x.Service)),
	}
	for id, l := range r.loads {
		if id.Service == x.Service {
			v.TotalRate += l.Rate
		}
	}
	for i := x.From; i < x.To; i++ {
		id := seamslot.ID{Service: x.Service, Index: i}
		l := r.loads[id]
		v.Slots = append(v.Slots, RangeSlot{Index: i, Rate: l.Rate, CallerRegion: l.CallerRegion, CallerShare: l.CallerShare, HeldFor: c.heldFor(id)})
	}
	return v
}

// recipientRegions returns the other regions with a cell that can receive a range of the service,
// sorted.
func (c *Cell) recipientRegions(service string) []string {
	regions := map[string]bool{}
	for _, e := range c.directory.sorted() {
		region := e.Record.Region
		if e.Deleted || region == "" || region == c.coordination.entry.Record.Region {
			continue
		}
		if c.canReceiveRange(c.leastLoadedCell(region, service)) {
			regions[region] = true
		}
	}
	return sortedKeys(regions)
}

// heldFor returns the time since the cell received the slot, as far as this coordinator knows.
func (c *Cell) heldFor(id seamslot.ID) time.Duration {
	r := c.coordination
	if at, ok := r.ranges.receivedAt[id]; ok {
		return seamclock.MinElapsed(c.now, at)
	}
	return seamclock.MinElapsed(c.now, r.startedAt)
}

// setReceivedAt notes that the cell has received the slots of a range now.
func (c *Cell) setReceivedAt(x seamslot.Range) {
	r := c.coordination
	if r.ranges.receivedAt == nil {
		r.ranges.receivedAt = map[seamslot.ID]seamclock.Instant{}
	}
	for i := x.From; i < x.To; i++ {
		r.ranges.receivedAt[seamslot.ID{Service: x.Service, Index: i}] = c.now
	}
}

// reportMoved emits an event for a range that has moved to another cell.
func (c *Cell) reportMoved(o *outgoing) {
	c.emit(seamevent.RangeMoved, seamevent.Fields{
		"service": o.Service, "from": o.From, "to": o.To, "cell": o.cell, "callers": o.towardsCallers,
	})
}

// mergeAdjacent returns the ranges sorted, with adjacent ranges merged if they have no home region.
func (c *Cell) mergeAdjacent(ranges []seamslot.Range) []seamslot.Range {
	sortRanges(ranges)
	var list []seamslot.Range
	for _, x := range ranges {
		last := len(list) - 1
		if last >= 0 && c.hasNoHome(x) && list[last].Service == x.Service && list[last].To == x.From {
			list[last].To = x.To
			continue
		}
		list = append(list, x)
	}
	return list
}
