// Package seamwait waits for a time, for a wake-up, or for the end of a context.
package seamwait

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for d and reports whether ctx still lasts.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// Jittered waits for a random time between d/2 and 3d/2, so that callers that failed
// together do not return together, and reports whether ctx still lasts.
func Jittered(ctx context.Context, d time.Duration) bool {
	return For(ctx, d/2+rand.N(d))
}

// Until waits for d or until wake is ready, and reports whether ctx still lasts.
func Until(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	ForWake(ctx, d, wake)
	return ctx.Err() == nil
}

// Woken waits for d or until wake is ready, and reports whether it was wake that ended the wait.
func ForWake(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-wake:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// Each calls f with the time after each interval until ctx ends.
func Every(ctx context.Context, interval time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f(now)
		}
	}
}
