package seampick_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seampick"
)

var (
	now  = time.Unix(1000, 0)
	self = seampeer.Peer{Name: "self", Incarnation: 1, Region: "ost", Domain: "ost-1"}
)

func candidate(name, region, domain string, inFlight int) seampick.Candidate {
	return seampick.Candidate{
		Peer:     seampeer.Peer{Name: name, Incarnation: 1, Region: region, Domain: domain},
		Slots:    10,
		InFlight: inFlight,
	}
}

func newPicker() *seampick.Picker {
	r := rand.New(rand.NewPCG(1, 2))
	return seampick.New(seampick.Config{RandomInt: r.IntN}, self, metrics.NewSet())
}

// only matches candidates by one label.
type only string

func (o only) Matches(labels map[string]string) bool { return labels["set"] == string(o) }

func TestPickWeighsDistanceAgainstLoad(t *testing.T) {
	for _, tt := range []struct {
		name               string
		domain, rest, away int
		want               string
	}{
		{"idle", 0, 0, 0, "domain"},
		{"equal load", 3, 3, 0, "domain"},
		{"more load", 3, 2, 0, "rest"},
		{"region busy", 12, 12, 0, "domain"},
		{"region full", 16, 16, 0, "away"},
		{"all full", 16, 16, 17, "domain"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			all := []seampick.Candidate{
				candidate("away", "west", "west-1", tt.away),
				candidate("rest", "ost", "ost-2", tt.rest),
				candidate("domain", "ost", "ost-1", tt.domain),
			}
			got, ok := newPicker().Pick(now, all, nil, nil)
			if !ok || got.Peer.Name != tt.want {
				t.Errorf("picked %q, want %q", got.Peer.Name, tt.want)
			}
		})
	}
}

func TestPickHonorsLabelsDrainingAndSkip(t *testing.T) {
	chosen := candidate("chosen", "west", "west-1", 9)
	chosen.Labels = map[string]string{"set": "blue"}
	draining := candidate("draining", "ost", "ost-1", 0)
	draining.Labels, draining.Draining = chosen.Labels, true
	skipped := candidate("skipped", "ost", "ost-1", 0)
	skipped.Labels = chosen.Labels
	all := []seampick.Candidate{draining, skipped, candidate("other", "ost", "ost-1", 0), chosen}
	skip := func(p seampeer.Peer) bool { return p.Name == "skipped" }
	if got, ok := newPicker().Pick(now, all, only("blue"), skip); !ok || got.Peer.Name != "chosen" {
		t.Errorf("picked %q", got.Peer.Name)
	}
	if got, ok := newPicker().Pick(now, all, only("red"), nil); ok {
		t.Errorf("picked %q without a match", got.Peer.Name)
	}
}

func TestFailingNodeIsEjectedButNoServiceEmptied(t *testing.T) {
	p := newPicker()
	all := []seampick.Candidate{candidate("bad", "ost", "ost-1", 0), candidate("good", "ost", "ost-1", 0)}
	fail(p, all[0].Peer)
	if n := count(p, all)["bad"]; n != 0 {
		t.Errorf("the failing node was picked %d times", n)
	}
	fail(p, all[1].Peer)
	if n := count(p, all); n["bad"]+n["good"] != picks || n["bad"] == 0 || n["good"] == 0 {
		t.Errorf("picks %v with all nodes ejected", n)
	}
	if got, _ := p.Pick(now.Add(time.Minute), all[:1], nil, nil); got.Peer.Name != "bad" {
		t.Error("the ejection did not end")
	}
}

const picks = 200

func fail(p *seampick.Picker, peer seampeer.Peer) {
	for range 5 {
		p.Sent(now, peer)
		p.Ended(now, peer, seampick.Result{Failed: true})
	}
}

func count(p *seampick.Picker, all []seampick.Candidate) map[string]int {
	n := map[string]int{}
	for range picks {
		if c, ok := p.Pick(now, all, nil, nil); ok {
			n[c.Peer.Name]++
		}
	}
	return n
}

func TestAnchorIsTheSameForEveryNode(t *testing.T) {
	var all []seampick.Candidate
	for i := range 6 {
		all = append(all, candidate(fmt.Sprint("n", i), "ost", "ost-1", i))
	}
	first, _ := newPicker().PickByHash("visit 7", "ost", all, nil, nil)
	slices.Reverse(all)
	second, _ := newPicker().PickByHash("visit 7", "ost", all, nil, nil)
	if !first.Peer.Same(second.Peer) {
		t.Errorf("anchors %v and %v", first.Peer, second.Peer)
	}
}

// TestSteadyLoadIsBalanced simulates callers that see only their own requests
// and the reports on answers.
func TestSteadyLoadIsBalanced(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	all := make([]seampick.Candidate, 6)
	for i := range all {
		all[i] = candidate(fmt.Sprint("n", i), "ost", "ost-1", 0)
	}
	pickers := []*seampick.Picker{newPicker(), newPicker(), newPicker()}
	type running struct {
		picker, target int
	}
	var inFlight []running
	load, total := make([]int, len(all)), make([]int, len(all))
	clock := now
	for range 30_000 {
		clock = clock.Add(time.Millisecond / 6)
		if len(inFlight) >= 30 {
			i := r.IntN(len(inFlight))
			e := inFlight[i]
			inFlight = slices.Delete(inFlight, i, i+1)
			load[e.target]--
			pickers[e.picker].Ended(clock, all[e.target].Peer, seampick.Result{Reported: true, InFlight: load[e.target], Slots: 10})
		}
		p := r.IntN(len(pickers))
		c, _ := pickers[p].Pick(clock, all, nil, nil)
		n := slices.IndexFunc(all, func(o seampick.Candidate) bool { return o.Peer == c.Peer })
		pickers[p].Sent(clock, c.Peer)
		load[n]++
		total[n]++
		inFlight = append(inFlight, running{p, n})
	}
	if worst := float64(slices.Max(total)) / (30_000.0 / 6); worst > 1.1 {
		t.Errorf("max/mean %.3f, requests %v", worst, total)
	}
}
