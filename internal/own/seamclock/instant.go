// Package seamclock holds points in time read from two clocks, so that a
// machine that was suspended, or whose wall clock was set, is recognized.
package seamclock

import "time"

// Instant is one reading of the monotonic and of the wall clock.
type Instant struct {
	// Mono is the monotonic reading since an arbitrary origin in this process.
	Mono time.Duration
	// Wall is the wall reading since the Unix epoch.
	Wall time.Duration
}

// Add returns the instant d later on both clocks.
func (i Instant) Add(d time.Duration) Instant {
	return Instant{Mono: i.Mono + d, Wall: i.Wall + d}
}

// Zero reports whether i was never set.
func (i Instant) Zero() bool {
	return i == Instant{}
}

// Most returns the larger elapsed time of the two clocks between since and now.
// It decides whether a right of this process is over.
func MaxElapsed(now, since Instant) time.Duration {
	return max(now.Mono-since.Mono, now.Wall-since.Wall)
}

// Least returns the smaller elapsed time of the two clocks between since and now.
// It decides whether a right of another process is over.
func MinElapsed(now, since Instant) time.Duration {
	return min(now.Mono-since.Mono, now.Wall-since.Wall)
}

// Later returns the later reading of each clock. It bounds the end of a right of another process.
func Later(x, y Instant) Instant {
	return Instant{Mono: max(x.Mono, y.Mono), Wall: max(x.Wall, y.Wall)}
}

// Earlier returns the earlier reading of each clock. It bounds the end of a right of this process.
func Earlier(x, y Instant) Instant {
	return Instant{Mono: min(x.Mono, y.Mono), Wall: min(x.Wall, y.Wall)}
}

// Past reports whether a right of this process that ends at end is over at now.
func Expired(now, end Instant) bool {
	return MaxElapsed(now, end) >= 0
}

// Clock reads the clocks of the machine.
type Clock struct {
	origin time.Time
}

// NewClock returns a clock whose monotonic origin is the present.
func NewClock() *Clock {
	return &Clock{origin: time.Now()}
}

// Now reads both clocks.
func (c *Clock) Now() Instant {
	t := time.Now()
	return Instant{Mono: t.Sub(c.origin), Wall: time.Duration(t.UnixNano())}
}
