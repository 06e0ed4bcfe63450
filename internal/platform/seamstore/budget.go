package seamstore

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"
)

// budget bounds the calls of one node. Part of it is kept for the more urgent priorities.
type budget struct {
	limiter *rate.Limiter
	rate    float64
	burst   int
}

func newBudget(perSecond float64, burst int) *budget {
	return &budget{
		limiter: rate.NewLimiter(rate.Limit(perSecond), burst),
		rate:    perSecond,
		burst:   burst,
	}
}

// reserved returns the number of calls that a priority leaves to the more urgent ones.
func (b *budget) reserved(p Priority) float64 {
	switch p {
	case Takeover:
		return 0
	case Configuration:
		return float64(b.burst) / 3
	default:
		return float64(b.burst) * 2 / 3
	}
}

// take spends one call or returns a *BudgetError.
func (b *budget) take(now time.Time, p Priority, key string) error {
	missing := b.reserved(p) + 1 - b.limiter.TokensAt(now)
	if missing <= 0 && b.limiter.AllowN(now, 1) {
		return nil
	}
	wait := time.Duration(max(missing, 1) / b.rate * float64(time.Second))
	return &BudgetError{Key: key, RetryAfter: wait}
}

// backoff is an exponential delay with full jitter.
type backoff struct {
	first, last time.Duration
}

func (b backoff) delay(attempt int) time.Duration {
	d := b.last
	if attempt < 16 {
		d = min(b.first<<attempt, b.last)
	}
	return d/2 + rand.N(d/2+1)
}
