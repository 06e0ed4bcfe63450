// Package seamretry limits retries: a retry budget for each service, and an
// exponential backoff with jitter before each retry.
package seamretry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// Ratio is the number of retries that each request adds to the budget.
	Ratio = 0.2
	// MinPerSecond is the number of retries added each second, even without requests.
	MinPerSecond = 2.0
	// Burst is the largest number of retries in the budget.
	Burst = 50.0
	// InitialBackoff is the upper bound of the random part of the backoff before the first retry.
	InitialBackoff = 10 * time.Millisecond
	// MaxBackoff is the upper bound of the random part of the backoff before any retry.
	MaxBackoff = 250 * time.Millisecond
)

// Budget is a token bucket of retries of the requests to one service. It is safe for concurrent use.
type Budget struct {
	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
}

// Deposit adds Ratio retries to the budget. It is called once for each request.
func (b *Budget) Deposit(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.tokens+Ratio, Burst)
}

// Withdraw takes one retry from the budget and reports whether one was left.
func (b *Budget) Withdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill(now time.Time) {
	if b.lastRefill.IsZero() {
		b.lastRefill = now
		b.tokens = Burst / 2
		return
	}
	if since := now.Sub(b.lastRefill); since > 0 {
		b.tokens = min(b.tokens+MinPerSecond*since.Seconds(), Burst)
		b.lastRefill = now
	}
}

// Budgets holds the Budget of each service. It is safe for concurrent use.
type Budgets struct {
	mu        sync.RWMutex
	byService map[string]*Budget
}

// NewBudgets returns empty Budgets.
func NewBudgets() *Budgets {
	return &Budgets{byService: map[string]*Budget{}}
}

// For returns the Budget of the service and creates it if necessary.
func (b *Budgets) For(service string) *Budget {
	b.mu.RLock()
	found := b.byService[service]
	b.mu.RUnlock()
	if found != nil {
		return found
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byService[service] == nil {
		b.byService[service] = new(Budget)
	}
	return b.byService[service]
}

// Backoff returns the delay before retry n, counted from 0: 1 ms plus a random time below a bound that starts at
// InitialBackoff and doubles with each retry up to MaxBackoff.
func Backoff(n int) time.Duration {
	bound := InitialBackoff << min(n, 10)
	return rand.N(min(bound, MaxBackoff)) + time.Millisecond
}
