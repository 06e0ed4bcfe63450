package seamegress

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamthrottle"
)

// Causes of a change between cold and warm, as logged and counted. The end of a warm-up by time is logged with the next request or
// announcement.
const (
	warmupAnnounced = "announced"
	warmupAssumed   = "assumed"
	warmupDoubted   = "doubted"
)

// warmupMetrics counts what the warm-ups of targets do to requests.
type warmupMetrics struct {
	begun   map[string]*metrics.Counter
	refused *metrics.Counter
}

func newWarmupMetrics(set *metrics.Set, throttle *seamthrottle.Throttle) warmupMetrics {
	m := warmupMetrics{
		begun:   map[string]*metrics.Counter{},
		refused: set.NewCounter("cardamomseam_target_warmup_refused_total"),
	}
	for _, cause := range []string{warmupAnnounced, warmupAssumed, warmupDoubted} {
		m.begun[cause] = set.NewCounter(`cardamomseam_target_warmups_total{cause="` + cause + `"}`)
	}
	set.NewGauge("cardamomseam_target_warmup_seconds", func() float64 { return throttle.Report(time.Now()).WarmupLeft.Seconds() })
	set.NewGauge("cardamomseam_target_warmup_limit", func() float64 {
		if r := throttle.Report(time.Now()); r.WarmupLeft > 0 {
			return r.WarmupRate
		}
		return seamthrottle.NoLimit
	})
	return m
}

// TargetAnnounced applies an announcement of the target to the requests that wait.
func (e *Egress) TargetAnnounced(now time.Time, a seamtarget.Announcement) { e.syncThrottle(now, a) }

// AssumeCold makes the target count as cold from now until the next announcement that arrives after now says otherwise.
func (e *Egress) AssumeCold(now time.Time) {
	a, ok := e.target.Current()
	if !ok {
		// The first announcement decides.
		return
	}
	e.syncThrottle(now, a)
	if e.throttle.AssumeCold(now) {
		e.warmupChanged(now, a, warmupAssumed)
	}
}

// syncThrottle tells the throttle which target the node has, and whether it is cold.
func (e *Egress) syncThrottle(now time.Time, a seamtarget.Announcement) {
	warmup := seamthrottle.Announcement{Target: throttleTarget(a), ArrivedAt: a.ArrivedAt, Left: a.WarmupLeft}
	if e.cfg.Warmup != nil {
		warmup.Rate, warmup.Duration = e.cfg.Warmup(a.Service)
	}
	replaced, coldChanged := e.throttle.Announce(now, warmup)
	switch {
	case coldChanged || replaced && e.throttle.Cold(now):
		e.warmupChanged(now, a, warmupAnnounced)
	case replaced:
		e.limiter.Tick(now)
	}
}

// doubtTarget makes the target count as cold until an announcement shows whether it has started again at the same address, which
// refused or closed connections suggest. ended means that its process has ended for certain.
func (e *Egress) doubtTarget(now time.Time, a seamtarget.Announcement, ended bool) {
	if e.throttle.DoubtTarget(now, throttleTarget(a), ended) {
		e.warmupChanged(now, a, warmupDoubted)
	}
}

// connectionClosed records that the incarnation of the target closed a connection that it had just served.
func (e *Egress) connectionClosed(incarnation seamthrottle.Target) {
	if a, ok := e.target.Current(); ok && throttleTarget(a) == incarnation && !e.isLeaving(a) {
		e.doubtTarget(time.Now(), a, false)
	}
}

// connectionRefused records that the target's process has ended.
func (e *Egress) connectionRefused(a seamtarget.Announcement) {
	e.doubtTarget(time.Now(), a, true)
	if e.cfg.OnConnectionRefused != nil {
		e.cfg.OnConnectionRefused(a)
	}
}

// warmupChanged logs and counts that the target has become cold or has ceased to be, and applies it to the requests that wait.
func (e *Egress) warmupChanged(now time.Time, a seamtarget.Announcement, cause string) {
	r := e.throttle.Report(now)
	cold := e.throttle.Cold(now)
	if cold {
		e.warmups.begun[cause].Inc()
	}
	e.events.Emit(now, seamevent.TargetWarmup, seamevent.Fields{
		"target": a.Name, "service": a.Service, "started": a.Started, "cold": cold, "cause": cause,
		"rate": r.WarmupRate, "left": r.WarmupLeft.Milliseconds(),
	})
	e.limiter.Tick(now)
}

// countRefusal counts a refusal because the target is cold.
func (e *Egress) countRefusal(now time.Time, end seamoutcome.End) {
	if end.Reason == seamoutcome.Limit && e.throttle.Cold(now) {
		e.warmups.refused.Inc()
	}
}
