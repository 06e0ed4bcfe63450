// Package seamlimit implements a concurrency limiter for the target of a node.
// It runs at most as many requests as the target has slots, with an adaptive limit
// and slow start, and queues a bounded number fairly among callers, each caller's
// in order of deadline.
package seamlimit

import (
	"container/heap"
	"time"
)

// Waiter is one request in the queue.
type Waiter struct {
	Caller   string
	Deadline time.Time
	// Arrived is the time at which the request was queued.
	Arrived time.Time

	// giveUpAt is the time from which the deadline cannot be met.
	giveUpAt time.Time
	verdict  chan Verdict
	index    int
}

// callerQueue holds the waiters of one caller, earliest deadline first.
type callerQueue struct {
	caller  string
	waiters byDeadline
	// tag is the virtual time at which the caller is served next, as in fair queueing.
	tag float64
}

// Queue is a bounded fair queue. It serves callers round-robin, and the waiters of
// each caller earliest deadline first. It is not safe for concurrent use.
type Queue struct {
	callers map[string]*callerQueue
	size    int
	// virtual is the tag of the caller served last.
	virtual float64
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{callers: map[string]*callerQueue{}}
}

// Len returns the number of waiters.
func (q *Queue) Len() int {
	return q.size
}

// Push adds w if the queue holds fewer than capacity waiters, and reports whether
// it was added. If the queue is full, the caller with the most waiters loses the
// one with the latest deadline to a caller with fewer; evicted is that waiter.
func (q *Queue) Push(w *Waiter, capacity int) (evicted *Waiter, ok bool) {
	if q.size >= capacity {
		evicted = q.evict(w.Caller)
		if evicted == nil {
			return nil, false
		}
	}
	c := q.callers[w.Caller]
	if c == nil {
		c = &callerQueue{caller: w.Caller, tag: q.virtual}
		q.callers[w.Caller] = c
	}
	heap.Push(&c.waiters, w)
	q.size++
	return evicted, true
}

// Pop removes and returns the next waiter, or returns nil if the queue is empty.
func (q *Queue) Pop() *Waiter {
	c := q.next()
	if c == nil {
		return nil
	}
	w := c.waiters[0]
	q.virtual = c.tag
	c.tag++
	q.remove(c, w)
	return w
}

// Remove removes w from the queue and reports whether it was queued.
func (q *Queue) Remove(w *Waiter) bool {
	c := q.callers[w.Caller]
	if c == nil || w.index >= len(c.waiters) || c.waiters[w.index] != w {
		return false
	}
	q.remove(c, w)
	return true
}

// Ahead returns the number of waiters that would be served before a new one of the
// caller with the deadline, if no others arrive.
func (q *Queue) Ahead(caller string, deadline time.Time) int {
	own := 0
	if c := q.callers[caller]; c != nil {
		own = c.countBefore(deadline)
	}
	ahead := own
	for _, c := range q.callers {
		if c.caller != caller {
			ahead += min(len(c.waiters), own+1)
		}
	}
	return ahead
}

func (c *callerQueue) countBefore(deadline time.Time) int {
	n := 0
	for _, w := range c.waiters {
		if !w.Deadline.After(deadline) {
			n++
		}
	}
	return n
}

func (q *Queue) next() *callerQueue {
	var first *callerQueue
	for _, c := range q.callers {
		if first == nil || c.tag < first.tag || c.tag == first.tag && c.earlier(first) {
			first = c
		}
	}
	return first
}

func (c *callerQueue) earlier(o *callerQueue) bool {
	return c.waiters[0].Deadline.Before(o.waiters[0].Deadline)
}

// evict removes the waiter with the latest deadline from the longest caller queue, if
// that queue is longer than the caller's own would become.
func (q *Queue) evict(caller string) *Waiter {
	own := 0
	if c := q.callers[caller]; c != nil {
		own = len(c.waiters)
	}
	longest := q.longest()
	if longest == nil || len(longest.waiters) <= own+1 {
		return nil
	}
	w := longest.latest()
	q.remove(longest, w)
	return w
}

func (q *Queue) longest() *callerQueue {
	var found *callerQueue
	for _, c := range q.callers {
		if found == nil || len(c.waiters) > len(found.waiters) {
			found = c
		}
	}
	return found
}

func (c *callerQueue) latest() *Waiter {
	found := c.waiters[0]
	for _, w := range c.waiters {
		if w.Deadline.After(found.Deadline) {
			found = w
		}
	}
	return found
}

func (q *Queue) remove(c *callerQueue, w *Waiter) {
	heap.Remove(&c.waiters, w.index)
	q.size--
	if len(c.waiters) == 0 {
		delete(q.callers, c.caller)
	}
}

// byDeadline is a heap of waiters ordered by deadline.
type byDeadline []*Waiter

func (h byDeadline) Len() int           { return len(h) }
func (h byDeadline) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }

func (h byDeadline) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *byDeadline) Push(x any) {
	w := x.(*Waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *byDeadline) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}
