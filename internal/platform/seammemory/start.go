package seammemory

import (
	"context"
	"runtime/debug"
	"time"

	"cardamomseam/internal/platform/seamwait"
)

// StartTime is the time after which a node has made its first sessions and joined its cell: what
// the start needed and nothing else does is worth returning then.
const StartupDelay = 30 * time.Second

// ReturnOnce returns unused memory once, after the time: the free parts of the heap, and pages of
// the program file. It ends early with ctx.
func ReleaseOnce(ctx context.Context, after time.Duration) {
	if !seamwait.For(ctx, after) {
		return
	}
	debug.FreeOSMemory()
	_, _ = ReleaseProgramPages() // a process that cannot keeps them
}
