package seamretry

import (
	"sync"
	"time"
)

const (
	// windowParts is the number of parts in which a window is counted.
	windowParts = 20
	// safety is the part of the allowed repetitions that is used: the calls that a repeated request
	// makes are repetitions too, at the services called.
	safety = 0.8
)

// Limits bound the repetitions of all nodes together.
type Limits struct {
	// Ratio is the number of repetitions for each request of a service.
	Ratio float64
	// Slack is the number of repetitions within the window that need no request.
	Slack float64
	// Window is the time over which requests and repetitions are counted.
	Window time.Duration
	// Nodes is the number of nodes that share the slack.
	Nodes int
}

// Window counts the requests and the repetitions of one service at this node over the last
// window, and keeps the repetitions within the node's share. It is safe for concurrent use.
type SlidingWindow struct {
	mu    sync.Mutex
	parts [windowParts]part
}

// part counts a part of a window.
type part struct {
	number   int64
	requests int
	repeats  int
}

// Earn counts one request.
func (w *SlidingWindow) Deposit(now time.Time, l Limits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.at(now, l).requests++
}

// Spend counts one repetition if there is room for it, and reports whether there was.
func (w *SlidingWindow) Withdraw(now time.Time, l Limits) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	present := w.at(now, l)
	requests, repeats := 0, 0
	for _, p := range w.parts {
		if present.number-p.number < windowParts {
			requests += p.requests
			repeats += p.repeats
		}
	}
	allowed := safety * (l.Ratio*float64(requests) + l.Slack/float64(max(l.Nodes, 1)))
	if float64(repeats+1) > allowed {
		return false
	}
	present.repeats++
	return true
}

// at returns the present part.
func (w *SlidingWindow) at(now time.Time, l Limits) *part {
	number := now.UnixNano() / int64(max(l.Window/windowParts, time.Millisecond))
	p := &w.parts[number%windowParts]
	if p.number != number {
		*p = part{number: number}
	}
	return p
}

// Shared holds the windows of all services. It is safe for concurrent use.
type WindowBudgets struct {
	limits func() Limits

	mu  sync.Mutex
	all map[string]*SlidingWindow
}

// NewShared returns windows whose limits are asked for at each use.
func NewWindowBudgets(limits func() Limits) *WindowBudgets {
	return &WindowBudgets{limits: limits, all: map[string]*SlidingWindow{}}
}

// Of returns the budget of a service.
func (s *WindowBudgets) For(service string) *WindowBudget {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.all[service]
	if w == nil {
		w = new(SlidingWindow)
		s.all[service] = w
	}
	return &WindowBudget{window: w, limits: s.limits}
}

// Share is the budget of one service at this node.
type WindowBudget struct {
	window *SlidingWindow
	limits func() Limits
}

// Earn counts one request.
func (s *WindowBudget) Deposit(now time.Time) { s.window.Deposit(now, s.limits()) }

// Spend takes one repetition and reports whether there was one.
func (s *WindowBudget) Withdraw(now time.Time) bool { return s.window.Withdraw(now, s.limits()) }
