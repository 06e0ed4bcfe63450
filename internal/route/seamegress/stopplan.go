package seamegress

import "time"

// minTimeBeforeStop is the least time that a request must have before the node stops.
const minTimeBeforeStop = 300 * time.Millisecond

// StopPlan holds the times of a planned stop of the node. The zero value means that no stop is planned.
type StopPlan struct {
	// NoticeEnd is the time until which requests are started that may be cut if they run for far longer than usual.
	NoticeEnd time.Time
	// Limit is the time at which the node cancels what is in flight.
	Limit time.Time
}

// StartingRequest describes a request that is about to be started at the target.
type StartingRequest struct {
	Deadline time.Time
	// MeanServiceTime is the mean duration of such requests; 0 if unknown.
	MeanServiceTime time.Duration
	// OwnerOnly means that no other node may serve the request.
	OwnerOnly bool
	// Idempotent requests may be repeated if the stop cuts them.
	Idempotent bool
}

// MayStart reports whether the request may be started at the given time. The mean service time alone does not protect a
// request that may run at another node or must not be repeated: some requests run for many times the mean.
func (p StopPlan) MayStart(now time.Time, r StartingRequest) bool {
	if p.Limit.IsZero() || !r.Deadline.After(p.Limit) {
		return true
	}
	if now.Add(max(2*r.MeanServiceTime, minTimeBeforeStop)).After(p.Limit) {
		return false
	}
	return !now.After(p.NoticeEnd) || r.OwnerOnly && r.Idempotent
}
