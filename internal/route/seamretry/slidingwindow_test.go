package seamretry_test

import (
	"testing"
	"time"

	"cardamomseam/internal/route/seamretry"
)

var limits = seamretry.Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second, Nodes: 10}

func TestRetriesOfAllNodesStayWithinLimit(t *testing.T) {
	const nodes, perSecond, seconds = 10, 20, 40
	windows := make([]seamretry.SlidingWindow, nodes)
	var retries []time.Time
	now := time.Unix(1000, 0)
	for range seconds * perSecond {
		now = now.Add(time.Second / perSecond)
		for i := range windows {
			windows[i].Deposit(now, limits)
			// Each request is retried once if the budget allows it.
			if windows[i].Withdraw(now, limits) {
				retries = append(retries, now)
			}
		}
	}
	requests := float64(nodes*perSecond) * limits.Window.Seconds()
	first := 0
	for i, last := range retries {
		for last.Sub(retries[first]) > limits.Window {
			first++
		}
		if n := float64(i - first + 1); n > limits.Ratio*requests+limits.Slack {
			t.Fatalf("%.0f retries within %s for %.0f requests", n, limits.Window, requests)
		}
	}
	if len(retries) < nodes*seconds {
		t.Errorf("only %d retries in %d s", len(retries), seconds)
	}
}

func TestIdleNodeHasItsShareOfSlack(t *testing.T) {
	var w seamretry.SlidingWindow
	now, n := time.Unix(1000, 0), 0
	for w.Withdraw(now, limits) {
		n++
	}
	if n < 1 || n > 5 {
		t.Errorf("%d retries without a request, want 1 to 5", n)
	}
	if w.Withdraw(now.Add(limits.Window/2), limits) {
		t.Error("a retry was allowed again within the window")
	}
	if !w.Withdraw(now.Add(2*limits.Window), limits) {
		t.Error("no retry was allowed after the window")
	}
}
