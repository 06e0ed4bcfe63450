package seampoison_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cardamomseam/internal/route/seampoison"
)

var modelSeeds = flag.Int("poisonseeds", 1, "number of seeds that the model of poison requests plays")

const (
	modelTick   = 10 * time.Millisecond
	modelLength = 20 * time.Second
	// modelDowntime is the time after which a crashed target runs again.
	modelDowntime = time.Second
	// quarantineDelay is the time from the third crash on after which a request may reach at most maxLateRuns targets.
	quarantineDelay = 3 * time.Second
	maxLateRuns     = 3
	// maxRefusal is the longest time for which a request that crashes nothing may be refused while a target is up.
	maxRefusal = 3 * time.Second
	// maxNews is the longest time until another node has a change of an entry or of a record.
	maxNews = 1200 * time.Millisecond
)

// model plays nodes with targets that share what they know by way of a store, as package seamrouter does.
type model struct {
	random  *rand.Rand
	now     time.Time
	nodes   []*modelNode
	records map[string]seampoison.Record
	// revision is that of the store.
	revision int64
	news     []modelNews
	// crashes are the times of the crashes by the poison request, and served counts the responses to the hot one.
	crashes []time.Time
	served  int
	// refusedSince is the time from which on all copies of the hot request were refused; zero if one was not.
	refusedSince time.Time
	longest      time.Duration
}

type modelNode struct {
	name    string
	table   *seampoison.Table
	sent    string
	born    int64
	upAt    time.Time
	running []*modelRun
}

// modelRun is a request that a target runs.
type modelRun struct {
	fingerprint seampoison.Fingerprint
	poison, hot bool
	// trial means that the request is quarantined and was sent through the node nevertheless.
	trial   bool
	through *modelNode
	// crashes is the number of targets that it has crashed before, or that crashed beside it.
	crashes int
	endsAt  time.Time
}

type modelNews struct {
	at    time.Time
	apply func()
}

const modelService = "booker"

var (
	poisonPrint = seampoison.NewFingerprint(1, nil)
	hotPrint    = seampoison.NewFingerprint(2, nil)
)

func newModel(seed uint64, nodes int) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), records: map[string]seampoison.Record{}}
	for i := range nodes {
		m.nodes = append(m.nodes, &modelNode{name: fmt.Sprint("n", i), table: seampoison.New()})
	}
	return m
}

// later calls apply after the time that news takes.
func (m *model) later(apply func()) {
	delay := time.Duration(m.random.Int64N(int64(maxNews)))
	m.news = append(m.news, modelNews{m.now.Add(delay), apply})
}

// share does what a node does after changes of its table.
func (m *model) share(n *modelNode) {
	n.table.Expire(m.now)
	encoded, _ := n.table.Report().Encode()
	if text := string(encoded); text != n.sent {
		n.sent = text
		for _, o := range m.nodes {
			if o != n {
				m.later(func() { _ = o.table.Hear(n.name, text) })
			}
		}
	}
	for _, r := range n.table.Unrecorded() {
		m.write(n, r, 0)
	}
	for _, r := range n.table.Ended() {
		key := seampoison.StoreKey(r.Key)
		if m.records[key].Revision != r.Revision {
			continue
		}
		delete(m.records, key)
		n.table.DeleteRecord(m.now, key)
		for _, o := range m.nodes {
			m.later(func() { o.table.DeleteRecord(m.now, key) })
		}
	}
}

// write writes a record if the store has the expected revision of it.
func (m *model) write(n *modelNode, r seampoison.Record, expected int64) bool {
	key := seampoison.StoreKey(r.Key)
	if found := m.records[key]; found.Revision != expected {
		n.table.PutRecord(m.now, found)
		return false
	}
	m.revision++
	r.Revision = m.revision
	m.records[key] = r
	n.table.PutRecord(m.now, r)
	for _, o := range m.nodes {
		m.later(func() { o.table.PutRecord(m.now, r) })
	}
	return true
}

// send sends a request through a node to targets until one runs it. It reports whether a target took it.
func (m *model) send(through *modelNode, r modelRun) bool {
	key := seampoison.Key{Service: modelService, Fingerprint: r.fingerprint}
	v := through.table.Check(m.now, key)
	if v.Refused && v.TrialDue {
		record, expected := through.table.Trial(key)
		r.trial, r.through = m.write(through, record, expected), through
	}
	if v.Refused && !r.trial {
		return false
	}
	for _, i := range m.random.Perm(len(m.nodes)) {
		door := m.nodes[i]
		if m.now.Before(door.upAt) {
			continue
		}
		if !r.trial && door.table.Check(m.now, key).Refused {
			return false
		}
		if r.trial && slices.ContainsFunc(door.running, func(x *modelRun) bool { return x.trial }) {
			continue // a target runs one trial at a time
		}
		r.endsAt = m.now.Add(time.Duration(20+m.random.IntN(400)) * time.Millisecond)
		if r.poison {
			r.endsAt = m.now.Add(time.Duration(5+m.random.IntN(100)) * time.Millisecond)
		}
		door.running = append(door.running, &r)
		return true
	}
	return false
}

// crash ends the target of a node with all that it runs. What may be repeated is sent once more.
func (m *model) crash(n *modelNode) {
	crash := seampoison.Crash{Service: modelService, Incarnation: seampoison.NewIncarnation(n.name, n.born)}
	ended := n.running
	n.running, n.upAt = nil, m.now.Add(modelDowntime)
	n.born++
	for _, r := range ended {
		crash.Requests = append(crash.Requests, seampoison.Running{Fingerprint: r.fingerprint})
	}
	n.table.AddCrash(m.now, crash)
	for _, r := range ended {
		again := *r
		again.crashes++
		through := m.nodes[m.random.IntN(len(m.nodes))]
		suspected := through.table.Check(m.now, seampoison.Key{Service: modelService, Fingerprint: r.fingerprint}).Suspected
		if again.crashes < 2 && !again.trial && !suspected {
			m.send(through, again)
		}
	}
}

// run ends the requests whose time has come.
func (m *model) run(n *modelNode) {
	var left []*modelRun
	crashed := false
	for _, r := range n.running {
		switch {
		case m.now.Before(r.endsAt):
			left = append(left, r)
		case r.poison:
			crashed = true
			left = append(left, r)
			m.crashes = append(m.crashes, m.now)
		default:
			if r.hot {
				m.served++
			}
			key := seampoison.Key{Service: modelService, Fingerprint: r.fingerprint}
			n.table.AddAnswer(m.now, key)
			if r.trial {
				r.through.table.AddAnswer(m.now, key)
			}
		}
	}
	n.running = left
	if crashed {
		m.crash(n)
	}
}

// modelPlay is what happens beside the hot request.
type modelPlay struct {
	// poisonEvery is the mean time between two copies of the poison request, 0 for none.
	poisonEvery time.Duration
	// crashEvery is the mean time between two crashes that no request causes, 0 for none; of all targets at once if herd is set.
	crashEvery time.Duration
	herd       bool
	// copies is the number of copies of the hot request in flight.
	copies int
}

func (m *model) happens(every time.Duration) bool {
	return every > 0 && m.random.Int64N(int64(every)) < int64(modelTick)
}

func (m *model) play(p modelPlay) {
	unique := uint64(100)
	for end := m.now.Add(modelLength); m.now.Before(end); m.now = m.now.Add(modelTick) {
		var waiting []modelNews
		for _, x := range m.news {
			if x.at.After(m.now) {
				waiting = append(waiting, x)
				continue
			}
			x.apply()
		}
		m.news = waiting
		for _, n := range m.nodes {
			m.run(n)
		}
		if m.happens(p.crashEvery) {
			m.crashInnocently(p.herd)
		}
		through := m.nodes[m.random.IntN(len(m.nodes))]
		if m.happens(p.poisonEvery) {
			m.send(through, modelRun{fingerprint: poisonPrint, poison: true})
		}
		unique++
		m.send(through, modelRun{fingerprint: seampoison.NewFingerprint(unique, nil)})
		m.pressHot(p.copies)
		for _, n := range m.nodes {
			m.share(n)
		}
	}
}

func (m *model) crashInnocently(herd bool) {
	if !herd {
		m.crash(m.nodes[m.random.IntN(len(m.nodes))])
		return
	}
	for _, n := range m.nodes {
		m.crash(n)
	}
}

// pressHot keeps copies of the hot request in flight, and notes how long all of them are refused while a target is up.
func (m *model) pressHot(copies int) {
	running, up := 0, false
	for _, n := range m.nodes {
		up = up || !m.now.Before(n.upAt)
		for _, r := range n.running {
			if r.hot {
				running++
			}
		}
	}
	taken := running > 0
	for ; running < copies; running++ {
		taken = m.send(m.nodes[m.random.IntN(len(m.nodes))], modelRun{fingerprint: hotPrint, hot: true}) || taken
	}
	switch {
	case taken || !up:
		m.refusedSince = time.Time{}
	case m.refusedSince.IsZero():
		m.refusedSince = m.now
	default:
		m.longest = max(m.longest, m.now.Sub(m.refusedSince))
	}
}

// late returns the number of crashes by the poison request more than quarantineDelay after the third.
func (m *model) late() int {
	late := 0
	for i, at := range m.crashes {
		if i > 2 && at.Sub(m.crashes[2]) > quarantineDelay {
			late++
		}
	}
	return late
}

func TestModelKeepsPoisonRequestsFromTargetsAndServesOthers(t *testing.T) {
	for _, tt := range []struct {
		name  string
		nodes int
		play  modelPlay
	}{
		{"poison", 6, modelPlay{poisonEvery: 300 * time.Millisecond, copies: 1}},
		{"poison seldom", 6, modelPlay{poisonEvery: 5 * time.Second, copies: 1}},
		{"poison beside a hot request", 6, modelPlay{poisonEvery: 300 * time.Millisecond, copies: 60}},
		{"poison beside a hot request at 28 targets", 28, modelPlay{poisonEvery: 100 * time.Millisecond, copies: 200}},
		{"single crashes beside a hot request", 6, modelPlay{crashEvery: 2 * time.Second, copies: 200}},
		{"crashes of all targets beside a hot request", 6, modelPlay{crashEvery: 8 * time.Second, herd: true, copies: 200}},
		{"poison and crashes beside a hot request", 6, modelPlay{poisonEvery: time.Second, crashEvery: 2 * time.Second, copies: 60}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			worst, most, quarantined := time.Duration(0), 0, 0
			for seed := range uint64(*modelSeeds) {
				m := newModel(seed, tt.nodes)
				m.play(tt.play)
				if late := m.late(); late > maxLateRuns {
					t.Errorf("seed %d: the poison request crashed %d targets more than %v after the third, want at most %d", seed, late, quarantineDelay, maxLateRuns)
				}
				if m.longest > maxRefusal {
					t.Errorf("seed %d: the hot request was refused for %v while a target was up, want at most %v", seed, m.longest, maxRefusal)
				}
				if m.served == 0 {
					t.Errorf("seed %d: no hot request was served", seed)
				}
				worst, most = max(worst, m.longest), max(most, len(m.crashes))
				if m.longest > 0 {
					quarantined++
				}
			}
			t.Logf("the hot request was refused in %d of %d seeds, for %v at most; at most %d crashes by the poison request", quarantined, *modelSeeds, worst, most)
		})
	}
}
