// Package seamwait waits for a duration, a wake-up signal, or the end of a context.
package seamwait

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for d or until ctx ends, and reports whether ctx is still active.
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

// Jittered waits for a random duration between d/2 and 3d/2 and reports whether ctx is still active. The jitter
// keeps callers that failed at the same time from retrying at the same time.
func Jittered(ctx context.Context, d time.Duration) bool {
	return For(ctx, d/2+rand.N(d))
}

// Until waits for d, for wake, or until ctx ends, and reports whether ctx is still active.
func Until(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	ForWake(ctx, d, wake)
	return ctx.Err() == nil
}

// ForWake waits for d, for wake, or until ctx ends, and reports whether wake ended the wait.
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

// Every calls f with the current time after each interval until ctx ends.
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
