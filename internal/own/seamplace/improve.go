package seamplace

import (
	"time"

	"cardamomseam/internal/own/seamclock"
)

const (
	// gainTime is the time for which a better balance is expected to last; hot keys
	// change within minutes.
	gainTime = 60.0 // s
	// churnPrice is the price of as many changes of owner as a member owns slots on average,
	// in the unit of Config.
	churnPrice = 20.0
	// leastSlots bounds the price of one change where members own few slots.
	leastSlots = 32
	// unavailablePrice is the price of a second in which one mean load waits.
	unavailablePrice = 30.0
	// tolerance is the load above the mean that counts for nothing, in mean loads.
	tolerance = 0.05
	// regionGain is the gain of a second in which one mean load no longer crosses regions.
	regionGain = 1.0
	// leastRate is the mean load of a member below which loads say nothing, in requests a second.
	leastRate = 1.0
)

// improve makes the best move that pays, again and again.
func (t *table) improve() {
	if !t.measurable() {
		return
	}
	for t.improved < t.config.MaxMoves {
		best, ok := t.bestMove()
		if !ok {
			return
		}
		t.put(best.slot, best.to, best.reason, best.net)
		t.improved++
	}
}

// measurable reports whether there is enough load to be balanced.
func (t *table) measurable() bool {
	return t.total >= leastRate*float64(len(t.members))
}

// option is a move that is weighed.
type option struct {
	slot   *slot
	to     *member
	reason Reason
	net    float64
}

// better reports whether o gains more than p, or the same with an idler member.
func (t *table) better(o, p option) bool {
	if o.net != p.net || p.slot == nil {
		return o.net > p.net
	}
	return t.relative(o.to, 0) < t.relative(p.to, 0)
}

// anchored reports whether s is the busiest hot slot of its owner. It does not move for
// balance, since its load would only be elsewhere; the other slots of the owner do.
func (t *table) anchored(s *slot) bool {
	if !s.Hot {
		return false
	}
	for _, o := range t.slots {
		if o.owner == s.owner && o.Hot && o.Rate > s.Rate {
			return false
		}
	}
	return true
}

// bestMove returns the move with the largest net gain above zero.
func (t *table) bestMove() (option, bool) {
	peak := t.peak()
	var best option
	for _, s := range t.slots {
		if t.movable(s) && t.gainful(s) {
			best = t.bestFor(s, peak, best)
		}
	}
	return best, best.slot != nil
}

// bestFor returns the best of the moves of s and the option best.
func (t *table) bestFor(s *slot, peak float64, best option) option {
	anchored := t.anchored(s)
	for _, m := range s.near {
		if m == s.owner || m.saturated() {
			continue
		}
		o := t.weigh(s, m, peak)
		if anchored && o.reason == ReasonBalance {
			continue
		}
		if t.better(o, best) {
			best = o
		}
	}
	return best
}

// movable reports whether s has an owner, has load, and has stayed for the dwell time.
func (t *table) movable(s *slot) bool {
	if s.move != nil || s.owner == nil || s.owner.Draining || s.Rate <= 0 {
		return false
	}
	return s.MovedAt.Zero() || seamclock.MinElapsed(t.now, s.MovedAt) >= t.config.Dwell
}

// gainful reports whether any move of s can gain: its owner is too busy, or its callers
// are known and may be in another region.
func (t *table) gainful(s *slot) bool {
	return len(s.CallerShares) > 0 || t.excess(s.owner, 0) > 0
}

// peak returns the largest excess of a member.
func (t *table) peak() float64 {
	most := 0.0
	for _, m := range t.members {
		if !m.Draining {
			most = max(most, t.excess(m, 0))
		}
	}
	return most
}

// excess returns the load of m above the mean with rate added, in mean loads.
func (t *table) excess(m *member, rate float64) float64 {
	return max(0, t.relative(m, rate)-1-tolerance)
}

// weigh returns what the move of s to m gains beyond its cost.
func (t *table) weigh(s *slot, m *member, peak float64) option {
	o := option{slot: s, to: m, reason: ReasonBalance}
	gain := t.config.Imbalance * t.balanceGain(s, m, peak)
	if near := t.nearer(s, m); near > 0 {
		o.reason = ReasonRegion
		gain += t.config.Unavailable * regionGain * near
	}
	o.net = gain*gainTime - t.cost(s, m)
	return o
}

// balanceGain returns how much less uneven the loads become, in mean loads. It is what the
// squares of the excesses of both members lose, divided by twice the peak: load taken from
// the busiest member counts in full, from others in proportion to their excess.
func (t *table) balanceGain(s *slot, m *member, peak float64) float64 {
	if peak <= 0 {
		return 0
	}
	before := square(t.excess(s.owner, 0)) + square(t.excess(m, 0))
	after := square(t.excess(s.owner, -s.Rate)) + square(t.excess(m, s.Rate))
	return (before - after) / (2 * peak)
}

// nearer returns the load of s that no longer crosses regions after a move to m, in mean loads.
func (t *table) nearer(s *slot, m *member) float64 {
	if s.owner.Region == m.Region {
		return 0
	}
	gained := s.CallerShares[m.Region] - s.CallerShares[s.owner.Region]
	return gained * t.share(s)
}

// cost returns the price of the move of s to m.
func (t *table) cost(s *slot, m *member) float64 {
	pause := t.pause(s, m).Seconds()
	return t.config.Churn*t.movePrice() + t.config.Unavailable*unavailablePrice*pause*t.share(s)
}

// movePrice returns the price of one change of owner.
func (t *table) movePrice() float64 {
	owned := float64(len(t.slots)) / float64(len(t.members))
	return churnPrice / max(owned, leastSlots)
}

// pause returns the time in which s is not served while it moves to m.
func (t *table) pause(s *slot, m *member) time.Duration {
	if s.standby == m {
		return t.config.PromotionTime
	}
	return t.config.HandoverTime
}

// share returns the load of s as a multiple of the mean load of a member.
func (t *table) share(s *slot) float64 {
	mean := t.total / float64(len(t.members))
	return s.Rate / mean
}

func square(x float64) float64 { return x * x }
