package seamplace

import (
	"time"

	"cardamomseam/internal/own/seamclock"
)

const (
	// balanceBenefitSeconds is how long a better balance is expected to last. Hot keys change within minutes.
	balanceBenefitSeconds = 60.0 // s
	// churnCost is the cost, in the unit of Config, of moving as many slots as a member owns on average.
	churnCost = 20.0
	// minSlotsPerMember is the smallest number of slots per member by which churnCost is divided. It limits the cost of
	// one change of owner when members own few slots.
	minSlotsPerMember = 32
	// unavailableCost is the cost of one second in which the mean load of a member is not served.
	unavailableCost = 30.0
	// loadTolerance is the load above the mean that does not count as imbalance, as a multiple of the mean load.
	loadTolerance = 0.05
	// regionBenefit is the benefit of one second in which the mean load of a member no longer crosses regions.
	regionBenefit = 1.0
	// minMeanRate is the mean load of a member, in requests per second, below which loads are too noisy to balance.
	minMeanRate = 1.0
)

// planImprovements plans the move with the highest net gain, repeatedly, until no move has a positive gain or
// Config.MaxMoves is reached.
func (t *planState) planImprovements() {
	if !t.enoughLoad() {
		return
	}
	for t.improvements < t.config.MaxMoves {
		best, ok := t.bestMove()
		if !ok {
			return
		}
		t.planMove(best.slot, best.to, best.reason, best.netGain)
		t.improvements++
	}
}

// enoughLoad reports whether there is enough load to balance.
func (t *planState) enoughLoad() bool {
	return t.total >= minMeanRate*float64(len(t.members))
}

// candidateMove is a move under evaluation.
type candidateMove struct {
	slot    *slot
	to      *member
	reason  Reason
	netGain float64
}

// isBetter reports whether a has a higher net gain than b, or the same net gain and a less loaded
// destination.
func (t *planState) isBetter(a, b candidateMove) bool {
	if a.netGain != b.netGain || b.slot == nil {
		return a.netGain > b.netGain
	}
	return t.relativeLoad(a.to, 0) < t.relativeLoad(b.to, 0)
}

// isHottestOfOwner reports whether s is the busiest hot slot of its owner. Moving it for balance would only shift the
// overload to another member, so the other slots of the owner move instead.
func (t *planState) isHottestOfOwner(s *slot) bool {
	if !s.Hot {
		return false
	}
	for _, other := range t.slots {
		if other.owner == s.owner && other.Hot && other.Rate > s.Rate {
			return false
		}
	}
	return true
}

// bestMove returns the move with the highest positive net gain.
func (t *planState) bestMove() (candidateMove, bool) {
	maxExcess := t.maxExcessLoad()
	var best candidateMove
	for _, s := range t.slots {
		if t.movable(s) && t.mayGain(s) {
			best = t.bestFor(s, maxExcess, best)
		}
	}
	return best, best.slot != nil
}

// bestFor returns the move with the highest net gain among the moves of s and best.
func (t *planState) bestFor(s *slot, maxExcess float64, best candidateMove) candidateMove {
	hottest := t.isHottestOfOwner(s)
	for _, m := range s.eligible {
		if m == s.owner || m.saturated() {
			continue
		}
		candidate := t.evaluateMove(s, m, maxExcess)
		if hottest && candidate.reason == ReasonBalance {
			continue
		}
		if t.isBetter(candidate, best) {
			best = candidate
		}
	}
	return best
}

// movable reports whether s has load, no planned move, and an owner that is not draining and has had it for the dwell
// time.
func (t *planState) movable(s *slot) bool {
	if s.move != nil || s.owner == nil || s.owner.Draining || s.Rate <= 0 {
		return false
	}
	return s.MovedAt.Zero() || seamclock.MinElapsed(t.now, s.MovedAt) >= t.config.Dwell
}

// mayGain reports whether a move of s can have a benefit: its owner is overloaded, or its callers are known and may be
// in another region.
func (t *planState) mayGain(s *slot) bool {
	return len(s.CallerShares) > 0 || t.excessLoad(s.owner, 0) > 0
}

// maxExcessLoad returns the highest excess load of a member.
func (t *planState) maxExcessLoad() float64 {
	most := 0.0
	for _, m := range t.members {
		if !m.Draining {
			most = max(most, t.excessLoad(m, 0))
		}
	}
	return most
}

// excessLoad returns the load of m, with rate added, above the mean and the tolerance, as a multiple of the mean.
func (t *planState) excessLoad(m *member, rate float64) float64 {
	return max(0, t.relativeLoad(m, rate)-1-loadTolerance)
}

// evaluateMove returns the move of s to m with its net gain.
func (t *planState) evaluateMove(s *slot, m *member, maxExcess float64) candidateMove {
	candidate := candidateMove{slot: s, to: m, reason: ReasonBalance}
	gain := t.config.Imbalance * t.balanceGain(s, m, maxExcess)
	if loadSaved := t.crossRegionLoadSaved(s, m); loadSaved > 0 {
		candidate.reason = ReasonRegion
		gain += t.config.Unavailable * regionBenefit * loadSaved
	}
	candidate.netGain = gain*balanceBenefitSeconds - t.moveCost(s, m)
	return candidate
}

// balanceGain returns by how much the move of s to m reduces the imbalance, as a multiple of the mean load. This is the
// decrease of the squared excess loads of both members, divided by twice the highest excess load. Load taken from the
// busiest member thus counts in full, and load taken from others in proportion to their excess.
func (t *planState) balanceGain(s *slot, m *member, maxExcess float64) float64 {
	if maxExcess <= 0 {
		return 0
	}
	before := square(t.excessLoad(s.owner, 0)) + square(t.excessLoad(m, 0))
	after := square(t.excessLoad(s.owner, -s.Rate)) + square(t.excessLoad(m, s.Rate))
	return (before - after) / (2 * maxExcess)
}

// crossRegionLoadSaved returns the load of s that no longer crosses regions after a move to m, as a multiple of the
// mean load.
func (t *planState) crossRegionLoadSaved(s *slot, m *member) float64 {
	if s.owner.Region == m.Region {
		return 0
	}
	shareGained := s.CallerShares[m.Region] - s.CallerShares[s.owner.Region]
	return shareGained * t.loadShare(s)
}

// moveCost returns the cost of the move of s to m, for the change of owner and the time without service.
func (t *planState) moveCost(s *slot, m *member) float64 {
	unavailable := t.unavailableTime(s, m).Seconds()
	return t.config.Churn*t.ownerChangeCost() + t.config.Unavailable*unavailableCost*unavailable*t.loadShare(s)
}

// ownerChangeCost returns the cost of one change of owner, not yet weighted by Config.Churn.
func (t *planState) ownerChangeCost() float64 {
	owned := float64(len(t.slots)) / float64(len(t.members))
	return churnCost / max(owned, minSlotsPerMember)
}

// unavailableTime returns how long s is not served while it moves to m.
func (t *planState) unavailableTime(s *slot, m *member) time.Duration {
	if s.standby == m {
		return t.config.PromotionTime
	}
	return t.config.HandoverTime
}

// loadShare returns the load of s as a multiple of the mean load of a member.
func (t *planState) loadShare(s *slot) float64 {
	mean := t.total / float64(len(t.members))
	return s.Rate / mean
}

func square(x float64) float64 { return x * x }
