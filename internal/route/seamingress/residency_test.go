package seamingress_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/route/seambalance"
	"cardamomseam/internal/route/seamheader"
	"cardamomseam/internal/route/seamingress"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seampick"
	"cardamomseam/internal/route/seamsession"
	"cardamomseam/internal/rule/seamrule"
)

// restrict allows the node's requests to be sent to the regions only.
func (n *node) restrict(regions ...string) { n.rules.decision.Regions = regions }

// forbidden is the handler of a target that must not receive a request.
func forbidden(t *testing.T) http.HandlerFunc {
	return func(_ http.ResponseWriter, r *http.Request) {
		t.Errorf("%s %s reached a target in a forbidden region", r.Method, r.URL.Path)
	}
}

// candidatesOf returns the nodes as candidates.
func candidatesOf(nodes ...*node) []seampick.Candidate {
	var list []seampick.Candidate
	for _, n := range nodes {
		list = append(list, seampick.Candidate{Peer: n.peer, Slots: 32})
	}
	return list
}

// expectRegion checks that the request was refused because of its regions, with a delay for a retry.
func expectRegion(t *testing.T, got result) {
	t.Helper()
	got.expect(t, http.StatusServiceUnavailable, seamoutcome.Refused, seamoutcome.Region)
	if got.header.Get("Retry-After") == "" || got.header.Get(seamheader.After) == "" {
		t.Errorf("the refusal has no delay: %v", got.header)
	}
}

// Guards against a first attempt or a retry in a forbidden region, by each of the ways in which a node is picked.
func TestRestrictedRequestsReachOnlyAllowedRegions(t *testing.T) {
	var requests atomic.Int32
	shed := func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1)%2 == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	near := startNodeIn(t, "ost", "near", shed, seamsession.Config{}, seamingress.Config{})
	far := startNodeIn(t, "west", "far", forbidden(t), seamsession.Config{}, seamingress.Config{})
	self := seampeer.Peer{Name: "front", Incarnation: 1, Region: "west", Domain: "west-1"}
	for name, balancer := range map[string]seamingress.Balancer{"picker": nil, "balancer": seambalance.New(seambalance.Config{}, self, metrics.NewSet())} {
		t.Run(name, func(t *testing.T) {
			front := startNodeIn(t, "west", "front", forbidden(t), seamsession.Config{}, seamingress.Config{Balancer: balancer})
			front.directory.candidates = candidatesOf(front, far, near)
			front.restrict("ost", "nowhere")
			front.rules.decision.Limits.Retries = 3
			for i := range 60 {
				method := []string{http.MethodGet, http.MethodPost}[i%2]
				r, _ := http.NewRequest(method, front.url("/book"), strings.NewReader("room 3"))
				if i%3 == 0 {
					r.Header.Set(seamheader.Request, fmt.Sprintf("west/visit-%d", i))
				}
				if got := do(t, r); got.err != nil || got.header.Get(seamheader.Server) != "near" && got.status == http.StatusOK {
					t.Fatalf("got %d from %q, %v", got.status, got.header.Get(seamheader.Server), got.err)
				}
			}
		})
	}
	if requests.Load() < 120 {
		t.Errorf("the allowed target received %d requests", requests.Load())
	}
}

// Guards against a request that is sent somewhere, or waits, although no allowed region has a target.
func TestRequestWithoutAllowedTargetIsRefused(t *testing.T) {
	back := startNodeIn(t, "ost", "back", forbidden(t), seamsession.Config{}, seamingress.Config{})
	for name, tt := range map[string]struct {
		regions    []string
		candidates []seampick.Candidate
	}{
		"lost region":         {[]string{"west"}, candidatesOf(back)},
		"unknown name":        {[]string{"nowhere"}, candidatesOf(back)},
		"no region in common": {[]string{""}, candidatesOf(back)},
		"no target at all":    {[]string{"ost"}, nil},
		"region is draining":  {[]string{"ost"}, []seampick.Candidate{{Peer: back.peer, Slots: 32, Draining: true}}},
		"member without region": {[]string{"ost"}, []seampick.Candidate{
			{Peer: seampeer.Peer{Name: back.peer.Name, Incarnation: 1, Address: back.peer.Address}, Slots: 32},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			front := newNode(t, "front", nil)
			front.rules.decision.Limits = seamrule.Limits{Retries: 3, DeadlineMillis: 10_000}
			front.directory.candidates = tt.candidates
			front.restrict(tt.regions...)
			for _, id := range []string{"", "ost/visit-7"} {
				r, _ := http.NewRequest(http.MethodPost, front.url("/book"), strings.NewReader("room 3"))
				r.Header.Set(seamheader.Request, id)
				expectRegion(t, do(t, r))
			}
		})
	}
}

// Guards against a body that is sent to a node which has another region than the member list says.
func TestNodeInAnotherRegionThanListedIsNotUsed(t *testing.T) {
	moved := startNodeIn(t, "west", "moved", forbidden(t), seamsession.Config{}, seamingress.Config{})
	front, back := pair(t, echo)
	listed := moved.peer
	listed.Region, listed.Domain = "ost", "ost-1"
	front.restrict("ost")
	front.directory.candidates = append(candidatesOf(back), seampick.Candidate{Peer: listed, Slots: 320})
	for range 20 {
		post(t, front).expect(t, http.StatusOK, seamoutcome.Done, "")
	}
}

// Guards against choices outside the allowed regions while nodes come, go, drain and fail under load, and against targets in an allowed
// region that get no requests.
func TestChoiceKeepsToRegionsUnderLoad(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 11))
	regions := []string{"ost", "west", "sued"}
	self := seampeer.Peer{Name: "front", Incarnation: 1, Region: "ost", Domain: "ost-1"}
	for name, balancer := range map[string]seamingress.Balancer{"picker": nil, "balancer": seambalance.New(seambalance.Config{}, self, metrics.NewSet())} {
		directory := &fakeDirectory{}
		i := seamingress.New(seamingress.Config{Balancer: balancer}, self, &fakeRules{}, directory, nil, nil, metrics.NewSet(), seamevent.NewStream("front"))
		chosen := map[string]int{}
		for round := range 200 {
			var list []seampick.Candidate
			usable := map[string]int{}
			for n := range 60 {
				region := regions[n%len(regions)]
				draining := random.IntN(4) == 0 || round%10 == 9 && region == "ost"
				list = append(list, seampick.Candidate{
					Peer:  seampeer.Peer{Name: fmt.Sprint("n", n), Incarnation: 1, Address: fmt.Sprint(n), Region: region, Domain: region + "-1"},
					Slots: 12, Draining: draining,
				})
				if !draining {
					usable[region]++
				}
			}
			directory.candidates = list
			for q := range 60 {
				allowed := regions[random.IntN(len(regions))]
				id := []string{"", "west/visit"}[q%2]
				p, ok := seamingress.ChooseNode(i, seamrule.Decision{Regions: []string{allowed, "nowhere"}}, id)
				if ok != (usable[allowed] > 0) || ok && p.Region != allowed {
					t.Fatalf("%s: allowed %s with %d targets, got %v in region %q", name, allowed, usable[allowed], ok, p.Region)
				}
				if !ok {
					continue
				}
				chosen[p.Name]++
				if balancer != nil {
					balancer.Sent(time.Now(), p)
					balancer.Ended(time.Now(), p, seambalance.Result{Unreachable: random.IntN(20) == 0, Served: true})
				}
			}
		}
		if len(chosen) != 60 {
			t.Errorf("%s: %d of 60 targets were chosen", name, len(chosen))
		}
	}
}

// BenchmarkChoice measures the choice among the candidates of a large service, with and without a restriction.
func BenchmarkChoice(b *testing.B) {
	self := seampeer.Peer{Name: "front", Incarnation: 1, Region: "ost", Domain: "ost-1"}
	directory := &fakeDirectory{}
	for n := range 117 {
		region := []string{"ost", "west", "sued"}[n%3]
		directory.candidates = append(directory.candidates, seampick.Candidate{
			Peer: seampeer.Peer{Name: fmt.Sprint("n", n), Incarnation: 1, Region: region, Domain: region + "-1"}, Slots: 12,
		})
	}
	balancer := seambalance.New(seambalance.Config{}, self, metrics.NewSet())
	i := seamingress.New(seamingress.Config{Balancer: balancer}, self, &fakeRules{}, directory, nil, nil, metrics.NewSet(), seamevent.NewStream("front"))
	for name, regions := range map[string][]string{"all regions": nil, "two regions": {"west", "sued"}} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				seamingress.ChooseNode(i, seamrule.Decision{Regions: regions}, "")
			}
		})
	}
}
