package seamthrottle

import "time"

// Announce records the target and its warm-up, and reports whether the target is another one, has become cold or has ceased to be.
// An announcement that is known already only updates the settings of the service.
func (t *Throttle) Announce(now time.Time, a Announcement) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.warmup.announced && a.ArrivedAt.Before(t.warmup.arrivedAt) {
		return false
	}
	before := t.cold
	changed = t.setTarget(a.Target)
	t.warmup.announce(now, a)
	t.refresh(now)
	return changed || t.cold != before
}

// AssumeCold makes the target count as cold until an announcement arrives after now, and reports whether it has become cold.
func (t *Throttle) AssumeCold(now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	before := t.cold
	t.warmup.assume(now)
	t.refresh(now)
	return t.cold != before
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
	t.refresh(now)
	before := t.cold
	t.warmup.doubt(now, ended)
	t.refresh(now)
	return t.cold != before
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

// ReportedWait returns the wait for a start of a cold target that a node which chooses targets is told; 0 if the target is not cold.
// Each report gets another start, so that the nodes don't all choose the target at the same moment. Once the starts up to the end
// of the warm-up were reported, the first ones are reported again: many are not used.
func (t *Throttle) ReportedWait(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	rate, limited := t.warmup.limitAt(now)
	if !limited {
		return 0
	}
	left := t.warmup.left(now)
	interval := duration(1 / rate)
	wait := later(t.reportedUntil, now).Sub(now) + interval
	if wait > left {
		wait = min(interval, left)
	}
	t.reportedUntil = now.Add(wait)
	return wait
}
