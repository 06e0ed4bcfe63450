package seamwait_test

import (
	"context"
	"testing"
	"time"

	"cardamomseam/internal/platform/seamwait"
)

func TestUntilReturnsOnFirstEvent(t *testing.T) {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	woken := make(chan struct{})
	close(woken)
	for name, tt := range map[string]struct {
		ctx    context.Context
		wait   time.Duration
		wake   <-chan struct{}
		active bool
	}{
		"time":    {context.Background(), time.Millisecond, nil, true},
		"wake-up": {context.Background(), time.Hour, woken, true},
		"context": {canceled, time.Hour, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := seamwait.Until(tt.ctx, tt.wait, tt.wake); got != tt.active {
				t.Errorf("context is active: %t, want %t", got, tt.active)
			}
		})
	}
}

func TestEveryStopsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	calls := 0
	seamwait.Every(ctx, time.Millisecond, func(time.Time) {
		if calls++; calls == 3 {
			cancel()
		}
	})
	if calls < 3 {
		t.Errorf("%d calls, want at least 3", calls)
	}
}

func TestForWakeReportsWakeOnly(t *testing.T) {
	wake := make(chan struct{}, 1)
	if seamwait.ForWake(t.Context(), time.Millisecond, wake) {
		t.Error("timeout was reported as a wake-up")
	}
	wake <- struct{}{}
	if !seamwait.ForWake(t.Context(), time.Hour, wake) {
		t.Error("wake-up was not reported")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if seamwait.ForWake(ctx, time.Hour, wake) {
		t.Error("end of the context was reported as a wake-up")
	}
}
