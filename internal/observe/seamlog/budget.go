package seamlog

import (
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"cardamomseam/internal/observe/seamevent"
)

// Lines a second, and lines at once, of events that come with each request or call. Failures
// have a budget of their own, so that successes never take their place.
const (
	doneRate     = 10
	doneBurst    = 20
	failureRate  = 100
	failureBurst = 200
	callRate     = 20
	callBurst    = 50
)

// newBudgets returns the budgets of the events that are bounded.
func newBudgets() map[string]*rate.Limiter {
	return map[string]*rate.Limiter{
		seamevent.RequestDone:          rate.NewLimiter(doneRate, doneBurst),
		seamevent.RequestRefused:       rate.NewLimiter(failureRate, failureBurst),
		seamevent.RequestUnknown:       rate.NewLimiter(failureRate, failureBurst),
		seamevent.StoreCallFailed:      rate.NewLimiter(callRate, callBurst),
		seamevent.LeadershipCallFailed: rate.NewLimiter(callRate, callBurst),
		seamevent.KeysFailed:           rate.NewLimiter(callRate, callBurst),
		seamevent.RegistrationFailed:   rate.NewLimiter(callRate, callBurst),
	}
}

// allowed reports whether the budget of an event has room for a line. A line without room is counted.
func (l *Log) allowed(now time.Time, name string) bool {
	budget := l.budgets[name]
	if budget == nil || budget.AllowN(now, 1) {
		return true
	}
	l.metrics.GetOrCreateCounter(fmt.Sprintf("cardamomseam_log_skipped_total{name=%q}", name)).Inc()
	return false
}
