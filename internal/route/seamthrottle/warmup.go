package seamthrottle

import (
	"math"
	"time"
)

const (
	// rampTime is the time after a warm-up in which the limit rises until it ends. Without it, all nodes that choose targets
	// would return at the same moment.
	rampTime = 1500 * time.Millisecond
	// rampDoubling is the time in which the limit doubles during the ramp.
	rampDoubling = 250 * time.Millisecond
	// maxWarmupFactor times the warm-up of a service, or maxUnstatedWarmup without one, is the longest time that an
	// announcement or an assumption keeps a target cold.
	maxWarmupFactor   = 10
	maxUnstatedWarmup = time.Minute
	// restartDelay is the time after a suspected restart in which announcements of the same incarnation may have been sent
	// before it. Targets announce themselves more often.
	restartDelay = time.Second
	// unstatedRestartDoubt bounds the suspicion of a restart if the service states no warm-up.
	unstatedRestartDoubt = 10 * time.Second
	// minDoubtInterval is the time for which no restart is suspected after an announcement has refuted one. It doubles with
	// each refutation, up to maxDoubtInterval: some targets often close connections.
	minDoubtInterval = 10 * time.Second
	maxDoubtInterval = 5 * time.Minute
)

// Announcement is what a node knows about the warm-up of its target: the latest announcement, and the settings of its service.
type Announcement struct {
	Target Target
	// ArrivedAt is the time at which it arrived; zero if unknown.
	ArrivedAt time.Time
	// Left is the announced time for which the target stays cold; 0 or less means that it is not.
	Left time.Duration
	// Rate is the number of requests per second that a cold target of the service can handle; 0 means no limit.
	Rate float64
	// Duration is the time for which a target of the service is cold after a start; 0 if unknown.
	Duration time.Duration
}

// warmup is the limit that applies while a target is cold.
type warmup struct {
	rate     float64
	duration time.Duration
	// announced reports whether an announcement has been recorded, and arrivedAt when the latest one arrived.
	announced bool
	arrivedAt time.Time
	// until is the end of the announced warm-up; zero if none was announced.
	until time.Time
	// assumedUntil is the time up to which the target counts as cold whatever was announced before; an announcement that arrives
	// after distrustedUntil ends that.
	assumedUntil, distrustedUntil time.Time
	// doubted reports whether a restart is suspected. doubts counts the suspicions that an announcement has refuted; closed
	// connections raise none before trustedUntil.
	doubted      bool
	doubts       int
	trustedUntil time.Time
}

// announce records an announcement, unless it is known already.
func (w *warmup) announce(now time.Time, a Announcement) {
	w.rate, w.duration = a.Rate, a.Duration
	if w.announced && !a.ArrivedAt.After(w.arrivedAt) {
		return
	}
	w.announced, w.arrivedAt = true, a.ArrivedAt
	from := a.ArrivedAt
	if from.IsZero() {
		from = now
	}
	left := min(a.Left, w.longest())
	switch {
	case left > 0:
		w.until = from.Add(left)
	case w.until.After(from):
		w.until = from
	}
	if from.After(w.distrustedUntil) {
		w.endAssumption(from, left <= 0)
	}
}

// longest returns the longest time for which the target counts as cold without another announcement.
func (w *warmup) longest() time.Duration {
	if w.duration <= 0 {
		return maxUnstatedWarmup
	}
	return maxWarmupFactor * min(w.duration, math.MaxInt64/maxWarmupFactor)
}

func (w *warmup) endAssumption(now time.Time, refuted bool) {
	if w.doubted && refuted && now.Before(w.assumedUntil) {
		w.trustedUntil = now.Add(min(minDoubtInterval<<min(w.doubts, 8), maxDoubtInterval))
		w.doubts++
	}
	w.assumedUntil, w.doubted = time.Time{}, false
}

// assume makes the target count as cold until an announcement arrives after now.
func (w *warmup) assume(now time.Time) {
	w.assumedUntil, w.distrustedUntil, w.doubted = now.Add(w.longest()), latest(w.distrustedUntil, now), false
}

// doubt makes the target count as cold until an announcement shows whether it has started again. ended means that its process has
// ended for certain. Without that, a doubt does not prolong another one, since a target may go on closing connections.
func (w *warmup) doubt(now time.Time, ended bool) {
	if !ended && (now.Before(w.trustedUntil) || w.doubted && now.Before(w.assumedUntil)) {
		return
	}
	longest := w.duration
	if longest <= 0 {
		longest = unstatedRestartDoubt
	}
	w.assumedUntil, w.distrustedUntil, w.doubted = latest(w.assumedUntil, now.Add(longest)), now.Add(restartDelay), true
}

// cold reports whether the target counts as cold.
func (w *warmup) cold(now time.Time) bool {
	return w.rate > 0 && (now.Before(w.until) || now.Before(w.assumedUntil))
}

// limitAt returns the number of requests per second that may start, and false if the warm-up does not limit them.
func (w *warmup) limitAt(now time.Time) (rate float64, limited bool) {
	if w.cold(now) {
		return w.rate, true
	}
	if w.left(now) <= 0 {
		return 0, false
	}
	return w.rate * math.Exp2(float64(now.Sub(w.until))/float64(rampDoubling)), true
}

// left returns the time until the warm-up limits the requests no more.
func (w *warmup) left(now time.Time) time.Duration {
	if !(w.rate > 0) {
		return 0
	}
	end := w.assumedUntil
	if !w.until.IsZero() {
		end = latest(end, w.until.Add(rampTime))
	}
	return max(end.Sub(now), 0)
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
