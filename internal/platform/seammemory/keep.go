package seammemory

import (
	"context"
	"runtime/debug"
	"time"
)

// Interval is a time after which what is not used is worth returning: a collection costs a few
// milliseconds of processor time, and the heap of a node at rest is collected more often anyway.
const Interval = 30 * time.Second

// Keep returns unused memory each interval until ctx ends: the free parts of the heap, and pages of
// the program file.
func Keep(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		debug.FreeOSMemory()
		_, _ = ReturnProgram() // a process that cannot keeps them
	}
}
