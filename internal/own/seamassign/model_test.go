package seamassign_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamassign"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamholder"
	"cardamomseam/internal/own/seamtable"
)

const (
	// modelStep is the time between two looks at the model.
	modelStep = 10 * time.Millisecond
	// modelSteps is the number of steps of one run.
	modelSteps = 1500
	// modelTargets is the number of targets, each with its node.
	modelTargets = 3
	// slowClock is the part by which the clock of a target runs slow.
	slowClock = 0.02
)

// hold is what a target holds by one grant.
type hold struct {
	seamtable.Span
	fence uint64
	until time.Duration
}

// modelTarget is one target, whose lives follow each other at one address.
type modelTarget struct {
	name  string
	born  int64
	holds []hold
	// seen are the fencing tokens of the present life.
	seen []hold
}

// grant takes a grant that arrived at a time, which may be before now.
func (m *modelTarget) grant(arrived, now time.Duration, r seamtable.Range, d time.Duration) bool {
	for _, s := range m.seen {
		if s.Overlaps(r.Span) && s.fence > r.Fence {
			return false
		}
	}
	until := arrived + d + time.Duration(float64(d)*slowClock)
	m.seen = append(m.seen, hold{Span: r.Span, fence: r.Fence})
	if until > now {
		m.drop(r.Span, r.Fence)
		m.holds = append(m.holds, hold{Span: r.Span, fence: r.Fence, until: until})
	}
	return true
}

// drop removes a span from the holds.
func (m *modelTarget) drop(s seamtable.Span, fence uint64) {
	var kept []hold
	for _, h := range m.holds {
		if !h.Overlaps(s) || h.fence > fence {
			kept = append(kept, h)
			continue
		}
		if h.From < s.From {
			left := h
			left.To = s.From - 1
			kept = append(kept, left)
		}
		if h.To > s.To {
			right := h
			right.From = s.To + 1
			kept = append(kept, right)
		}
	}
	m.holds = kept
}

func (m *modelTarget) has(now time.Duration, key uint32) bool {
	for _, h := range m.holds {
		if h.Contains(key) && h.until > now {
			return true
		}
	}
	return false
}

// modelNode is the node beside a target.
type modelNode struct {
	target *modelTarget
	holder *seamholder.Holder
	// former are earlier lives that this run of the node has served.
	former []*seamholder.Holder
	// started is the time at which the node's run began; it is away until then.
	started time.Duration
	beatAt  time.Duration
	// confirmed is the epoch that the store named when this run of the node read it.
	confirmed uint64
	// cut is the time until which the node reaches no assigner, but its target.
	cut time.Duration
}

// event is something that happens later.
type event struct {
	at time.Duration
	do func()
}

// model is a service with its targets, nodes, assigners and the store.
type model struct {
	t      *rapid.T
	random *rand.Rand
	now    time.Duration
	events []event
	nodes  []*modelNode
	// assigners holds all that still act; the last one has the office.
	assigners []*modelAssigner
	stored    seamtable.Table
	revision  int64
	epoch     uint64
	// resigned is the last assigner that resigned.
	resigned seamtable.Assigner
	// promised is the end of what a run promised before it resigned, by its name.
	promised map[string]seamclock.Instant
	// away is the time until which the store answers nobody.
	away time.Duration
	log  []string
}

// modelAssigner is one run of an assigner.
type modelAssigner struct {
	*seamassign.Assigner
	began time.Duration
	id    seamtable.Assigner
}

func (m *model) clock() seamclock.Instant { return seamclock.Instant{Mono: m.now, Wall: m.now} }

func (m *model) later(d time.Duration, do func()) {
	m.events = append(m.events, event{m.now + d, do})
}

func (m *model) note(format string, args ...any) {
	m.log = append(m.log, fmt.Sprintf("%8s ", m.now)+fmt.Sprintf(format, args...))
}

// chance draws whether something happens that does so once in n times.
func (m *model) chance(n int) bool {
	return m.random.IntN(n) == 0
}

// delay draws a time of at most so many milliseconds.
func (m *model) delay(most int) time.Duration {
	return time.Duration(1+m.random.IntN(most)) * time.Millisecond
}

// elect begins an epoch, if the store is there. The assigners before it act on for a while. Some are runs that
// resigned before.
func (m *model) elect() {
	if m.now < m.away {
		m.later(m.away-m.now, m.elect)
		return
	}
	m.epoch += 1 << 16
	id := seamtable.Assigner{Name: fmt.Sprint("a", m.epoch), Incarnation: m.epoch}
	if m.resigned.Name != "" && m.chance(3) {
		id = m.resigned
		m.resigned = seamtable.Assigner{} // a run has the office once at a time
	}
	id.Epoch = m.epoch
	a := &modelAssigner{seamassign.New(seamassign.DefaultConfig(), m.clock(), id, m.promised[id.Name], m.stored.Clone(), m.revision), m.now, id}
	m.assigners = append(m.assigners, a)
	m.note("epoch %d begins", m.epoch)
}

func (m *model) step() {
	m.now += modelStep
	m.runEvents()
	m.faults()
	for _, a := range m.assigners {
		m.assign(a)
	}
	for _, n := range m.nodes {
		if m.now >= n.started {
			m.serve(n)
		}
	}
	m.check()
}

func (m *model) runEvents() {
	var due, rest []event
	for _, e := range m.events {
		if e.at <= m.now {
			due = append(due, e)
		} else {
			rest = append(rest, e)
		}
	}
	m.events = rest
	for _, e := range due {
		e.do()
	}
}

// faults draws what goes wrong in this step.
func (m *model) faults() {
	if m.chance(900) {
		m.away = m.now + m.delay(9000)
		m.note("the store is away until %s", m.away)
	}
	if n := len(m.assigners); n > 0 && m.now >= m.away {
		m.assigners[n-1].ConfirmLeadership(m.clock())
	}
	if m.chance(500) {
		m.elect()
	}
	if m.chance(600) {
		m.resign()
	}
	alone := seamassign.DefaultConfig().MaxStoreOutage
	if len(m.assigners) > 1 && m.now-m.assigners[1].began > alone {
		m.assigners = m.assigners[1:]
	}
	for _, n := range m.nodes {
		if m.chance(700) {
			m.restartNode(n)
		}
		if m.chance(700) {
			n.cut = m.now + m.delay(8000)
			m.note("node of %s is cut off until %s", n.target.name, n.cut)
		}
		if m.chance(700) {
			m.restartTarget(n)
		}
	}
}

func (m *model) restartNode(n *modelNode) {
	n.started = m.now + m.delay(2500)
	n.former, n.confirmed = nil, 0
	started := seamclock.Instant{Mono: n.started, Wall: n.started}
	life := m.life(n)
	if m.chance(3) {
		// The node hears the former life first.
		life.Born--
		n.holder = seamholder.New(seamholder.DefaultConfig(), life, started)
		m.note("node of %s restarts and hears of life %d", n.target.name, life.Born)
		m.later(n.started-m.now+m.delay(900), func() { m.announce(n) })
		return
	}
	n.holder = seamholder.New(seamholder.DefaultConfig(), life, started)
	m.note("node of %s restarts", n.target.name)
}

func (m *model) restartTarget(n *modelNode) {
	n.target.born += 2
	n.target.holds, n.target.seen = nil, nil
	m.note("target %s begins life %d", n.target.name, n.target.born)
	m.later(m.delay(900), func() { m.announce(n) })
}

func (m *model) life(n *modelNode) seamtable.Holder {
	return seamtable.Holder{Target: n.target.name, Born: n.target.born, Address: n.target.name}
}

// announce tells the node of the present life of its target.
func (m *model) announce(n *modelNode) {
	if n.holder.Target() == m.life(n) {
		return
	}
	n.holder.Retire()
	n.former = append(n.former, n.holder)
	started := seamclock.Instant{Mono: n.started, Wall: n.started}
	n.holder = seamholder.New(seamholder.DefaultConfig(), m.life(n), started)
	m.note("node of %s hears of life %d", n.target.name, n.target.born)
}

// assign lets an assigner do what is due, and writes its table.
func (m *model) assign(a *modelAssigner) {
	a.Tick(m.clock())
	table, revision, ok := a.PendingWrite()
	if !ok {
		return
	}
	lost := m.chance(10)
	m.later(max(m.away-m.now, 0)+m.delay(40), func() {
		if revision != m.revision {
			m.settle(a)
			return
		}
		m.revision++
		m.stored = table.Clone()
		if lost {
			m.later(m.delay(600), func() { m.settle(a) })
			return
		}
		a.WriteSucceeded(table, m.revision)
	})
}

// resign has the last assigner give the office up, and begins the next epoch.
func (m *model) resign() {
	if len(m.assigners) == 0 {
		return
	}
	last := m.assigners[len(m.assigners)-1]
	m.assigners = m.assigners[:len(m.assigners)-1]
	m.note("epoch %d resigns", last.Epoch())
	m.resigned = last.id
	m.promised[last.id.Name] = last.LastLeaseEnd()
	if m.now < m.away || m.chance(2) {
		m.tell(last.id, last.LastLeaseEnd())
		m.elect()
		return
	}
	if last.Version().Revision == m.revision {
		m.revision++
		m.stored = last.FinalTable(m.clock())
	}
	m.elect()
}

// tell lets the assigners of later times hear that one has resigned without the store.
func (m *model) tell(resigned seamtable.Assigner, over seamclock.Instant) {
	m.later(m.delay(800), func() {
		for _, a := range m.assigners {
			for _, p := range a.Predecessors() {
				if resigned.Covers(p) {
					m.note("epoch %d hears that epoch %d has resigned", a.Epoch(), resigned.Epoch)
					a.PredecessorResigned(m.clock(), p, over)
				}
			}
		}
		if !m.chance(20) {
			m.tell(resigned, over)
		}
	})
}

// settle has an assigner go on from what the store holds, or stop if another has written it.
func (m *model) settle(a *modelAssigner) {
	if a.WriteUncertain(m.clock(), m.stored.Clone(), m.revision) {
		return
	}
	for i, o := range m.assigners {
		if o == a {
			m.assigners = append(m.assigners[:i:i], m.assigners[i+1:]...)
			m.note("epoch %d is deposed", a.Epoch())
			return
		}
	}
}

// serve lets a node do what is due.
func (m *model) serve(n *modelNode) {
	holders := append([]*seamholder.Holder{n.holder}, n.former...)
	for _, h := range holders {
		for _, o := range h.DueOrders(m.clock()) {
			m.order(n, h, o)
		}
	}
	for _, h := range n.former {
		if !h.Dead() && h.FullyReleased(m.clock()) {
			h.MarkDead()
		}
	}
	if m.now-n.beatAt >= 300*time.Millisecond {
		n.beatAt = m.now
		m.beat(n)
	}
}

// beat reports to one of the assigners: mostly to the one that has the office.
func (m *model) beat(n *modelNode) {
	h := n.holder
	if len(n.former) > 0 {
		h = n.former[0]
		if !h.Dead() {
			return
		}
	}
	if len(m.assigners) == 0 || m.now < n.cut || m.chance(12) {
		return
	}
	a := m.assigners[len(m.assigners)-1]
	if len(m.assigners) > 1 && m.chance(4) {
		a = m.assigners[len(m.assigners)-2]
	}
	if n.confirmed == 0 {
		n.confirmed = m.epoch
	}
	h.ObserveEpoch(m.clock(), n.confirmed)
	sent := m.clock()
	b := h.Heartbeat(sent)
	b.Node = seampeer.Peer{Name: n.target.name}
	b.Load = m.load(h)
	started := n.started
	m.later(m.delay(30), func() {
		if b.Epoch > a.Epoch() || !slices.Contains(m.assigners, a) {
			return
		}
		r := a.Heartbeat(m.clock(), b)
		if m.chance(12) {
			return
		}
		m.later(m.delay(30), func() {
			if n.started != started {
				return
			}
			if b.State == seamassign.Dead {
				n.former = slices.DeleteFunc(n.former, func(f *seamholder.Holder) bool { return f == h })
				return
			}
			h.HandleReply(m.clock(), sent, r)
		})
	})
}

// load draws a load, so that keys move.
func (m *model) load(h *seamholder.Holder) seamtable.Load {
	l := seamtable.Load{Slots: 10, ServiceTime: 0.1}
	for _, r := range h.Ranges() {
		rate := float64(m.random.IntN(120))
		l.Chunks = append(l.Chunks, seamtable.Chunk{Span: r.Span, Rate: rate})
		l.Rate += rate
	}
	return l
}

// order sends an order to the target. Some get no answer, and some of these are carried out late.
func (m *model) order(n *modelNode, h *seamholder.Holder, o seamholder.Order) {
	sent := m.clock()
	var d time.Duration
	if o.Kind == seamholder.Grant {
		var ok bool
		if o, d, ok = h.StartGrant(sent, o); !ok {
			return
		}
	}
	started := n.started
	m.later(m.delay(8), func() {
		arrived := m.now
		if m.chance(6) {
			m.later(2*time.Second+m.delay(4000), func() { m.carryOut(n, o, arrived, d) })
			return
		}
		taken := m.carryOut(n, o, arrived, d)
		m.later(m.delay(8), func() {
			if n.started == started {
				m.answer(h, o, sent, d, taken)
			}
		})
	})
}

func (m *model) carryOut(n *modelNode, o seamholder.Order, arrived time.Duration, d time.Duration) bool {
	if o.Kind == seamholder.Release {
		n.target.drop(o.Span, o.Fence)
		return true
	}
	return n.target.grant(arrived, m.now, o.Range, d)
}

func (m *model) answer(h *seamholder.Holder, o seamholder.Order, sent seamclock.Instant, d time.Duration, taken bool) {
	switch {
	case o.Kind == seamholder.Release:
		h.Released(m.clock(), o, "state")
	case taken:
		h.Granted(sent, o, d)
	default:
		h.Refused(o)
	}
}

// check fails if a key has two holders.
func (m *model) check() {
	for _, a := range m.nodes {
		for _, h := range a.target.holds {
			if h.until <= m.now {
				continue
			}
			for _, b := range m.nodes {
				if b != a && (b.target.has(m.now, h.From) || b.target.has(m.now, h.To)) {
					m.fail(h, a, b)
				}
			}
		}
	}
}

func (m *model) fail(h hold, a, b *modelNode) {
	for _, line := range m.log {
		m.t.Log(line)
	}
	m.t.Fatalf("%s: %s and %s both hold keys of %d-%d (fence %d; %+v)", m.now, a.target.name, b.target.name, h.From, h.To, h.fence, b.target.holds)
}

// TestNoKeyHasTwoHolders plays assigners, nodes and targets with lost, late and repeated messages,
// restarts of each of them, and two assigners that act at once.
func TestNoKeyHasTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		m := &model{t: t, random: rand.New(rand.NewPCG(seed, 0)), epoch: 1 << 16, promised: map[string]seamclock.Instant{}}
		for i := range modelTargets {
			target := &modelTarget{name: fmt.Sprint("t", i), born: 1000}
			n := &modelNode{target: target}
			n.holder = seamholder.New(seamholder.DefaultConfig(), m.life(n), m.clock())
			m.nodes = append(m.nodes, n)
		}
		m.elect()
		for range modelSteps {
			m.step()
		}
	})
}
