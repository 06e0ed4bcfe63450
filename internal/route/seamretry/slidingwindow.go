package seamretry

import (
	"sync"
	"time"
)

const (
	// windowBuckets is the number of buckets of a window.
	windowBuckets = 20
	// safetyFactor is the fraction of the allowed retries that is used, because the calls that a retried
	// request makes count as retries at the called services too.
	safetyFactor = 0.8
)

// Limits bounds the retries of all nodes together.
type Limits struct {
	// Ratio is the number of retries allowed for each request of a service.
	Ratio float64
	// Slack is the number of retries allowed within the window in addition to Ratio.
	Slack float64
	// Window is the time over which requests and retries are counted.
	Window time.Duration
	// Nodes is the number of nodes that share Slack.
	Nodes int
}

// SlidingWindow counts the requests and retries of one service at this node over the last window and keeps
// the retries within the node's share. It is safe for concurrent use.
type SlidingWindow struct {
	mu      sync.Mutex
	buckets [windowBuckets]bucket
}

// bucket counts one interval of a window.
type bucket struct {
	number   int64
	requests int
	retries  int
}

// Deposit counts one request.
func (w *SlidingWindow) Deposit(now time.Time, l Limits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.currentBucket(now, l).requests++
}

// Withdraw counts one retry if the limits allow it, and reports whether they do.
func (w *SlidingWindow) Withdraw(now time.Time, l Limits) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.currentBucket(now, l)
	requests, retries := 0, 0
	for _, b := range w.buckets {
		if current.number-b.number < windowBuckets {
			requests += b.requests
			retries += b.retries
		}
	}
	allowed := safetyFactor * (l.Ratio*float64(requests) + l.Slack/float64(max(l.Nodes, 1)))
	if float64(retries+1) > allowed {
		return false
	}
	current.retries++
	return true
}

// currentBucket returns the bucket of the current interval.
func (w *SlidingWindow) currentBucket(now time.Time, l Limits) *bucket {
	number := now.UnixNano() / int64(max(l.Window/windowBuckets, time.Millisecond))
	b := &w.buckets[number%windowBuckets]
	if b.number != number {
		*b = bucket{number: number}
	}
	return b
}

// WindowBudgets holds the SlidingWindow of each service. It is safe for concurrent use.
type WindowBudgets struct {
	limits func() Limits

	mu  sync.Mutex
	all map[string]*SlidingWindow
}

// NewWindowBudgets returns WindowBudgets that call limits at each use.
func NewWindowBudgets(limits func() Limits) *WindowBudgets {
	return &WindowBudgets{limits: limits, all: map[string]*SlidingWindow{}}
}

// For returns the budget of the service.
func (b *WindowBudgets) For(service string) *WindowBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.all[service]
	if w == nil {
		w = new(SlidingWindow)
		b.all[service] = w
	}
	return &WindowBudget{window: w, limits: b.limits}
}

// WindowBudget is the retry budget of one service at this node.
type WindowBudget struct {
	window *SlidingWindow
	limits func() Limits
}

// Deposit counts one request.
func (b *WindowBudget) Deposit(now time.Time) { b.window.Deposit(now, b.limits()) }

// Withdraw takes one retry from the budget and reports whether one was left.
func (b *WindowBudget) Withdraw(now time.Time) bool { return b.window.Withdraw(now, b.limits()) }
