package seambalance_test

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seambalance"
	"cardamomseam/internal/route/seampick"
)

var (
	now  = time.Unix(1000, 0)
	self = seampeer.Peer{Name: "self", Incarnation: 1, Region: "ost", Domain: "ost-1"}
)

func candidate(name, region, domain string) seampick.Candidate {
	return seampick.Candidate{Peer: seampeer.Peer{Name: name, Incarnation: 1, Region: region, Domain: domain}, Slots: 10}
}

var (
	near = candidate("near", "ost", "ost-1")
	rest = candidate("rest", "ost", "ost-2")
	far  = candidate("far", "west", "west-1")
	all  = []seampick.Candidate{far, rest, near}
)

func newChooser() *seambalance.Balancer {
	return seambalance.New(seambalance.Config{Random: func() float64 { return 0 }}, self, metrics.NewSet())
}

// tell lets a request to the candidate end.
func tell(c *seambalance.Balancer, at time.Time, p seampeer.Peer, r seambalance.Result) {
	c.Sent(at, p)
	c.Ended(at, p, r)
}

// report returns what an idle target of the service time says.
func report(service, wait time.Duration) seambalance.Result {
	return seambalance.Result{Reported: true, Slots: 10, ServiceTime: service, ClassServiceTime: service, QueueWait: wait, Served: true}
}

func pick(c *seambalance.Balancer, at time.Time, q seambalance.Query) string {
	got, ok := c.Pick(at, all, q, nil)
	if !ok {
		return ""
	}
	return got.Peer.Name
}

var lookup = seambalance.Query{Objective: 300 * time.Millisecond, Deadline: 800 * time.Millisecond}

func TestPickWeighsTheWayAgainstTheTime(t *testing.T) {
	upload := lookup
	upload.Bytes = 60_000
	for _, tt := range []struct {
		name    string
		query   seambalance.Query
		service time.Duration
		wait    time.Duration
		want    string
	}{
		{"idle", lookup, 90 * time.Millisecond, 0, "near"},
		{"somewhat slower", lookup, 120 * time.Millisecond, 0, "near"},
		{"slow", lookup, 600 * time.Millisecond, 0, "rest"},
		{"queue", lookup, 90 * time.Millisecond, 400 * time.Millisecond, "rest"},
		{"slow, but the way costs more", upload, 600 * time.Millisecond, 0, "near"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newChooser()
			tell(c, now, near.Peer, report(tt.service, tt.wait))
			tell(c, now, rest.Peer, report(90*time.Millisecond, 0))
			if got := pick(c, now, tt.query); got != tt.want {
				t.Errorf("picked %q, want %q", got, tt.want)
			}
		})
	}
}

// A target that joined is expected to be as fast as the median of its service, so
// that requests with a short objective reach it too.
func TestUnknownTargetCountsLikeTheKnownOnes(t *testing.T) {
	short := seambalance.Query{Objective: 80 * time.Millisecond, Deadline: 300 * time.Millisecond}
	for _, tt := range []struct {
		name  string
		known []time.Duration
		want  string
	}{
		{"the known ones are fast", []time.Duration{20 * time.Millisecond, 30 * time.Millisecond}, "near"},
		{"none is known", nil, "near"},
		{"a slower one is known", []time.Duration{300 * time.Millisecond}, "near"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newChooser()
			others := []seampick.Candidate{rest, far}
			for i, service := range tt.known {
				tell(c, now, others[i].Peer, report(service, 0))
			}
			if got := pick(c, now, short); got != tt.want {
				t.Errorf("picked %q, want %q", got, tt.want)
			}
		})
	}
}

// A target that runs long requests is not taken for slow by the short ones: each class has its own time.
func TestEachClassHasItsOwnTime(t *testing.T) {
	const long, brief = 1, 2
	c := newChooser()
	for _, n := range []struct {
		at          seampeer.Peer
		mean, brief time.Duration
	}{
		{near.Peer, 300 * time.Millisecond, 40 * time.Millisecond},
		{rest.Peer, 42 * time.Millisecond, 60 * time.Millisecond},
	} {
		tell(c, now, n.at, seambalance.Result{Reported: true, Slots: 10, ServiceTime: n.mean, Class: brief, ClassServiceTime: n.brief, Served: true})
		tell(c, now, n.at, seambalance.Result{Reported: true, Slots: 10, ServiceTime: n.mean, Class: long, ClassServiceTime: 350 * time.Millisecond, Served: true})
	}
	short := seambalance.Query{Class: brief, Objective: 100 * time.Millisecond, Deadline: 300 * time.Millisecond}
	if got := pick(c, now, short); got != "near" {
		t.Errorf("picked %q for a short request", got)
	}
}

// A target that was slow long ago is expected to be as fast as the others again.
func TestOldTimeGivesWayToTheUsualOne(t *testing.T) {
	c := newChooser()
	tell(c, now, near.Peer, report(600*time.Millisecond, 0))
	tell(c, now, rest.Peer, report(90*time.Millisecond, 0))
	if got := pick(c, now, lookup); got != "rest" {
		t.Errorf("picked %q beside a slow target", got)
	}
	later := now.Add(40 * time.Second)
	tell(c, later, rest.Peer, report(90*time.Millisecond, 0))
	if got := pick(c, later, lookup); got != "near" {
		t.Errorf("picked %q long after the target was slow", got)
	}
}

func TestFailingTargetIsLeftUntilItRecovers(t *testing.T) {
	c := newChooser()
	for range 20 {
		tell(c, now, near.Peer, seambalance.Result{Reported: true, Slots: 10, ServiceTime: 90 * time.Millisecond, ClassServiceTime: 90 * time.Millisecond, Failed: true})
		tell(c, now, rest.Peer, report(90*time.Millisecond, 0))
	}
	if got := pick(c, now, lookup); got != "rest" {
		t.Errorf("picked %q beside a target that fails", got)
	}
	if got := pick(c, now.Add(20*time.Second), lookup); got != "near" {
		t.Errorf("picked %q long after the failures", got)
	}
}

func TestUnreachableNodeIsChosenLast(t *testing.T) {
	c := newChooser()
	tell(c, now, near.Peer, seambalance.Result{Unreachable: true})
	if got := pick(c, now, lookup); got == "near" {
		t.Error("a node that can't be reached was chosen")
	}
	only := []seampick.Candidate{near}
	if got, ok := c.Pick(now, only, lookup, nil); !ok || got.Peer.Name != "near" {
		t.Error("the only node was not chosen")
	}
	if got := pick(c, now.Add(time.Second), lookup); got != "near" {
		t.Errorf("picked %q after the ejection", got)
	}
}

func TestRequestsUnderWayCount(t *testing.T) {
	c := newChooser()
	tell(c, now, near.Peer, report(90*time.Millisecond, 0))
	tell(c, now, rest.Peer, report(90*time.Millisecond, 0))
	for range 50 {
		c.Sent(now, near.Peer)
	}
	if got := pick(c, now, lookup); got != "rest" {
		t.Errorf("picked %q with 50 requests at ten slots", got)
	}
}

func TestDrainingAndSkippedNodesAreNotChosen(t *testing.T) {
	c := newChooser()
	draining := near
	draining.Draining = true
	got, ok := c.Pick(now, []seampick.Candidate{draining, rest, far}, lookup, func(p seampeer.Peer) bool { return p.Name == "rest" })
	if !ok || got.Peer.Name != "far" {
		t.Errorf("picked %q", got.Peer.Name)
	}
}
