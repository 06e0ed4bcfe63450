// Package seamguard bounds the memory and the connections that the callers of one process take together.
package seamguard

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Limit names a limit in metrics and log lines.
type Limit string

// The limits.
const (
	// Connections is the number of open connections.
	Connections Limit = "connections"
	// Heads, Bodies and Requests are parts of the memory budget.
	Heads    Limit = "heads"
	Bodies   Limit = "bodies"
	Requests Limit = "requests"
	// Evicted counts connections that were closed for new ones. They had waited for a request.
	Evicted Limit = "evicted"
)

const (
	// memoryShare is the ratio of the memory limit of the process to the budget. The rest is for the process itself, for the garbage that
	// is not collected yet and for what other nodes and the target send.
	memoryShare = 4
	// connectionShare is the memory limit of the process for each connection, in bytes.
	connectionShare = 128 << 10
	// minBudget and minConnections are the least limits, with which single requests of legal size are served.
	minBudget      = 8 << 20
	minConnections = 64
	// defaultMemory takes the place of the memory limit of a process that has none.
	defaultMemory = 4 << 30
	// connectionCost is the memory of a connection that waits for a request: its buffers and the stack of its goroutine.
	connectionCost = 20 << 10
	// minWait is the time that a connection has waited for a request before it is closed for a new one.
	minWait = 500 * time.Millisecond
	// reportInterval is the least time between two reports about the same limit.
	reportInterval = 5 * time.Second
)

// Guard bounds memory and connections. It is safe for concurrent use.
type Guard struct {
	// report is called when a limit was reached, with the number of times since the last call; may be nil.
	report func(now time.Time, l Limit, times int)
	set    *metrics.Set

	mu sync.Mutex
	// budget is the memory limit, and used what is reserved of it.
	budget, used   int64
	maxConnections int
	conns          map[*Conn]struct{}
	pending        map[Limit]*pendingReport
}

// pendingReport is what was not reported yet about a limit.
type pendingReport struct {
	times    int
	reported time.Time
}

// New returns the guard of a process with a memory limit in bytes; 0 means that it has none.
func New(memory int64, set *metrics.Set, report func(now time.Time, l Limit, times int)) *Guard {
	if memory <= 0 {
		memory = defaultMemory
	}
	g := &Guard{
		report:         report,
		set:            set,
		budget:         max(memory/memoryShare, minBudget),
		maxConnections: max(int(memory/connectionShare), minConnections),
		conns:          map[*Conn]struct{}{},
		pending:        map[Limit]*pendingReport{},
	}
	set.NewGauge("cardamomseam_guard_budget_bytes", func() float64 { return float64(g.budget) })
	set.NewGauge("cardamomseam_guard_reserved_bytes", func() float64 { return float64(g.Reserved()) })
	set.NewGauge("cardamomseam_guard_connections", func() float64 { return float64(g.Connections()) })
	return g
}

// Reserved returns the memory that is reserved, in bytes.
func (g *Guard) Reserved() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.used
}

// Connections returns the number of open connections.
func (g *Guard) Connections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// Reserve reserves n bytes, and reports false if the budget has fewer left. A nil guard has no limit.
func (g *Guard) Reserve(now time.Time, l Limit, n int64) bool {
	if g == nil {
		return true
	}
	g.mu.Lock()
	ok := g.reserveLocked(n)
	report := g.countLocked(now, l, ok)
	g.mu.Unlock()
	report()
	return ok
}

func (g *Guard) reserveLocked(n int64) bool {
	if n > g.budget-g.used {
		return false
	}
	g.used += n
	return true
}

// Release returns n bytes to the budget.
func (g *Guard) Release(n int64) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.used -= n
}

// countLocked counts a limit that was reached, and returns the report that is due, to be made without the lock.
func (g *Guard) countLocked(now time.Time, l Limit, ok bool) func() {
	if ok {
		return func() {}
	}
	g.set.GetOrCreateCounter(fmt.Sprintf("cardamomseam_guard_reached_total{limit=%q}", string(l))).Inc()
	p := g.pending[l]
	if p == nil {
		p = &pendingReport{}
		g.pending[l] = p
	}
	p.times++
	if g.report == nil || now.Sub(p.reported) < reportInterval {
		return func() {}
	}
	times := p.times
	p.times, p.reported = 0, now
	return func() { g.report(now, l, times) }
}
