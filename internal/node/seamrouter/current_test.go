package seamrouter_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"cardamomseam/internal/node/seamrouter"
	"cardamomseam/internal/stand/seamstandkv"
)

// maxUnknown is how long ago a configuration was acknowledged that a node must know when it refuses a request without a route.
const maxUnknown = 1100 * time.Millisecond

func TestAddedRouteIsNeverAnsweredWith404AfterItsBound(t *testing.T) {
	f := newFleet(t, plainService, plainService, plainService, plainService)
	f.await("routes", f.servesEverywhere)
	f.store.SetFaults(seamstandkv.Faults{SuppressWatches: true})
	for revision := int64(2); revision < 5; revision++ {
		path := f.writeManyRoutes(revision, 40<<10)
		time.Sleep(maxUnknown)
		for _, n := range f.nodes {
			res, err := f.send(n, http.MethodGet, path, "")
			if err != nil || res.status != http.StatusOK {
				t.Errorf("%s: a route that was acknowledged %v before: status %d, %v", n.settings.Name, maxUnknown, res.status, err)
			}
		}
	}
	for _, n := range f.nodes {
		if res, err := f.send(n, http.MethodGet, "/nowhere/x", ""); err != nil || res.status != http.StatusNotFound {
			t.Errorf("%s: a path without a route: status %d, %v", n.settings.Name, res.status, err)
		}
	}
}

// servesEverywhere reports whether each node serves a request without a key.
func (f *fleet) servesEverywhere() bool {
	for _, n := range f.nodes {
		if res, err := f.send(n, http.MethodGet, "/book/x", ""); err != nil || res.status != http.StatusOK {
			return false
		}
	}
	return true
}

func TestMetricsTellTheRevisionInEffectAndHowCurrentItIs(t *testing.T) {
	f := newFleet(t, plainService)
	n := f.nodes[0]
	f.await("routes", f.servesEverywhere)
	time.Sleep(maxUnknown)
	if res, err := f.send(n, http.MethodGet, "/nowhere/x", ""); err != nil || res.status != http.StatusNotFound {
		t.Fatalf("got %+v, %v", res, err)
	}
	res, err := http.Get("http://" + n.settings.Metrics + seamrouter.MetricsPath)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	metrics := string(text)
	if !strings.Contains(metrics, "cardamomseam_routes_revision 1\n") {
		t.Error("no gauge of the revision")
	}
	_, rest, _ := strings.Cut(metrics, "cardamomseam_feed_age_seconds ")
	age, err := strconv.ParseFloat(rest[:strings.IndexByte(rest+"\n", '\n')], 64)
	if err != nil || age > maxUnknown.Seconds() {
		t.Errorf("current as of %v s ago, %v", age, err)
	}
}

func TestPathWithoutARouteIsTriedAgainWhileItIsNotKnownWhetherRoutesAreCurrent(t *testing.T) {
	f := newFleet(t)
	f.reportCalls = true
	for _, name := range []string{"n0", "n1", "n2"} {
		f.add(name, plainService)
	}
	time.Sleep(2 * time.Second) // each node has renewed its lease
	f.await("routes", f.servesEverywhere)
	f.store.SetFaults(seamstandkv.Faults{Down: true})
	time.Sleep(maxUnknown)
	for _, n := range f.nodes {
		start := time.Now()
		res, err := f.send(n, http.MethodGet, "/nowhere/x", "")
		if err != nil || res.status != http.StatusServiceUnavailable || res.header.Get("Retry-After") == "" {
			t.Errorf("%s: got %+v, %v; want 503 with a time to come back", n.settings.Name, res, err)
		}
		if took := time.Since(start); took > 1500*time.Millisecond {
			t.Errorf("%s: refused after %v", n.settings.Name, took)
		}
	}
	f.await("404 once the store has been away for long", func() bool {
		res, err := f.send(f.nodes[0], http.MethodGet, "/nowhere/x", "")
		return err == nil && res.status == http.StatusNotFound
	})
}
