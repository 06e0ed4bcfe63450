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

func newBalancer() *seambalance.Balancer {
	return seambalance.New(seambalance.Config{Random: func() float64 { return 0 }}, self, metrics.NewSet())
}

// complete records a request to the peer that ended with the result.
func complete(c *seambalance.Balancer, at time.Time, p seampeer.Peer, r seambalance.Result) {
	c.Sent(at, p)
	c.Ended(at, p, r)
}

// report returns the result from an idle target with the service time and queueing delay.
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

func TestPickWeighsNetworkCostAgainstLatency(t *testing.T) {
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
		{"slow, but the network cost is higher", upload, 600 * time.Millisecond, 0, "near"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newBalancer()
			complete(c, now, near.Peer, report(tt.service, tt.wait))
			complete(c, now, rest.Peer, report(90*time.Millisecond, 0))
			if got := pick(c, now, tt.query); got != tt.want {
				t.Errorf("picked %q, want %q", got, tt.want)
			}
		})
	}
}

// TestUnknownTargetIsExpectedAtMedianLatency checks that a new target is assumed to be as fast as the median, so
// that it also gets requests with a short objective.
func TestUnknownTargetIsExpectedAtMedianLatency(t *testing.T) {
	short := seambalance.Query{Objective: 80 * time.Millisecond, Deadline: 300 * time.Millisecond}
	for _, tt := range []struct {
		name  string
		known []time.Duration
		want  string
	}{
		{"known targets are fast", []time.Duration{20 * time.Millisecond, 30 * time.Millisecond}, "near"},
		{"no known target", nil, "near"},
		{"known target is slower", []time.Duration{300 * time.Millisecond}, "near"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newBalancer()
			others := []seampick.Candidate{rest, far}
			for i, service := range tt.known {
				complete(c, now, others[i].Peer, report(service, 0))
			}
			if got := pick(c, now, short); got != tt.want {
				t.Errorf("picked %q, want %q", got, tt.want)
			}
		})
	}
}

// TestServiceTimeIsTrackedPerClass checks that a target that runs long requests does not count as slow for short ones.
func TestServiceTimeIsTrackedPerClass(t *testing.T) {
	const long, brief = 1, 2
	c := newBalancer()
	for _, n := range []struct {
		at          seampeer.Peer
		mean, brief time.Duration
	}{
		{near.Peer, 300 * time.Millisecond, 40 * time.Millisecond},
		{rest.Peer, 42 * time.Millisecond, 60 * time.Millisecond},
	} {
		complete(c, now, n.at, seambalance.Result{Reported: true, Slots: 10, ServiceTime: n.mean, Class: brief, ClassServiceTime: n.brief, Served: true})
		complete(c, now, n.at, seambalance.Result{Reported: true, Slots: 10, ServiceTime: n.mean, Class: long, ClassServiceTime: 350 * time.Millisecond, Served: true})
	}
	short := seambalance.Query{Class: brief, Objective: 100 * time.Millisecond, Deadline: 300 * time.Millisecond}
	if got := pick(c, now, short); got != "near" {
		t.Errorf("picked %q for a short request", got)
	}
}

// TestOldServiceTimeDecaysToMedian checks that a target that was slow long ago is assumed to be as fast as the others again.
func TestOldServiceTimeDecaysToMedian(t *testing.T) {
	c := newBalancer()
	complete(c, now, near.Peer, report(600*time.Millisecond, 0))
	complete(c, now, rest.Peer, report(90*time.Millisecond, 0))
	if got := pick(c, now, lookup); got != "rest" {
		t.Errorf("picked %q, want the target that is not slow", got)
	}
	later := now.Add(40 * time.Second)
	complete(c, later, rest.Peer, report(90*time.Millisecond, 0))
	if got := pick(c, later, lookup); got != "near" {
		t.Errorf("picked %q long after the target was slow", got)
	}
}

func TestFailingTargetIsAvoidedUntilFailuresDecay(t *testing.T) {
	c := newBalancer()
	for range 20 {
		complete(c, now, near.Peer, seambalance.Result{Reported: true, Slots: 10, ServiceTime: 90 * time.Millisecond, ClassServiceTime: 90 * time.Millisecond, Failed: true})
		complete(c, now, rest.Peer, report(90*time.Millisecond, 0))
	}
	if got := pick(c, now, lookup); got != "rest" {
		t.Errorf("picked %q, want the target that does not fail", got)
	}
	if got := pick(c, now.Add(20*time.Second), lookup); got != "near" {
		t.Errorf("picked %q long after the failures", got)
	}
}

func TestUnreachableNodeIsPickedLast(t *testing.T) {
	c := newBalancer()
	complete(c, now, near.Peer, seambalance.Result{Unreachable: true})
	if got := pick(c, now, lookup); got == "near" {
		t.Error("an unreachable node was picked")
	}
	only := []seampick.Candidate{near}
	if got, ok := c.Pick(now, only, lookup, nil); !ok || got.Peer.Name != "near" {
		t.Error("the only node was not picked")
	}
	if got := pick(c, now.Add(time.Second), lookup); got != "near" {
		t.Errorf("picked %q after the ejection", got)
	}
}

func TestInFlightRequestsCountAsLoad(t *testing.T) {
	c := newBalancer()
	complete(c, now, near.Peer, report(90*time.Millisecond, 0))
	complete(c, now, rest.Peer, report(90*time.Millisecond, 0))
	for range 50 {
		c.Sent(now, near.Peer)
	}
	if got := pick(c, now, lookup); got != "rest" {
		t.Errorf("picked %q with 50 requests in flight to the other at ten slots", got)
	}
}

func TestDrainingAndSkippedNodesAreNotPicked(t *testing.T) {
	c := newBalancer()
	draining := near
	draining.Draining = true
	got, ok := c.Pick(now, []seampick.Candidate{draining, rest, far}, lookup, func(p seampeer.Peer) bool { return p.Name == "rest" })
	if !ok || got.Peer.Name != "far" {
		t.Errorf("picked %q", got.Peer.Name)
	}
}
