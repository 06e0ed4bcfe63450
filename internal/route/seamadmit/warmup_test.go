package seamadmit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seamadmit"
	"cardamomseam/internal/route/seambalance"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seampick"
	"cardamomseam/internal/route/seamthrottle"
)

// coldRate is the number of requests per second that a cold target in these tests can handle.
const coldRate = 8.0

// announceWarmup makes the target of a throttle cold for the given time.
func announceWarmup(throttle *seamthrottle.Throttle, now time.Time, left time.Duration) {
	throttle.Announce(now, seamthrottle.Announcement{
		Target: seamthrottle.Target{Name: "t"}, ArrivedAt: now, Left: left, Rate: coldRate, Duration: left,
	})
}

// When all targets are cold, what they can handle must go to the most urgent requests, and the others must be refused early.
func TestColdTargetServesTheMostUrgentRequests(t *testing.T) {
	const length, perSecond, urgentShare = 8 * time.Second, 100, 20
	begin := time.Unix(1000, 0)
	throttle := new(seamthrottle.Throttle)
	announceWarmup(throttle, begin, length)
	q := seamadmit.NewQueue(12, throttle)
	q.Observe(0, 300*time.Millisecond)
	arrived := map[uint64]time.Time{}
	var urgentServed, urgent, served, refused int
	var held time.Duration
	returns := map[int]int{}
	apply := func(now time.Time, decisions []seamadmit.Decision) {
		for _, d := range decisions {
			switch {
			case d.Admitted:
				served++
				if d.ID%urgentShare == 0 {
					urgentServed++
				}
			case d.Reason != seamoutcome.Limit || d.RetryAfter <= 0:
				t.Fatalf("refused with %+v", d.Verdict)
			default:
				refused++
				held += now.Sub(arrived[d.ID])
				if at := now.Add(d.RetryAfter).Sub(begin); at < length {
					returns[int(at/time.Second)]++
				}
			}
		}
	}
	for id := range uint64(perSecond * length.Seconds()) {
		now := begin.Add(time.Duration(id) * time.Second / perSecond)
		arrived[id] = now
		r := seamadmit.Request{Priority: 2, Objective: now.Add(time.Second), Deadline: now.Add(3 * time.Second)}
		if id%urgentShare == 0 {
			urgent++
			r.Priority = 0
		}
		apply(now, q.Submit(now, id, r))
		apply(now, q.Tick(now))
		for q.Running() > 2 {
			apply(now, q.Done(now))
		}
	}
	if want := coldRate * length.Seconds(); float64(served) > 1.1*want+2 || float64(served) < 0.9*want-2 {
		t.Errorf("%d requests served, want about %v", served, want)
	}
	if urgentServed < urgent*9/10 {
		t.Errorf("%d of %d urgent requests served", urgentServed, urgent)
	}
	if mean := held / time.Duration(max(refused, 1)); mean > 500*time.Millisecond {
		t.Errorf("refused requests waited %v on average", mean)
	}
	for second, n := range returns {
		// The last second also has those that were refused in it.
		if second < int(length.Seconds())-1 && n > perSecond {
			t.Errorf("%d callers are told to return in second %d", n, second)
		}
	}
	t.Logf("served %d, urgent %d of %d, refused %d after %v, return by second %v", served, urgentServed, urgent, refused, held/time.Duration(max(refused, 1)), returns)
}

// fleetModel plays nodes that choose among targets, one of which is cold.
type fleetModel struct {
	now      time.Time
	choosers []*seambalance.Balancer
	targets  []*modelTarget
	all      []seampick.Candidate
	random   *rand.Rand
	lastID   uint64
}

type modelTarget struct {
	throttle *seamthrottle.Throttle
	queue    *seamadmit.Queue
	// tried and started are the times since the start of the requests that arrived and that ran.
	tried, started []time.Duration
	waiting        map[uint64]func(seamadmit.Verdict)
}

func (g *modelTarget) apply(decisions []seamadmit.Decision) {
	for _, d := range decisions {
		decided := g.waiting[d.ID]
		delete(g.waiting, d.ID)
		decided(d.Verdict)
	}
}

// newFleetModel returns a model without requests.
func newFleetModel(nodes, targets, slots int) *fleetModel {
	m := &fleetModel{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 14))}
	for i := range nodes {
		cfg := seambalance.Config{Random: m.random.Float64}
		m.choosers = append(m.choosers, seambalance.New(cfg, seampeer.Peer{Name: fmt.Sprint("c", i), Domain: "d", Region: "r"}, metrics.NewSet()))
	}
	for i := range targets {
		throttle := new(seamthrottle.Throttle)
		m.targets = append(m.targets, &modelTarget{throttle: throttle, queue: seamadmit.NewQueue(slots, throttle), waiting: map[uint64]func(seamadmit.Verdict){}})
		m.all = append(m.all, seampick.Candidate{Peer: seampeer.Peer{Name: fmt.Sprint("t", i), Domain: "d", Region: "r"}, Slots: slots})
	}
	return m
}

// play sends perSecond requests through random nodes, each of which runs for about 200 ms. It calls warmup in each step.
func (m *fleetModel) play(length time.Duration, perSecond float64, warmup func(now time.Time)) {
	const step = time.Millisecond
	begin := m.now
	type later struct {
		at  time.Time
		run func()
	}
	var pending []later
	next := begin
	for ; m.now.Before(begin.Add(length)); m.now = m.now.Add(step) {
		warmup(m.now)
		due := pending
		pending = nil
		for _, p := range due {
			if p.at.After(m.now) {
				pending = append(pending, p)
				continue
			}
			p.run()
		}
		for ; next.Before(m.now); next = next.Add(time.Duration(m.random.ExpFloat64() / perSecond * float64(time.Second))) {
			chooser := m.choosers[m.random.IntN(len(m.choosers))]
			picked, _ := chooser.Pick(m.now, m.all, seambalance.Query{Objective: time.Second, Deadline: 3 * time.Second}, nil)
			var g *modelTarget
			for i := range m.all {
				if m.all[i].Peer == picked.Peer {
					g = m.targets[i]
				}
			}
			chooser.Sent(m.now, picked.Peer)
			answer := func(served bool) {
				r := seambalance.Result{
					Reported: true, InFlight: g.queue.Running() + g.queue.Waiting(), Slots: m.all[0].Slots, ServiceTime: g.queue.ServiceTime(),
					QueueWait: g.queue.QueueWait(m.now), Limited: g.throttle.Report(m.now).LimitsRequests(), Served: served,
				}
				pending = append(pending, later{m.now.Add(time.Millisecond), func() { chooser.Ended(m.now, picked.Peer, r) }})
			}
			m.lastID++
			id := m.lastID
			g.tried = append(g.tried, m.now.Sub(begin))
			g.waiting[id] = func(v seamadmit.Verdict) {
				if !v.Admitted {
					answer(false)
					return
				}
				g.started = append(g.started, m.now.Sub(begin))
				took := time.Duration((0.5 + m.random.Float64()) * 200 * float64(time.Millisecond))
				pending = append(pending, later{m.now.Add(took), func() {
					g.queue.Observe(0, took)
					g.apply(g.queue.Done(m.now))
					answer(true)
				}})
			}
			g.apply(g.queue.Submit(m.now, id, seamadmit.Request{Objective: m.now.Add(time.Second), Deadline: m.now.Add(3 * time.Second)}))
		}
		for _, g := range m.targets {
			g.apply(g.queue.Tick(m.now))
		}
	}
}

// within returns the number of times between from and to.
func within(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// Nodes that know of a cold target only what others were told too would all choose it again at the same moment, while it is cold and
// when its warm-up has just ended.
func TestNodesDontHerdOntoAColdTargetNorOntoOneThatHasJustWarmedUp(t *testing.T) {
	const coldFrom, warmup, length = 2 * time.Second, 4 * time.Second, 12 * time.Second
	for _, nodes := range []int{10, 60} {
		// Four targets of 8 slots serve 160 requests a second; three serve 120.
		const perSecond = 90
		m := newFleetModel(nodes, 4, 8)
		begin, announced := m.now, false
		m.play(length, perSecond, func(now time.Time) {
			if !announced && now.Sub(begin) >= coldFrom {
				announced = true
				announceWarmup(m.targets[0].throttle, now, warmup)
			}
		})
		g := m.targets[0]
		for from := coldFrom; from < coldFrom+warmup; from += 100 * time.Millisecond {
			if n := within(g.started, from, from+time.Second); from+time.Second <= coldFrom+warmup && float64(n) > 1.5*coldRate+8 {
				t.Errorf("%d nodes: the cold target ran %d requests within a second", nodes, n)
			}
		}
		cold := coldFrom + time.Second
		tried := within(g.tried, cold, coldFrom+warmup)
		// Beside those that run, a node may send one in vain every two seconds.
		if most := (coldRate + float64(nodes)/2) * (coldFrom + warmup - cold).Seconds(); float64(tried) > most {
			t.Errorf("%d nodes: %d requests were sent to the cold target after a second, want at most %v", nodes, tried, most)
		}
		most := 0
		for from := coldFrom + warmup; from < coldFrom+warmup+2*time.Second; from += 50 * time.Millisecond {
			most = max(most, within(g.tried, from, from+200*time.Millisecond))
		}
		// The share of a target is 4.5 requests in 200 ms; 8 slots take 8.
		if most > 16 {
			t.Errorf("%d nodes: %d requests were sent to the target within 200 ms after its warm-up", nodes, most)
		}
		after := within(g.started, coldFrom+warmup+3*time.Second, length)
		if share := float64(after) / (perSecond * 3); share < 0.125 {
			t.Errorf("%d nodes: the target runs a share of %.2f of the requests after its warm-up", nodes, share)
		}
		t.Logf("%d nodes: %d tried and %d ran while cold; at most %d in 200 ms after the warm-up, %d ran in the last 3 s",
			nodes, tried, within(g.started, cold, coldFrom+warmup), most, after)
	}
}
