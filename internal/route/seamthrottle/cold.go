package seamthrottle

import "time"

// Announce records the target and its warm-up. It reports whether the target is another one than before, and whether it has become
// cold or ceased to be since this was last reported. An announcement that is known already only updates the settings of the service.
func (t *Throttle) Announce(now time.Time, a Announcement) (replaced, coldChanged bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.warmup.announced && a.ArrivedAt.Before(t.warmup.arrivedAt) {
		return false, false
	}
	replaced = t.setTarget(a.Target)
	t.warmup.announce(now, a)
	return replaced, t.coldChanged(now)
}

// coldChanged applies the limit that is in effect now, and reports whether the target has become cold or ceased to be.
func (t *Throttle) coldChanged(now time.Time) bool {
	t.refresh(now)
	changed := t.cold != t.reportedCold
	t.reportedCold = t.cold
	return changed
}

// AssumeCold makes the target count as cold until an announcement arrives after now, and reports whether it has become cold.
func (t *Throttle) AssumeCold(now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.warmup.assume(now)
	return t.coldChanged(now) && t.cold
}

// DoubtTarget makes the target count as cold until an announcement shows whether it has started again at the same address, and
// reports whether it has become cold. Unless ended says that its process has ended for certain, it has no effect for some time after
// an announcement has shown that the target did not start again.
func (t *Throttle) DoubtTarget(now time.Time, target Target, ended bool) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state.Target != target {
		return false
	}
	t.warmup.doubt(now, ended)
	return t.coldChanged(now) && t.cold
}

// Cold reports whether the target counts as cold.
func (t *Throttle) Cold(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.warmup.cold(now)
}

// Report returns what is known about the target as a report.
func (t *Throttle) Report(now time.Time) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.state.Report(now)
	if rate, limited := t.warmup.limitAt(now); limited {
		r.WarmupLeft, r.WarmupRate = t.warmup.left(now), rate
	}
	return r
}

// warmRateFactor is the ratio of the rate at which starts after the warm-up are promised to that of the cold target. The rate of
// the warm target is not known here.
const warmRateFactor = 8

// promiseInterval returns the time between promised starts after the delay.
func (t *Throttle) promiseInterval(now time.Time, delay time.Duration) time.Duration {
	rate := t.bucket.rate
	if left := t.warmup.left(now); left > 0 && delay >= left && !t.state.Limited {
		rate = warmRateFactor * t.warmup.rate
	}
	return duration(1 / rate)
}

// spreadDelay returns the retry delay of a caller that is promised no start. It is at least delay, and spreads such callers over the
// rest of the warm-up.
func (t *Throttle) spreadDelay(now time.Time, delay time.Duration) time.Duration {
	left := t.warmup.left(now)
	if delay >= left {
		return delay
	}
	next := latest(t.spreadUntil, now.Add(delay)).Add(duration(1 / t.bucket.rate))
	if next.Sub(now) > left {
		next = now.Add(delay)
	}
	t.spreadUntil = next
	return next.Sub(now)
}
