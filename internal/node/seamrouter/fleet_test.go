package seamrouter_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/node/seamrouter"
	"cardamomseam/internal/node/seamsetting"
	"cardamomseam/internal/own/seamelection"
	"cardamomseam/internal/own/seamholder"
	"cardamomseam/internal/own/seamtable"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/route/seamegress"
	"cardamomseam/internal/route/seamheader"
	"cardamomseam/internal/rule/seamroutes"
	"cardamomseam/internal/stand/seamstandkv"
)

const (
	keyedService = "calendar"
	plainService = "booker"
	routesKey    = "operator/routes"
	// watched precedes routesKey and the nodes' own keys, but for the tables.
	watched = "o"
	// patience bounds the wait for what a test expects to happen.
	patience = 30 * time.Second
)

// target is a server with the keys that it was granted.
type target struct {
	name    string
	service string
	born    int64
	server  *httptest.Server

	mu    sync.Mutex
	holds []heldRange
	runs  int
}

type heldRange struct {
	seamtable.Range
	until time.Time
}

// newTarget starts a target.
func newTarget(t *testing.T, name, service string) *target {
	t.Helper()
	g := &target{name: name, service: service, born: time.Now().UnixMilli()}
	g.server = httptest.NewServer(g)
	t.Cleanup(g.server.Close)
	return g
}

func (g *target) address() string { return g.server.Listener.Addr().String() }

// ServeHTTP runs a request if the target holds its key.
func (g *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, err := strconv.ParseUint(r.Header.Get(seamheader.Slot), 10, 32)
	if g.service == keyedService && (err != nil || !g.has(uint32(key))) {
		w.Header().Set(seamheader.Outcome, seamheader.Refused)
		w.WriteHeader(http.StatusConflict)
		return
	}
	g.mu.Lock()
	g.runs++
	g.mu.Unlock()
	_, _ = io.WriteString(w, g.name) // a caller that left has no use for it
}

func (g *target) has(key uint32) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, h := range g.holds {
		if h.Contains(key) && time.Now().Before(h.until) {
			return true
		}
	}
	return false
}

// orders gives orders to the targets of a fleet.
type orders struct {
	fleet *fleet
}

func (o orders) find(address string) (*target, error) {
	o.fleet.mu.Lock()
	defer o.fleet.mu.Unlock()
	if g := o.fleet.targets[address]; g != nil {
		return g, nil
	}
	return nil, &seamholder.ConnectionRefusedError{Address: address, Cause: syscall.ECONNREFUSED}
}

// Grant implements seamholder.Orders.
func (o orders) Grant(_ context.Context, address string, r seamtable.Range, hold time.Duration, _ func() bool) error {
	g, err := o.find(address)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.drop(r)
	g.holds = append(g.holds, heldRange{r, time.Now().Add(hold)})
	return nil
}

// Release implements seamholder.Orders.
func (o orders) Release(_ context.Context, address string, r seamtable.Range) (string, error) {
	g, err := o.find(address)
	if err != nil {
		return "", err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.drop(r)
	return "state of " + g.name, nil
}

// drop removes a range. mu is held.
func (g *target) drop(r seamtable.Range) {
	var kept []heldRange
	for _, h := range g.holds {
		if h.Overlaps(r.Span) {
			left, right := h, h
			left.To, right.From = r.From-1, r.To+1
			if h.From < r.From {
				kept = append(kept, left)
			}
			if h.To > r.To {
				kept = append(kept, right)
			}
			continue
		}
		kept = append(kept, h)
	}
	g.holds = kept
}

// fleet is a number of nodes, each with its target, and the store.
type fleet struct {
	t     *testing.T
	store *seamstandkv.Store
	nodes []*node

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
	// store is what the node reads instead of the fleet's store, if it is set.
	store seamstore.LeaseStore
}

// Ports from firstPort are below those that the kernel gives to outgoing connections, one of which could
// take the port of a node that restarts.
const (
	firstPort = 12000
	portCount = 18000
)

// freeAddress returns an address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range portCount {
		port := firstPort + rand.IntN(portCount)
		if _, given := givenPorts.LoadOrStore(port, true); given {
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

// givenPorts are the ports that freeAddress has returned, which may not be listened on yet.
var givenPorts sync.Map

func newFleet(t *testing.T, services ...string) *fleet {
	t.Helper()
	store, stop := seamstandkv.New()
	t.Cleanup(stop)
	f := &fleet{t: t, store: store, targets: map[string]*target{}}
	f.apply(1)
	for i, service := range services {
		f.add(fmt.Sprintf("n%d", i), service)
	}
	return f
}

// apply writes routes.
func (f *fleet) apply(revision int64) {
	d := seamroutes.Document{
		Revision: revision,
		Routes: []seamroutes.Route{
			{Name: "slots", Host: "visits.example", Prefix: "/slots/", Services: []seamroutes.WeightedService{{Service: keyedService, Weight: 1}}, MaxAttempts: 2, Idempotent: true, Timeout: 5 * time.Second},
			{Name: "book", Host: "visits.example", Prefix: "/book/", Services: []seamroutes.WeightedService{{Service: plainService, Weight: 1}}, MaxAttempts: 2, Timeout: 5 * time.Second},
		},
		Services: []seamroutes.Service{{Name: keyedService, Keyed: true}, {Name: plainService}},
	}
	value, err := json.Marshal(d)
	if err != nil {
		f.t.Fatal(err)
	}
	f.store.Put(routesKey, value)
}

// add starts a node with a target.
func (f *fleet) add(name, service string) *node {
	f.t.Helper()
	return f.addWith(name, service, nil)
}

// addWith starts a node with a target that reads the store, or the fleet's store if that is nil.
func (f *fleet) addWith(name, service string, store seamstore.LeaseStore) *node {
	f.t.Helper()
	n := &node{target: newTarget(f.t, "t-"+name, service), store: store, settings: seamsetting.Router{
		Name: name, Region: "ost", Domain: "ost-1",
		Listen: freeAddress(f.t), Ingress: freeAddress(f.t), Announce: freeAddress(f.t), Health: freeAddress(f.t), Metrics: freeAddress(f.t),
		Store: []string{"127.0.0.1:1"},
		Retry: seamsetting.Retry{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
		Stop:  seamsetting.Stop{Notice: 100 * time.Millisecond, Limit: 5 * time.Second, Linger: time.Second},
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

// start starts the process of a node.
func (f *fleet) start(n *node) {
	f.t.Helper()
	running, stop, err := seamrouter.New(n.settings, f.adapter(n), seamrouter.Options{Log: io.Discard})
	if err != nil {
		f.t.Fatal(err)
	}
	n.Node, n.stop = running, sync.OnceFunc(stop)
	f.beat(n, false)
}

// beat announces the target.
func (f *fleet) beat(n *node, leaving bool) {
	f.t.Helper()
	n.sequence++
	err := n.announce.Announce(time.Now(), seamtarget.Announcement{
		Service: n.target.service, Name: n.target.name, Address: n.target.address(), Slots: 8, Started: n.target.born, Sequence: n.sequence, Leaving: leaving,
		Capabilities: []string{seamtarget.CanFence},
	})
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) adapter(n *node) seamrouter.Adapter {
	return seamrouter.Adapter{
		Store: func(seamrouter.StoreConfig) (seamstore.LeaseStore, func()) {
			if n.store != nil {
				return n.store, func() {}
			}
			return f.store, func() {}
		},
		RulesKey:    routesKey,
		WatchPrefix: watched,
		DecodeRoutes: func(value []byte) (d seamroutes.Document, err error) {
			err = json.Unmarshal(value, &d)
			return d, err
		},
		CallerMiddleware: func(next http.Handler) http.Handler { return next },
		Dialect:          seamegress.Native{},
		TargetClient:     func() (seamholder.TargetClient, func()) { return orders{f}, func() {} },
		AnnounceRoutes: func(targets seamrouter.Targets, _ func(string, error)) []rest.Route {
			n.announce = targets
			return nil
		},
		HealthRoutes: func(func() bool) []rest.Route { return nil },
	}
}

// answer is what a caller saw.
type answer struct {
	status int
	body   string
	header http.Header
}

func (f *fleet) send(n *node, method, path, key string) (answer, error) {
	r, err := http.NewRequest(method, "http://"+n.settings.Ingress+path, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	r.Host = "visits.example"
	r.Header.Set(seamheader.Request, fmt.Sprint(time.Now().UnixNano()))
	if key != "" {
		r.Header.Set(seamheader.Key, key)
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{}, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return answer{res.StatusCode, string(body), res.Header}, err
}

// keys are spread over the whole range.
var keys = []string{"0", "1", "9000", "20000", "32767", "32768", "50000", "65534", "65535"}

// allServed reports whether each key is served through the node.
func (f *fleet) allServed(n *node) bool {
	for _, key := range keys {
		if a, err := f.send(n, http.MethodGet, "/slots/x", key); err != nil || a.status != http.StatusOK {
			return false
		}
	}
	return true
}

// await waits until the condition holds.
func (f *fleet) await(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Fatalf("%s did not happen", what)
}

func (f *fleet) awaitServed(n *node) {
	f.t.Helper()
	f.await("service of all keys", func() bool { return f.allServed(n) })
}

// held returns the number of targets that hold the key.
func (f *fleet) held(key uint32) int {
	n := 0
	for _, o := range f.nodes {
		if o.target.has(key) {
			n++
		}
	}
	return n
}

// slowStore answers no watch, and counts the lists.
type slowStore struct {
	*seamstandkv.Store
	lists, tables, glances atomic.Int32
}

// List implements seamstore.Store.
func (s *slowStore) List(ctx context.Context, p seamstore.Priority, prefix string) ([]seamstore.Entry, int64, error) {
	if prefix == seamelection.TablePrefix {
		s.tables.Add(1)
	} else {
		s.lists.Add(1)
	}
	return s.Store.List(ctx, p, prefix)
}

// Glance implements seamstore.Glances.
func (s *slowStore) ListStale(ctx context.Context, prefix string) ([]seamstore.Entry, error) {
	s.glances.Add(1)
	return s.Store.ListStale(ctx, prefix)
}

// Watch implements seamstore.Store.
func (*slowStore) Watch(ctx context.Context, _ string, _ int64, _ func([]seamstore.Change)) error {
	<-ctx.Done()
	return ctx.Err()
}
