package seamretry

import (
	"sync"
	"time"
)

const (
	// windowBuckets is the number of intervals of a window, each of which has its own counts.
	windowBuckets = 20
	// safetyFactor scales down the number of allowed retries, because the calls that a retried request makes
	// to other services count as retries there too.
	safetyFactor = 0.8
)

// Limits bounds the retries of all nodes together.
type Limits struct {
	// Ratio is the number of retries allowed for each request of a service.
	Ratio float64
	// Slack is the number of retries allowed within the window in addition to those allowed by Ratio.
	Slack float64
	// Window is the time over which requests and retries are counted.
	Window time.Duration
	// Nodes is the number of nodes that share Slack.
	Nodes int
}

// SlidingWindow counts the requests and retries of one service at this node over the last window, and limits
// the retries to the node's share. It is safe for concurrent use.
type SlidingWindow struct {
	mu      sync.Mutex
	buckets [windowBuckets]bucket
}

// bucket counts one interval of a window.
type bucket struct {
	// interval is the index of the interval, counted from the Unix epoch.
	interval int64
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
		if current.interval-b.interval < windowBuckets {
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
	interval := now.UnixNano() / int64(max(l.Window/windowBuckets, time.Millisecond))
	b := &w.buckets[interval%windowBuckets]
	if b.interval != interval {
		*b = bucket{interval: interval}
	}
	return b
}

// WindowBudgets holds the SlidingWindow of each service. It is safe for concurrent use.
type WindowBudgets struct {
	limits func() Limits

	mu        sync.Mutex
	byService map[string]*SlidingWindow
}

// NewWindowBudgets returns empty WindowBudgets. They call limits for each request and each retry.
func NewWindowBudgets(limits func() Limits) *WindowBudgets {
	return &WindowBudgets{limits: limits, byService: map[string]*SlidingWindow{}}
}

// For returns the budget of the service.
func (b *WindowBudgets) For(service string) *WindowBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.byService[service]
	if w == nil {
		w = new(SlidingWindow)
		b.byService[service] = w
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
