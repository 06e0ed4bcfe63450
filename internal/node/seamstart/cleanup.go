// Package seamstart holds the start-up helpers shared by both kinds of nodes: clean-up functions,
// background tasks and the log.
package seamstart

import (
	"context"
	"sync"
)

// Cleanups runs clean-up functions in reverse order of their addition. The zero value is ready for use.
type Cleanups struct {
	funcs []func()
}

// Add adds a clean-up function.
func (c *Cleanups) Add(f func()) {
	c.funcs = append(c.funcs, f)
}

// Run runs and removes the functions.
func (c *Cleanups) Run() {
	for i := len(c.funcs) - 1; i >= 0; i-- {
		c.funcs[i]()
	}
	c.funcs = nil
}

// Background runs f in a goroutine. The returned function cancels its context and waits until f returns.
func Background(f func(ctx context.Context)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { f(ctx) })
	return func() {
		cancel()
		running.Wait()
	}
}
