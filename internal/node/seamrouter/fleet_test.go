package seamrouter_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/node/seamrouter"
	"cardamomseam/internal/node/seamsetting"
	"cardamomseam/internal/own/seamelection"
	"cardamomseam/internal/own/seamholder"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/route/seamheader"
	"cardamomseam/internal/rule/seamroutes"
	"cardamomseam/internal/stand/seamstandkv"
)

const (
	keyedService = "calendar"
	plainService = "booker"
	routesKey    = "operator/routes"
	// evacuationPrefix is the prefix of the keys that evacuate failure domains.
	evacuationPrefix = "operator/evacuate/"
	// watchPrefix is the common prefix of routesKey, evacuationPrefix and the nodes' own keys other than the tables.
	watchPrefix = "o"
	// waitTimeout bounds the wait for a condition that a test expects.
	waitTimeout = 30 * time.Second
)

// fleet is a set of nodes, each with its target, that share a store.
type fleet struct {
	t     testing.TB
	store *seamstandkv.Store
	nodes []*node
	// stopSettings and onRun apply to the nodes and targets that are added.
	stopSettings seamsetting.Stop
	onRun        func(target string, r *http.Request) (ended func())
	// domain is the failure domain of the nodes that are added; empty means ost-1.
	domain string
	// reportCalls makes nodes notice whether their renewals reach the store.
	reportCalls bool

	mu      sync.Mutex
	targets map[string]*target
}

// node is one node with its target.
type node struct {
	*seamrouter.Node
	settings seamsetting.Router
	target   *target
	announce seamrouter.Targets
	stop     func()
	sequence uint64
	// store, if set, replaces the fleet's store for this node.
	store seamstore.LeaseStore
}

// Ports from minPort are below the kernel's ephemeral port range; otherwise an outgoing connection could
// take the port of a node that restarts.
const (
	minPort   = 12000
	portCount = 18000
)

// freeAddress returns an unused loopback address.
func freeAddress(t testing.TB) string {
	t.Helper()
	for range portCount {
		port := minPort + rand.IntN(portCount)
		if _, assigned := assignedPorts.LoadOrStore(port, true); assigned {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	t.Fatal("no port is free")
	return ""
}

// assignedPorts are the ports that freeAddress has returned, which may not be bound yet.
var assignedPorts sync.Map

func newFleet(t testing.TB, services ...string) *fleet {
	t.Helper()
	store, stop := seamstandkv.New()
	t.Cleanup(stop)
	f := &fleet{t: t, store: store, targets: map[string]*target{}, stopSettings: seamsetting.Stop{
		Notice: 100 * time.Millisecond, Limit: 5 * time.Second, Linger: time.Second,
	}}
	f.writeRoutes(1)
	for i, service := range services {
		f.add(fmt.Sprintf("n%d", i), service)
	}
	return f
}

// writeRoutes writes the routes to the store with the given revision.
func (f *fleet) writeRoutes(revision int64) {
	f.t.Helper()
	f.store.Put(routesKey, f.encodeRoutes(f.routes(revision)))
}

// routes returns the routes that all tests share.
func (f *fleet) routes(revision int64) seamroutes.Document {
	return seamroutes.Document{
		Revision: revision,
		Routes: []seamroutes.Route{
			{Name: "slots", Host: "visits.example", Prefix: "/slots/", Services: []seamroutes.WeightedService{{Service: keyedService, Weight: 1}}, MaxAttempts: 2, Idempotent: true, Timeout: 5 * time.Second},
			{Name: "report", Host: "visits.example", Prefix: "/report/", Services: []seamroutes.WeightedService{{Service: plainService, Weight: 1}}, MaxAttempts: 3, Idempotent: true, Timeout: 5 * time.Second},
			{Name: "book", Host: "visits.example", Prefix: "/book/", Services: []seamroutes.WeightedService{{Service: plainService, Weight: 1}}, MaxAttempts: 2, Timeout: 5 * time.Second},
		},
		Services: []seamroutes.Service{{Name: keyedService, Keyed: true}, {Name: plainService}},
	}
}

// add starts a node with a target.
func (f *fleet) add(name, service string) *node {
	f.t.Helper()
	return f.addWith(name, service, nil)
}

// addWith starts a node with a target. The node uses the given store, or the fleet's store if that is nil.
func (f *fleet) addWith(name, service string, store seamstore.LeaseStore) *node {
	f.t.Helper()
	return f.addIn("ost", name, service, store)
}

// addIn starts a node with a target in the region as addWith does.
func (f *fleet) addIn(region, name, service string, store seamstore.LeaseStore) *node {
	f.t.Helper()
	n := &node{target: f.newTarget("t-"+name, service), store: store, settings: seamsetting.Router{
		Name: name, Region: region, Domain: cmp.Or(f.domain, region+"-1"),
		Listen: freeAddress(f.t), Ingress: freeAddress(f.t), Announce: freeAddress(f.t), Health: freeAddress(f.t), Metrics: freeAddress(f.t),
		Store: []string{"127.0.0.1:1"},
		Retry: seamsetting.Retry{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
		Stop:  f.stopSettings,
		Log:   seamsetting.Log{Level: "info", Format: "json"},
	}}
	f.mu.Lock()
	f.targets[n.target.address()] = n.target
	f.mu.Unlock()
	f.start(n)
	f.t.Cleanup(func() { n.stop() })
	f.nodes = append(f.nodes, n)
	return n
}

// start starts the process of a node and announces its target.
func (f *fleet) start(n *node) {
	f.t.Helper()
	f.startProcess(n)
	f.announce(n, false)
}

// startProcess starts the process of a node. Its target is not announced yet.
func (f *fleet) startProcess(n *node) {
	f.t.Helper()
	running, stop, err := seamrouter.New(n.settings, f.adapter(n), seamrouter.Options{Log: io.Discard})
	if err != nil {
		f.t.Fatal(err)
	}
	n.Node, n.stop = running, sync.OnceFunc(stop)
}

// announce announces the node's target.
func (f *fleet) announce(n *node, leaving bool) {
	f.t.Helper()
	n.sequence++
	err := n.announce.Announce(time.Now(), seamtarget.Announcement{
		Service: n.target.service, Name: n.target.name, Address: n.target.address(), MaxConcurrency: 8, Started: n.target.started, Sequence: n.sequence, Leaving: leaving,
		Capabilities: []string{seamtarget.CanFence},
	})
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) adapter(n *node) seamrouter.Adapter {
	return seamrouter.Adapter{
		Store: func(cfg seamrouter.StoreConfig) (seamstore.LeaseStore, func()) {
			store := n.store
			if store == nil {
				store = f.store
			}
			if f.reportCalls {
				store = reportingStore{LeaseStore: store, onCallEnd: cfg.OnCallEnd}
			}
			return store, func() {}
		},
		RulesKey:         routesKey,
		EvacuationPrefix: evacuationPrefix,
		WatchPrefix:      watchPrefix,
		DecodeRoutes: func(value []byte) (d seamroutes.Document, err error) {
			err = json.Unmarshal(value, &d)
			return d, err
		},
		CallerMiddleware: func(next http.Handler) http.Handler { return next },
		Dialect:          callerDialect{},
		TargetClient:     func() (seamholder.TargetClient, func()) { return targetClient{f}, func() {} },
		AnnounceRoutes: func(targets seamrouter.Targets, _ func(string, error)) []rest.Route {
			n.announce = targets
			return nil
		},
		HealthRoutes: func(func() bool) []rest.Route { return nil },
	}
}

// response is what a caller received.
type response struct {
	status int
	body   string
	header http.Header
}

func (f *fleet) send(n *node, method, path, key string) (response, error) {
	return f.sendWithin(n, method, path, key, 0)
}

// sendWithin sends a request with a deadline; 0 means that of its route.
func (f *fleet) sendWithin(n *node, method, path, key string, deadline time.Duration) (response, error) {
	r, err := http.NewRequest(method, "http://"+n.settings.Ingress+path, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	r.Host = "visits.example"
	r.Header.Set(seamheader.Request, fmt.Sprint(time.Now().UnixNano()))
	if key != "" {
		r.Header.Set(seamheader.Key, key)
	}
	if deadline > 0 {
		r.Header.Set(seamheader.Deadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return response{}, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return response{res.StatusCode, string(body), res.Header}, err
}

// keys are sample keys spread over the whole key range.
var keys = []string{"0", "1", "9000", "20000", "32767", "32768", "50000", "65534", "65535"}

// allServed reports whether the node serves every sample key.
func (f *fleet) allServed(n *node) bool {
	for _, key := range keys {
		if a, err := f.send(n, http.MethodGet, "/slots/x", key); err != nil || a.status != http.StatusOK {
			return false
		}
	}
	return true
}

// await waits until ok returns true and fails the test after waitTimeout.
func (f *fleet) await(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Fatalf("timed out waiting for %s", what)
}

func (f *fleet) awaitServed(n *node) {
	f.t.Helper()
	f.await("service of all keys", func() bool { return f.allServed(n) })
}

// holders returns the number of targets that hold the key.
func (f *fleet) holders(key uint32) int {
	n := 0
	for _, o := range f.nodes {
		if o.target.has(key) {
			n++
		}
	}
	return n
}

// reportingStore reports the results of renewals.
type reportingStore struct {
	seamstore.LeaseStore
	onCallEnd func(call string, err error)
}

// RenewLease implements seamstore.LeaseManager.
func (s reportingStore) RenewLease(ctx context.Context, l seamstore.Lease) error {
	err := s.LeaseStore.RenewLease(ctx, l)
	s.onCallEnd("renew", err)
	return err
}

// noWatchStore is a store whose watches report nothing. It counts the lists of the owner tables, the other lists and the
// stale reads.
type noWatchStore struct {
	*seamstandkv.Store
	otherLists, tableLists, staleReads atomic.Int32
}

// List implements seamstore.Store.
func (s *noWatchStore) List(ctx context.Context, p seamstore.Priority, prefix string) ([]seamstore.Entry, int64, error) {
	if prefix == seamelection.TablePrefix {
		s.tableLists.Add(1)
	} else {
		s.otherLists.Add(1)
	}
	return s.Store.List(ctx, p, prefix)
}

// ListStale implements seamstore.StaleLister.
func (s *noWatchStore) ListStale(ctx context.Context, prefix string) ([]seamstore.Entry, error) {
	s.staleReads.Add(1)
	return s.Store.ListStale(ctx, prefix)
}

// Watch implements seamstore.Store.
func (*noWatchStore) Watch(ctx context.Context, _ string, _ int64, _ func([]seamstore.Change)) error {
	<-ctx.Done()
	return ctx.Err()
}
