package seamstall_test

import (
	"context"
	"testing"
	"time"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/observe/seamstall"
)

func TestLateCheckIsAStall(t *testing.T) {
	start := time.Unix(100, 0)
	tests := []struct {
		name    string
		elapsed time.Duration
		stalled bool
		delay   time.Duration
	}{
		{"on time", 250 * time.Millisecond, false, 0},
		{"a little late", 450 * time.Millisecond, false, 0},
		{"late", 1250 * time.Millisecond, true, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := seamstall.NewWatcher(start, seamstall.Usage{CPUTime: time.Second, GCCycles: 4})
			s, stalled := w.Check(start.Add(tt.elapsed), seamstall.Usage{CPUTime: 3 * time.Second, GCCycles: 9})
			if stalled != tt.stalled {
				t.Fatalf("stalled: %v", stalled)
			}
			if stalled && (s.Delay != tt.delay || s.Usage.CPUTime != 2*time.Second || s.Usage.GCCycles != 5) {
				t.Errorf("got %+v", s)
			}
		})
	}
}

func TestDelayIsMeasuredFromThePreviousCheck(t *testing.T) {
	start := time.Unix(100, 0)
	w := seamstall.NewWatcher(start, seamstall.Usage{})
	now := start
	for range 10 {
		now = now.Add(300 * time.Millisecond)
		if _, stalled := w.Check(now, seamstall.Usage{}); stalled {
			t.Fatal("checks with small delays were reported as a stall")
		}
	}
}

// TestReadUsage also checks that Watch returns if its context is already cancelled.
func TestReadUsage(t *testing.T) {
	u := seamstall.ReadUsage()
	if u.CPUTime <= 0 {
		t.Errorf("got %+v", u)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	seamstall.Watch(ctx, seamevent.NewStream("n1"))
}
