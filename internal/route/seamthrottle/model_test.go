package seamthrottle_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cardamomseam/internal/route/seamthrottle"
)

var seeds = flag.Int("seeds", 40, "number of seeds that the model of limits plays")

// event is something that happens in the model.
type event struct {
	at     time.Duration
	number int
	run    func(now time.Duration)
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// ingressNode is a node that callers use.
type ingressNode struct {
	name    string
	reports *seamthrottle.Reports
	// told is the time at which it first passed a response with the limit on; negative if it did not.
	told time.Duration
	// frozenUntil is the end of a freeze; what arrives before it is handled then.
	frozenUntil time.Duration
	// epoch counts the restarts: what belongs to an earlier one is lost.
	epoch int
}

// modelArrival is a request that the target got from a node that was told.
type modelArrival struct {
	at, told time.Duration
	limit    float64
}

// model plays nodes, one of which is beside a target that states a limit in some spans of time.
type model struct {
	rand     *rand.Rand
	now      time.Duration
	queue    events
	count    int
	nodes    []*ingressNode
	throttle *seamthrottle.Throttle
	target   seamthrottle.Target
	// epoch counts the restarts of the node beside the target.
	epoch int
	// limit is what the target states now; negative if nothing. statedSince is the time since which it states any.
	limit, highest float64
	statedSince    time.Duration
	// statement numbers the spans of time in which it states one.
	statement int
	arrivals  []modelArrival
	// failure describes a span with too many requests; empty if there is none.
	failure string
	served  int
	// stalledUntil is the time until which no admitted request is sent.
	stalledUntil time.Duration
	// meanService is the mean time until the target responds, and load the requests per second through each node.
	meanService time.Duration
	load        float64
}

func (m *model) time() time.Time { return start.Add(m.now) }

func (m *model) after(d time.Duration, run func(now time.Duration)) {
	m.count++
	heap.Push(&m.queue, event{m.now + d, m.count, run})
}

// within returns a random duration up to d.
func (m *model) within(d time.Duration) time.Duration {
	return time.Duration(m.rand.Int64N(int64(d) + 1))
}

func (m *model) play(until time.Duration) {
	for len(m.queue) > 0 && m.queue[0].at <= until {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.run(e.at)
	}
	m.now = until
}

// call sends requests through a node for as long as the model runs.
func (m *model) call(n *ingressNode) {
	m.after(time.Duration(m.rand.ExpFloat64()/m.load*float64(time.Second)), func(time.Duration) {
		m.call(n)
		if m.now >= n.frozenUntil {
			m.request(n)
		}
	})
}

func (m *model) request(n *ingressNode) {
	report, reported := n.reports.For(m.time(), n.name)
	ingressEpoch := n.epoch
	m.after(m.within(15*time.Millisecond), func(time.Duration) {
		if reported {
			m.throttle.Learn(m.time(), n.name, report)
		}
		if !m.throttle.Take(m.time()) {
			m.reply(n, ingressEpoch, -1)
			return
		}
		m.start(n, ingressEpoch)
	})
}

// start sends an admitted request to the target, at times late.
func (m *model) start(n *ingressNode, ingressEpoch int) {
	admitted, egressEpoch := m.time(), m.epoch
	// Requests wait for a connection while the target accepts none, and are then sent together.
	if m.now >= m.stalledUntil && m.rand.IntN(100) == 0 {
		m.stalledUntil = m.now + m.within(3*time.Second)
	}
	m.after(max(m.stalledUntil-m.now, 0), func(now time.Duration) {
		if egressEpoch != m.epoch || !m.throttle.Confirm(m.time(), admitted) {
			return
		}
		if n.told >= 0 && ingressEpoch == n.epoch && now-n.told >= 500*time.Millisecond && m.limit >= 0 {
			m.arrivals = append(m.arrivals, modelArrival{now, n.told, m.highest})
		}
		m.served++
		service := time.Duration(m.rand.ExpFloat64() * float64(m.meanService))
		m.after(service, func(time.Duration) { m.respond(n, ingressEpoch, egressEpoch, admitted) })
	})
}

// respond sends the response of the target, which is at times lost or late.
func (m *model) respond(n *ingressNode, ingressEpoch, egressEpoch int, admitted time.Time) {
	notice := seamthrottle.Notice{Limited: m.limit >= 0, Rate: max(m.limit, 0)}
	statement := -1
	if notice.Limited {
		statement = m.statement
	}
	if m.rand.IntN(20) == 0 {
		return
	}
	transit := 3 * time.Millisecond
	if m.rand.IntN(10) == 0 {
		transit = 3 * time.Second
	}
	m.after(m.within(transit), func(time.Duration) {
		if egressEpoch != m.epoch {
			return
		}
		m.throttle.Hear(m.time(), seamthrottle.Response{Target: m.target, Sent: admitted, Notice: notice})
		m.reply(n, ingressEpoch, statement)
	})
}

// reply tells the node of the caller what the node beside the target knows, with a response of the given statement, or without one
// if that is negative.
func (m *model) reply(n *ingressNode, ingressEpoch, statement int) {
	report := m.throttle.State().Report(m.time())
	m.after(m.within(15*time.Millisecond), func(now time.Duration) {
		if ingressEpoch != n.epoch || now < n.frozenUntil {
			return
		}
		n.reports.Record(m.time(), n.name, report)
		if statement == m.statement && n.told < 0 {
			n.told = now
		}
	})
}

// disturb restarts and freezes nodes now and then. Both excuse the node.
func (m *model) disturb() {
	m.after(m.within(4*time.Second), func(now time.Duration) {
		m.disturb()
		n := m.nodes[m.rand.IntN(len(m.nodes))]
		switch m.rand.IntN(3) {
		case 0:
			n.epoch++
			n.reports, n.told = new(seamthrottle.Reports), -1
		case 1:
			n.frozenUntil, n.told = now+m.within(3*time.Second), -1
		default:
			m.epoch++
			m.throttle = new(seamthrottle.Throttle)
			m.throttle.Announce(m.time(), seamthrottle.Announcement{Target: m.target})
		}
	})
}

// state lets the target state a limit, change it, and cease to.
func (m *model) state() {
	m.after(m.within(8*time.Second), func(now time.Duration) {
		m.state()
		if m.limit >= 0 && m.rand.IntN(4) == 0 {
			m.check()
			m.limit, m.highest = -1, 0
			return
		}
		if m.limit < 0 {
			m.statedSince, m.arrivals, m.highest = now, nil, 0
			m.statement++
			for _, n := range m.nodes {
				n.told = -1
			}
		}
		m.limit = []float64{0, 0.2, 1, 5, 12.8, 40}[m.rand.IntN(6)]
		m.highest = max(m.highest, m.limit)
	})
}

// check sets failure if the target got more requests in some limitWindow than its highest limit since it began to state one allows.
func (m *model) check() {
	const window, settle = 4 * time.Second, 3 * time.Second
	first := 0
	for i, a := range m.arrivals {
		for a.at-m.arrivals[first].at > window {
			first++
		}
		allowed := 1.5*a.limit*window.Seconds() + 5
		if got := i - first + 1; float64(got) > allowed && a.at >= m.statedSince+settle {
			m.failure = fmt.Sprintf("%v: %d requests in %v at limits of at most %v a second, want at most %v", a.at, got, window, a.limit, allowed)
			return
		}
	}
}

func TestModelOfNodesKeepsToTheLimitsOfATarget(t *testing.T) {
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := &model{rand: rand.New(rand.NewPCG(seed, 29)), throttle: new(seamthrottle.Throttle), target: target, limit: -1}
			m.meanService = 20*time.Millisecond + m.within(600*time.Millisecond)
			m.load = 1 + 20*m.rand.Float64()
			m.throttle.Announce(m.time(), seamthrottle.Announcement{Target: m.target})
			for i := range 2 + m.rand.IntN(6) {
				n := &ingressNode{name: fmt.Sprint("n", i), reports: new(seamthrottle.Reports), told: -1}
				m.nodes = append(m.nodes, n)
				m.call(n)
			}
			m.state()
			if seed%4 != 0 {
				m.disturb()
			}
			m.play(2 * time.Minute)
			m.check()
			if m.failure != "" || m.served == 0 {
				t.Fatalf("%d requests served; %s", m.served, m.failure)
			}
		})
	}
}
