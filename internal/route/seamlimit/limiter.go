package seamlimit

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamthrottle"
)

const (
	// DefaultSlowStart is the default time in which a cold target reaches all its slots.
	DefaultSlowStart = 10 * time.Second
	// slowStartInitialShare is the share of the slots that a cold target gets immediately.
	slowStartInitialShare = 0.1
	// serviceWeight is the weight of one sample in the mean service time.
	serviceWeight = 0.1
	// minRetryAfter is the shortest delay before a retry that a refused caller is given.
	minRetryAfter = 20 * time.Millisecond
)

// Capacity is the capacity that a target announced.
type Capacity struct {
	// Name identifies the incarnation of the target.
	Name string
	// Slots is the maximum number of requests that the target runs concurrently.
	Slots int
	// Connections is the number of connections that the target accepts; 0 means no limit.
	Connections int
	// Cold means that the target requests a slow start.
	Cold bool
}

// maxConcurrency returns the number of requests that may run concurrently. Each request uses one connection.
func (c Capacity) maxConcurrency() int {
	n := max(c.Slots, 1)
	if c.Connections > 0 {
		n = min(n, c.Connections)
	}
	return n
}

// Request describes a request that asks for admission.
type Request struct {
	Caller   string
	Deadline time.Time
	// MaxQueued is the number of requests that may wait in the queue.
	MaxQueued int
}

// Verdict is the result of a Request.
type Verdict struct {
	Admitted bool
	// Reason is the reason for a refusal.
	Reason seamoutcome.Reason
	// RetryAfter is the delay after which the caller may retry.
	RetryAfter time.Duration
	// Waited is the time that the request spent in the queue.
	Waited time.Duration
	// AdmittedAt is the time of the admission.
	AdmittedAt time.Time
}

// Limiter admits requests to one target. It is safe for concurrent use.
type Limiter struct {
	slowStart time.Duration
	throttle  *seamthrottle.Throttle

	mu       sync.Mutex
	capacity Capacity
	adaptive *AdaptiveLimit
	// slowStartSince is the time at which a cold target was announced; zero without a slow start.
	slowStartSince time.Time
	running        int
	queue          *Queue
	// service is the mean service time of a request, in seconds.
	service float64
	stats   stats
	// nextStart is the timer of the next start that the throttle permits.
	nextStart *time.Timer
}

type stats struct {
	wait    *metrics.Histogram
	service *metrics.Histogram
	shed    *metrics.Counter
}

// New returns a Limiter that admits one request at a time until Resize is called, and only as the throttle permits.
// slowStart is the duration of a slow start; 0 means DefaultSlowStart.
func New(slowStart time.Duration, throttle *seamthrottle.Throttle, set *metrics.Set) *Limiter {
	if slowStart <= 0 {
		slowStart = DefaultSlowStart
	}
	l := &Limiter{
		slowStart: slowStart,
		throttle:  throttle,
		capacity:  Capacity{Slots: 1},
		adaptive:  NewAdaptiveLimit(1),
		queue:     NewQueue(),
		stats: stats{
			wait:    set.NewHistogram("cardamomseam_limit_wait_seconds"),
			service: set.NewHistogram("cardamomseam_limit_service_seconds"),
			shed:    set.NewCounter("cardamomseam_limit_shed_total"),
		},
	}
	l.nextStart = time.AfterFunc(math.MaxInt64, func() { l.Tick(time.Now()) })
	set.NewGauge("cardamomseam_limit_running", func() float64 { return float64(l.Load().Running) })
	set.NewGauge("cardamomseam_limit_queued", func() float64 { return float64(l.Load().Queued) })
	set.NewGauge("cardamomseam_limit_slots", func() float64 { return float64(l.Load().Slots) })
	return l
}

// Load is the current load of a target.
type Load struct {
	// Running and Queued are numbers of requests.
	Running, Queued int
	// Slots is the number of requests that may currently run concurrently.
	Slots int
	// ServiceTime is the mean service time of a request, or 0 if unknown.
	ServiceTime time.Duration
	// QueueWait is the time that a request that arrives now would wait in the queue.
	QueueWait time.Duration
	// MaxRate is the number of requests per second that the target accepts; 0 if it states no limit.
	MaxRate float64
}

// Load returns the current load.
func (l *Limiter) Load() Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.load(time.Now())
}

func (l *Limiter) load(now time.Time) Load {
	slots := l.currentLimit(now)
	load := Load{Running: l.running, Queued: l.queue.Len(), Slots: slots, ServiceTime: seconds(l.service)}
	if l.running >= slots {
		load.QueueWait = seconds(l.service * float64(l.queue.Len()+1) / float64(slots))
	}
	load.QueueWait = max(load.QueueWait, l.throttle.Wait(now, l.queue.Len()))
	return load
}

// Resize applies the capacity that the target announced. A different name means
// a new incarnation of the target: the adaptive limit is reset, and slow start begins if the target is cold.
func (l *Limiter) Resize(now time.Time, c Capacity) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c == l.capacity {
		return
	}
	if c.Name != l.capacity.Name {
		l.adaptive = NewAdaptiveLimit(c.maxConcurrency())
		l.slowStartSince = time.Time{}
		if c.Cold {
			l.slowStartSince = now
		}
	}
	l.capacity = c
	l.adaptive.Resize(c.maxConcurrency())
	l.dispatch(now)
}

// currentLimit returns the number of requests that may run concurrently now.
func (l *Limiter) currentLimit(now time.Time) int {
	n := l.adaptive.Limit()
	if l.slowStartSince.IsZero() {
		return n
	}
	share := SlowStartShare(now.Sub(l.slowStartSince), l.slowStart)
	return min(n, max(int(share*float64(l.capacity.maxConcurrency())), 1))
}

// SlowStartShare returns the share of its slots that a cold target of the given age gets.
func SlowStartShare(age, duration time.Duration) float64 {
	return min(slowStartInitialShare+(1-slowStartInitialShare)*age.Seconds()/duration.Seconds(), 1)
}

// Admit blocks until the request is admitted or refused, or until ctx ends. The caller must call Done for an
// admitted request. A request is refused as soon as it is certain that it cannot be served.
func (l *Limiter) Admit(ctx context.Context, now time.Time, r Request) Verdict {
	w, v := l.admitOrQueue(now, r)
	if w == nil {
		return v
	}
	giveUp := time.NewTimer(time.Until(w.giveUpAt))
	defer giveUp.Stop()
	select {
	case v = <-w.verdict:
	case <-ctx.Done():
		v = l.cancel(w, cancelReason(ctx))
	case <-giveUp.C:
		v = l.cancel(w, seamoutcome.Late)
	}
	if v.Admitted {
		v.Waited = time.Since(w.Arrived)
		l.stats.wait.Update(v.Waited.Seconds())
	}
	return v
}

// admitOrQueue admits or refuses a request immediately, or queues it.
func (l *Limiter) admitOrQueue(now time.Time, r Request) (*Waiter, Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !now.Before(r.Deadline) {
		return nil, Verdict{Reason: seamoutcome.Expired}
	}
	if l.queue.Len() == 0 && l.running < l.currentLimit(now) && l.throttle.Take(now) {
		l.running++
		return nil, Verdict{Admitted: true, AdmittedAt: now}
	}
	ahead := l.queue.Ahead(r.Caller, r.Deadline)
	if !l.canMeetDeadline(now, ahead, r.Deadline) {
		return nil, l.refuse(now, r.Deadline)
	}
	w := &Waiter{
		Caller:   r.Caller,
		Deadline: r.Deadline,
		Arrived:  now,
		giveUpAt: r.Deadline.Add(-l.minServiceTime()),
		verdict:  make(chan Verdict, 1),
	}
	evicted, ok := l.queue.Push(w, r.MaxQueued)
	if !ok {
		return nil, Verdict{Reason: seamoutcome.Full, RetryAfter: l.retryAfter(now)}
	}
	if evicted != nil {
		evicted.verdict <- Verdict{Reason: seamoutcome.Full, RetryAfter: l.retryAfter(now)}
	}
	l.dispatch(now)
	return w, Verdict{}
}

// canMeetDeadline reports whether a request with the given number of requests ahead of it can complete by its
// deadline.
func (l *Limiter) canMeetDeadline(now time.Time, ahead int, deadline time.Time) bool {
	wait := max(seconds(float64(ahead+1)/float64(l.currentLimit(now))*l.service), l.throttle.Wait(now, ahead))
	return now.Add(wait + seconds(l.service)).Before(deadline)
}

// refuse returns the refusal of a request that would miss its deadline.
func (l *Limiter) refuse(now, deadline time.Time) Verdict {
	if l.throttle.Wait(now, l.queue.Len()) > 0 {
		return Verdict{Reason: seamoutcome.Limit, RetryAfter: max(l.throttle.RetryAfter(now, l.queue.Len(), deadline.Sub(now)), minRetryAfter)}
	}
	return Verdict{Reason: seamoutcome.Late, RetryAfter: l.retryAfter(now)}
}

// minServiceTime returns the least time that a request takes once it is admitted.
func (l *Limiter) minServiceTime() time.Duration {
	return seconds(l.service / 2)
}

// retryAfter estimates the time until another request can be admitted.
func (l *Limiter) retryAfter(now time.Time) time.Duration {
	return max(seconds(l.service*float64(l.queue.Len()+1)/float64(l.currentLimit(now))), minRetryAfter)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// cancelReason returns the reason for a wait that ended with its context.
func cancelReason(ctx context.Context) seamoutcome.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return seamoutcome.Expired
	}
	return seamoutcome.Gone
}

// cancel removes a waiter from the queue and returns its verdict with the reason.
func (l *Limiter) cancel(w *Waiter, r seamoutcome.Reason) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.queue.Remove(w) {
		// The verdict was delivered concurrently.
		return <-w.verdict
	}
	now := time.Now()
	if r == seamoutcome.Late {
		return l.refuse(now, w.Deadline)
	}
	return Verdict{Reason: r, RetryAfter: l.retryAfter(now)}
}

// Done ends an admitted request. ran means that it reached the target, or that the
// target was unreachable, so that the sample is meaningful.
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

// Tick decides again about the waiters. It must be called when the throttle has changed.
func (l *Limiter) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dispatch(now)
}

// dispatch admits waiters up to the limit and refuses those that can no longer meet their deadline.
func (l *Limiter) dispatch(now time.Time) {
	for l.running < l.currentLimit(now) {
		if l.queue.Len() == 0 {
			return
		}
		if !l.throttle.Take(now) {
			l.nextStart.Reset(l.throttle.Wait(now, 0))
			return
		}
		w := l.queue.Pop()
		if !now.Add(l.minServiceTime()).Before(w.Deadline) {
			w.verdict <- l.refuse(now, w.Deadline)
			continue
		}
		l.running++
		w.verdict <- Verdict{Admitted: true, AdmittedAt: now}
	}
}
