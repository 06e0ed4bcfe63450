package seamadmit

import (
	"slices"
	"time"

	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamthrottle"
)

// Request describes a request that asks for admission.
type Request struct {
	// Class groups requests that take a similar amount of work.
	Class uint32
	// Priority ranks requests; 0 is the highest.
	Priority int
	// Objective is the time by which the response is due under the latency objective; zero means the deadline.
	Objective time.Time
	Deadline  time.Time
	// Pinned means that no other target may run the request.
	Pinned bool
	// Key is the key of a pinned request.
	Key uint32
}

// Verdict is the result of a Request.
type Verdict struct {
	Admitted bool
	// Reason is the reason for a refusal.
	Reason seamoutcome.Reason
	// RetryAfter is the delay after which the caller may retry.
	RetryAfter time.Duration
	// AdmittedAt is the time of the admission, set by a Limiter.
	AdmittedAt time.Time
}

// Decision is the verdict on the request with the given ID.
type Decision struct {
	ID uint64
	Verdict
}

// waiter is a request in the queue.
type waiter struct {
	Request
	id uint64
	// late means that the request can no longer meet its objective.
	late bool
	// startWait is the time until the throttle permits the start, given the requests that run before.
	startWait time.Duration
}

// newWaiter returns a waiter whose objective is no later than its deadline.
func newWaiter(id uint64, r Request) *waiter {
	if r.Objective.IsZero() || r.Objective.After(r.Deadline) {
		r.Objective = r.Deadline
	}
	return &waiter{Request: r, id: id}
}

// Queue decides which requests run. It is a state machine that reads no clock. It is not safe for concurrent use.
type Queue struct {
	throttle *seamthrottle.Throttle
	// throttled reports whether the throttle limited the requests at the last decision.
	throttled    bool
	slots        int
	running      int
	waiting      []*waiter
	serviceTimes serviceTimes
	keyRates     keyRates
}

// NewQueue returns a Queue for a target with the given number of slots, whose requests start as the throttle permits.
func NewQueue(slots int, throttle *seamthrottle.Throttle) *Queue {
	return &Queue{throttle: throttle, slots: slots, serviceTimes: newServiceTimes(), keyRates: newKeyRates()}
}

// Resize changes the number of slots.
func (q *Queue) Resize(now time.Time, slots int) []Decision {
	q.slots = max(slots, 1)
	return q.dispatch(now)
}

// ResetServiceTimes discards the recorded service times.
func (q *Queue) ResetServiceTimes() { q.serviceTimes = newServiceTimes() }

// Observe records the service time of one request.
func (q *Queue) Observe(class uint32, service time.Duration) {
	q.serviceTimes.observe(class, service.Seconds())
}

// Running returns the number of running requests.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of queued requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// ServiceTime returns the mean service time of a request, or 0 if unknown.
func (q *Queue) ServiceTime() time.Duration { return seconds(q.serviceTimes.mean) }

// ClassServiceTime returns the mean service time of the class, or 0 if unknown.
func (q *Queue) ClassServiceTime(class uint32) time.Duration { return q.serviceTimes.ofClass(class) }

// QueueWait estimates how long a request that arrives now would wait in the queue.
func (q *Queue) QueueWait(now time.Time) time.Duration {
	if q.running < q.slots {
		return q.throttle.Wait(now, len(q.waiting))
	}
	return q.waitBehind(now, len(q.waiting))
}

// Submit adds a request. The returned decisions cover this request, unless it has to wait, and any other
// request that is decided now.
func (q *Queue) Submit(now time.Time, id uint64, r Request) []Decision {
	q.throttled = q.throttle.Limited(now)
	w := newWaiter(id, r)
	q.countKey(now, r)
	if d, refused := q.evaluate(now, w); refused {
		return []Decision{d}
	}
	if q.mayRun(now) && q.throttle.Take(now) {
		return []Decision{q.admit(w)}
	}
	q.waiting = append(q.waiting, w)
	return q.dispatch(now)
}

// Forecast reports whether a request would be refused now, and with which verdict, without queueing it.
func (q *Queue) Forecast(now time.Time, r Request) (v Verdict, refused bool) {
	q.throttled = q.throttle.Limited(now)
	d, refused := q.evaluate(now, newWaiter(0, r))
	if refused {
		// It is not submitted.
		q.countKey(now, r)
	}
	return d.Verdict, refused
}

func (q *Queue) countKey(now time.Time, r Request) {
	if r.Pinned {
		q.keyRates.count(now, r.Key)
	}
}

// mayRun reports whether a request that arrives now runs immediately.
func (q *Queue) mayRun(now time.Time) bool {
	return len(q.waiting) == 0 && q.running < q.slots && q.throttle.Wait(now, 0) == 0
}

// evaluate marks a new request as late if it cannot meet its objective. It refuses a request that cannot meet
// its deadline, and a late one that would delay others.
func (q *Queue) evaluate(now time.Time, w *waiter) (d Decision, refused bool) {
	if !q.canMeetDeadline(now, w, 0) {
		return q.refuse(now, w, q.waitBehind(now, len(q.waiting))), true
	}
	if q.mayRun(now) {
		return Decision{}, false
	}
	wait := q.waitBehind(now, q.countAhead(w))
	w.late = !q.canMeetObjective(now, w, wait)
	if w.late && (q.saturated(now, w) || !q.hasRoomForLate(w) || !q.canMeetDeadline(now, w, q.waitBehind(now, len(q.waiting)))) {
		return q.refuse(now, w, wait), true
	}
	return Decision{}, false
}

// Done ends an admitted request and frees its slot.
func (q *Queue) Done(now time.Time) []Decision {
	q.running--
	return q.dispatch(now)
}

// Cancel removes a waiting request whose caller has disconnected or whose context has expired. It reports whether
// the request was waiting.
func (q *Queue) Cancel(id uint64) bool {
	n := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waiter) bool { return w.id == id })
	return len(q.waiting) < n
}

// Tick re-evaluates the waiting requests at the given time.
func (q *Queue) Tick(now time.Time) []Decision { return q.dispatch(now) }

// NextStart returns the time until the throttle permits the start of a waiting request, and false if none waits for that.
func (q *Queue) NextStart(now time.Time) (wait time.Duration, waits bool) {
	if len(q.waiting) == 0 || q.running >= q.slots {
		return 0, false
	}
	return q.throttle.Wait(now, 0), true
}

// NextTransition returns the time at which a waiting request becomes late, or is refused if it is late already.
// It returns false if the request is not waiting.
func (q *Queue) NextTransition(id uint64) (time.Time, bool) {
	for _, w := range q.waiting {
		if w.id != id {
			continue
		}
		if w.late {
			return w.Deadline.Add(time.Millisecond - q.serviceTimes.ofClass(w.Class)/minServiceDivisor), true
		}
		return w.Objective.Add(time.Millisecond - q.typicalServiceTime(w)), true
	}
	return time.Time{}, false
}

func (q *Queue) admit(w *waiter) Decision {
	q.running++
	return Decision{ID: w.id, Verdict: Verdict{Admitted: true}}
}

// refuse refuses a request for which a slot is expected after the given time.
func (q *Queue) refuse(now time.Time, w *waiter, after time.Duration) Decision {
	reason := seamoutcome.Late
	switch {
	case q.keyOverloaded(now, w):
		after = max(after, OverloadedRetryAfter)
	case q.throttle.Wait(now, len(q.waiting)) > 0:
		reason = seamoutcome.Limit
		after = q.throttle.RetryAfter(now, len(q.waiting), w.Deadline.Sub(now))
	}
	return Decision{ID: w.id, Verdict: Verdict{Reason: reason, RetryAfter: max(after, minRetryAfter)}}
}

// keyOverloaded reports whether the requests for the waiter's key alone are far more than the target can serve. Moving other
// keys away does not help then.
func (q *Queue) keyOverloaded(now time.Time, w *waiter) bool {
	if !w.Pinned || q.serviceTimes.mean <= 0 {
		return false
	}
	capacity := float64(q.slots) / q.serviceTimes.mean
	return q.keyRates.perSecond(now, w.Key) >= overloadFactor*capacity
}

// canMeetObjective reports whether a request that starts after wait is expected to meet its objective.
func (q *Queue) canMeetObjective(now time.Time, w *waiter, wait time.Duration) bool {
	return !now.Add(wait + q.typicalServiceTime(w)).After(w.Objective)
}

// typicalServiceTime returns the time within which most requests of the class complete.
func (q *Queue) typicalServiceTime(w *waiter) time.Duration {
	return time.Duration(typicalFactor * float64(q.serviceTimes.ofClass(w.Class)))
}

// canMeetDeadline reports whether a request that starts after wait can complete by its deadline.
func (q *Queue) canMeetDeadline(now time.Time, w *waiter, wait time.Duration) bool {
	return now.Add(wait + q.serviceTimes.ofClass(w.Class)/minServiceDivisor).Before(w.Deadline)
}

// waitBehind estimates the queueing delay of a request with the given number of requests ahead of it.
func (q *Queue) waitBehind(now time.Time, ahead int) time.Duration {
	throttled := q.throttle.Wait(now, ahead)
	if throttled > 0 && q.running < q.slots {
		return throttled
	}
	return max(throttled, seconds(q.serviceTimes.mean*float64(ahead+1)/float64(q.slots)))
}

// concurrency returns the number of requests that run when the target is fully used: as many as its slots, or as start within
// one mean service time.
func (q *Queue) concurrency(now time.Time) int {
	rate, throttled := q.throttle.Rate(now)
	if !throttled {
		return q.slots
	}
	return int(min(max(rate*q.serviceTimes.mean, 1), float64(q.slots)))
}

// saturated reports whether at least as many waiting requests as run concurrently can still meet their objectives. They then
// wait longer than one request takes, and the late request w would only delay them.
func (q *Queue) saturated(now time.Time, w *waiter) bool {
	n := 0
	for _, o := range q.waiting {
		if !o.late && q.runsBefore(o, w) {
			n++
		}
	}
	return n >= q.concurrency(now)
}

// lateSlotDivisor bounds the late requests in the queue: their total service time is at most
// slots/lateSlotDivisor mean service times, or one request.
const lateSlotDivisor = 8

// hasRoomForLate reports whether a late request may wait. A running late request keeps others from meeting
// their objectives, so only a few may wait and the rest are refused immediately. A request that other targets may
// run is accepted, because after a refusal it would be tried at each of them.
func (q *Queue) hasRoomForLate(w *waiter) bool {
	if !w.Pinned {
		return true
	}
	others := 0.0
	for _, o := range q.waiting {
		if q.throttled && q.runsBefore(w, o) {
			// It is refused later if too few requests may start before its deadline.
			continue
		}
		if o.late && o != w {
			others += q.serviceTimes.ofClassOrMean(o.Class)
		}
	}
	return others == 0 || others+q.serviceTimes.ofClassOrMean(w.Class) <= q.serviceTimes.mean*max(1, float64(q.slots)/lateSlotDivisor)
}

// countAhead returns the number of waiters that run before w.
func (q *Queue) countAhead(w *waiter) int {
	n := 0
	for _, o := range q.waiting {
		if q.runsBefore(o, w) {
			n++
		}
	}
	return n
}

// runsBefore reports whether w runs before o. Requests that can meet their objective come first, then those with
// the higher priority, then those with the least time left. If the throttle limits the requests, the priority comes first: few
// meet their objective then.
func (q *Queue) runsBefore(w, o *waiter) bool {
	switch {
	case q.throttled && w.Priority != o.Priority:
		return w.Priority < o.Priority
	case w.late != o.late:
		return !w.late
	case w.Priority != o.Priority:
		return w.Priority < o.Priority
	case w.late:
		return w.Deadline.Before(o.Deadline)
	default:
		return w.Objective.Before(o.Objective)
	}
}

// dispatch refuses waiters that can no longer be served in time and admits others into the free slots.
func (q *Queue) dispatch(now time.Time) []Decision {
	q.throttled = q.throttle.Limited(now)
	decisions := q.refuseUnservable(now)
	for q.running < q.slots && len(q.waiting) > 0 && q.throttle.Take(now) {
		best := 0
		for i, w := range q.waiting {
			if q.runsBefore(w, q.waiting[best]) {
				best = i
			}
		}
		decisions = append(decisions, q.admit(q.waiting[best]))
		q.waiting = slices.Delete(q.waiting, best, best+1)
	}
	return decisions
}

// setStartWaits sets startWait of the waiters.
func (q *Queue) setStartWaits(now time.Time) {
	for _, w := range q.waiting {
		w.startWait = 0
		if q.throttled {
			w.startWait = q.throttle.Wait(now, q.countAhead(w))
		}
	}
}

// refuseUnservable marks waiters that can no longer meet their objective as late. It refuses those that cannot
// meet their deadline, and newly late ones that would delay others.
func (q *Queue) refuseUnservable(now time.Time) []Decision {
	var decisions []Decision
	q.setStartWaits(now)
	remaining := q.waiting[:0]
	for _, w := range q.waiting {
		becameLate := !w.late && !q.canMeetObjective(now, w, 0)
		w.late = w.late || becameLate
		if becameLate && (q.saturated(now, w) || !q.hasRoomForLate(w)) || !q.canMeetDeadline(now, w, w.startWait) {
			decisions = append(decisions, q.refuse(now, w, q.waitBehind(now, len(q.waiting))))
			continue
		}
		remaining = append(remaining, w)
	}
	clear(q.waiting[len(remaining):])
	q.waiting = remaining
	return decisions
}
