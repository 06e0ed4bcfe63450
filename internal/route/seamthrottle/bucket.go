package seamthrottle

import (
	"math"
	"time"
)

const (
	// burstPeriod is the time whose share of the limit may start at once after a pause.
	burstPeriod = 250 * time.Millisecond
	// minRate is the rate, in requests per second, at which requests start even if the stated limit is lower. Without a
	// response, it would never be known that the limit has ended.
	minRate = 0.2
)

// bucket is a token bucket. Each request that starts takes one token.
type bucket struct {
	// rate is the number of tokens added per second.
	rate     float64
	tokens   float64
	filledAt time.Time
}

// newBucket returns an empty bucket for a limit.
func newBucket(now time.Time, limit float64) bucket {
	return bucket{rate: limit, filledAt: now}
}

// setLimit applies another limit from now on.
func (b *bucket) setLimit(now time.Time, limit float64) {
	b.fill(now)
	b.rate = limit
	b.fill(now)
}

// fill adds the tokens of the time since the last call.
func (b *bucket) fill(now time.Time) {
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		b.tokens += b.rate * elapsed.Seconds()
		b.filledAt = now
	}
	b.tokens = min(b.tokens, max(b.rate*burstPeriod.Seconds(), 1))
}

// take takes a token, and reports false if there is none.
func (b *bucket) take(now time.Time) bool {
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// wait returns the time until there is a token for a request with the given number of others before it.
func (b *bucket) wait(now time.Time, ahead int) time.Duration {
	b.fill(now)
	missing := float64(ahead) + 1 - b.tokens
	if missing <= 0 {
		return 0
	}
	return duration(missing / b.rate)
}

// maxWait is the longest time that is computed.
const maxWait = time.Hour

// duration converts seconds to a duration, rounded up, of at most maxWait.
func duration(seconds float64) time.Duration {
	return time.Duration(math.Ceil(min(seconds, maxWait.Seconds()) * float64(time.Second)))
}
