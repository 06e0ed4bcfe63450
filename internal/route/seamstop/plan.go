// Package seamstop decides which requests a node still starts before its planned stop.
package seamstop

import "time"

const (
	// minTimeBeforeStop is the least time that a request must have before the node stops.
	minTimeBeforeStop = 300 * time.Millisecond
	// minTimeOfUnrepeatable is that time for a request that must not be repeated. Some run for many times the mean.
	minTimeOfUnrepeatable = 2 * time.Second
	// meansBeforeStop and meansOfUnrepeatable are the least numbers of mean service times in these times.
	meansBeforeStop     = 2
	meansOfUnrepeatable = 6
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
}

// MayStart reports whether the request may be started at the given time. The stop cuts no request whose deadline lies before
// it. Of the others, one that may be repeated needs the time in which most end, and one that must not be repeated the time
// in which nearly all do.
func (p Plan) MayStart(now time.Time, r Request) bool {
	if p.Limit.IsZero() || !r.Deadline.After(p.Limit) {
		return true
	}
	needed := max(meansOfUnrepeatable*r.MeanServiceTime, minTimeOfUnrepeatable)
	if r.Idempotent {
		needed = max(meansBeforeStop*r.MeanServiceTime, minTimeBeforeStop)
	}
	return !now.Add(needed).After(p.Limit)
}

// RefusalTime returns the time from which requests that must not be repeated are refused, unless they end before the stop.
func (p Plan) RefusalTime() time.Time { return p.Limit.Add(-minTimeOfUnrepeatable) }
