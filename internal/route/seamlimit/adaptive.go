package seamlimit

import "time"

const (
	// shedCut is the factor by which the limit falls when the target sheds.
	shedCut = 0.8
	// slowCut is the smallest factor by which the limit falls when the target slows.
	slowCut = 0.8
	// slowFloor is the share of the slots below which slowness alone does not push the limit.
	slowFloor = 0.25
	// tolerance is the ratio of present to usual latency from which the target counts as slow.
	tolerance = 2.5
	// leastSlow is the least rise of the latency, in seconds, that counts as
	// slowness: below it the scheduling of processes weighs more than the target.
	leastSlow = 0.02
	// nearLimit is the share of the limit in use from which the limit is tested.
	nearLimit = 0.8
	// fastWeight is the weight of one sample in the present latency.
	fastWeight = 0.02
	// fallTime is the time in which the usual latency follows a lower one.
	fallTime = time.Second
	// riseTime is the time in which the usual latency follows a higher one, so
	// that lasting slowness, which fewer requests do not cure, becomes usual.
	riseTime = 10 * time.Second
	// windowFloor is the least time between two changes of the limit.
	windowFloor = 50 * time.Millisecond
)

// Sample is the end of one request at the target.
type Sample struct {
	Latency time.Duration
	// Shed says that the target refused work or failed for too much of it.
	Shed bool
	// Running is the number of requests that ran when this one ended, itself included.
	Running int
}

// Adaptive finds how many requests the target runs well at once, at most its
// slots: less when it sheds or slows, more by one in each window otherwise.
// It is not safe for concurrent use.
type AdaptiveLimit struct {
	slots  float64
	limit  float64
	fast   float64
	usual  float64
	change time.Time
	// sampled is the time of the last sample.
	sampled time.Time
}

// NewAdaptive starts at all slots.
func NewAdaptiveLimit(slots int) *AdaptiveLimit {
	return &AdaptiveLimit{slots: float64(slots), limit: float64(slots)}
}

// Limit returns the number of requests to run at once, at least 1.
func (a *AdaptiveLimit) Limit() int {
	return max(int(a.limit), 1)
}

// Resize changes the number of slots.
func (a *AdaptiveLimit) Resize(slots int) {
	whole := a.limit >= a.slots
	a.slots = float64(slots)
	if whole || a.limit > a.slots {
		a.limit = a.slots
	}
}

// Observe takes one sample into account.
func (a *AdaptiveLimit) Observe(now time.Time, s Sample) {
	if s.Shed {
		a.cut(now, shedCut, 1)
		return
	}
	a.average(now, s.Latency.Seconds())
	switch {
	case a.slow() && float64(s.Running) >= a.limit/2:
		a.cut(now, max(tolerance*a.usual/a.fast, slowCut), max(slowFloor*a.slots, 1))
	case float64(s.Running) >= nearLimit*a.limit && a.due(now):
		a.limit = min(a.limit+1, a.slots)
		a.change = now
	}
}

func (a *AdaptiveLimit) slow() bool {
	return a.fast > tolerance*a.usual && a.fast > a.usual+leastSlow
}

func (a *AdaptiveLimit) average(now time.Time, latency float64) {
	since := now.Sub(a.sampled)
	a.sampled = now
	if a.usual == 0 {
		a.fast, a.usual = latency, latency
		return
	}
	a.fast += (latency - a.fast) * fastWeight
	follow := riseTime
	if a.fast < a.usual {
		follow = fallTime
	}
	weight := min(max(since.Seconds(), 0)/follow.Seconds(), 1)
	a.usual += (a.fast - a.usual) * weight
}

// cut lowers the limit by the factor, not below the floor, once in a window.
func (a *AdaptiveLimit) cut(now time.Time, factor, floor float64) {
	if !a.due(now) || a.limit <= floor {
		return
	}
	a.limit = max(a.limit*factor, floor)
	a.change = now
}

// due reports whether the effect of the last change can be seen by now.
func (a *AdaptiveLimit) due(now time.Time) bool {
	window := max(time.Duration(2*a.fast*float64(time.Second)), windowFloor)
	return now.Sub(a.change) >= window
}
