package seamretry_test

import (
	"testing"
	"time"

	"cardamomseam/internal/route/seamretry"
)

func TestBudgetBoundsRetriesToAShareOfRequests(t *testing.T) {
	var b seamretry.Budget
	now := time.Unix(1000, 0)
	const requests = 10_000
	retries := 0
	for range requests {
		now = now.Add(time.Millisecond)
		b.Earn(now)
		for b.Spend(now) {
			retries++
		}
	}
	most := requests*seamretry.Ratio + seamretry.Floor*10 + seamretry.Burst
	if float64(retries) > most || float64(retries) < requests*seamretry.Ratio {
		t.Errorf("%d retries of %d requests, at most %.0f", retries, requests, most)
	}
}

func TestWaitIsBounded(t *testing.T) {
	for n := range 100 {
		if w := seamretry.Wait(n); w <= 0 || w > seamretry.Last+time.Millisecond {
			t.Errorf("wait %v before retry %d", w, n)
		}
	}
}
