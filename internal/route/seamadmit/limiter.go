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

// Limiter is a queue for concurrent use: requests wait at it for their verdicts.
type Limiter struct {
	mu       sync.Mutex
	capacity seamlimit.Capacity
	queue    *Queue
	verdicts map[uint64]chan Verdict
	counter  uint64
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
		queue:    NewQueue(1),
		verdicts: map[uint64]chan Verdict{},
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
		l.queue.ResetServiceTimes()
	}
	l.capacity = c
	l.deliver(l.queue.Resize(now, slots(c)))
}

// slots returns the number of requests that may run at once. Each takes one connection.
func slots(c seamlimit.Capacity) int {
	if c.Connections > 0 {
		return min(c.Slots, c.Connections)
	}
	return c.Slots
}

// Load returns the present load.
func (l *Limiter) Load() seamlimit.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return seamlimit.Load{
		Running:     l.queue.Running(),
		Queued:      l.queue.Waiting(),
		Slots:       max(slots(l.capacity), 1),
		ServiceTime: l.queue.ServiceTime(),
		QueueWait:   l.queue.QueueWait(),
	}
}

// Work returns the mean time of a request of the class; 0 if it is not known.
func (l *Limiter) ClassServiceTime(class uint32) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.ClassServiceTime(class)
}

// Admit waits until the request may run. An admitted request must be ended with Done.
// A refusal is given as soon as it is certain.
func (l *Limiter) Admit(ctx context.Context, now time.Time, a Request) Verdict {
	id, verdict := l.ask(now, a)
	for {
		look := time.NewTimer(l.untilNext(id))
		select {
		case v := <-verdict:
			look.Stop()
			l.count(now, v)
			return v
		case <-ctx.Done():
			look.Stop()
			return l.leave(id, verdict, ended(ctx))
		case <-look.C:
			l.look(time.Now())
		}
	}
}

// Forecast returns the refusal of a request if it would be refused now, without taking it.
func (l *Limiter) Forecast(now time.Time, a Request) (v Verdict, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Forecast(now, a)
}

func (l *Limiter) ask(now time.Time, a Request) (uint64, <-chan Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counter++
	verdict := make(chan Verdict, 1)
	l.verdicts[l.counter] = verdict
	l.deliver(l.queue.Submit(now, l.counter, a))
	return l.counter, verdict
}

// deliver hands out verdicts. mu is held.
func (l *Limiter) deliver(decisions []Decision) {
	for _, d := range decisions {
		l.verdicts[d.ID] <- d.Verdict
		delete(l.verdicts, d.ID)
	}
}

// untilNext returns the time until the state of a request changes by itself.
func (l *Limiter) untilNext(id uint64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	next, waits := l.queue.NextTransition(id)
	if !waits {
		return time.Minute // its verdict is there already
	}
	return time.Until(next)
}

func (l *Limiter) look(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deliver(l.queue.Tick(now))
}

func (l *Limiter) count(start time.Time, v Verdict) {
	l.stats.wait.Update(time.Since(start).Seconds())
	if !v.Admitted {
		l.stats.refused.Inc()
	}
}

// leave takes a request out of the queue whose caller has left.
func (l *Limiter) leave(id uint64, verdict <-chan Verdict, r seamoutcome.Reason) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.queue.Cancel(id) {
		// The verdict came at the same time.
		return <-verdict
	}
	delete(l.verdicts, id)
	return Verdict{Reason: r}
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
	if service > 0 {
		l.stats.service.Update(service.Seconds())
		l.queue.Observe(class, service)
	}
	l.deliver(l.queue.Done(now))
}
