package seamthrottle

import (
	"sync"
	"time"
)

// Target identifies one incarnation of a target.
type Target struct {
	Name string
	// Started is the start time in milliseconds since the Unix epoch; 0 if unknown.
	Started int64
}

// maxStartDelay is the time after its admission for which a request needs no further permission to start.
const maxStartDelay = 500 * time.Millisecond

// maxColdStartDelay replaces maxStartDelay for a cold target. With burstPeriod, it bounds the starts within any second to 1.45
// times those that the limit allows, plus one.
const maxColdStartDelay = 200 * time.Millisecond

// State is what a node knows about its target.
type State struct {
	Target Target
	// Limited reports whether Rate, in requests per second, limits the requests to the target.
	Limited bool
	Rate    float64
	// HeardAt is the time of the response that stated it, or that no limit applies; zero if none did.
	HeardAt time.Time
	// LeavingSince is the time since which the target is leaving; zero if it is not known to leave.
	LeavingSince time.Time
	// Origin is the node that reported the state; empty if a response did.
	Origin string
}

// NoLimit is the stated limit of a target that states none.
const NoLimit = -1.0

// StatedLimit returns the limit in requests per second, or NoLimit.
func (s State) StatedLimit() float64 {
	if !s.Limited {
		return NoLimit
	}
	return s.Rate
}

// Throttle decides when the next request to a target may start, by the limit that the target states and that of its warm-up; the
// lower one applies. It reads no clock. It is safe for concurrent use. The zero value has no limit.
type Throttle struct {
	mu     sync.Mutex
	state  State
	warmup warmup
	// limited and cold report whether a limit applied and the target was cold at the last decision.
	limited, cold bool
	// reportedCold is the value of cold that Announce, AssumeCold or DoubtTarget last reported.
	reportedCold bool
	// limitedAt is the time since which the limit applies. Requests that were admitted before are counted again.
	limitedAt time.Time
	// startedAt is the time of the last start that was permitted.
	startedAt time.Time
	bucket    bucket
	// promisedUntil is the time up to which the starts were promised to callers that were refused.
	promisedUntil time.Time
	// spreadUntil is the last return that a caller without a promised start was told during a warm-up.
	spreadUntil time.Time
}

// State returns what the target is known to have stated.
func (t *Throttle) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state
}

// setTarget sets the incarnation of the target, and reports whether it is another one than before, which has stated nothing yet. mu
// must be held.
func (t *Throttle) setTarget(target Target) (changed bool) {
	if t.state.Target == target {
		return false
	}
	t.state, t.warmup = State{Target: target}, warmup{}
	return true
}

// refresh applies the limit that is in effect now.
func (t *Throttle) refresh(now time.Time) {
	rate, limited := t.effectiveLimit(now)
	switch {
	case limited && !t.limited:
		t.bucket, t.promisedUntil = newBucket(now, rate), now
		t.limitedAt = latest(now, t.startedAt)
		if t.warmup.cold(now) {
			// One immediate request does not overload an idle target.
			t.bucket.tokens = 1
		}
	case limited && rate != t.bucket.rate:
		t.bucket.setLimit(now, rate)
	}
	cold := t.warmup.cold(now)
	if cold && !t.cold {
		t.limitedAt = latest(now, t.startedAt)
	}
	t.limited, t.cold = limited, cold
}

// effectiveLimit returns the lower of the limits.
func (t *Throttle) effectiveLimit(now time.Time) (rate float64, limited bool) {
	rate, limited = t.warmup.limitAt(now)
	if stated := max(t.state.Rate, minRate); t.state.Limited && (!limited || stated < rate) {
		return stated, true
	}
	return rate, limited
}

// Response is a response of a target.
type Response struct {
	Target Target
	// Sent is the time at which the request was sent.
	Sent time.Time
	// Rejected reports whether the target did not run the request.
	Rejected bool
	Notice   Notice
}

// Hear records the notice in a response of the target, and reports whether the state has changed. Responses arrive out of order, so
// that only one to a request that was sent after the last statement of the limit raises or ends it. A rejection does not: it may come
// from a part of the target that states nothing.
func (t *Throttle) Hear(now time.Time, r Response) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Target != t.state.Target {
		return false
	}
	n := r.Notice
	if n.Leaving && t.state.LeavingSince.IsZero() {
		t.state.LeavingSince = now
		changed = true
	}
	later := !r.Rejected && r.Sent.After(t.state.HeardAt)
	switch {
	case n.Limited && (!t.state.Limited || n.Rate <= t.state.Rate || later):
		changed = t.limit(now, n.Rate) || changed
	case !n.Limited && n.Invalid == "" && later:
		changed = t.state.Limited || changed
		t.refresh(now)
		t.state.Limited, t.state.Rate = false, 0
	default:
		return changed
	}
	t.state.HeardAt, t.state.Origin = now, ""
	return changed
}

// limit applies a stated limit and reports whether it differs from the one before.
func (t *Throttle) limit(now time.Time, rate float64) (changed bool) {
	if t.state.Limited && t.state.Rate == rate {
		return false
	}
	t.refresh(now)
	t.state.Limited, t.state.Rate = true, rate
	t.refresh(now)
	return true
}

// Learn records the report of another node, which has passed on what the target stated. It matters only for what this node has
// not heard from the target itself, after a restart. It reports whether the state has changed.
func (t *Throttle) Learn(now time.Time, origin string, r Report) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Target != t.state.Target {
		return false
	}
	if r.Leaving && t.state.LeavingSince.IsZero() {
		t.state.LeavingSince, t.state.Origin = now.Add(-r.LeavingAge), origin
		changed = true
	}
	heardItself := !t.state.HeardAt.IsZero() && t.state.Origin == ""
	if heardItself || !r.Limited || t.state.Limited && t.state.Rate <= r.Rate {
		return changed
	}
	t.limit(now, r.Rate)
	t.state.HeardAt, t.state.Origin = now.Add(-r.Age), origin
	return true
}

// Limited reports whether a limit applies.
func (t *Throttle) Limited(now time.Time) bool {
	_, limited := t.Rate(now)
	return limited
}

// Rate returns the rate at which requests may start, in requests per second, and false if it is not limited.
func (t *Throttle) Rate(now time.Time) (rate float64, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	return t.bucket.rate, t.limited
}

// Wait returns the time until a request may start that has the given number of others before it.
func (t *Throttle) Wait(now time.Time, ahead int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	return t.wait(now, ahead)
}

// wait returns the result of Wait. t must be refreshed. A warm-up does not delay a start beyond its end.
func (t *Throttle) wait(now time.Time, ahead int) time.Duration {
	if !t.limited {
		return 0
	}
	wait := t.bucket.wait(now, ahead)
	left := t.warmup.left(now)
	switch {
	case left <= 0:
		return wait
	case t.state.Limited:
		left += duration(float64(ahead+1) / max(t.state.Rate, minRate))
	}
	return min(wait, left)
}

// Take counts the start of a request, and reports false if it may not start now.
func (t *Throttle) Take(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	if t.limited && !t.bucket.take(now) {
		return false
	}
	t.startedAt = latest(t.startedAt, now)
	return true
}

// Confirm reports whether a request for which Take returned true at the time of its admission may still start. A request that was
// admitted long ago, or before the limit applied, is counted again.
func (t *Throttle) Confirm(now, admitted time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	longest := maxStartDelay
	if t.cold {
		longest = maxColdStartDelay
	}
	if !t.limited || admitted.After(t.limitedAt) && now.Sub(admitted) <= longest {
		return true
	}
	return t.bucket.take(now)
}

// RetryAfter returns the delay after which a refused caller finds a start that was promised to nobody else. waiting is the number
// of requests in the queue. A caller whose time left is shorter does not return, so that nothing is promised to it.
func (t *Throttle) RetryAfter(now time.Time, waiting int, left time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	if !t.limited {
		return 0
	}
	due := latest(now.Add(t.wait(now, waiting)), t.promisedUntil)
	delay := due.Sub(now)
	if delay >= left {
		return t.spreadDelay(now, delay)
	}
	t.promisedUntil = due.Add(t.promiseInterval(now, delay))
	return delay
}
