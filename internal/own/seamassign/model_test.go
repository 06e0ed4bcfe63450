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
	// stepDuration is the simulated time of one step of the model.
	stepDuration = 10 * time.Millisecond
	// stepsPerRun is the number of steps of one run.
	stepsPerRun = 2500
	// targetCount is the number of targets, each with its node.
	targetCount = 3
	// clockDrift is the fraction by which the clock of a target runs slow.
	clockDrift = 0.02
)

// heldSpan is a span of keys that a target holds under one grant.
type heldSpan struct {
	seamtable.Span
	fence     uint64
	expiresAt time.Duration
}

// modelTarget is one target. Its incarnations run one after another at the same address.
type modelTarget struct {
	name      string
	startTime int64
	held      []heldSpan
	// granted are the spans granted to the current incarnation, with their fencing tokens.
	granted []heldSpan
	// taken are the spans that any incarnation took, with their fencing tokens.
	taken []heldSpan
}

// grant applies a grant that arrived at the given time, which may be before now.
func (m *modelTarget) grant(arrived, now time.Duration, r seamtable.Range, d time.Duration) bool {
	for _, s := range m.granted {
		if s.Overlaps(r.Span) && s.fence > r.Fence {
			return false
		}
	}
	expiresAt := arrived + d + time.Duration(float64(d)*clockDrift)
	m.granted = append(m.granted, heldSpan{Span: r.Span, fence: r.Fence})
	if expiresAt > now {
		m.drop(r.Span, r.Fence)
		m.held = append(m.held, heldSpan{Span: r.Span, fence: r.Fence, expiresAt: expiresAt})
	}
	return true
}

// drop removes a span from the spans that are held under the given fencing token or a lower one.
func (m *modelTarget) drop(s seamtable.Span, fence uint64) {
	var kept []heldSpan
	for _, h := range m.held {
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
	m.held = kept
}

func (m *modelTarget) holdsKey(now time.Duration, key uint32) bool {
	for _, h := range m.held {
		if h.Contains(key) && h.expiresAt > now {
			return true
		}
	}
	return false
}

// modelNode is the node of a target.
type modelNode struct {
	target *modelTarget
	holder *seamholder.Holder
	// retired are earlier incarnations of the target that this incarnation of the node has served.
	retired []*seamholder.Holder
	// startsAt is the start time of the node's current incarnation; the node is down until then.
	startsAt      time.Duration
	lastHeartbeat time.Duration
	// confirmedEpoch is the epoch that this incarnation of the node read from the store.
	confirmedEpoch uint64
	// era is the era of the store that the node knows.
	era int64
	// partitionedUntil is the time until which the node reaches its target but no assigner.
	partitionedUntil time.Duration
}

// event is an action scheduled for a later time.
type event struct {
	at time.Duration
	do func()
}

// model simulates a service with its targets, nodes, assigners and the store.
type model struct {
	t      *rapid.T
	random *rand.Rand
	now    time.Duration
	events []event
	nodes  []*modelNode
	// assigners holds all that are still active; the last one is the elected leader.
	assigners []*modelAssigner
	stored    seamtable.Table
	revision  int64
	epoch     uint64
	// era is the era of the store, which revision contains.
	era    int64
	copies []storeCopy
	// resigned is the last assigner that resigned; empty once it was elected again.
	resigned seamtable.Assigner
	// leaseEnds maps the name of an assigner that resigned to the end of the leases that it granted.
	leaseEnds map[string]seamclock.Instant
	// storeDownUntil is the time until which the store does not answer.
	storeDownUntil time.Duration
	// evacuates makes failure domains, one for each target, be evacuated and reinstated; placement is the latest state.
	evacuates bool
	placement seamtable.Placement
	log       []string
}

// modelAssigner is one incarnation of an assigner.
type modelAssigner struct {
	*seamassign.Assigner
	startedAt time.Duration
	id        seamtable.Assigner
	era       int64
}

func (m *model) clock() seamclock.Instant { return seamclock.Instant{Mono: m.now, Wall: m.now} }

func (m *model) schedule(d time.Duration, do func()) {
	m.events = append(m.events, event{m.now + d, do})
}

func (m *model) logf(format string, args ...any) {
	m.log = append(m.log, fmt.Sprintf("%8s ", m.now)+fmt.Sprintf(format, args...))
}

// chance returns true with probability 1/n.
func (m *model) chance(n int) bool {
	return m.random.IntN(n) == 0
}

// randomDelay draws a duration of at most the given number of milliseconds.
func (m *model) randomDelay(maxMillis int) time.Duration {
	return time.Duration(1+m.random.IntN(maxMillis)) * time.Millisecond
}

// elect starts an epoch once the store is available. Earlier assigners stay active for a while. Sometimes the assigner
// that resigned last is elected again.
func (m *model) elect() {
	if m.now < m.storeDownUntil {
		m.schedule(m.storeDownUntil-m.now, m.elect)
		return
	}
	m.epoch = seamtable.NextEpoch(m.epoch, m.era, 0)
	id := seamtable.Assigner{Name: fmt.Sprint("a", m.epoch), Incarnation: m.epoch}
	if m.resigned.Name != "" && m.chance(3) {
		id = m.resigned
		m.resigned = seamtable.Assigner{} // a run holds at most one leadership at a time
	}
	id.Epoch = m.epoch
	found := m.stored.Clone()
	if found.Epoch == 0 && m.era > 1 {
		// The copy is older than the first table. The elector knows of assigners of an earlier era.
		found.Era = 1
	}
	a := &modelAssigner{seamassign.New(seamassign.DefaultConfig(), m.clock(), id, m.leaseEnds[id.Name], found, m.revision), m.now, id, m.era}
	a.SetPlacement(m.placement)
	m.assigners = append(m.assigners, a)
	m.logf("epoch %d begins", m.epoch)
}

func (m *model) step() {
	m.now += stepDuration
	m.runEvents()
	m.injectFaults()
	for _, a := range m.assigners {
		m.runAssigner(a)
	}
	for _, n := range m.nodes {
		if m.now >= n.startsAt {
			m.runNode(n)
		}
	}
	m.checkSingleHolder()
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

// injectFaults draws the faults of this step.
func (m *model) injectFaults() {
	if m.chance(900) {
		m.storeDownUntil = m.now + m.randomDelay(9000)
		m.logf("store is unavailable until %s", m.storeDownUntil)
	}
	if n := len(m.assigners); n > 0 && m.now >= m.storeDownUntil && m.assigners[n-1].era == m.era {
		m.assigners[n-1].ConfirmLeadership(m.clock())
	}
	if m.evacuates && m.chance(200) {
		m.evacuate()
	}
	m.copyStore()
	if m.chance(800) {
		m.restoreStore()
	}
	if m.chance(500) {
		m.elect()
	}
	if m.chance(600) {
		m.resign()
	}
	maxOutage := seamassign.DefaultConfig().MaxStoreOutage
	if len(m.assigners) > 1 && m.now-m.assigners[1].startedAt > maxOutage {
		m.assigners = m.assigners[1:]
	}
	for _, n := range m.nodes {
		if m.chance(700) {
			m.restartNode(n)
		}
		if m.chance(700) {
			n.partitionedUntil = m.now + m.randomDelay(8000)
			m.logf("node of %s is partitioned from the assigners until %s", n.target.name, n.partitionedUntil)
		}
		if m.chance(700) {
			m.restartTarget(n)
		}
	}
}

// evacuate evacuates a random set of failure domains, which the assigners learn one after another.
func (m *model) evacuate() {
	p := seamtable.Placement{}
	for _, n := range m.nodes {
		if m.chance(3) {
			p.ExcludedDomains = append(p.ExcludedDomains, domainOf(n.target))
		}
	}
	m.placement = p
	m.logf("evacuated: %v", p.ExcludedDomains)
	for _, a := range m.assigners {
		m.schedule(m.randomDelay(1500), func() { a.SetPlacement(p) })
	}
}

func domainOf(g *modelTarget) string { return "domain of " + g.name }

func (m *model) restartNode(n *modelNode) {
	n.startsAt = m.now + m.randomDelay(2500)
	n.retired, n.confirmedEpoch, n.era = nil, 0, m.era
	started := seamclock.Instant{Mono: n.startsAt, Wall: n.startsAt}
	incarnation := m.incarnation(n)
	if m.chance(3) {
		// The node first receives an earlier incarnation. restartTarget advances startTime by 2, so this one is unique.
		incarnation.Born--
		n.holder = seamholder.New(seamholder.DefaultConfig(), incarnation, started)
		m.logf("node of %s restarts and receives incarnation %d", n.target.name, incarnation.Born)
		m.schedule(n.startsAt-m.now+m.randomDelay(900), func() { m.announce(n) })
		return
	}
	n.holder = seamholder.New(seamholder.DefaultConfig(), incarnation, started)
	m.logf("node of %s restarts", n.target.name)
}

func (m *model) restartTarget(n *modelNode) {
	n.target.startTime += 2
	n.target.held, n.target.granted = nil, nil
	m.logf("target %s starts incarnation %d", n.target.name, n.target.startTime)
	m.schedule(m.randomDelay(900), func() { m.announce(n) })
}

func (m *model) incarnation(n *modelNode) seamtable.Holder {
	return seamtable.Holder{Target: n.target.name, Born: n.target.startTime, Address: n.target.name}
}

// announce reports the current incarnation of the target to its node.
func (m *model) announce(n *modelNode) {
	if n.holder.Target() == m.incarnation(n) {
		return
	}
	n.holder.Retire()
	n.retired = append(n.retired, n.holder)
	started := seamclock.Instant{Mono: n.startsAt, Wall: n.startsAt}
	n.holder = seamholder.New(seamholder.DefaultConfig(), m.incarnation(n), started)
	m.logf("node of %s receives incarnation %d", n.target.name, n.target.startTime)
}

// runAssigner runs the due actions of an assigner, and writes its table.
func (m *model) runAssigner(a *modelAssigner) {
	a.Tick(m.clock())
	table, revision, ok := a.PendingWrite()
	if !ok {
		return
	}
	responseLost := m.chance(10)
	m.schedule(max(m.storeDownUntil-m.now, 0)+m.randomDelay(40), func() {
		if revision != m.revision {
			m.resolveUncertainWrite(a)
			return
		}
		m.revision++
		m.stored = table.Clone()
		if responseLost {
			m.schedule(m.randomDelay(600), func() { m.resolveUncertainWrite(a) })
			return
		}
		a.WriteSucceeded(table, m.revision)
	})
}

// resign makes the elected leader resign, and starts the next epoch.
func (m *model) resign() {
	if len(m.assigners) == 0 {
		return
	}
	last := m.assigners[len(m.assigners)-1]
	m.assigners = m.assigners[:len(m.assigners)-1]
	m.logf("epoch %d resigns", last.Epoch())
	m.resigned = last.id
	m.leaseEnds[last.id.Name] = last.LastLeaseEnd()
	if m.now < m.storeDownUntil || m.chance(2) {
		m.announceResignation(last.id, last.LastLeaseEnd())
		m.elect()
		return
	}
	if last.Version().Revision == m.revision && last.era == m.era {
		m.revision++
		m.stored = last.FinalTable(m.clock())
	}
	m.elect()
}

// announceResignation reports a resignation to the later assigners by messages instead of through the store.
func (m *model) announceResignation(resigned seamtable.Assigner, leaseEnd seamclock.Instant) {
	m.schedule(m.randomDelay(800), func() {
		for _, a := range m.assigners {
			for _, p := range a.Predecessors() {
				if resigned.Covers(p) {
					m.logf("epoch %d receives the resignation of epoch %d", a.Epoch(), resigned.Epoch)
					a.PredecessorResigned(m.clock(), p, leaseEnd)
				}
			}
		}
		if !m.chance(20) {
			m.announceResignation(resigned, leaseEnd)
		}
	})
}

// resolveUncertainWrite makes an assigner continue from the stored table, or stop if a later epoch wrote it.
func (m *model) resolveUncertainWrite(a *modelAssigner) {
	if a.era == m.era && a.WriteUncertain(m.clock(), m.stored.Clone(), m.revision) {
		return
	}
	m.removeAssigner(a)
}

func (m *model) removeAssigner(a *modelAssigner) {
	for i, o := range m.assigners {
		if o == a {
			m.assigners = append(m.assigners[:i:i], m.assigners[i+1:]...)
			m.logf("epoch %d ends", a.Epoch())
			return
		}
	}
}

// runNode runs the due actions of a node.
func (m *model) runNode(n *modelNode) {
	holders := append([]*seamholder.Holder{n.holder}, n.retired...)
	for _, h := range holders {
		for _, o := range h.DueOrders(m.clock()) {
			m.sendOrder(n, h, o)
		}
	}
	for _, h := range n.retired {
		if !h.Dead() && h.FullyReleased(m.clock()) {
			h.MarkDead()
		}
	}
	if m.now-n.lastHeartbeat >= 300*time.Millisecond {
		n.lastHeartbeat = m.now
		m.sendHeartbeat(n)
	}
}

// sendHeartbeat reports to one of the assigners, usually to the elected leader.
func (m *model) sendHeartbeat(n *modelNode) {
	h := n.holder
	if len(n.retired) > 0 {
		h = n.retired[0]
		if !h.Dead() {
			return
		}
	}
	if len(m.assigners) == 0 || m.now < n.partitionedUntil || m.chance(12) {
		return
	}
	a := m.assigners[len(m.assigners)-1]
	if len(m.assigners) > 1 && m.chance(4) {
		a = m.assigners[len(m.assigners)-2]
	}
	if n.confirmedEpoch == 0 {
		n.confirmedEpoch = m.epoch
	}
	h.ObserveEra(m.clock(), n.era)
	h.ObserveEpoch(m.clock(), n.confirmedEpoch)
	sent := m.clock()
	hb := h.Heartbeat(sent)
	hb.Node = seampeer.Peer{Name: n.target.name, Domain: domainOf(n.target)}
	hb.Load = m.randomLoad(h)
	started := n.startsAt
	m.schedule(m.randomDelay(30), func() {
		if hb.Epoch > a.Epoch() || !slices.Contains(m.assigners, a) {
			return
		}
		r := a.Heartbeat(m.clock(), hb)
		if m.chance(12) {
			return
		}
		m.schedule(m.randomDelay(30), func() {
			if n.startsAt != started {
				return
			}
			if hb.State == seamassign.Dead {
				n.retired = slices.DeleteFunc(n.retired, func(f *seamholder.Holder) bool { return f == h })
				return
			}
			h.HandleReply(m.clock(), sent, r)
		})
	})
}

// randomLoad draws a load, so that balancing moves keys.
func (m *model) randomLoad(h *seamholder.Holder) seamtable.Load {
	l := seamtable.Load{MaxConcurrency: 10, ServiceTime: 0.1}
	for _, r := range h.Ranges() {
		rate := float64(m.random.IntN(120))
		l.Chunks = append(l.Chunks, seamtable.Chunk{Span: r.Span, Rate: rate})
		l.Rate += rate
	}
	return l
}

// sendOrder sends an order to the target. Some orders are executed late and never answered.
func (m *model) sendOrder(n *modelNode, h *seamholder.Holder, o seamholder.Order) {
	sent := m.clock()
	var d time.Duration
	if o.Kind == seamholder.Grant {
		var ok bool
		if o, d, ok = h.StartGrant(sent, o); !ok {
			return
		}
	}
	started := n.startsAt
	m.schedule(m.randomDelay(8), func() {
		arrived := m.now
		if m.chance(6) {
			m.schedule(2*time.Second+m.randomDelay(4000), func() { m.execute(n, o, arrived, d) })
			return
		}
		m.checkToken(n, o)
		accepted := m.execute(n, o, arrived, d)
		m.schedule(m.randomDelay(8), func() {
			if n.startsAt == started {
				m.handleAnswer(h, o, sent, d, accepted)
			}
		})
	})
}

func (m *model) execute(n *modelNode, o seamholder.Order, arrived time.Duration, d time.Duration) bool {
	if o.Kind == seamholder.Release {
		n.target.drop(o.Span, o.Fence)
		return true
	}
	return n.target.grant(arrived, m.now, o.Range, d)
}

func (m *model) handleAnswer(h *seamholder.Holder, o seamholder.Order, sent seamclock.Instant, d time.Duration, accepted bool) {
	switch {
	case o.Kind == seamholder.Release:
		h.Released(m.clock(), o, "state")
	case accepted:
		h.Granted(sent, o, d)
	default:
		h.Rejected(o)
	}
}

// checkSingleHolder fails if a key has two holders. If two spans overlap, an end of one lies in the other, so the ends of
// all spans are checked.
func (m *model) checkSingleHolder() {
	for _, a := range m.nodes {
		for _, h := range a.target.held {
			if h.expiresAt <= m.now {
				continue
			}
			for _, b := range m.nodes {
				if b != a && (b.target.holdsKey(m.now, h.From) || b.target.holdsKey(m.now, h.To)) {
					m.reportConflict(h, a, b)
				}
			}
		}
	}
}

func (m *model) reportConflict(span heldSpan, a, b *modelNode) {
	for _, line := range m.log {
		m.t.Log(line)
	}
	m.t.Fatalf("%s: %s and %s both hold keys of %d-%d (fence %d; %+v)", m.now, a.target.name, b.target.name, span.From, span.To, span.fence, b.target.held)
}

// TestNoKeyHasTwoHolders simulates assigners, nodes and targets with lost, late and repeated messages,
// restarts of each of them, and two assigners that are active at once.
func TestNoKeyHasTwoHolders(t *testing.T) { checkSingleHolders(t, false) }

// TestNoKeyHasTwoHoldersWhileDomainsAreEvacuated guards against moves that are planned, redirected, cancelled or returned while their
// source releases the keys, by two assigners that know different evacuations.
func TestNoKeyHasTwoHoldersWhileDomainsAreEvacuated(t *testing.T) { checkSingleHolders(t, true) }

func checkSingleHolders(t *testing.T, evacuates bool) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		m := &model{t: t, random: rand.New(rand.NewPCG(seed, 0)), epoch: 1 << 16, era: 1, leaseEnds: map[string]seamclock.Instant{}, evacuates: evacuates}
		for i := range targetCount {
			target := &modelTarget{name: fmt.Sprint("t", i), startTime: 1000}
			n := &modelNode{target: target}
			n.holder = seamholder.New(seamholder.DefaultConfig(), m.incarnation(n), m.clock())
			m.nodes = append(m.nodes, n)
		}
		m.elect()
		for range stepsPerRun {
			m.step()
		}
	})
}
