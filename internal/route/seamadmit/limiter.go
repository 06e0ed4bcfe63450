// Package seamadmit implements admission control for the target of a node. It bounds the running
// requests to the target's slots, runs requests that can still meet their latency objective first,
// and refuses early those that cannot be served in time.
//
// It is built for overload, where a queue ordered by deadline alone would serve every request too late.
package seamadmit

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"cardamomseam/internal/route/seamlimit"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamthrottle"
)

// Limiter wraps a Queue for concurrent use. Requests block in Admit until they are admitted or refused.
type Limiter struct {
	mu       sync.Mutex
	capacity seamlimit.Capacity
	queue    *Queue
	verdicts map[uint64]chan Verdict
	lastID   uint64
	stats    stats
	// nextStart is the timer of the next start that the throttle permits.
	nextStart *time.Timer
}

type stats struct {
	wait    *metrics.Histogram
	service *metrics.Histogram
	refused *metrics.Counter
}

// New returns a Limiter that admits one request at a time until Resize is called, and only as the throttle permits.
func New(throttle *seamthrottle.Throttle, set *metrics.Set) *Limiter {
	l := &Limiter{
		capacity: seamlimit.Capacity{Slots: 1},
		queue:    NewQueue(1, throttle),
		verdicts: map[uint64]chan Verdict{},
		stats: stats{
			wait:    set.NewHistogram("cardamomseam_admit_wait_seconds"),
			service: set.NewHistogram("cardamomseam_admit_service_seconds"),
			refused: set.NewCounter("cardamomseam_admit_refused_total"),
		},
	}
	l.nextStart = time.AfterFunc(math.MaxInt64, func() { l.Tick(time.Now()) })
	set.NewGauge("cardamomseam_admit_running", func() float64 { return float64(l.Load().Running) })
	set.NewGauge("cardamomseam_admit_queued", func() float64 { return float64(l.Load().Queued) })
	return l
}

// Resize applies the capacity that the target announced. A different name means a new incarnation of the
// target, so the recorded service times are reset.
func (l *Limiter) Resize(now time.Time, c seamlimit.Capacity) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c == l.capacity {
		return
	}
	if c.Name != l.capacity.Name {
		l.queue.ResetServiceTimes()
	}
	l.capacity = c
	l.deliver(now, l.queue.Resize(now, slots(c)))
}

// slots returns the number of requests that may run concurrently. Each request uses one connection.
func slots(c seamlimit.Capacity) int {
	if c.Connections > 0 {
		return min(c.Slots, c.Connections)
	}
	return c.Slots
}

// Load returns the current load.
func (l *Limiter) Load() seamlimit.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return seamlimit.Load{
		Running:     l.queue.Running(),
		Queued:      l.queue.Waiting(),
		Slots:       max(slots(l.capacity), 1),
		ServiceTime: l.queue.ServiceTime(),
		QueueWait:   l.queue.QueueWait(time.Now()),
	}
}

// ClassServiceTime returns the mean service time of the class, or 0 if unknown.
func (l *Limiter) ClassServiceTime(class uint32) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.ClassServiceTime(class)
}

// Admit blocks until the request is admitted or refused, or until ctx ends. The caller must call Done for an
// admitted request. A request is refused as soon as it is certain that it cannot be served.
func (l *Limiter) Admit(ctx context.Context, now time.Time, r Request) Verdict {
	id, verdict := l.submit(now, r)
	for {
		timer := time.NewTimer(l.untilTransition(id))
		select {
		case v := <-verdict:
			timer.Stop()
			l.recordVerdict(now, v)
			return v
		case <-ctx.Done():
			timer.Stop()
			return l.cancel(id, verdict, cancelReason(ctx))
		case <-timer.C:
			l.Tick(time.Now())
		}
	}
}

// Forecast reports whether a request would be refused now, and with which verdict, without queueing it.
func (l *Limiter) Forecast(now time.Time, r Request) (v Verdict, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Forecast(now, r)
}

func (l *Limiter) submit(now time.Time, r Request) (uint64, <-chan Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	verdict := make(chan Verdict, 1)
	l.verdicts[l.lastID] = verdict
	l.deliver(now, l.queue.Submit(now, l.lastID, r))
	return l.lastID, verdict
}

// deliver sends verdicts to the waiting requests, and sets the timer of the next start. The caller must hold mu.
func (l *Limiter) deliver(now time.Time, decisions []Decision) {
	for _, d := range decisions {
		d.AdmittedAt = now
		l.verdicts[d.ID] <- d.Verdict
		delete(l.verdicts, d.ID)
	}
	if wait, waits := l.queue.NextStart(now); waits {
		l.nextStart.Reset(wait)
	}
}

// untilTransition returns the time until the state of a waiting request changes without an event.
func (l *Limiter) untilTransition(id uint64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	next, waits := l.queue.NextTransition(id)
	if !waits {
		return time.Minute // the verdict has already been delivered
	}
	return time.Until(next)
}

// Tick decides again about the waiting requests. It must be called when the throttle has changed.
func (l *Limiter) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deliver(now, l.queue.Tick(now))
}

func (l *Limiter) recordVerdict(start time.Time, v Verdict) {
	l.stats.wait.Update(time.Since(start).Seconds())
	if !v.Admitted {
		l.stats.refused.Inc()
	}
}

// cancel removes a request from the queue after its context has ended, and returns its verdict with the reason.
func (l *Limiter) cancel(id uint64, verdict <-chan Verdict, r seamoutcome.Reason) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.queue.Cancel(id) {
		// The verdict was delivered concurrently.
		return <-verdict
	}
	delete(l.verdicts, id)
	return Verdict{Reason: r}
}

// cancelReason returns the reason for a wait that ended with its context.
func cancelReason(ctx context.Context) seamoutcome.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return seamoutcome.Expired
	}
	return seamoutcome.Gone
}

// Done ends an admitted request. serviceTime is the time that the target took for it, or 0 if that time
// is not meaningful.
func (l *Limiter) Done(now time.Time, class uint32, serviceTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if serviceTime > 0 {
		l.stats.service.Update(serviceTime.Seconds())
		l.queue.Observe(class, serviceTime)
	}
	l.deliver(now, l.queue.Done(now))
}
