package seamlimit

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"cardamomseam/internal/route/seamoutcome"
)

const (
	// DefaultWarm is the default time in which a cold target reaches all its slots.
	DefaultSlowStart = 10 * time.Second
	// warmStart is the share of the slots that a cold target gets at once.
	warmStart = 0.1
	// serviceWeight is the weight of one sample in the average time of a request.
	serviceWeight = 0.1
	// againFloor is the least time that a refused caller is told to wait.
	againFloor = 20 * time.Millisecond
)

// Capacity is what a target announced.
type Capacity struct {
	// Name identifies the run of the target.
	Name string
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Connections is the number of connections that the target accepts; 0 means no bound.
	Connections int
	// Cold says that the target wants a slow start.
	Cold bool
}

// bound returns the requests that may run at once. Each takes one connection.
func (c Capacity) bound() int {
	n := max(c.Slots, 1)
	if c.Connections > 0 {
		n = min(n, c.Connections)
	}
	return n
}

// Ask is a request for admission.
type Request struct {
	Caller   string
	Deadline time.Time
	// Queue is the number of requests that may wait.
	MaxQueued int
}

// Verdict is the answer to a waiter.
type Verdict struct {
	Admitted bool
	// Reason says why the waiter was not admitted.
	Reason seamoutcome.Reason
	// After is the time after which to retry.
	RetryAfter time.Duration
	// Waited is the time in the queue.
	Waited time.Duration
}

// Limiter admits requests to one target. It is safe for concurrent use.
type Limiter struct {
	warm time.Duration

	mu       sync.Mutex
	capacity Capacity
	adaptive *AdaptiveLimit
	// since is the time at which a cold target was announced; zero for a warm one.
	since   time.Time
	running int
	queue   *Queue
	// service is the average time of a request at the target, in seconds.
	service float64
	stats   stats
}

type stats struct {
	wait    *metrics.Histogram
	service *metrics.Histogram
	shed    *metrics.Counter
}

// New returns a limiter that admits one request at a time until Resize. warm is
// the time of a slow start; 0 means DefaultWarm.
func New(warm time.Duration, set *metrics.Set) *Limiter {
	if warm <= 0 {
		warm = DefaultSlowStart
	}
	l := &Limiter{
		warm:     warm,
		capacity: Capacity{Slots: 1},
		adaptive: NewAdaptiveLimit(1),
		queue:    NewQueue(),
		stats: stats{
			wait:    set.NewHistogram("cardamomseam_limit_wait_seconds"),
			service: set.NewHistogram("cardamomseam_limit_service_seconds"),
			shed:    set.NewCounter("cardamomseam_limit_shed_total"),
		},
	}
	set.NewGauge("cardamomseam_limit_running", func() float64 { return float64(l.Load().Running) })
	set.NewGauge("cardamomseam_limit_queued", func() float64 { return float64(l.Load().Queued) })
	set.NewGauge("cardamomseam_limit_slots", func() float64 { return float64(l.Load().Slots) })
	return l
}

// Load is the present load of a target.
type Load struct {
	// Running and Queued count requests.
	Running, Queued int
	// Slots is the number of requests that are run at once at present.
	Slots int
	// Service is the mean time of a request at the target, or 0 if it is not known.
	ServiceTime time.Duration
	// Wait is the time that a request that arrives now would wait for its turn.
	QueueWait time.Duration
}

// Load returns the present load.
func (l *Limiter) Load() Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.load(time.Now())
}

func (l *Limiter) load(now time.Time) Load {
	slots := l.limit(now)
	load := Load{Running: l.running, Queued: l.queue.Len(), Slots: slots, ServiceTime: seconds(l.service)}
	if l.running >= slots {
		load.QueueWait = seconds(l.service * float64(l.queue.Len()+1) / float64(slots))
	}
	return load
}

// Resize applies an announcement. Another name is another run of the target,
// about which nothing is known.
func (l *Limiter) Resize(now time.Time, c Capacity) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c == l.capacity {
		return
	}
	if c.Name != l.capacity.Name {
		l.adaptive = NewAdaptiveLimit(c.bound())
		l.since = time.Time{}
		if c.Cold {
			l.since = now
		}
	}
	l.capacity = c
	l.adaptive.Resize(c.bound())
	l.dispatch(now)
}

// limit returns the requests that may run at once now.
func (l *Limiter) limit(now time.Time) int {
	n := l.adaptive.Limit()
	if l.since.IsZero() {
		return n
	}
	share := SlowStartShare(now.Sub(l.since), l.warm)
	return min(n, max(int(share*float64(l.capacity.bound())), 1))
}

// WarmShare returns the share of its slots that a cold target gets after a time.
func SlowStartShare(since, warm time.Duration) float64 {
	return min(warmStart+(1-warmStart)*since.Seconds()/warm.Seconds(), 1)
}

// Admit waits until the request may run. An admitted request must be ended with Done.
// A refusal is given as soon as it is certain.
func (l *Limiter) Admit(ctx context.Context, now time.Time, a Request) Verdict {
	w, v := l.enter(now, a)
	if w == nil {
		return v
	}
	giveUp := time.NewTimer(time.Until(w.giveUp))
	defer giveUp.Stop()
	select {
	case v = <-w.verdict:
	case <-ctx.Done():
		v = l.abandon(w, ended(ctx))
	case <-giveUp.C:
		v = l.abandon(w, seamoutcome.Late)
	}
	if v.Admitted {
		v.Waited = time.Since(w.Arrived)
		l.stats.wait.Update(v.Waited.Seconds())
	}
	return v
}

// enter admits or refuses a request at once, or queues it.
func (l *Limiter) enter(now time.Time, a Request) (*Waiter, Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !now.Before(a.Deadline) {
		return nil, Verdict{Reason: seamoutcome.Expired}
	}
	if l.queue.Len() == 0 && l.running < l.limit(now) {
		l.running++
		return nil, Verdict{Admitted: true}
	}
	ahead := l.queue.Ahead(a.Caller, a.Deadline)
	if !l.canMeet(now, ahead, a.Deadline) {
		return nil, Verdict{Reason: seamoutcome.Late, RetryAfter: l.after(now)}
	}
	w := &Waiter{
		Caller:   a.Caller,
		Deadline: a.Deadline,
		Arrived:  now,
		giveUp:   a.Deadline.Add(-l.least()),
		verdict:  make(chan Verdict, 1),
	}
	evicted, ok := l.queue.Push(w, a.MaxQueued)
	if !ok {
		return nil, Verdict{Reason: seamoutcome.Full, RetryAfter: l.after(now)}
	}
	if evicted != nil {
		evicted.verdict <- Verdict{Reason: seamoutcome.Full, RetryAfter: l.after(now)}
	}
	l.dispatch(now)
	return w, Verdict{}
}

// canMeet reports whether a request with so many before it can end by its deadline.
func (l *Limiter) canMeet(now time.Time, ahead int, deadline time.Time) bool {
	rounds := float64(ahead+1)/float64(l.limit(now)) + 1
	return now.Add(seconds(rounds * l.service)).Before(deadline)
}

// least is the time that a request needs at least, once it is admitted.
func (l *Limiter) least() time.Duration {
	return seconds(l.service / 2)
}

// after estimates when a place will be free.
func (l *Limiter) after(now time.Time) time.Duration {
	return max(seconds(l.service*float64(l.queue.Len()+1)/float64(l.limit(now))), againFloor)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// ended returns why a wait ended with its context.
func ended(ctx context.Context) seamoutcome.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return seamoutcome.Expired
	}
	return seamoutcome.Gone
}

// abandon takes a waiter out of the queue for the reason.
func (l *Limiter) abandon(w *Waiter, r seamoutcome.Reason) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.queue.Remove(w) {
		// The verdict came at the same time.
		return <-w.verdict
	}
	return Verdict{Reason: r, RetryAfter: l.after(time.Now())}
}

// Done ends an admitted request. ran says that it reached the target, so that
// its time tells something.
func (l *Limiter) Done(now time.Time, ran bool, s Sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.Running = l.running
	l.running--
	if ran {
		l.observe(now, s)
	}
	l.dispatch(now)
}

func (l *Limiter) observe(now time.Time, s Sample) {
	l.adaptive.Observe(now, s)
	if s.Shed {
		l.stats.shed.Inc()
		return
	}
	l.stats.service.Update(s.Latency.Seconds())
	if l.service == 0 {
		l.service = s.Latency.Seconds()
	}
	l.service += (s.Latency.Seconds() - l.service) * serviceWeight
}

// dispatch admits waiters while there is room, and refuses those that are too late.
func (l *Limiter) dispatch(now time.Time) {
	for l.running < l.limit(now) {
		w := l.queue.Pop()
		if w == nil {
			return
		}
		if !now.Add(l.least()).Before(w.Deadline) {
			w.verdict <- Verdict{Reason: seamoutcome.Late, RetryAfter: l.after(now)}
			continue
		}
		l.running++
		w.verdict <- Verdict{Admitted: true}
	}
}
