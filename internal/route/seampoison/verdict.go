package seampoison

import (
	"fmt"
	"time"

	"cardamomseam/internal/route/seamoutcome"
)

const (
	// firstTrialDelay is the time from a record on until the first trial.
	firstTrialDelay = time.Second
	// secondTrialDelay is the time from the first trial until the second one.
	secondTrialDelay = 30 * time.Second
	// trialDelayFactor is the ratio between the times before further trials.
	trialDelayFactor = 10
	// maxTrialDelay is the longest time between two trials.
	maxTrialDelay = time.Hour
	// maxRetryAfter is the longest Retry-After delay of a refusal.
	maxRetryAfter = 10 * time.Minute
)

// Verdict is the decision about a request.
type Verdict struct {
	// Refused reports whether the request is quarantined.
	Refused bool
	// TrialDue reports whether the refused request may be sent once if no other node does so, see Table.Trial.
	TrialDue bool
	// Suspected reports whether a further crash quarantines the request, or it is quarantined.
	Suspected bool
	// RetryAfter is the time until the next trial of a refused request.
	RetryAfter time.Duration
	// Crashes is the number of crashed targets that count.
	Crashes int
}

// Refusal returns the end of a refused request with the fingerprint.
func (v Verdict) Refusal(f Fingerprint) seamoutcome.End {
	end := seamoutcome.NewRefused(seamoutcome.Poison, fmt.Sprintf("requests like this one, %s, have crashed %d targets", f, v.Crashes))
	end.RetryAfter = v.RetryAfter
	return end
}

// Check decides about a request.
func (t *Table) Check(now time.Time, k Key) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := Verdict{}
	if e := t.evidence[k]; e != nil {
		v.Crashes = e.counting()
	}
	v.Suspected = v.Crashes >= suspectCrashes
	q := t.records[k]
	switch {
	case q != nil && q.ended:
		return Verdict{}
	case q != nil:
		wait := max(trialDelay(q.Trials)-now.Sub(q.since), 0)
		v.Refused, v.Suspected, v.TrialDue = true, true, wait == 0
		v.RetryAfter = min(max(wait, firstTrialDelay), maxRetryAfter)
		v.Crashes = max(v.Crashes, q.Crashes)
	case v.Crashes >= minCrashes:
		v.Refused, v.RetryAfter = true, firstTrialDelay
	case t.quarantinedElsewhere(k):
		v.Refused, v.Suspected, v.TrialDue, v.RetryAfter = true, true, true, firstTrialDelay
	}
	return v
}

// quarantinedElsewhere reports whether the request is quarantined for another service and not known to run at this one. The caller
// holds mu.
func (t *Table) quarantinedElsewhere(k Key) bool {
	for other, q := range t.records {
		if other.Fingerprint == k.Fingerprint && !q.ended {
			return true
		}
	}
	return false
}

// trialDelay returns the time until the trial after the given number of trials.
func trialDelay(trials int) time.Duration {
	delay := firstTrialDelay
	for i := range trials {
		if i == 0 {
			delay = secondTrialDelay
			continue
		}
		delay = min(delay*trialDelayFactor, maxTrialDelay)
	}
	return delay
}

// Trial returns the record that a node writes before it sends a quarantined request to a target, and the revision that the record in
// the store must have, 0 if there is none. Only one node succeeds in that.
func (t *Table) Trial(k Key) (r Record, expected int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q := t.records[k]; q != nil {
		r = q.Record
	}
	r.Key = k
	r.Trials++
	return r, r.Revision
}
