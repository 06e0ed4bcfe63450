package seambalance_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seambalance"
	"cardamomseam/internal/route/seampick"
)

// trial describes one run of a policy. Reports are old in one of two ways: a node takes a report from a target at most once
// per age, or, with shared set, each target renews its report once per age, and each node takes it with the next response.
type trial struct {
	nodes, domains int
	shared         bool
	age, span      time.Duration
	load           float64
	seed           uint64
}

const (
	// trialTargets, trialSlots and trialService are the targets of a trial, the slots of each and the mean service time at speed 1.
	trialTargets, trialSlots = 12, 6
	trialService             = 200 * time.Millisecond
	// trialRoundTrip is the time of a request and its response on the network.
	trialRoundTrip = 2 * time.Millisecond
	// trialLimit is the expected wait above which a target refuses a request, as a node beside it does before a deadline.
	trialLimit = 2 * time.Second
	// trialSpeedChange is the interval at which targets exchange their speeds.
	trialSpeedChange = 15 * time.Second
	// trialWarmUp is the time before which nothing is measured.
	trialWarmUp = 5 * time.Second
)

// measured are the results of a trial.
type measured struct {
	p50, p99 time.Duration
	// idle is the share of slots that were idle while requests waited at another target.
	idle float64
	// wasted is the share of slots that were idle although a waiting request could have used them.
	wasted float64
	// busiest is the ratio of the busiest target's work to the mean, each relative to the target's speed.
	busiest float64
	refused int
	// far is the share of requests that ran in another region, other that in another domain of the same region.
	far, other float64
}

type event struct {
	at  time.Duration
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// site is a target of a trial.
type site struct {
	peer    seampeer.Peer
	running int
	queue   []func()
	speed   float64
	service time.Duration
	work    float64
	// shared is the report that all nodes get if they share reports.
	shared   seambalance.Result
	sharedAt time.Duration
}

// report returns what the node beside the target reports with a response.
func (s *site) report() seambalance.Result {
	return seambalance.Result{
		Reported: true, InFlight: s.running + len(s.queue), Slots: trialSlots, ServiceTime: s.service, ClassServiceTime: s.service, QueueWait: s.wait(),
	}
}

func (s *site) wait() time.Duration {
	if s.running < trialSlots {
		return 0
	}
	return time.Duration(float64(len(s.queue)+1) * float64(s.service) / trialSlots)
}

// loop runs a trial.
type loop struct {
	trial
	random *rand.Rand
	now    time.Duration
	events events
	sites  []*site
	waits  []time.Duration
	sent   [3]int
	idle   float64
	wasted float64
	out    measured
}

func placeOf(i, domains int) (region, domain string) {
	return fmt.Sprint("region-", i%domains/2), fmt.Sprint("domain-", i%domains)
}

func (t trial) run(policy func(seampeer.Peer, *rand.Rand) chooser) measured {
	l := &loop{trial: t, random: rand.New(rand.NewPCG(t.seed, 1))}
	var all []seampick.Candidate
	for i := range trialTargets {
		s := &site{speed: []float64{0.5, 1, 1.5}[i%3], service: trialService}
		s.peer = seampeer.Peer{Name: fmt.Sprint("t", i), Address: fmt.Sprint("a", i)}
		s.peer.Region, s.peer.Domain = placeOf(i/2, t.domains)
		l.sites = append(l.sites, s)
		all = append(all, seampick.Candidate{Peer: s.peer, Slots: trialSlots})
	}
	weights := 0.0
	for i := range t.nodes {
		weights += 1 / float64(i+1)
	}
	capacity := trialTargets * trialSlots / trialService.Seconds()
	for i := range t.nodes {
		p := seampeer.Peer{Name: fmt.Sprint("n", i)}
		p.Region, p.Domain = placeOf(i, t.domains)
		n := &caller{loop: l, all: all, policy: policy(p, rand.New(rand.NewPCG(t.seed, uint64(i)+2))), self: p, reported: make([]time.Duration, trialTargets)}
		n.rate = t.load * capacity / float64(i+1) / weights
		l.after(l.exponential(1/n.rate), n.arrive)
	}
	l.after(trialSpeedChange.Seconds(), l.changeSpeeds)
	if t.shared {
		for i, s := range l.sites {
			l.after(t.age.Seconds()*float64(i)/trialTargets, func() { l.renew(s) })
		}
	}
	for len(l.events) > 0 && l.now < t.span {
		e := heap.Pop(&l.events).(event)
		l.measure(e.at)
		l.now = e.at
		e.run()
	}
	return l.result()
}

func (l *loop) after(seconds float64, run func()) {
	heap.Push(&l.events, event{l.now + time.Duration(seconds*float64(time.Second)), run})
}

func (l *loop) exponential(mean float64) float64 { return l.random.ExpFloat64() * mean }

func (l *loop) changeSpeeds() {
	first := l.sites[0].speed
	for i := range l.sites[1:] {
		l.sites[i].speed = l.sites[i+1].speed
	}
	l.sites[len(l.sites)-1].speed = first
	l.after(trialSpeedChange.Seconds(), l.changeSpeeds)
}

func (l *loop) renew(s *site) {
	s.shared, s.sharedAt = s.report(), l.now
	l.after(l.age.Seconds(), func() { l.renew(s) })
}

// measure adds up the idle slots until the time of the next event, if a request waits.
func (l *loop) measure(until time.Duration) {
	if l.now < trialWarmUp {
		return
	}
	idle, waiting := 0, 0
	for _, s := range l.sites {
		idle += trialSlots - s.running
		waiting += len(s.queue)
		s.work += float64(s.running) * (until - l.now).Seconds()
	}
	if waiting > 0 {
		l.idle += float64(idle) * (until - l.now).Seconds()
	}
	l.wasted += float64(min(idle, waiting)) * (until - l.now).Seconds()
}

func (l *loop) result() measured {
	slices.Sort(l.waits)
	r := l.out
	r.p50, r.p99 = l.waits[len(l.waits)/2], l.waits[len(l.waits)*99/100]
	r.idle = l.idle / (l.span - trialWarmUp).Seconds() / (trialTargets * trialSlots)
	r.wasted = l.wasted / (l.span - trialWarmUp).Seconds() / (trialTargets * trialSlots)
	total := 0.0
	for _, s := range l.sites {
		total += s.work
		r.busiest = max(r.busiest, s.work)
	}
	r.busiest *= trialTargets / total
	sum := float64(l.sent[0] + l.sent[1] + l.sent[2])
	r.other, r.far = float64(l.sent[1])/sum, float64(l.sent[2])/sum
	return r
}

// caller is a node that sends requests.
type caller struct {
	*loop
	policy   chooser
	self     seampeer.Peer
	all      []seampick.Candidate
	rate     float64
	reported []time.Duration
}

func (c *caller) clock() time.Time { return now.Add(c.now) }

func (c *caller) arrive() {
	c.after(c.exponential(1/c.rate), c.arrive)
	c.send(c.now, nil)
}

const trialAttempts = 3

// send makes one attempt of a request that arrived at the given time; tried are the targets that have refused it.
func (c *caller) send(arrived time.Duration, tried []string) {
	q := seambalance.Query{Objective: time.Second, Deadline: 3 * time.Second}
	got, ok := c.policy.Pick(c.clock(), c.all, q, func(p seampeer.Peer) bool { return slices.Contains(tried, p.Name) })
	if !ok {
		return
	}
	i := slices.IndexFunc(c.all, func(a seampick.Candidate) bool { return a.Peer == got.Peer })
	s := c.sites[i]
	c.policy.Sent(c.clock(), got.Peer)
	c.after(trialRoundTrip.Seconds()/2, func() {
		if s.wait() > trialLimit {
			c.respond(i, s.report())
			c.after(trialRoundTrip.Seconds()/2, func() {
				if tried = append(tried, s.peer.Name); len(tried) < trialAttempts {
					c.send(arrived, tried)
				} else if c.now > trialWarmUp {
					c.out.refused++
					c.waits = append(c.waits, trialLimit)
				}
			})
			return
		}
		if s.running < trialSlots {
			c.start(arrived, i)
			return
		}
		s.queue = append(s.queue, func() { c.start(arrived, i) })
	})
}

// start starts a request at the target.
func (c *caller) start(arrived time.Duration, i int) {
	s := c.sites[i]
	s.running++
	if c.now > trialWarmUp {
		c.waits = append(c.waits, c.now-arrived)
		switch {
		case s.peer.Region != c.self.Region:
			c.sent[2]++
		case s.peer.Domain != c.self.Domain:
			c.sent[1]++
		default:
			c.sent[0]++
		}
	}
	took := trialService.Seconds() / s.speed * (0.5 + c.random.Float64())
	c.after(took, func() {
		s.running--
		s.service += time.Duration(0.1 * (took*float64(time.Second) - float64(s.service)))
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			next()
		}
		r := s.report()
		r.Served = true
		c.respond(i, r)
	})
}

// respond delivers a response. Its report is taken out if the node has one from the target that is younger than the age.
func (c *caller) respond(i int, r seambalance.Result) {
	at := c.now
	if c.shared {
		served := r.Served
		r, at = c.sites[i].shared, c.sites[i].sharedAt
		r.Served = served
	}
	c.after(trialRoundTrip.Seconds()/2, func() {
		if c.reported[i] > 0 && at-c.reported[i] < c.age {
			r = seambalance.Result{Served: r.Served}
		} else {
			c.reported[i] = at
		}
		c.policy.Ended(c.clock(), c.sites[i].peer, r)
	})
}
