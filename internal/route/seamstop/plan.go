// Package seamstop decides which requests a node still starts before its planned stop.
package seamstop

import "time"

const (
	// minTimeBeforeStop is the least time that a request must have before the node stops.
	minTimeBeforeStop = 300 * time.Millisecond
	// MinTimeOfNonIdempotent is that time for a request that is not idempotent. Some run for many times the mean.
	MinTimeOfNonIdempotent = 2 * time.Second
	// serviceTimes and serviceTimesOfNonIdempotent are the least numbers of mean service times in these times.
	serviceTimes                = 2
	serviceTimesOfNonIdempotent = 6
	// responseTime is the time before the limit by which a target must have responded, so that its response still reaches the caller.
	responseTime = 200 * time.Millisecond
)

// Plan holds the time of a planned stop of the node. The zero value means that no stop is planned.
type Plan struct {
	// Limit is the time at which the node cancels what is in flight.
	Limit time.Time
}

// Request describes a request that is about to be started.
type Request struct {
	Deadline time.Time
	// MeanServiceTime is the mean duration of such requests; 0 if unknown.
	MeanServiceTime time.Duration
	// Idempotent requests may be repeated if the stop cuts them.
	Idempotent bool
	// Keyed requests run at the owner of their key only.
	Keyed bool
}

// MayStart reports whether the request may be started at the given time. The stop cuts no request whose deadline lies before
// it. Of the others, an idempotent one needs twice the mean service time: if the stop cuts it, another node may run it. One that
// is not idempotent needs several times the mean.
func (p Plan) MayStart(now time.Time, r Request) bool {
	if p.Limit.IsZero() || !r.Deadline.After(p.Limit) {
		return true
	}
	return !now.Add(r.minTime()).After(p.Limit)
}

// minTime returns the least time that the request must have to be started.
func (r Request) minTime() time.Duration {
	if r.Idempotent {
		return max(serviceTimes*r.MeanServiceTime, minTimeBeforeStop)
	}
	return max(serviceTimesOfNonIdempotent*r.MeanServiceTime, MinTimeOfNonIdempotent)
}

// MayRepeat reports whether a request that the stop cuts may run again at another node and has the time for it until its deadline. The
// key of a keyed request keeps its owner during the stop, or gets another one too late.
func (p Plan) MayRepeat(r Request) bool {
	return r.Idempotent && !r.Keyed && !p.Limit.Add(r.minTime()).After(r.Deadline)
}

// TargetDeadline returns the deadline that a target is given for a request that is started after the stop was planned. What is likely
// to end before the limit may take longer: the target then gives up and responds, instead of being cut.
func (p Plan) TargetDeadline(deadline time.Time) time.Time {
	latest := p.Limit.Add(-responseTime)
	if p.Limit.IsZero() || !deadline.After(latest) {
		return deadline
	}
	return latest
}

// RefusalTime returns the latest time at which a request that is not idempotent is started, unless its deadline lies before the
// limit.
func (p Plan) RefusalTime() time.Time { return p.Limit.Add(-MinTimeOfNonIdempotent) }

// IdempotentRefusalTime returns the latest time at which an idempotent request with a short or unknown service time is started,
// unless its deadline lies before the limit.
func (p Plan) IdempotentRefusalTime() time.Time { return p.Limit.Add(-minTimeBeforeStop) }
