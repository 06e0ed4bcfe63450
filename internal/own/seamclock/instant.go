// Package seamclock reads the monotonic and the wall clock together. Leases are checked against both clocks, since the
// monotonic clock may stop while the machine is suspended, and the wall clock may be set.
package seamclock

import "time"

// Instant is a reading of the monotonic and the wall clock.
type Instant struct {
	// Mono is the monotonic time since an arbitrary origin in this process.
	Mono time.Duration
	// Wall is the wall time since the Unix epoch.
	Wall time.Duration
}

// Add returns i with d added to both readings.
func (i Instant) Add(d time.Duration) Instant {
	return Instant{Mono: i.Mono + d, Wall: i.Wall + d}
}

// Zero reports whether i is the zero Instant, which stands for an unset time.
func (i Instant) Zero() bool {
	return i == Instant{}
}

// MaxElapsed returns the larger of the two clocks' elapsed times between since and now.
// It decides whether a lease that this process holds has expired.
func MaxElapsed(now, since Instant) time.Duration {
	return max(now.Mono-since.Mono, now.Wall-since.Wall)
}

// MinElapsed returns the smaller of the two clocks' elapsed times between since and now.
// It decides whether a lease that another process holds has expired.
func MinElapsed(now, since Instant) time.Duration {
	return min(now.Mono-since.Mono, now.Wall-since.Wall)
}

// Later returns the later reading of each clock. It bounds the end of a lease that another process holds.
func Later(x, y Instant) Instant {
	return Instant{Mono: max(x.Mono, y.Mono), Wall: max(x.Wall, y.Wall)}
}

// Earlier returns the earlier reading of each clock. It bounds the end of a lease that this process holds.
func Earlier(x, y Instant) Instant {
	return Instant{Mono: min(x.Mono, y.Mono), Wall: min(x.Wall, y.Wall)}
}

// Expired reports whether a lease that this process holds until end has expired at now.
func Expired(now, end Instant) bool {
	return MaxElapsed(now, end) >= 0
}

// Clock reads the clocks of this machine.
type Clock struct {
	origin time.Time
}

// NewClock returns a clock whose monotonic time starts at zero.
func NewClock() *Clock {
	return &Clock{origin: time.Now()}
}

// Now reads both clocks.
func (c *Clock) Now() Instant {
	t := time.Now()
	return Instant{Mono: t.Sub(c.origin), Wall: time.Duration(t.UnixNano())}
}
