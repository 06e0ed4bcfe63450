package seambalance_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seambalance"
	"cardamomseam/internal/route/seampick"
)

func newEven(set *metrics.Set) *seambalance.Balancer {
	random := rand.New(rand.NewPCG(1, 2))
	return seambalance.New(seambalance.Config{Policy: seambalance.Even, Random: random.Float64}, self, set)
}

// shares picks many times without sending and returns the share of each candidate by name.
func shares(c *seambalance.Balancer, at time.Time, all []seampick.Candidate, skip func(seampeer.Peer) bool) map[string]float64 {
	const picks = 2000
	found := map[string]float64{}
	for range picks {
		got, ok := c.Pick(at, all, lookup, skip)
		if !ok {
			return nil
		}
		found[got.Peer.Name] += 1.0 / picks
	}
	return found
}

// TestEvenRespectsConstraints guards against noise that overrules what a pick must respect.
func TestEvenRespectsConstraints(t *testing.T) {
	peer := candidate("peer", "ost", "ost-1")
	ready, busy := report(90*time.Millisecond, 0), report(90*time.Millisecond, 0)
	busy.InFlight = 30
	limited, refused, failed := ready, busy, ready
	limited.Limited, limited.QueueWait = true, time.Second
	refused.Served, refused.QueueWait, refused.InFlight = false, time.Second, 0
	failed.Served, failed.Failed = false, true
	draining := near
	draining.Draining = true
	for _, tt := range []struct {
		name      string
		candidate seampick.Candidate
		result    seambalance.Result
		skip      func(seampeer.Peer) bool
		most      float64
	}{
		{"draining", draining, ready, nil, 0},
		{"skipped", near, ready, func(p seampeer.Peer) bool { return p.Name == "near" }, 0},
		{"unreachable", near, seambalance.Result{Unreachable: true}, nil, 0},
		{"limited", near, limited, nil, 0},
		{"refused with a wait", near, refused, nil, 0.01},
		{"full", near, busy, nil, 0.01},
		{"failing", near, failed, nil, 0.01},
		{"other region", far, ready, nil, 0},
		{"other domain", rest, ready, nil, 0},
		{"as idle as the other", near, ready, nil, 0.6},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newEven(metrics.NewSet())
			for range 5 {
				complete(c, now, tt.candidate.Peer, tt.result)
				complete(c, now, peer.Peer, ready)
			}
			if got := shares(c, now, []seampick.Candidate{tt.candidate, peer}, tt.skip)[tt.candidate.Peer.Name]; got > tt.most {
				t.Errorf("picked for %.3f of the requests, want at most %.3f", got, tt.most)
			}
		})
	}
}

// TestEvenSharesBySpeedWithoutReports guards against equal shares for targets of different speed when all reports are old.
func TestEvenSharesBySpeedWithoutReports(t *testing.T) {
	c := newEven(metrics.NewSet())
	slow, fast := candidate("slow", "ost", "ost-1"), candidate("fast", "ost", "ost-1")
	for i := range 40 {
		at := now.Add(time.Duration(i) * time.Second)
		busy := report(100*time.Millisecond, 0)
		// Reports that contradict each other: a forecast says nothing.
		busy.InFlight = i % 2 * 18
		complete(c, at, fast.Peer, busy)
		busy.ServiceTime, busy.ClassServiceTime = 200*time.Millisecond, 200*time.Millisecond
		complete(c, at, slow.Peer, busy)
		shares(c, at, []seampick.Candidate{slow, fast}, nil)
	}
	got := shares(c, now.Add(45*time.Second), []seampick.Candidate{slow, fast}, nil)
	if got["fast"] < 0.55 || got["slow"] < 0.1 {
		t.Errorf("shares are %v", got)
	}
}

// TestEvenGivesNewTargetItsShare guards against a target without reports that gets nothing, or all.
func TestEvenGivesNewTargetItsShare(t *testing.T) {
	c := newEven(metrics.NewSet())
	var all []seampick.Candidate
	for i := range 4 {
		n := candidate(fmt.Sprint("t", i), "ost", "ost-1")
		all = append(all, n)
		if i == 0 {
			continue
		}
		r := report(90*time.Millisecond, 0)
		r.InFlight = 4
		complete(c, now, n.Peer, r)
	}
	if got := shares(c, now, all, nil)["t0"]; got < 0.05 || got > 0.7 {
		t.Errorf("the new target gets %.3f of the requests of 4 targets", got)
	}
}

// TestEvenPicksAmongManyAndNone guards against a failure without candidates, and against noise that favours a few of many equal targets.
func TestEvenPicksAmongManyAndNone(t *testing.T) {
	c := newEven(metrics.NewSet())
	if _, ok := c.Pick(now, nil, lookup, nil); ok {
		t.Error("picked one of no candidates")
	}
	var all []seampick.Candidate
	for i := range 300 {
		all = append(all, candidate(fmt.Sprint("t", i), "ost", "ost-1"))
	}
	if got := len(shares(c, now, all, nil)); got < 200 {
		t.Errorf("picked only %d of 300 equal targets", got)
	}
}

// TestEvenAvoidsWaitsAfterTheObjective guards against a request whose objective has passed, as before a retry, and that is sent to the
// target with the longest wait, since the cost of a wait is relative to the time left.
func TestEvenAvoidsWaitsAfterTheObjective(t *testing.T) {
	peer := candidate("peer", "ost", "ost-1")
	busy := report(90*time.Millisecond, 0)
	busy.InFlight = 30
	for _, left := range []time.Duration{-time.Second, -time.Millisecond, -1} {
		c := newEven(metrics.NewSet())
		for range 5 {
			complete(c, now, near.Peer, busy)
			complete(c, now, peer.Peer, report(90*time.Millisecond, 0))
		}
		q := lookup
		q.Objective, q.Deadline = left, 2*time.Second
		for range 200 {
			if got, _ := c.Pick(now, []seampick.Candidate{near, peer}, q, nil); got.Peer.Name != "peer" {
				t.Errorf("%v after the objective, the full target was picked", -left)
				break
			}
		}
	}
}

// TestEvenCountsRanks guards against metrics that count another number of picks than one in 64.
func TestEvenCountsRanks(t *testing.T) {
	set := metrics.NewSet()
	c := newEven(set)
	for range 640 {
		c.Pick(now, all, lookup, nil)
	}
	var text strings.Builder
	set.WritePrometheus(&text)
	if !strings.Contains(text.String(), `cardamomseam_choice_rank_total{rank="1"} 10`) {
		t.Error(text.String())
	}
}
