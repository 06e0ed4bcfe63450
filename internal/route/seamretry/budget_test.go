package seamretry_test

import (
	"testing"
	"time"

	"cardamomseam/internal/route/seamretry"
)

func TestBudgetBoundsRetriesToRatioOfRequests(t *testing.T) {
	var b seamretry.Budget
	now := time.Unix(1000, 0)
	const requests = 10_000
	retries := 0
	for range requests {
		now = now.Add(time.Millisecond)
		b.Deposit(now)
		for b.Withdraw(now) {
			retries++
		}
	}
	most := requests*seamretry.Ratio + seamretry.MinPerSecond*10 + seamretry.Burst
	if float64(retries) > most || float64(retries) < requests*seamretry.Ratio {
		t.Errorf("%d retries for %d requests, want at least Ratio times the requests and at most %.0f", retries, requests, most)
	}
}

func TestBackoffIsBounded(t *testing.T) {
	for n := range 100 {
		if w := seamretry.Backoff(n); w <= 0 || w > seamretry.MaxBackoff+time.Millisecond {
			t.Errorf("backoff %v before retry %d", w, n)
		}
	}
}
