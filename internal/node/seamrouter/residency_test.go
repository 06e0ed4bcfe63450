package seamrouter_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"cardamomseam/internal/rule/seamroutes"
)

// writeRegions writes routes that all allow the regions, and waits until they are in effect at each node.
func (f *fleet) writeRegions(revision int64, regions ...string) {
	f.t.Helper()
	d := f.routes(revision)
	for i := range d.Routes {
		d.Routes[i].Regions = regions
	}
	f.store.Put(routesKey, f.encodeRoutes(d))
	for _, n := range f.nodes {
		f.await(fmt.Sprint("revision ", revision), func() bool { return n.State(time.Now()).Routes == revision })
	}
}

// metric reports whether the node exports the line.
func (f *fleet) metric(n *node, line string) bool {
	f.t.Helper()
	res, err := http.Get("http://" + n.settings.Metrics + "/metrics")
	if err != nil {
		f.t.Fatal(err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return strings.Contains(string(text), line)
}

// Guards against requests that real nodes send to a forbidden region: after a change of the regions, without a target in any of them, and
// for keys whose owner is elsewhere.
func TestRequestsStayInTheRegionsOfTheirRoutes(t *testing.T) {
	f := newFleet(t)
	near := f.addIn("ost", "near", plainService, nil)
	far := f.addIn("west", "far", plainService, nil)
	f.addIn("sued", "keys", keyedService, nil)
	f.awaitServed(near)
	f.await("all members at all nodes", func() bool {
		for _, n := range f.nodes {
			if len(n.State(time.Now()).Members) != len(f.nodes) {
				return false
			}
		}
		return true
	})
	for i, region := range []string{"ost", "west"} {
		f.writeRegions(int64(2+i), region)
		before := map[*node]int{near: near.target.runCount(), far: far.target.runCount()}
		for k := range 40 {
			method, path := http.MethodPost, "/book/1"
			if k%2 == 0 {
				method, path = http.MethodGet, "/report/1"
			}
			if a, err := f.send(f.nodes[k%3], method, path, ""); err != nil || a.status != http.StatusOK {
				t.Fatalf("%s: got %+v, %v", region, a, err)
			}
		}
		for _, n := range []*node{near, far} {
			if runs, allowed := n.target.runCount()-before[n], n.settings.Region == region; (runs > 0) != allowed {
				t.Errorf("allowed region %s: the target in %s ran %d requests", region, n.settings.Region, runs)
			}
		}
	}
	f.writeRegions(4, "nowhere")
	for path, key := range map[string]string{"/book/1": "", "/slots/x": keys[0]} {
		a, err := f.send(near, http.MethodGet, path, key)
		if err != nil || a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" || !strings.Contains(a.body, `"region"`) {
			t.Errorf("%s: got %+v, %v, want a refusal with the reason region", path, a, err)
		}
	}
	if !f.metric(near, `cardamomseam_residency_refused_total{cause="owner"} 1`) || !f.metric(near, `cardamomseam_residency_refused_total{cause="target"} 1`) {
		t.Error("the refusals are not counted")
	}
	f.writeRegions(5)
	f.awaitServed(far)
}

// Guards against parts of a split that aren't counted by running nodes.
func TestPartsOfASplitAreCounted(t *testing.T) {
	f := newFleet(t, plainService)
	d := f.routes(2)
	d.Routes[2].Services = []seamroutes.WeightedService{{Service: plainService, Weight: 1}, {Service: keyedService, Weight: 0}}
	f.store.Put(routesKey, f.encodeRoutes(d))
	n := f.nodes[0]
	f.await("a request that is counted", func() bool {
		_, _ = f.send(n, http.MethodPost, "/book/1", "")
		return f.metric(n, fmt.Sprintf("cardamomseam_route_requests_total{route=%q,service=%q}", "book", plainService))
	})
}
