package seamplace

import "cardamomseam/internal/own/seamclock"

const (
	// callerTime is the time for which callers are expected to stay in their region.
	callerTime = 300.0 // s
	// callerDwell is the shortest time for which a slot stays in its cell: that over which the
	// regions of callers are averaged.
	callerDwell = 30.0 // s
	// partPrice is the price of a part that changes cells, in changes of owner.
	partPrice = 8
)

// RangeView is what is known of one range of a service at one moment.
type RangeView struct {
	// Region is that of the cell that owns the range.
	Region string
	// Regions are others with a cell that can take a part of it.
	OtherRegions []string
	// Members is the number of members of the cell that serve the service.
	Members int
	// Total is the load of the service in the cell, in requests a second.
	TotalRate float64
	// Slots are the slots of the range in order of index; Moved is the time at which the cell got them.
	Slots  []Slot
	Config Config
}

// Part is a part of a range that moves to another region.
type RangeMove struct {
	// From is the index of its first slot, To that behind its last.
	From, To uint32
	Region   string
	// Gain is what the move gains beyond its cost, in the unit of Config.
	Gain float64
}

// PlanRange returns the part of a range that gains most in the region of its callers, if it gains
// more than it costs. At least 60 % of the part's requests come from there, and its load is at most
// the mean of a member, unless it is one slot, because one server takes it first. Slots that the cell got lately stay.
func PlanRange(now seamclock.Instant, v RangeView) (RangeMove, bool) {
	if v.Members == 0 || v.Config.MaxMoves == 0 {
		return RangeMove{}, false
	}
	c := newCalled(now, v)
	var best RangeMove
	for _, region := range v.OtherRegions {
		if region == v.Region {
			continue
		}
		if p := c.best(region); p.Gain > best.Gain {
			best = p
		}
	}
	return best, best.Gain > 0
}

// called weighs the parts of a range.
type called struct {
	RangeView
	now seamclock.Instant
	// mean is the load of a member, in requests a second.
	mean float64
	// price is that of one change of owner.
	price float64
}

func newCalled(now seamclock.Instant, v RangeView) *called {
	owned := float64(len(v.Slots)) / float64(v.Members)
	return &called{
		RangeView: v,
		now:       now,
		mean:      v.TotalRate/float64(v.Members) + v.Config.BaseRate,
		price:     v.Config.Churn * churnPrice / max(owned, leastSlots),
	}
}

// best returns the run of slots with the largest gain in a region, cut down to the load of one member.
func (c *called) best(region string) RangeMove {
	best := RangeMove{Region: region}
	sum, from := 0.0, 0
	for i, s := range c.Slots {
		if !c.settled(s) {
			sum, from = 0, i+1
			continue
		}
		if sum <= 0 {
			sum, from = 0, i
		}
		sum += c.gain(s, region)
		if sum > best.Gain {
			best.From, best.To, best.Gain = uint32(from), uint32(i+1), sum
		}
	}
	return c.cut(best)
}

// cut returns the first slots of a part that one member can take, by their index, if they gain enough.
func (c *called) cut(p RangeMove) RangeMove {
	rate, near, gain := 0.0, 0.0, -partPrice*c.price
	slots := c.Slots[p.From:p.To]
	for i, s := range slots {
		if i > 0 && rate+s.Rate > c.mean {
			slots = slots[:i]
			break
		}
		rate += s.Rate
		near += s.Rate * s.CallerShares[p.Region]
		gain += c.gain(s, p.Region)
	}
	if len(slots) == 0 || near < homeShare*rate || gain <= 0 {
		return RangeMove{}
	}
	return RangeMove{From: slots[0].ID.Index, To: slots[len(slots)-1].ID.Index + 1, Region: p.Region, Gain: gain}
}

// settled reports whether the cell has had the slot for long enough.
func (c *called) settled(s Slot) bool {
	if s.MovedAt.Zero() {
		return true
	}
	return seamclock.MinElapsed(c.now, s.MovedAt).Seconds() >= max(callerDwell, c.Config.Dwell.Seconds())
}

// gain returns what the move of a slot to a region gains beyond its cost. Requests of which no
// region is known count as those of the own region.
func (c *called) gain(s Slot, region string) float64 {
	if c.mean <= 0 {
		return -c.price
	}
	load := s.Rate / c.mean
	nearer := load * (2*s.CallerShares[region] - 1)
	pause := load * unavailablePrice * c.Config.TransferTime.Seconds()
	return c.Config.Unavailable*(callerTime*regionGain*nearer-pause) - c.price
}
