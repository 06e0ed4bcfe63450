package seamretry_test

import (
	"testing"
	"time"

	"cardamomseam/internal/route/seamretry"
)

var limits = seamretry.Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second, Nodes: 10}

func TestRepetitionsOfAllNodesStayWithinTheLimit(t *testing.T) {
	const nodes, perSecond, seconds = 10, 20, 40
	windows := make([]seamretry.SlidingWindow, nodes)
	var repeats []time.Time
	now := time.Unix(1000, 0)
	for range seconds * perSecond {
		now = now.Add(time.Second / perSecond)
		for i := range windows {
			windows[i].Deposit(now, limits)
			// Each request would be repeated once.
			if windows[i].Withdraw(now, limits) {
				repeats = append(repeats, now)
			}
		}
	}
	requests := float64(nodes*perSecond) * limits.Window.Seconds()
	first := 0
	for i, last := range repeats {
		for last.Sub(repeats[first]) > limits.Window {
			first++
		}
		if n := float64(i - first + 1); n > limits.Ratio*requests+limits.Slack {
			t.Fatalf("%.0f repetitions within %s for %.0f requests", n, limits.Window, requests)
		}
	}
	if len(repeats) < nodes*seconds {
		t.Errorf("only %d repetitions in %d s", len(repeats), seconds)
	}
}

func TestQuietNodeHasItsShareOfTheSlack(t *testing.T) {
	var w seamretry.SlidingWindow
	now, n := time.Unix(1000, 0), 0
	for w.Withdraw(now, limits) {
		n++
	}
	if n < 1 || n > 5 {
		t.Errorf("%d repetitions without a request, the share is 5", n)
	}
	if w.Withdraw(now.Add(limits.Window/2), limits) {
		t.Error("the share grew again within the window")
	}
	if !w.Withdraw(now.Add(2*limits.Window), limits) {
		t.Error("the share did not come back after the window")
	}
}
