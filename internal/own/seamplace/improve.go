package seamplace

import (
	"time"

	"cardamomseam/internal/own/seamclock"
)

const (
	// gainTime is the time for which a better balance is expected to last; hot keys
	// change within minutes.
	gainTime = 60.0 // s
	// churnPrice is the price of one change of owner, in the unit of Config.
	churnPrice = 1.0
	// unavailablePrice is the price of a second in which one mean load waits.
	unavailablePrice = 10.0
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
	for t.improved < t.config.Moves {
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

// hot reports whether the move would take a hot slot from its server for balance. Its
// neighbours move instead, since its load would only be elsewhere.
func (o option) hot() bool {
	return o.slot.Hot && o.reason == Balance
}

// bestMove returns the move with the largest net gain above zero.
func (t *table) bestMove() (option, bool) {
	spread := t.spread()
	var best option
	for _, s := range t.slots {
		if !t.movable(s) {
			continue
		}
		for _, m := range s.near {
			if m == s.owner || m.saturated() {
				continue
			}
			if o := t.weigh(s, m, spread); o.net > best.net && !o.hot() {
				best = o
			}
		}
	}
	return best, best.slot != nil
}

// movable reports whether s has an owner, has load, and has stayed for the dwell time.
func (t *table) movable(s *slot) bool {
	if s.move != nil || s.owner == nil || s.owner.Draining || s.Rate <= 0 {
		return false
	}
	return s.Moved.Zero() || seamclock.Least(t.now, s.Moved) >= t.config.Dwell
}

// spread returns the distance between the largest and the smallest relative load.
func (t *table) spread() float64 {
	low, high := 0.0, 0.0
	first := true
	for _, m := range t.members {
		if m.Draining {
			continue
		}
		u := t.relative(m, 0)
		if first {
			low, high, first = u, u, false
		}
		low, high = min(low, u), max(high, u)
	}
	return high - low
}

// weigh returns what the move of s to m gains beyond its cost.
func (t *table) weigh(s *slot, m *member, spread float64) option {
	o := option{slot: s, to: m, reason: Balance}
	gain := t.config.Imbalance * t.balanceGain(s, m, spread)
	if near := t.nearer(s, m); near > 0 {
		o.reason = Region
		gain += t.config.Unavailable * regionGain * near
	}
	o.net = gain*gainTime - t.cost(s, m)
	return o
}

// balanceGain returns how much less uneven the loads become, in mean loads. It is what the
// squares of the relative loads of both members lose, divided by twice the spread: a
// small move from the busiest to the idlest member counts in full, others in proportion.
func (t *table) balanceGain(s *slot, m *member, spread float64) float64 {
	if spread <= 0 {
		return 0
	}
	before := square(t.relative(s.owner, 0)) + square(t.relative(m, 0))
	after := square(t.relative(s.owner, -s.Rate)) + square(t.relative(m, s.Rate))
	return (before - after) / (2 * spread)
}

// nearer returns the load of s that no longer crosses regions after a move to m, in mean loads.
func (t *table) nearer(s *slot, m *member) float64 {
	if s.owner.Region == m.Region {
		return 0
	}
	gained := s.Callers[m.Region] - s.Callers[s.owner.Region]
	return gained * t.share(s)
}

// cost returns the price of the move of s to m.
func (t *table) cost(s *slot, m *member) float64 {
	pause := t.pause(s, m).Seconds()
	return t.config.Churn*churnPrice + t.config.Unavailable*unavailablePrice*pause*t.share(s)
}

// pause returns the time in which s is not served while it moves to m.
func (t *table) pause(s *slot, m *member) time.Duration {
	if s.standby == m {
		return t.config.Promotion
	}
	return t.config.Handover
}

// share returns the load of s as a multiple of the mean load of a member.
func (t *table) share(s *slot) float64 {
	mean := t.total / float64(len(t.members))
	return s.Rate / mean
}

func square(x float64) float64 { return x * x }
