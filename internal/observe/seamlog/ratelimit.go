package seamlog

import (
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"cardamomseam/internal/observe/seamevent"
)

// Rates, in lines per second, and bursts, in lines, of events that occur once per request or
// call. Each kind of failure has its own limiter, so that successes never use up its lines.
const (
	doneRate     = 10
	doneBurst    = 20
	failureRate  = 100
	failureBurst = 200
	callRate     = 20
	callBurst    = 50
)

// newRateLimiters returns the rate limiters by event name. Other events are not limited.
func newRateLimiters() map[string]*rate.Limiter {
	return map[string]*rate.Limiter{
		seamevent.RequestDone:          rate.NewLimiter(doneRate, doneBurst),
		seamevent.RequestRefused:       rate.NewLimiter(failureRate, failureBurst),
		seamevent.RequestUnknown:       rate.NewLimiter(failureRate, failureBurst),
		seamevent.FeedFailed:           rate.NewLimiter(callRate, callBurst),
		seamevent.FeedUnsent:           rate.NewLimiter(callRate, callBurst),
		seamevent.FeedFetched:          rate.NewLimiter(callRate, callBurst),
		seamevent.FeedFetchFailed:      rate.NewLimiter(callRate, callBurst),
		seamevent.StoreItemRefused:     rate.NewLimiter(callRate, callBurst),
		seamevent.LeadershipCallFailed: rate.NewLimiter(callRate, callBurst),
		seamevent.KeysFailed:           rate.NewLimiter(callRate, callBurst),
		seamevent.RegistrationFailed:   rate.NewLimiter(callRate, callBurst),
		seamevent.TargetNotice:         rate.NewLimiter(callRate, callBurst),
	}
}

// allowLine reports whether the rate limiter of the event permits a line now. Skipped lines
// are counted.
func (l *Log) allowLine(now time.Time, name string) bool {
	limiter := l.rateLimiters[name]
	if limiter == nil || limiter.AllowN(now, 1) {
		return true
	}
	l.metrics.GetOrCreateCounter(fmt.Sprintf("cardamomseam_log_skipped_total{name=%q}", name)).Inc()
	return false
}
