package seamadmit

import (
	"slices"
	"time"

	"cardamomseam/internal/route/seamoutcome"
)

// Ask is a request for admission.
type Request struct {
	// Class groups requests of alike work.
	Class uint32
	// Priority ranks requests, 0 highest.
	Priority int
	// Objective is the time until which the answer is prompt; zero means the deadline.
	Objective time.Time
	Deadline  time.Time
	// Bound says that no other target may run the request.
	Pinned bool
}

// Verdict is the answer to an Ask.
type Verdict struct {
	Admitted bool
	// Reason says why the request was not admitted.
	Reason seamoutcome.Reason
	// After is the time after which to try again.
	RetryAfter time.Duration
}

// Decision is a verdict on one of the requests that wait.
type Decision struct {
	ID uint64
	Verdict
}

// waiter is a request in the queue.
type waiter struct {
	Request
	id uint64
	// late says that the request can't be answered promptly any more.
	late bool
}

// newWaiter returns a request whose objective ends with its deadline at the latest.
func newWaiter(id uint64, a Request) *waiter {
	if a.Objective.IsZero() || a.Objective.After(a.Deadline) {
		a.Objective = a.Deadline
	}
	return &waiter{Request: a, id: id}
}

// Queue decides which requests run. It is a state machine without clocks, not safe for concurrent use.
type Queue struct {
	slots   int
	running int
	waiting []*waiter
	times   times
}

// NewQueue returns a queue in front of so many slots.
func NewQueue(slots int) *Queue {
	return &Queue{slots: slots, times: newTimes()}
}

// Resize changes the number of slots.
func (q *Queue) Resize(now time.Time, slots int) []Decision {
	q.slots = max(slots, 1)
	return q.dispatch(now)
}

// Forget drops what is known of the times of requests.
func (q *Queue) ResetServiceTimes() { q.times = newTimes() }

// Note takes the time that the target took for a request.
func (q *Queue) Observe(class uint32, service time.Duration) { q.times.note(class, service.Seconds()) }

// Running returns the number of requests that run, and Waiting of those that wait.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Service returns the mean time of a request, 0 if it is not known.
func (q *Queue) ServiceTime() time.Duration { return seconds(q.times.mean) }

// Work returns the mean time of a request of the class, 0 if it is not known.
func (q *Queue) ClassServiceTime(class uint32) time.Duration { return q.times.of(class) }

// Wait estimates the time for which a request that arrives now waits for its turn.
func (q *Queue) QueueWait() time.Duration {
	if q.running < q.slots {
		return 0
	}
	return q.turn(len(q.waiting))
}

// Ask takes a request. The decisions are on it, if it need not wait, and on others.
func (q *Queue) Submit(now time.Time, id uint64, a Request) []Decision {
	w := newWaiter(id, a)
	if d, refused := q.judge(now, w); refused {
		return []Decision{d}
	}
	if q.idle() {
		return []Decision{q.admit(w)}
	}
	q.waiting = append(q.waiting, w)
	return q.dispatch(now)
}

// Forecast returns the refusal of a request if it would be refused now, without taking it.
func (q *Queue) Forecast(now time.Time, a Request) (v Verdict, refused bool) {
	d, refused := q.judge(now, newWaiter(0, a))
	return d.Verdict, refused
}

// idle reports whether a request that arrives runs at once.
func (q *Queue) idle() bool { return len(q.waiting) == 0 && q.running < q.slots }

// judge marks a request that can't be answered promptly, and refuses it if it is not worth waiting.
func (q *Queue) judge(now time.Time, w *waiter) (d Decision, refused bool) {
	if !q.inTime(now, w, 0) {
		return q.refuse(w, q.turn(len(q.waiting))), true
	}
	if q.idle() {
		return Decision{}, false
	}
	wait := q.turn(q.ahead(w))
	w.late = !q.prompt(now, w, wait)
	if w.late && (q.crowded() || !q.lateRoom(w) || !q.inTime(now, w, q.turn(len(q.waiting)))) {
		return q.refuse(w, wait), true
	}
	return Decision{}, false
}

// Done ends a request that was admitted.
func (q *Queue) Done(now time.Time) []Decision {
	q.running--
	return q.dispatch(now)
}

// Leave takes a request out of the queue whose caller has left, and reports whether it waited.
func (q *Queue) Cancel(id uint64) bool {
	n := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waiter) bool { return w.id == id })
	return len(q.waiting) < n
}

// Look takes note that time has passed.
func (q *Queue) Tick(now time.Time) []Decision { return q.dispatch(now) }

// Next returns the time at which the state of a request that waits changes by itself; false if it does not wait.
func (q *Queue) NextTransition(id uint64) (time.Time, bool) {
	for _, w := range q.waiting {
		if w.id != id {
			continue
		}
		if w.late {
			return w.Deadline.Add(time.Millisecond - q.times.of(w.Class)/leastPart), true
		}
		return w.Objective.Add(time.Millisecond - q.usual(w)), true
	}
	return time.Time{}, false
}

func (q *Queue) admit(w *waiter) Decision {
	q.running++
	return Decision{ID: w.id, Verdict: Verdict{Admitted: true}}
}

func (*Queue) refuse(w *waiter, after time.Duration) Decision {
	return Decision{ID: w.id, Verdict: Verdict{Reason: seamoutcome.Late, RetryAfter: max(after, afterFloor)}}
}

// prompt reports whether a request that gets its turn after a wait is answered within its objective.
func (q *Queue) prompt(now time.Time, w *waiter, wait time.Duration) bool {
	return !now.Add(wait + q.usual(w)).After(w.Objective)
}

// usual returns the time within which most requests of the class end.
func (q *Queue) usual(w *waiter) time.Duration {
	return time.Duration(usualFactor * float64(q.times.of(w.Class)))
}

// inTime reports whether a request that gets its turn after a wait may end by its deadline.
func (q *Queue) inTime(now time.Time, w *waiter, wait time.Duration) bool {
	return now.Add(wait + q.times.of(w.Class)/leastPart).Before(w.Deadline)
}

// turn estimates the time until a request with so many before it gets its turn.
func (q *Queue) turn(ahead int) time.Duration {
	return seconds(q.times.mean * float64(ahead+1) / float64(q.slots))
}

// crowded reports whether requests that can be answered promptly wait for longer than one of them takes,
// so that one that is late already would only take their turn.
func (q *Queue) crowded() bool {
	n := 0
	for _, w := range q.waiting {
		if !w.late {
			n++
		}
	}
	return n >= q.slots
}

// lateShare divides the slots: the work of the requests that wait although they are late is at most that
// part of what the slots do in the mean time of a request, or one request.
const lateShare = 8

// lateRoom reports whether a request that can't be answered promptly may wait. While it runs, it keeps others
// from being prompt, so that few such requests wait, and the rest is refused at once. One that other targets
// may run is let in: refused here, it would be offered to each of them.
func (q *Queue) lateRoom(w *waiter) bool {
	if !w.Pinned {
		return true
	}
	others := 0.0
	for _, o := range q.waiting {
		if o.late && o != w {
			others += q.times.work(o.Class)
		}
	}
	return others == 0 || others+q.times.work(w.Class) <= q.times.mean*max(1, float64(q.slots)/lateShare)
}

// ahead returns the number of waiters that get their turn before w.
func (q *Queue) ahead(w *waiter) int {
	n := 0
	for _, o := range q.waiting {
		if o.before(w) {
			n++
		}
	}
	return n
}

// before reports whether w gets its turn before o: requests that can be prompt go first, then by
// priority, then by the time that is left.
func (w *waiter) before(o *waiter) bool {
	switch {
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

// dispatch refuses waiters that have become hopeless, and gives free slots to the others.
func (q *Queue) dispatch(now time.Time) []Decision {
	decisions := q.age(now)
	for q.running < q.slots && len(q.waiting) > 0 {
		best := 0
		for i, w := range q.waiting {
			if w.before(q.waiting[best]) {
				best = i
			}
		}
		decisions = append(decisions, q.admit(q.waiting[best]))
		q.waiting = slices.Delete(q.waiting, best, best+1)
	}
	return decisions
}

// age marks waiters late that can't be prompt any more, and refuses those that can't be served at all.
func (q *Queue) age(now time.Time) []Decision {
	var decisions []Decision
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		turned := !w.late && !q.prompt(now, w, 0)
		w.late = w.late || turned
		if turned && (q.crowded() || !q.lateRoom(w)) || !q.inTime(now, w, 0) {
			decisions = append(decisions, q.refuse(w, q.turn(len(q.waiting))))
			continue
		}
		kept = append(kept, w)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
	return decisions
}
