// Package seamretry bounds the retries of requests: a budget for each service
// and a wait with jitter before each.
package seamretry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// Ratio is the number of retries earned by each request.
	Ratio = 0.2
	// Floor is the number of retries earned each second without requests.
	MinPerSecond = 2.0
	// Burst is the largest number of retries saved up.
	Burst = 50.0
	// First is the bound of the wait before the first retry.
	InitialBackoff = 10 * time.Millisecond
	// Last is the largest bound of the wait before a retry.
	MaxBackoff = 250 * time.Millisecond
)

// Budget counts the retries that a service may still make. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	last   time.Time
}

// Earn adds the share of one request.
func (b *Budget) Deposit(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.tokens+Ratio, Burst)
}

// Spend takes one retry and reports whether there was one.
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
	if b.last.IsZero() {
		b.last = now
		b.tokens = Burst / 2
		return
	}
	if since := now.Sub(b.last); since > 0 {
		b.tokens = min(b.tokens+MinPerSecond*since.Seconds(), Burst)
		b.last = now
	}
}

// Budgets holds the budget of each service.
type Budgets struct {
	mu  sync.RWMutex
	all map[string]*Budget
}

// NewBudgets returns budgets without services.
func NewBudgets() *Budgets {
	return &Budgets{all: map[string]*Budget{}}
}

// Of returns the budget of the service.
func (b *Budgets) For(service string) *Budget {
	b.mu.RLock()
	found := b.all[service]
	b.mu.RUnlock()
	if found != nil {
		return found
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.all[service] == nil {
		b.all[service] = new(Budget)
	}
	return b.all[service]
}

// Wait returns the time before retry n, from 0: a random time below a bound that doubles.
func Backoff(n int) time.Duration {
	bound := InitialBackoff << min(n, 10)
	return rand.N(min(bound, MaxBackoff)) + time.Millisecond
}
