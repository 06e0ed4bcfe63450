package seamplace

import "cardamomseam/internal/own/seamclock"

const (
	// callerBenefitSeconds is how long callers are expected to stay in their region, and thus to benefit from a move.
	callerBenefitSeconds = 300.0 // s
	// minCellDwellSeconds is the minimum time for which a slot stays in its cell. It equals the window over which the
	// regions of callers are averaged.
	minCellDwellSeconds = 30.0 // s
	// rangeMoveCost is the fixed cost of a move to another cell, as a multiple of the cost of one change of owner.
	rangeMoveCost = 8
)

// RangeView is the state of one range of a service at one time.
type RangeView struct {
	// Region is the region of the cell that owns the range.
	Region string
	// OtherRegions are the other regions with a cell that can receive a part of the range.
	OtherRegions []string
	// Members is the number of the cell's members that serve the service.
	Members int
	// TotalRate is the load of the service in the cell, in requests per second.
	TotalRate float64
	// Slots are the slots of the range, sorted by index. Their MovedAt is the time at which the cell received them.
	Slots  []Slot
	Config Config
}

// RangeMove moves a part of a range to another region.
type RangeMove struct {
	// From is the index of the first slot, and To the index after the last slot.
	From, To uint32
	Region   string
	// Gain is the benefit of the move minus its cost, in the unit of Config.
	Gain float64
}

// PlanRange returns the move of a part of the range to the region of its callers with the highest net gain, and whether
// there is one with a positive gain. At least 60% (homeRegionShare) of the part's requests come from that region. Unless it is a single
// slot, its load does not exceed the mean load of a member, because a single server receives it at first. Slots that the
// cell received recently do not move.
func PlanRange(now seamclock.Instant, v RangeView) (RangeMove, bool) {
	if v.Members == 0 || v.Config.MaxMoves == 0 {
		return RangeMove{}, false
	}
	c := newRangePlanner(now, v)
	var best RangeMove
	for _, region := range v.OtherRegions {
		if region == v.Region {
			continue
		}
		if move := c.bestRange(region); move.Gain > best.Gain {
			best = move
		}
	}
	return best, best.Gain > 0
}

// rangePlanner evaluates moves of parts of a range.
type rangePlanner struct {
	RangeView
	now seamclock.Instant
	// meanLoad is the mean load of a member, in requests per second.
	meanLoad float64
	// ownerChangeCost is the cost of one change of owner, weighted by Config.Churn.
	ownerChangeCost float64
}

func newRangePlanner(now seamclock.Instant, v RangeView) *rangePlanner {
	owned := float64(len(v.Slots)) / float64(v.Members)
	return &rangePlanner{
		RangeView:       v,
		now:             now,
		meanLoad:        v.TotalRate/float64(v.Members) + v.Config.BaseRate,
		ownerChangeCost: v.Config.Churn * churnCost / max(owned, minSlotsPerMember),
	}
}

// bestRange returns the move of consecutive slots to the region with the highest total net gain, trimmed to the mean
// load of a member.
func (c *rangePlanner) bestRange(region string) RangeMove {
	best := RangeMove{Region: region}
	sum, from := 0.0, 0
	for i, s := range c.Slots {
		if !c.movable(s) {
			sum, from = 0, i+1
			continue
		}
		if sum <= 0 {
			sum, from = 0, i
		}
		sum += c.netGain(s, region)
		if sum > best.Gain {
			best.From, best.To, best.Gain = uint32(from), uint32(i+1), sum
		}
	}
	return c.trim(best)
}

// trim shortens the move to its first slots whose load does not exceed the mean load of a member, and returns the zero
// RangeMove if the gain is not positive or too few requests come from the region. In the argument, From and To are
// positions in Slots, and in the result they are slot indexes.
func (c *rangePlanner) trim(move RangeMove) RangeMove {
	rate, regionRate, gain := 0.0, 0.0, -rangeMoveCost*c.ownerChangeCost
	slots := c.Slots[move.From:move.To]
	for i, s := range slots {
		if i > 0 && rate+s.Rate > c.meanLoad {
			slots = slots[:i]
			break
		}
		rate += s.Rate
		regionRate += s.Rate * s.CallerShares[move.Region]
		gain += c.netGain(s, move.Region)
	}
	if len(slots) == 0 || regionRate < homeRegionShare*rate || gain <= 0 {
		return RangeMove{}
	}
	return RangeMove{From: slots[0].ID.Index, To: slots[len(slots)-1].ID.Index + 1, Region: move.Region, Gain: gain}
}

// movable reports whether the slot has been in the cell for the dwell time.
func (c *rangePlanner) movable(s Slot) bool {
	if s.MovedAt.Zero() {
		return true
	}
	return seamclock.MinElapsed(c.now, s.MovedAt).Seconds() >= max(minCellDwellSeconds, c.Config.Dwell.Seconds())
}

// netGain returns the benefit of moving a slot to a region minus the cost, without rangeMoveCost. Requests from unknown regions count
// as requests from the region of the range.
func (c *rangePlanner) netGain(s Slot, region string) float64 {
	if c.meanLoad <= 0 {
		return -c.ownerChangeCost
	}
	load := s.Rate / c.meanLoad
	regionGain := load * (2*s.CallerShares[region] - 1)
	unavailable := load * unavailableCost * c.Config.TransferTime.Seconds()
	return c.Config.Unavailable*(callerBenefitSeconds*regionBenefit*regionGain-unavailable) - c.ownerChangeCost
}
