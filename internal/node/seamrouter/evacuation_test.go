package seamrouter_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cardamomseam/internal/node/seamrouter"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/stand/seamstandkv"
)

// evacuationLimit is the time from the operators' write on from which nothing may reach a target of the domain.
const evacuationLimit = 5 * time.Second

// evacuatedFleet is a fleet with the failure domains ost-1 and ost-2. Each has a node for each of both services, and ost-2 one without a
// target that matters.
type evacuatedFleet struct {
	*fleet
	// in and out are the nodes in ost-1 and in ost-2.
	in, out []*node
}

func newEvacuatedFleet(t *testing.T) *evacuatedFleet {
	t.Helper()
	f := &evacuatedFleet{fleet: newFleet(t)}
	f.in = []*node{f.add("n0", keyedService), f.add("n1", plainService)}
	f.domain = "ost-2"
	f.out = []*node{f.add("n2", keyedService), f.add("n3", plainService), f.add("n4", "other")}
	f.await("keys in both domains", func() bool {
		return len(f.in[0].State(time.Now()).Held) > 0 && len(f.out[0].State(time.Now()).Held) > 0
	})
	for _, n := range f.nodes {
		f.awaitServed(n)
		f.await("members", func() bool { return len(n.State(time.Now()).Members) == len(f.nodes) })
	}
	return f
}

// evacuate writes the operators' key.
func (f *evacuatedFleet) evacuate(domain string) (acknowledged time.Time) {
	f.store.Put(evacuationPrefix+domain, []byte("{}"))
	return time.Now()
}

// reinstate deletes the operators' key.
func (f *evacuatedFleet) reinstate(domain string) {
	f.t.Helper()
	ctx, key := f.t.Context(), evacuationPrefix+domain
	e, err := f.store.Get(ctx, seamstore.Configuration, key)
	if err == nil {
		err = f.store.Delete(ctx, seamstore.Configuration, key, e.Revision)
	}
	if err != nil {
		f.t.Fatal(err)
	}
}

// sendAll sends one request with each sample key and some without one through each node, and returns how many were served.
func (f *evacuatedFleet) sendAll(nodes []*node) (served, sent int) {
	var ok atomic.Int32
	var sending sync.WaitGroup
	for _, n := range nodes {
		sending.Go(func() {
			for _, key := range append([]string{"", ""}, keys...) {
				path := "/slots/x"
				if key == "" {
					path = "/book/x"
				}
				if a, err := f.send(n, http.MethodPost, path, key); err == nil && a.status == http.StatusOK {
					ok.Add(1)
				}
			}
		})
	}
	sending.Wait()
	return int(ok.Load()), len(nodes) * (len(keys) + 2)
}

// checkNothingArrives fails if a request reaches a target of ost-1 although nodes send many for a second, or if one is not served.
func (f *evacuatedFleet) checkNothingArrives(nodes []*node) {
	f.t.Helper()
	for _, n := range f.in {
		n.target.recordArrivals()
	}
	for end := time.Now().Add(time.Second); time.Now().Before(end); {
		if served, sent := f.sendAll(nodes); served < sent {
			f.t.Errorf("%d of %d requests were served by the other domain", served, sent)
		}
	}
	for _, n := range f.in {
		if got := n.target.recorded(); len(got) > 0 {
			f.t.Errorf("%d requests reached %s in the evacuated domain", len(got), n.target.name)
		}
	}
}

func metricsOf(t *testing.T, n *node) string {
	t.Helper()
	res, err := http.Get("http://" + n.settings.Metrics + seamrouter.MetricsPath)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestEvacuatedDomainGetsNoRequestAndReturns guards against requests that reach a domain from 5 s after the operators' write, against
// callers that are refused although the other domain has room, against a domain that gets none after it was reinstated, and against
// requests that a reinstated target gets before it counts as cold.
func TestEvacuatedDomainGetsNoRequestAndReturns(t *testing.T) {
	t.Parallel()
	f := newEvacuatedFleet(t)
	var cold atomic.Int32
	for _, n := range f.nodes {
		n.OnAssumeCold(func(now time.Time) {
			cold.Add(1)
			if !n.TargetEvacuated(now, false) {
				t.Errorf("%s accepted requests before its target counted as cold", n.target.name)
			}
		})
	}
	acknowledged := f.evacuate("ost-1")
	for time.Since(acknowledged) < 4*time.Second && len(f.in[0].State(time.Now()).Held) > 0 {
		f.sendAll(f.nodes)
	}
	took := time.Since(acknowledged)
	if len(f.in[0].State(time.Now()).Held) > 0 {
		t.Errorf("the domain has keys after %v", took)
	}
	t.Logf("the keys had moved after %v", took)
	time.Sleep(time.Until(acknowledged.Add(evacuationLimit)))
	f.checkNothingArrives(f.nodes)
	for _, n := range f.nodes {
		s := n.State(time.Now())
		if len(s.Evacuations) != 1 || s.Evacuations[0].Domain != "ost-1" || s.Evacuations[0].Age <= 0 {
			t.Errorf("the state has the evacuations %+v", s.Evacuations)
		}
		for _, want := range []string{"cardamomseam_evacuated_domains 1\n", "cardamomseam_evacuated_domain_keys 0\n"} {
			if !strings.Contains(metricsOf(t, n), want) {
				t.Errorf("the metrics lack %q", want)
			}
		}
	}
	f.reinstate("ost-1")
	f.await("keys and requests in the domain", func() bool {
		f.sendAll(f.nodes)
		return len(f.in[0].State(time.Now()).Held) > 0 && len(f.in[1].target.recorded()) > 0
	})
	if n := cold.Load(); n != 2 {
		t.Errorf("%d nodes took their target for cold, want the 2 of the domain", n)
	}
}

// TestRequestsAreRefusedWhenTheLastDomainIsEvacuated guards against requests that are sent to an evacuated target for want of another.
func TestRequestsAreRefusedWhenTheLastDomainIsEvacuated(t *testing.T) {
	t.Parallel()
	f := newEvacuatedFleet(t)
	f.evacuate("ost-2")
	acknowledged := f.evacuate("ost-1")
	time.Sleep(time.Until(acknowledged.Add(evacuationLimit)))
	for _, n := range f.nodes {
		n.target.recordArrivals()
	}
	if served, _ := f.sendAll(f.nodes); served > 0 {
		t.Errorf("%d requests were served", served)
	}
	res, err := f.send(f.out[2], http.MethodGet, "/slots/x", keys[0])
	if err != nil || res.status != http.StatusServiceUnavailable {
		t.Errorf("a request with a key got %+v, %v; want 503", res, err)
	}
	for _, n := range f.nodes {
		if got := n.target.recorded(); len(got) > 0 {
			t.Errorf("%d requests reached %s", len(got), n.target.name)
		}
	}
	f.reinstate("ost-2")
	f.await("service by the reinstated domain", func() bool {
		served, sent := f.sendAll(f.nodes)
		return served == sent
	})
}

// TestEvacuationOutlastsARestartWithoutTheStore guards against a node that restarts while the store is away, doesn't know the
// evacuation and sends requests there; and against an evacuation that it keeps once the key has been deleted.
func TestEvacuationOutlastsARestartWithoutTheStore(t *testing.T) {
	t.Parallel()
	f := newEvacuatedFleet(t)
	acknowledged := f.evacuate("ost-1")
	time.Sleep(time.Until(acknowledged.Add(evacuationLimit)))
	f.store.SetFaults(seamstandkv.Faults{Down: true})
	restarted := []*node{f.in[1], f.out[2]}
	for _, n := range restarted {
		n.stop()
		f.start(n)
	}
	for _, n := range restarted {
		f.await("readiness", func() bool {
			f.sendAll(f.out[1:2]) // a node without peers gets its state from one that opens a session to it
			_, _ = f.send(f.out[1], http.MethodPost, "/other/x", "")
			return n.Ready()
		})
		if s := n.State(time.Now()); len(s.Evacuations) != 1 {
			t.Errorf("%s is ready with the evacuations %+v", n.settings.Name, s.Evacuations)
		}
	}
	for _, n := range f.in {
		n.target.recordArrivals()
	}
	for range 5 {
		f.sendAll(f.nodes)
	}
	for _, n := range f.in {
		if got := n.target.recorded(); len(got) > 0 {
			t.Errorf("%d requests reached %s in the evacuated domain", len(got), n.target.name)
		}
	}
	f.store.SetFaults(seamstandkv.Faults{})
	f.reinstate("ost-1")
	f.await("the end of the evacuation at all nodes", func() bool {
		for _, n := range f.nodes {
			if len(n.State(time.Now()).Evacuations) > 0 {
				return false
			}
		}
		return true
	})
}

// TestRestartWithTheStoreGivesTheDomainNoRequests guards against a node beside an evacuated target that forgets the evacuation, or counts its
// grace anew, when it restarts.
func TestRestartWithTheStoreGivesTheDomainNoRequests(t *testing.T) {
	t.Parallel()
	f := newEvacuatedFleet(t)
	acknowledged := f.evacuate("ost-1")
	time.Sleep(time.Until(acknowledged.Add(evacuationLimit - 500*time.Millisecond)))
	for _, n := range f.in {
		n.stop()
		f.start(n)
	}
	time.Sleep(time.Until(acknowledged.Add(evacuationLimit)))
	for _, n := range f.in {
		f.await("readiness", n.Ready)
	}
	f.checkNothingArrives(f.nodes)
}

// TestEvacuationFollowsTheListing guards against a node that misses the change of a key while it is away from the store, or when the
// store comes back from a copy.
func TestEvacuationFollowsTheListing(t *testing.T) {
	t.Parallel()
	f := newEvacuatedFleet(t)
	await := func(what string, n int) {
		t.Helper()
		f.await(what, func() bool {
			for _, o := range f.nodes {
				if len(o.State(time.Now()).Evacuations) != n {
					return false
				}
			}
			return true
		})
	}
	none := f.store.Copy()
	f.evacuate("ost-1")
	await("the evacuation", 1)
	evacuated := f.store.Copy()
	f.store.SetFaults(seamstandkv.Faults{SuppressWatches: true})
	f.reinstate("ost-1")
	f.store.Compact()
	f.store.SetFaults(seamstandkv.Faults{})
	await("the end that no watch reported", 0)
	f.store.Restore(evacuated)
	await("the evacuation that the copy has", 1)
	f.store.Restore(none)
	await("the end, since the copy has none", 0)
}

// TestEvacuationGoesOnWhenTheAssignerIsLost guards against keys that stay in the domain because their assigner ends in the meantime.
func TestEvacuationGoesOnWhenTheAssignerIsLost(t *testing.T) {
	t.Parallel()
	f := newEvacuatedFleet(t)
	assigner := f.out[0].State(time.Now()).Leaders[keyedService]
	acknowledged := f.evacuate("ost-1")
	for _, n := range f.nodes {
		if n.State(time.Now()).Node == assigner {
			n.stop()
			f.t.Logf("stopped %s", n.settings.Name)
		}
	}
	time.Sleep(time.Until(acknowledged.Add(evacuationLimit)))
	f.in[0].target.recordArrivals()
	f.await("service of all keys by the other domain", func() bool { return f.allServed(f.out[0]) })
	if got := f.in[0].target.recorded(); len(got) > 0 {
		t.Errorf("%d requests reached the evacuated domain", len(got))
	}
}
