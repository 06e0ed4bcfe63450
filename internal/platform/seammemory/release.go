package seammemory

import (
	"context"
	"runtime/debug"
	"time"

	"cardamomseam/internal/platform/seamwait"
)

// StartupDelay is the time after which a node has opened its first sessions and joined its cell, so
// that memory used only during the start can be released.
const StartupDelay = 30 * time.Second

// ReleaseOnce waits for the given time and then releases free heap memory and pages of the executable
// file. It does nothing if ctx ends first.
func ReleaseOnce(ctx context.Context, after time.Duration) {
	if !seamwait.For(ctx, after) {
		return
	}
	debug.FreeOSMemory()
	_, _ = ReleaseProgramPages() // on an error the pages stay in memory
}
