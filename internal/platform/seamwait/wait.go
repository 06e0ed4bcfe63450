// Package seamwait waits between the attempts of a repeated call.
package seamwait

import (
	"context"
	"math/rand/v2"
	"time"
)

// Jittered waits for a random time between d/2 and 3d/2, so that callers that failed
// together do not return together. The error is that of ctx if it ended before.
func Jittered(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
