package seamguard

import (
	"bytes"
	"net/http"
	"time"
)

const (
	// fieldCost is the memory of one field of a head in addition to its bytes, which are kept twice: in the head that was read and in the
	// one that is sent.
	fieldCost = 256
	// byteCost is the memory of one byte of a head.
	byteCost = 2
	// requestCost is the memory of a request that is handled: the stack of its goroutine and the buffers of a short response.
	requestCost = 32 << 10
)

// Conn is the share of one connection in the limits.
type Conn struct {
	guard *Guard
	// evict closes the connection.
	evict func()
	// The fields below are protected by the guard's lock.
	// waiting means that the head of a request is awaited or read, since the time.
	waiting bool
	since   time.Time
	// reserved is the memory of the head and the request, in bytes.
	reserved int64
	ended    bool
}

// Admit returns the share of a new connection, or false if there is no room for it. At the limit it closes the connection that
// has waited longest for a request. evict closes the new one. A nil guard admits all.
func (g *Guard) Admit(now time.Time, evict func()) (*Conn, bool) {
	if g == nil {
		return nil, true
	}
	c := &Conn{guard: g, evict: evict, waiting: true, since: now}
	g.mu.Lock()
	var oldest *Conn
	report := func() {}
	if g.isFullLocked() {
		if oldest = g.longestWaitingLocked(now); oldest != nil {
			oldest.endLocked()
			report = g.countLocked(now, Evicted, false)
		}
	}
	ok := !g.isFullLocked() && g.reserveLocked(connectionCost)
	if ok {
		g.conns[c] = struct{}{}
	}
	rejected := g.countLocked(now, Connections, ok)
	g.mu.Unlock()
	report()
	rejected()
	if oldest != nil {
		oldest.evict()
	}
	return c, ok
}

func (g *Guard) isFullLocked() bool {
	return len(g.conns) >= g.maxConnections || connectionCost > g.budget-g.used
}

// longestWaitingLocked returns the connection to close for a new one, or nil if none has waited for minWait.
func (g *Guard) longestWaitingLocked(now time.Time) *Conn {
	var oldest *Conn
	for c := range g.conns {
		if c.waiting && now.Sub(c.since) >= minWait && (oldest == nil || c.since.Before(oldest.since)) {
			oldest = c
		}
	}
	return oldest
}

// Read counts bytes that were read from the connection, and reports false if they belong to a head for which no memory is left.
func (c *Conn) Read(now time.Time, p []byte) bool {
	if c == nil || len(p) == 0 {
		return true
	}
	cost := int64(byteCost*len(p) + fieldCost*bytes.Count(p, []byte{'\n'}))
	return c.reserve(now, Heads, cost, func() bool { return c.waiting })
}

// reserve reserves memory that is returned with the request, if the condition holds.
func (c *Conn) reserve(now time.Time, l Limit, n int64, condition func() bool) bool {
	g := c.guard
	g.mu.Lock()
	ok := c.ended || !condition() || g.reserveLocked(n)
	if ok && !c.ended && condition() {
		c.reserved += n
	}
	report := g.countLocked(now, l, ok)
	g.mu.Unlock()
	report()
	return ok
}

// Begin begins to handle a request, and reports false if no memory is left for it. What was read of a head beyond it, such as a part
// of the body, no longer counts.
func (c *Conn) Begin(now time.Time, h http.Header) bool {
	if c == nil {
		return true
	}
	c.guard.mu.Lock()
	c.waiting = false
	c.guard.used -= c.reserved
	c.reserved = 0
	c.guard.mu.Unlock()
	return c.reserve(now, Requests, requestCost+headCost(h), func() bool { return true })
}

func headCost(h http.Header) int64 {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += fieldCost + byteCost*(len(name)+len(v))
		}
	}
	return int64(n)
}

// Idle ends a request, after which the next one is awaited.
func (c *Conn) Idle(now time.Time) {
	if c == nil {
		return
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.used -= c.reserved
	c.reserved, c.waiting, c.since = 0, true, now
}

// End returns what the connection has reserved. Later calls have no effect.
func (c *Conn) End() {
	if c == nil {
		return
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.endLocked()
}

func (c *Conn) endLocked() {
	if c.ended {
		return
	}
	c.ended = true
	c.guard.used -= c.reserved
	c.reserved = 0
	if _, ok := c.guard.conns[c]; ok {
		delete(c.guard.conns, c)
		c.guard.used -= connectionCost
	}
}
