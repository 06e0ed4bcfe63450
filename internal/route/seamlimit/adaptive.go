package seamlimit

import "time"

const (
	// shedFactor multiplies the limit when the target sheds load.
	shedFactor = 0.8
	// minSlowFactor is the smallest factor that multiplies the limit when the target slows down.
	minSlowFactor = 0.8
	// slowLimitFloor is the share of the slots below which slowness alone does not reduce the limit.
	slowLimitFloor = 0.25
	// slowRatio is the ratio of recent to baseline latency above which the target counts as slow.
	slowRatio = 2.5
	// minSlowIncrease is the smallest increase of the latency, in seconds, that counts
	// as slowness. Below it, process scheduling affects the latency more than the target does.
	minSlowIncrease = 0.02
	// probeShare is the share of the limit that must be in use before the limit is raised.
	probeShare = 0.8
	// recentWeight is the weight of one sample in the recent latency.
	recentWeight = 0.02
	// baselineFallTime is the time constant with which the baseline follows a lower latency.
	baselineFallTime = time.Second
	// baselineRiseTime is the time constant with which the baseline follows a higher
	// latency. Lasting slowness, which fewer requests do not fix, becomes the baseline.
	baselineRiseTime = 10 * time.Second
	// minAdjustInterval is the shortest time between two changes of the limit.
	minAdjustInterval = 50 * time.Millisecond
)

// Sample describes one completed request at the target.
type Sample struct {
	Latency time.Duration
	// Shed means that the target refused the request or failed because of overload.
	Shed bool
	// Running is the number of requests that were running when this one ended, including it.
	Running int
}

// AdaptiveLimit is an adaptive concurrency limit of at most the target's slots.
// It decreases by a factor when the target sheds load or slows down, and
// increases by one per interval otherwise. It is not safe for concurrent use.
type AdaptiveLimit struct {
	slots float64
	limit float64
	// recent and baseline are moving averages of the latency, in seconds.
	recent     float64
	baseline   float64
	lastChange time.Time
	lastSample time.Time
}

// NewAdaptiveLimit returns an AdaptiveLimit that starts at all slots.
func NewAdaptiveLimit(slots int) *AdaptiveLimit {
	return &AdaptiveLimit{slots: float64(slots), limit: float64(slots)}
}

// Limit returns the number of requests that may run concurrently, at least 1.
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

// Observe adjusts the limit to one sample.
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

// decrease multiplies the limit by the factor, but not below the floor, at most once per interval.
func (a *AdaptiveLimit) decrease(now time.Time, factor, floor float64) {
	if !a.mayAdjust(now) || a.limit <= floor {
		return
	}
	a.limit = max(a.limit*factor, floor)
	a.lastChange = now
}

// mayAdjust reports whether enough time has passed to see the effect of the last change.
func (a *AdaptiveLimit) mayAdjust(now time.Time) bool {
	interval := max(time.Duration(2*a.recent*float64(time.Second)), minAdjustInterval)
	return now.Sub(a.lastChange) >= interval
}
