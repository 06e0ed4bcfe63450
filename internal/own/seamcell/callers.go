package seamcell

import (
	"time"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

// mostRanges is the number of ranges that a record may have for parts of ranges to move towards their
// callers. A record must fit into the datagram by which a coordinator resigns.
const mostRanges = 8

// RangeView is what a RangePlacer sees of a range of the cell.
type RangeView struct {
	Service string
	Region  string
	// Regions are others with a cell that can take a part of the range.
	OtherRegions []string
	// Members is the number of members that can be given slots of the service.
	Members int
	// Total is the load of the service in the cell, in requests per second.
	TotalRate float64
	// Slots are the slots of the range, in order of index.
	Slots []RangeSlot
}

// RangeSlot is a slot of a range.
type RangeSlot struct {
	Index uint32
	// Rate is in requests per second.
	Rate float64
	// Caller is the other region from which most requests come, or empty.
	CallerRegion string
	// Share is the least part of the requests that come from there.
	CallerShare float64
	// Held is the time since the cell got the slot.
	HeldFor time.Duration
}

// RangeMove asks for the slots of a range from From until before To to be moved to a region.
type RangeMove struct {
	From, To uint32
	Region   string
}

// followCallers starts to move a part of a range to the region of its callers. Ranges with a home in
// the rules stay.
func (c *Cell) followCallers() {
	r := c.coordination
	p, ok := c.placer.(RangePlacer)
	if !ok || r.ranges.out != nil || r.ranges.closing || c.draining || !c.mayWeigh() {
		return
	}
	r.ranges.weighed = c.now
	for _, x := range r.entry.Record.Ranges {
		if !c.homeless(x) {
			continue
		}
		m, ok := p.PlanRange(c.now, c.rangeView(x))
		if !ok {
			continue
		}
		part := seamslot.Range{Service: x.Service, From: max(m.From, x.From), To: min(m.To, x.To)}
		to := c.poorest(m.Region, x.Service)
		if part.From < part.To && c.mayHold(to) && len(cut(r.entry.Record.Ranges, part)) <= mostRanges {
			r.ranges.out = &outgoing{Range: part, cell: to, callers: true}
			return
		}
	}
}

// mayWeigh reports whether the loads are known, the last move of a range is over and the last weighing
// is old enough. Loads arrive each Config.Report.
func (c *Cell) mayWeigh() bool {
	r := c.coordination
	if !r.measured.Zero() && seamclock.MinElapsed(c.now, r.measured) < 0 || seamclock.MaxElapsed(c.now, r.begun) < c.cfg.SettleDelay {
		return false
	}
	return r.ranges.weighed.Zero() || c.now.Mono-r.ranges.weighed.Mono >= c.cfg.LoadReportInterval
}

// homeless reports whether the rules name no home for any slot of the service.
func (c *Cell) homeless(x seamslot.Range) bool {
	s, ok := c.services[x.Service]
	return ok && len(s.HomeRegions) == 0
}

// mayHold reports whether the cell has room for one more range.
func (c *Cell) mayHold(cell string) bool {
	e, ok := c.directory.get(CellPrefix + cell)
	return cell != "" && ok && len(e.Record.Ranges) < mostRanges
}

func (c *Cell) rangeView(x seamslot.Range) RangeView {
	r := c.coordination
	v := RangeView{
		Service: x.Service, Region: r.entry.Record.Region, OtherRegions: c.takingRegions(x.Service),
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
		v.Slots = append(v.Slots, RangeSlot{Index: i, Rate: l.Rate, CallerRegion: l.CallerRegion, CallerShare: l.CallerShare, HeldFor: c.entered(id)})
	}
	return v
}

// takingRegions returns the other regions with a cell that can take a range of the service, in order.
func (c *Cell) takingRegions(service string) []string {
	regions := map[string]bool{}
	for _, e := range c.directory.sorted() {
		region := e.Record.Region
		if e.Deleted || region == "" || region == c.coordination.entry.Record.Region {
			continue
		}
		if c.mayHold(c.poorest(region, service)) {
			regions[region] = true
		}
	}
	return sortedKeys(regions)
}

// entered returns the time since the cell got the slot, as far as this coordinator knows.
func (c *Cell) entered(id seamslot.ID) time.Duration {
	r := c.coordination
	if at, ok := r.ranges.entered[id]; ok {
		return seamclock.MinElapsed(c.now, at)
	}
	return seamclock.MinElapsed(c.now, r.begun)
}

// enter notes that the cell has got the slots of a range.
func (c *Cell) enter(x seamslot.Range) {
	r := c.coordination
	if r.ranges.entered == nil {
		r.ranges.entered = map[seamslot.ID]seamclock.Instant{}
	}
	for i := x.From; i < x.To; i++ {
		r.ranges.entered[seamslot.ID{Service: x.Service, Index: i}] = c.now
	}
}

// gave reports that a range has left for another cell.
func (c *Cell) gave(o *outgoing) {
	c.emit(seamevent.RangeMoved, seamevent.Fields{
		"service": o.Service, "from": o.From, "to": o.To, "cell": o.cell, "callers": o.callers,
	})
}

// joined returns the ranges in order, with those joined that meet and have no home.
func (c *Cell) joined(ranges []seamslot.Range) []seamslot.Range {
	sortRanges(ranges)
	var list []seamslot.Range
	for _, x := range ranges {
		last := len(list) - 1
		if last >= 0 && c.homeless(x) && list[last].Service == x.Service && list[last].To == x.From {
			list[last].To = x.To
			continue
		}
		list = append(list, x)
	}
	return list
}
