package seamlimit

import "time"

const (
	// shedCut is the factor by which the limit falls when the target sheds.
	shedFactor = 0.8
	// slowCut is the smallest factor by which the limit falls when the target slows.
	minSlowFactor = 0.8
	// slowFloor is the share of the slots below which slowness alone does not push the limit.
	slowLimitFloor = 0.25
	// tolerance is the ratio of present to usual latency from which the target counts as slow.
	slowRatio = 2.5
	// leastSlow is the least rise of the latency, in seconds, that counts as
	// slowness: below it the scheduling of processes weighs more than the target.
	minSlowIncrease = 0.02
	// nearLimit is the share of the limit in use from which the limit is tested.
	probeShare = 0.8
	// fastWeight is the weight of one sample in the present latency.
	recentWeight = 0.02
	// fallTime is the time in which the usual latency follows a lower one.
	baselineFallTime = time.Second
	// riseTime is the time in which the usual latency follows a higher one, so
	// that lasting slowness, which fewer requests do not cure, becomes usual.
	baselineRiseTime = 10 * time.Second
	// windowFloor is the least time between two changes of the limit.
	minAdjustInterval = 50 * time.Millisecond
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
	slots      float64
	limit      float64
	recent     float64
	baseline   float64
	lastChange time.Time
	// sampled is the time of the last sample.
	lastSample time.Time
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
	unrestricted := a.limit >= a.slots
	a.slots = float64(slots)
	if unrestricted || a.limit > a.slots {
		a.limit = a.slots
	}
}

// Observe takes one sample into account.
func (a *AdaptiveLimit) Observe(now time.Time, s Sample) {
	if s.Shed {
		a.decrease(now, shedFactor, 1)
		return
	}
	a.updateLatency(now, s.Latency.Seconds())
	switch {
	case a.isSlow() && float64(s.Running) >= a.limit/2:
		a.decrease(now, max(slowRatio*a.baseline/a.recent, minSlowFactor), max(slowLimitFloor*a.slots, 1))
	case float64(s.Running) >= probeShare*a.limit && a.mayAdjust(now):
		a.limit = min(a.limit+1, a.slots)
		a.lastChange = now
	}
}

func (a *AdaptiveLimit) isSlow() bool {
	return a.recent > slowRatio*a.baseline && a.recent > a.baseline+minSlowIncrease
}

func (a *AdaptiveLimit) updateLatency(now time.Time, latency float64) {
	since := now.Sub(a.lastSample)
	a.lastSample = now
	if a.baseline == 0 {
		a.recent, a.baseline = latency, latency
		return
	}
	a.recent += (latency - a.recent) * recentWeight
	timeConstant := baselineRiseTime
	if a.recent < a.baseline {
		timeConstant = baselineFallTime
	}
	weight := min(max(since.Seconds(), 0)/timeConstant.Seconds(), 1)
	a.baseline += (a.recent - a.baseline) * weight
}

// cut lowers the limit by the factor, not below the floor, once in a window.
func (a *AdaptiveLimit) decrease(now time.Time, factor, floor float64) {
	if !a.mayAdjust(now) || a.limit <= floor {
		return
	}
	a.limit = max(a.limit*factor, floor)
	a.lastChange = now
}

// due reports whether the effect of the last change can be seen by now.
func (a *AdaptiveLimit) mayAdjust(now time.Time) bool {
	interval := max(time.Duration(2*a.recent*float64(time.Second)), minAdjustInterval)
	return now.Sub(a.lastChange) >= interval
}
