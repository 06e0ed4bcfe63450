package seamrouter_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cardamomseam/internal/rule/seamroutes"
	"cardamomseam/internal/stand/seamstandkv"
)

var (
	configSeeds = flag.Int("configseeds", 1, "number of seeds that the soak of configurations plays")
	configNodes = flag.Int("confignodes", 6, "number of nodes in the soak of configurations")
)

const (
	configSoakLength = 14 * time.Second
	// configCallInterval is the time between two requests of a caller; each node has two.
	configCallInterval = 15 * time.Millisecond
	// missingBound is the time after the acknowledgement of a route from which on a node must not answer that there is none.
	missingBound = 1500 * time.Millisecond
)

// routeHistory is what callers may expect of one route.
type routeHistory struct {
	path string
	// added and removed are when the versions with and without it were acknowledged; removed is zero while it is there.
	added, removed time.Time
	// invalid means that the version with it was no valid one.
	invalid bool
	// servedBy are the incarnations of nodes that have served it.
	servedBy map[string]bool
}

// configSoak plays configurations of all sizes while nodes restart and the store fails.
type configSoak struct {
	fleet  *fleet
	random *rand.Rand

	mu       sync.Mutex
	revision int64
	routes   []*routeHistory
	// incarnations count the starts of each node; disturbed is the end of the latest fault.
	incarnations map[*node]int
	disturbed    time.Time
	failures     []string
	served       int
}

// change writes a version that adds a route and perhaps removes one, filled up to a random size. One in six is invalid; a valid one
// without its route follows at once, since an invalid version in the place of a valid one would hide that from nodes that missed it.
func (s *configSoak) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	added := &routeHistory{path: fmt.Sprintf("/p%d/", s.revision), servedBy: map[string]bool{}, invalid: s.random.IntN(6) == 0}
	var removed *routeHistory
	if present := s.present(); len(present) > 3 && s.random.IntN(2) == 0 {
		removed = present[s.random.IntN(len(present))]
	}
	d := s.fleet.routes(s.revision)
	for _, r := range s.present() {
		if r != removed || added.invalid {
			d.Routes = append(d.Routes, plainRoute(r.path))
		}
	}
	d.Routes = append(d.Routes, plainRoute(added.path))
	sizes := []int{0, 40, 1000, 3400}
	for i := range sizes[s.random.IntN(len(sizes))] {
		d.Routes = append(d.Routes, plainRoute(fmt.Sprintf("/filler%d-%d/", i, s.revision%3)))
	}
	if added.invalid {
		valid := d
		valid.Routes = slices.DeleteFunc(slices.Clone(d.Routes), func(r seamroutes.Route) bool { return r.Prefix == added.path })
		d.Routes = append(slices.Clone(d.Routes), plainRoute(added.path+"bad/"))
		d.Routes[len(d.Routes)-1].Services[0].Service = "unknown"
		s.fleet.store.Put(routesKey, s.fleet.encodeRoutes(d))
		s.revision++
		valid.Revision = s.revision
		d = valid
	}
	s.fleet.store.Put(routesKey, s.fleet.encodeRoutes(d))
	added.added = time.Now()
	s.routes = append(s.routes, added)
	if removed != nil && !added.invalid {
		removed.removed = added.added
	}
}

func plainRoute(prefix string) seamroutes.Route {
	return seamroutes.Route{
		Name: prefix, Host: "visits.example", Prefix: prefix, Services: []seamroutes.WeightedService{{Service: plainService, Weight: 1}}, MaxAttempts: 2, Timeout: 5 * time.Second,
	}
}

// present returns the routes of the latest valid version. The caller holds mu.
func (s *configSoak) present() []*routeHistory {
	var present []*routeHistory
	for _, r := range s.routes {
		if !r.invalid && r.removed.IsZero() {
			present = append(present, r)
		}
	}
	return present
}

// call sends requests for random routes through a node over connections that it keeps open.
func (s *configSoak) call(ctx context.Context, n *node, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		time.Sleep(configCallInterval)
		s.mu.Lock()
		r := s.routes[random.IntN(len(s.routes))]
		incarnation := s.incarnations[n]
		s.mu.Unlock()
		sent := time.Now()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.settings.Ingress+r.path+"x", nil)
		if err != nil {
			s.fleet.t.Error(err)
			return
		}
		req.Host = "visits.example"
		res, err := client.Do(req)
		if err != nil {
			continue // the node restarts
		}
		res.Body.Close()
		s.check(n, r, incarnation, sent, res.StatusCode)
	}
}

// check compares a response with the history of its route.
func (s *configSoak) check(n *node, r *routeHistory, incarnation int, sent time.Time, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnations[n] != incarnation {
		return
	}
	id := fmt.Sprintf("%s#%d", n.settings.Name, incarnation)
	switch {
	case status == http.StatusOK && r.invalid:
		s.fail("%s serves %s of an invalid version", id, r.path)
	case status == http.StatusOK && !r.removed.IsZero() && sent.Sub(r.removed) > inForceBound && r.removed.After(s.disturbed.Add(inForceBound)):
		s.fail("%s serves %s %v after its removal", id, r.path, sent.Sub(r.removed))
	case status == http.StatusNotFound && !r.invalid && r.removed.IsZero() && sent.Sub(r.added) > missingBound:
		s.fail("%s has no route for %s %v after it was added", id, r.path, sent.Sub(r.added))
	case status == http.StatusNotFound && !r.invalid && r.removed.IsZero() && r.servedBy[id]:
		s.fail("%s has no route any more for %s, which it has served", id, r.path)
	}
	if status == http.StatusOK {
		r.servedBy[id] = true
		s.served++
	}
}

// fail records a broken promise. The caller holds mu.
func (s *configSoak) fail(format string, args ...any) {
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

// disturb starts a random fault, which may overlap others.
func (s *configSoak) disturb(faults *sync.WaitGroup, busy map[*node]*sync.Mutex) {
	n := s.fleet.nodes[s.random.IntN(len(s.fleet.nodes))]
	lasts := time.Duration(300+s.random.IntN(2000)) * time.Millisecond
	s.mu.Lock()
	s.disturbed = time.Now().Add(lasts)
	s.mu.Unlock()
	switch s.random.IntN(6) {
	case 0, 1:
		graceful := s.random.IntN(2) == 0
		faults.Go(func() {
			busy[n].Lock()
			defer busy[n].Unlock()
			s.restart(n, graceful)
		})
	case 2:
		s.fleet.store.SetFaults(seamstandkv.Faults{SuppressWatches: true})
		faults.Go(func() { s.heal(lasts) })
	case 3:
		s.fleet.store.SetFaults(seamstandkv.Faults{Down: true})
		faults.Go(func() { s.heal(lasts) })
	case 4:
		s.fleet.store.Compact()
	case 5:
		store := n.store.(*linkStore)
		store.bytesPerSecond.Store(crowdedLink)
		faults.Go(func() {
			time.Sleep(lasts)
			store.bytesPerSecond.Store(0)
		})
	}
}

// heal ends the faults of the store.
func (s *configSoak) heal(after time.Duration) {
	time.Sleep(after)
	s.fleet.store.SetFaults(seamstandkv.Faults{})
}

// restart restarts a node.
func (s *configSoak) restart(n *node, graceful bool) {
	if graceful {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		// A drain that takes too long is cut by the stop.
		_ = n.Drain(ctx)
		cancel()
	}
	s.mu.Lock()
	s.incarnations[n]++
	s.mu.Unlock()
	n.stop()
	s.fleet.start(n)
}

// play runs one seed.
func (s *configSoak) play(t *testing.T) {
	f := s.fleet
	s.change()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var callers, faults sync.WaitGroup
	busy := map[*node]*sync.Mutex{}
	for i, n := range f.nodes {
		busy[n] = new(sync.Mutex)
		for c := range 2 {
			callers.Go(func() { s.call(ctx, n, rand.New(rand.NewPCG(uint64(i), uint64(c)))) })
		}
	}
	for end := time.Now().Add(configSoakLength); time.Now().Before(end); {
		time.Sleep(time.Duration(20+s.random.IntN(500)) * time.Millisecond)
		switch s.random.IntN(8) {
		case 0:
			for range 15 {
				s.change()
				time.Sleep(20 * time.Millisecond)
			}
		case 1, 2, 3:
			s.disturb(&faults, busy)
		default:
			s.change()
		}
	}
	faults.Wait()
	f.store.SetFaults(seamstandkv.Faults{})
	s.checkAtRest()
	cancel()
	callers.Wait()
	if len(s.failures) > 0 {
		t.Errorf("%d broken promises; the first:\n%s", len(s.failures), strings.Join(s.failures[:min(len(s.failures), 10)], "\n"))
	}
	if s.served == 0 {
		t.Error("nothing was served")
	}
	t.Logf("%d versions, %d served", s.revision, s.served)
}

// restBound is the time in which a node at rest must know whether its routes are current; until then it tells callers to come back.
const restBound = 5 * time.Second

// checkAtRest checks that each node has the last version once nothing fails any more.
func (s *configSoak) checkAtRest() {
	s.mu.Lock()
	routes := append([]*routeHistory{}, s.routes...)
	s.mu.Unlock()
	time.Sleep(inForceBound)
	for _, n := range s.fleet.nodes {
		for _, r := range routes {
			want := http.StatusOK
			if r.invalid || !r.removed.IsZero() {
				want = http.StatusNotFound
			}
			start := time.Now()
			res, err := s.fleet.send(n, http.MethodGet, r.path+"x", "")
			for err == nil && res.status == http.StatusServiceUnavailable && time.Since(start) < restBound {
				res, err = s.fleet.send(n, http.MethodGet, r.path+"x", "")
			}
			if err != nil || res.status != want {
				s.mu.Lock()
				s.fail("at rest: %s: %s: status %d, %v, want %d", n.settings.Name, r.path, res.status, err, want)
				s.mu.Unlock()
			}
		}
	}
}

func TestConfigurationsHoldWhileNodesRestartAndTheStoreFails(t *testing.T) {
	for seed := range uint64(*configSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := &configSoak{random: rand.New(rand.NewPCG(seed, 2)), revision: 1, incarnations: map[*node]int{}}
			s.fleet = newFleet(t)
			s.fleet.reportCalls = true
			for i := range *configNodes {
				s.fleet.addWith(fmt.Sprintf("n%d", i), plainService, &linkStore{Store: s.fleet.store})
			}
			s.play(t)
		})
	}
}
