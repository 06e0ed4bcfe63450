package seamadmit_test

import (
	"testing"
	"time"

	"cardamomseam/internal/route/seamadmit"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamthrottle"
)

// limitedRun is the result of requests to a target that states a limit.
type limitedRun struct {
	// served and refused are the numbers of requests by priority.
	served, refused map[int]int
	// longestHold is the longest time for which a request waited that was then refused.
	longestHold time.Duration
	// mostWaiting is the most requests that waited at a time.
	mostWaiting int
	// reasons counts the refusals by reason.
	reasons map[seamoutcome.Reason]int
}

// running is a request at the target.
type running struct {
	ends time.Time
}

// runLimited sends requests at three times the limit to a queue for the given time. Each fifth has a high priority.
func runLimited(limit float64, length time.Duration) limitedRun {
	const slots, service = 12, 90 * time.Millisecond
	begin := time.Date(2026, 5, 1, 9, 0, 0, 0, time.UTC)
	target := seamthrottle.Target{Name: "t"}
	throttle := new(seamthrottle.Throttle)
	throttle.Announce(begin, seamthrottle.Announcement{Target: target})
	throttle.Hear(begin, seamthrottle.Response{Target: target, Notice: seamthrottle.Notice{Limited: true, Rate: limit}})
	q := seamadmit.NewQueue(slots, throttle)
	q.Observe(1, service)
	r := limitedRun{served: map[int]int{}, refused: map[int]int{}, reasons: map[seamoutcome.Reason]int{}}
	arrived, priority := map[uint64]time.Time{}, map[uint64]int{}
	var atTarget []running
	apply := func(now time.Time, decisions []seamadmit.Decision) {
		for _, d := range decisions {
			if d.Admitted {
				r.served[priority[d.ID]]++
				atTarget = append(atTarget, running{now.Add(service)})
				continue
			}
			r.refused[priority[d.ID]]++
			r.reasons[d.Reason]++
			r.longestHold = max(r.longestHold, now.Sub(arrived[d.ID]))
		}
	}
	id := uint64(0)
	interval := time.Duration(float64(time.Second) / (3 * limit))
	next := begin
	for now := begin; now.Before(begin.Add(length)); now = now.Add(time.Millisecond) {
		for len(atTarget) > 0 && !atTarget[0].ends.After(now) {
			atTarget = atTarget[1:]
			apply(now, q.Done(now))
		}
		for ; !next.After(now); next = next.Add(interval) {
			id++
			arrived[id], priority[id] = now, 2
			if id%5 == 0 {
				priority[id] = 1
			}
			apply(now, q.Submit(now, id, seamadmit.Request{
				Class: 1, Priority: priority[id], Objective: now.Add(300 * time.Millisecond), Deadline: now.Add(800 * time.Millisecond), Pinned: true,
			}))
		}
		apply(now, q.Tick(now))
		r.mostWaiting = max(r.mostWaiting, q.Waiting())
	}
	return r
}

func TestLimitedTargetServesWhatItsLimitAllowsUnderThreeTimesTheLoad(t *testing.T) {
	const length = 10 * time.Second
	for _, limit := range []float64{2, 12.8, 60} {
		r := runLimited(limit, length)
		served := r.served[1] + r.served[2]
		if least := 0.95 * limit * length.Seconds(); float64(served) < least-1 {
			t.Errorf("%d requests served at a limit of %v a second, want %v", served, limit, least)
		}
		if r.refused[1] > r.served[1]/20 {
			t.Errorf("%d of the requests with high priority refused at a limit of %v a second, %d served", r.refused[1], limit, r.served[1])
		}
		if r.reasons[seamoutcome.Limit] == 0 || r.reasons[seamoutcome.Full] > 0 {
			t.Errorf("reasons at a limit of %v a second are %v", limit, r.reasons)
		}
		if r.mostWaiting > int(limit)+1 {
			t.Errorf("%d requests waited at a limit of %v a second", r.mostWaiting, limit)
		}
		t.Logf("limit %v: %+v", limit, r)
	}
}

func TestLimitedTargetWithFreeSlotsDoesNotLookIdle(t *testing.T) {
	now := time.Date(2026, 5, 1, 9, 0, 0, 0, time.UTC)
	target := seamthrottle.Target{Name: "t"}
	throttle := new(seamthrottle.Throttle)
	throttle.Announce(now, seamthrottle.Announcement{Target: target})
	throttle.Hear(now, seamthrottle.Response{Target: target, Notice: seamthrottle.Notice{Limited: true, Rate: 2}})
	q := seamadmit.NewQueue(12, throttle)
	if wait := q.QueueWait(now); wait != 500*time.Millisecond {
		t.Errorf("the wait of the next request is reported as %v, want 500ms", wait)
	}
}
