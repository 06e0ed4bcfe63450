// Package seamstart has what the starts of both kinds of nodes share.
package seamstart

import (
	"context"
	"sync"
)

// Cleanups runs clean-up functions in reverse order. The zero value is ready for use.
type Cleanups struct {
	funcs []func()
}

// Add adds a function, which runs before those that were added earlier.
func (c *Cleanups) Add(f func()) {
	c.funcs = append(c.funcs, f)
}

// Run runs the functions, once.
func (c *Cleanups) Run() {
	for i := len(c.funcs) - 1; i >= 0; i-- {
		c.funcs[i]()
	}
	c.funcs = nil
}

// Background runs f until the returned function is called, which waits for its end.
func Background(f func(ctx context.Context)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { f(ctx) })
	return func() {
		cancel()
		running.Wait()
	}
}
