// Package seamadmit decides which requests the target beside a node gets, in which order, and
// which are refused at once: never more than the target's slots run, and those that can still be
// answered promptly go first.
//
// It answers a load above what the target can run: a queue ordered by deadlines alone would then
// serve every request too late.
package seamadmit

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"cardamomseam/internal/route/seamlimit"
	"cardamomseam/internal/route/seamoutcome"
)

// Ask is a request for admission.
type Ask struct {
	// Class groups requests of alike work.
	Class uint32
	// Priority ranks requests, 0 highest.
	Priority int
	// Objective is the time until which the answer is prompt; zero means the deadline.
	Objective time.Time
	Deadline  time.Time
}

// Verdict is the answer to an Ask.
type Verdict struct {
	Admitted bool
	// Reason says why the request was not admitted.
	Reason seamoutcome.Reason
	// After is the time after which to try again.
	After time.Duration
}

// waiter is a request in the queue.
type waiter struct {
	Ask
	arrived time.Time
	// late says that the request can't be answered promptly any more.
	late    bool
	verdict chan Verdict
}

// Limiter admits requests to one target. It is safe for concurrent use.
type Limiter struct {
	mu       sync.Mutex
	capacity seamlimit.Capacity
	running  int
	queue    []*waiter
	times    times
	stats    stats
}

type stats struct {
	wait    *metrics.Histogram
	service *metrics.Histogram
	refused *metrics.Counter
}

// New returns a limiter that admits one request at a time until Resize.
func New(set *metrics.Set) *Limiter {
	l := &Limiter{
		capacity: seamlimit.Capacity{Slots: 1},
		times:    times{classes: map[uint32]float64{}},
		stats: stats{
			wait:    set.NewHistogram("cardamomseam_admit_wait_seconds"),
			service: set.NewHistogram("cardamomseam_admit_service_seconds"),
			refused: set.NewCounter("cardamomseam_admit_refused_total"),
		},
	}
	set.NewGauge("cardamomseam_admit_running", func() float64 { return float64(l.Load().Running) })
	set.NewGauge("cardamomseam_admit_queued", func() float64 { return float64(l.Load().Queued) })
	return l
}

// Resize applies what the target announced. Another name is another run of the target.
func (l *Limiter) Resize(now time.Time, c seamlimit.Capacity) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c == l.capacity {
		return
	}
	if c.Name != l.capacity.Name {
		l.times = times{classes: map[uint32]float64{}}
	}
	l.capacity = c
	l.dispatch(now)
}

// slots returns the number of requests that may run at once.
func (l *Limiter) slots() int {
	n := max(l.capacity.Slots, 1)
	if l.capacity.Connections > 0 {
		n = min(n, l.capacity.Connections)
	}
	return n
}

// Load returns the present load.
func (l *Limiter) Load() seamlimit.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	load := seamlimit.Load{
		Running: l.running,
		Queued:  len(l.queue),
		Slots:   l.slots(),
		Service: seconds(l.times.mean),
	}
	if l.running >= l.slots() {
		load.Wait = l.turn(len(l.queue))
	}
	return load
}

// Admit waits until the request may run. An admitted request must be ended with Done.
// A refusal is given as soon as it is certain.
func (l *Limiter) Admit(ctx context.Context, now time.Time, a Ask) Verdict {
	if a.Objective.IsZero() || a.Objective.After(a.Deadline) {
		a.Objective = a.Deadline
	}
	w, v := l.enter(now, a)
	if w == nil {
		return v
	}
	for {
		look := time.NewTimer(time.Until(l.next(w)))
		select {
		case v = <-w.verdict:
			look.Stop()
			l.stats.wait.Update(time.Since(w.arrived).Seconds())
			return v
		case <-ctx.Done():
			look.Stop()
			return l.abandon(w, ended(ctx))
		case <-look.C:
			l.look(time.Now(), w)
		}
	}
}

// enter admits or refuses a request at once, or queues it.
func (l *Limiter) enter(now time.Time, a Ask) (*waiter, Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &waiter{Ask: a, arrived: now, verdict: make(chan Verdict, 1)}
	if !l.inTime(now, w, 0) {
		return nil, l.refuse(seamoutcome.Late, l.turn(len(l.queue)))
	}
	if len(l.queue) == 0 && l.running < l.slots() {
		l.running++
		return nil, Verdict{Admitted: true}
	}
	wait := l.turn(l.ahead(w))
	w.late = !l.prompt(now, w, wait)
	if w.late && (l.crowded() || !l.inTime(now, w, l.turn(len(l.queue)))) {
		return nil, l.refuse(seamoutcome.Late, wait)
	}
	l.queue = append(l.queue, w)
	l.dispatch(now)
	return w, Verdict{}
}

func (l *Limiter) refuse(r seamoutcome.Reason, after time.Duration) Verdict {
	l.stats.refused.Inc()
	return Verdict{Reason: r, After: max(after, afterFloor)}
}

// prompt reports whether a request that gets its turn after a wait is answered within its objective.
func (l *Limiter) prompt(now time.Time, w *waiter, wait time.Duration) bool {
	return !now.Add(wait + l.times.of(w.Class)).After(w.Objective)
}

// inTime reports whether a request that gets its turn after a wait may end by its deadline.
func (l *Limiter) inTime(now time.Time, w *waiter, wait time.Duration) bool {
	return now.Add(wait + l.times.of(w.Class)/leastPart).Before(w.Deadline)
}

// turn estimates the time until a request with so many before it gets its turn.
func (l *Limiter) turn(ahead int) time.Duration {
	return seconds(l.times.mean * float64(ahead+1) / float64(l.slots()))
}

// crowded reports whether requests that can be answered promptly wait for longer than one of them takes,
// so that one that is late already would only take their turn.
func (l *Limiter) crowded() bool {
	n := 0
	for _, w := range l.queue {
		if !w.late {
			n++
		}
	}
	return n >= l.slots()
}

// ahead returns the number of waiters that get their turn before w.
func (l *Limiter) ahead(w *waiter) int {
	n := 0
	for _, o := range l.queue {
		if o != w && o.before(w) {
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

// next returns the time at which the state of a waiter changes by itself.
func (l *Limiter) next(w *waiter) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	service := l.times.of(w.Class)
	if w.late {
		return w.Deadline.Add(-service / leastPart).Add(time.Millisecond)
	}
	return w.Objective.Add(-service).Add(time.Millisecond)
}

// look takes note that time has passed for a waiter.
func (l *Limiter) look(now time.Time, w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dispatch(now)
	for i, o := range l.queue {
		if o == w {
			l.age(now, i)
			return
		}
	}
}

// age marks a waiter late that can't be prompt, and refuses it if it can't be served at all.
func (l *Limiter) age(now time.Time, i int) (removed bool) {
	w := l.queue[i]
	if !w.late && !l.prompt(now, w, 0) {
		w.late = true
		removed = l.crowded()
	}
	if removed || !l.inTime(now, w, 0) {
		l.remove(i)
		w.verdict <- l.refuse(seamoutcome.Late, l.turn(len(l.queue)))
		return true
	}
	return false
}

func (l *Limiter) remove(i int) {
	l.queue = append(l.queue[:i], l.queue[i+1:]...)
}

// dispatch gives free slots to waiters.
func (l *Limiter) dispatch(now time.Time) {
	for l.running < l.slots() {
		for i := 0; i < len(l.queue); {
			if !l.age(now, i) {
				i++
			}
		}
		best := -1
		for i, w := range l.queue {
			if best < 0 || w.before(l.queue[best]) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		w := l.queue[best]
		l.remove(best)
		l.running++
		w.verdict <- Verdict{Admitted: true}
	}
}

// abandon takes a waiter out of the queue whose caller has left.
func (l *Limiter) abandon(w *waiter, r seamoutcome.Reason) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, o := range l.queue {
		if o == w {
			l.remove(i)
			return Verdict{Reason: r}
		}
	}
	// The verdict came at the same time.
	return <-w.verdict
}

// ended returns why a wait ended with its context.
func ended(ctx context.Context) seamoutcome.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return seamoutcome.Expired
	}
	return seamoutcome.Gone
}

// Done ends an admitted request. service is the time that the target took for it, or 0 if that says
// nothing.
func (l *Limiter) Done(now time.Time, class uint32, service time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	if service > 0 {
		l.stats.service.Update(service.Seconds())
		l.times.note(class, service.Seconds())
	}
	l.dispatch(now)
}
