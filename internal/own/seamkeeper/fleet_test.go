package seamkeeper_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamgrant"
	"cardamomseam/internal/own/seamkeeper"
	"cardamomseam/internal/own/seamslot"
	"cardamomseam/internal/rule/seamstoretest"
)

const (
	service = "booker"
	// slots is the number of slots of the service.
	slots = 16
	// testTimeout bounds each wait for a condition.
	testTimeout = 20 * time.Second
)

var errUnreachable = errors.New("node is unreachable")

// network carries datagrams and streams between keepers.
type network struct {
	mu          sync.Mutex
	nodes       map[string]*node
	partitioned map[string]bool
	// serveUnknown, if set, serves streams to addresses that belong to no node.
	serveUnknown func(conn net.Conn)
}

// port is the connection of one node to the network.
type port struct {
	*network
	from string
}

// Send queues the preamble and the payload for delivery.
func (p port) Send(to seampeer.Peer, preamble, payload []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.nodes[to.Address]
	if n == nil || p.partitioned[p.from] || p.partitioned[to.Address] {
		return nil
	}
	select {
	case n.inbox <- slices.Concat(preamble, payload):
	default:
	}
	return nil
}

// OpenCells opens a stream to the node, also if either node is partitioned: only datagrams are dropped.
func (p port) OpenCells(ctx context.Context, to seampeer.Peer) (net.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	client, server := net.Pipe()
	if n := p.nodes[to.Address]; n != nil {
		go n.keeper.ServeStream(context.WithoutCancel(ctx), seampeer.Peer{}, server)
		return client, nil
	}
	if p.serveUnknown == nil {
		return nil, errUnreachable
	}
	go p.serveUnknown(server)
	return client, nil
}

func (n *network) partition(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[address] = true
}

// setServeUnknown sets the function that serves connections to addresses of no node in the fleet. With nil
// they are unreachable.
func (n *network) setServeUnknown(f func(conn net.Conn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.serveUnknown = f
}

// rules is a rule source whose rules are in effect on every node.
type rules struct{}

func (rules) Fetch(context.Context, seampeer.Peer) error { return nil }
func (rules) Load(context.Context) error                 { return nil }
func (rules) Labels(_ string, _ seampeer.Peer, own map[string]string) map[string]string {
	return own
}

// drainCounter counts drain requests.
type drainCounter struct{ count atomic.Int32 }

func (d *drainCounter) HandleDrainRequest() { d.count.Add(1) }

// target is a fake target that accepts grants and handovers.
type target struct {
	server *httptest.Server

	mu sync.Mutex
	// grantStatus is the response status to grants; 0 means success.
	grantStatus int
	// handoverStatus is the response status to handovers; 0 means success.
	handoverStatus int
	// handoverDelay is the duration of a handover.
	handoverDelay time.Duration
	grants        []seamtarget.GrantRequest
	handovers     []seamtarget.Handover
	// checkGrant, if set, is called with each grant request.
	checkGrant func(o seamtarget.GrantRequest)
}

func newTarget(t *testing.T) *target {
	x := &target{}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+seamtarget.GrantPath, x.grant)
	mux.HandleFunc("POST "+seamtarget.HandoverPath, x.handover)
	x.server = httptest.NewServer(mux)
	t.Cleanup(x.server.Close)
	return x
}

func (x *target) address() string { return x.server.Listener.Addr().String() }

func (x *target) grant(w http.ResponseWriter, r *http.Request) {
	x.mu.Lock()
	defer x.mu.Unlock()
	var o seamtarget.GrantRequest
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	x.grants = append(x.grants, o)
	if x.checkGrant != nil {
		x.checkGrant(o)
	}
	if x.grantStatus != 0 {
		w.WriteHeader(x.grantStatus)
	}
}

func (x *target) handover(w http.ResponseWriter, r *http.Request) {
	var h seamtarget.Handover
	if err := json.NewDecoder(r.Body).Decode(&h); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	x.mu.Lock()
	x.handovers = append(x.handovers, h)
	status, delay := x.handoverStatus, x.handoverDelay
	x.mu.Unlock()
	time.Sleep(delay)
	if status != 0 {
		w.WriteHeader(status)
	}
}

func (x *target) setGrantStatus(status int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.grantStatus = status
}

// setHandover sets the response status to handovers and their duration.
func (x *target) setHandover(status int, delay time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.handoverStatus, x.handoverDelay = status, delay
}

func (x *target) setGrantCheck(f func(o seamtarget.GrantRequest)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.checkGrant = f
}

func (x *target) receivedGrants() []seamtarget.GrantRequest {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Clone(x.grants)
}

// handoversOf returns the requested handovers of the slot.
func (x *target) handoversOf(slot uint32) []seamtarget.Handover {
	x.mu.Lock()
	defer x.mu.Unlock()
	var found []seamtarget.Handover
	for _, h := range x.handovers {
		if h.Slot == slot {
			found = append(found, h)
		}
	}
	return found
}

// node is a keeper and its target.
type node struct {
	peer         seampeer.Peer
	keeper       *seamkeeper.Keeper
	target       *target
	metrics      *metrics.Set
	events       *seamevent.Stream
	drainCounter *drainCounter
	inbox        chan []byte
	// stop stops the keeper without draining, like a crash. Further calls do nothing.
	stop func()
}

// fleet is a set of nodes that share a store and a clock.
type fleet struct {
	t     *testing.T
	net   *network
	store *seamstoretest.MemoryStore
	clock *seamclock.Clock
	nodes []*node
	// deadline is the maximum request deadline of the service.
	deadline time.Duration
	// slotWait is the SlotWaitTimeout of each keeper.
	slotWait time.Duration
}

func newFleet(t *testing.T) *fleet {
	return &fleet{
		t:        t,
		net:      &network{nodes: map[string]*node{}, partitioned: map[string]bool{}},
		store:    &seamstoretest.MemoryStore{},
		clock:    seamclock.NewClock(),
		deadline: time.Second,
		slotWait: testTimeout,
	}
}

// newRunningFleet returns a fleet of count nodes whose single cell serves all slots.
func newRunningFleet(t *testing.T, count int) *fleet {
	t.Helper()
	f := newFleet(t)
	for range count {
		f.add()
	}
	f.awaitServed(f.nodes)
	return f
}

// add starts a node and announces its target.
func (f *fleet) add() {
	f.t.Helper()
	f.start().announce("first")
}

func (n *node) announce(incarnation string) {
	n.keeper.TargetChanged(seamtarget.Announcement{
		Service:        service,
		Name:           n.peer.Name + incarnation,
		Address:        n.target.address(),
		MaxConcurrency: 8,
		Capabilities:   []string{seamtarget.CanGrant, seamtarget.CanFence},
	}, true)
}

// start starts a node without a target.
func (f *fleet) start() *node {
	f.t.Helper()
	name := fmt.Sprintf("node-%d", len(f.nodes))
	n := &node{
		peer:         seampeer.Peer{Name: name, Incarnation: 1, Address: name + ":1", Region: "ost", Domain: "ost-" + name},
		target:       newTarget(f.t),
		metrics:      metrics.NewSet(),
		events:       seamevent.NewStream(name),
		drainCounter: &drainCounter{},
		inbox:        make(chan []byte, 1024),
	}
	cfg := seamkeeper.DefaultConfig()
	cfg.TrustFencing = true
	cfg.SlotWaitTimeout = f.slotWait
	keeper, stop, err := seamkeeper.New(cfg, n.peer, seamkeeper.Dependencies{
		Store:          f.store,
		Datagrams:      port{f.net, n.peer.Address},
		Streams:        port{f.net, n.peer.Address},
		Rules:          rules{},
		DrainHandler:   n.drainCounter,
		StoreReachable: func() bool { return true },
		Sink:           n.events,
		Metrics:        n.metrics,
		Clock:          f.clock,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	n.keeper, n.stop = keeper, sync.OnceFunc(stop)
	f.t.Cleanup(n.stop)
	f.deliver(n)
	keeper.RulesApplied(1)
	keeper.UpdateService(seamcell.ServiceState{Name: service, Slots: slots, MaxDeadline: f.deadline})
	f.nodes = append(f.nodes, n)
	return n
}

// deliver delivers datagrams to the node until the test ends, even after the node was stopped.
func (f *fleet) deliver(n *node) {
	f.net.mu.Lock()
	f.net.nodes[n.peer.Address] = n
	f.net.mu.Unlock()
	done := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		for {
			select {
			case <-done:
				return
			case payload := <-n.inbox:
				n.keeper.ReceiveDatagram(seampeer.Peer{}, payload)
			}
		}
	})
	f.t.Cleanup(func() {
		close(done)
		wait.Wait()
	})
}

// cancelledContext returns a context with which Acquire does not wait.
func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func slot(index uint32) seamslot.ID { return seamslot.ID{Service: service, Index: index} }

// tryAcquire acquires the slot without waiting.
func (n *node) tryAcquire(index uint32) (seamgrant.Grant, bool) {
	grant, release, err := n.keeper.Acquire(cancelledContext(), slot(index))
	if err != nil {
		return grant, false
	}
	release()
	return grant, true
}

// holders returns the nodes that hold the slot at the same time. It calls Held only after it has tried all nodes, so
// that a slot that moves between two tries does not count twice.
func (f *fleet) holders(index uint32) []*node {
	grants := map[*node]seamgrant.Grant{}
	for _, n := range f.nodes {
		if g, ok := n.tryAcquire(index); ok {
			grants[n] = g
		}
	}
	var holders []*node
	for _, n := range f.nodes {
		g, ok := grants[n]
		if !ok {
			continue
		}
		if _, held := n.keeper.Held(g.Slot, g.Epoch); held {
			holders = append(holders, n)
		}
	}
	return holders
}

// owner waits until exactly one node serves the slot and returns it.
func (f *fleet) owner(index uint32) *node {
	f.t.Helper()
	var owner *node
	f.await("slot has an owner", func() bool {
		h := f.holders(index)
		if len(h) == 1 {
			owner = h[0]
		}
		return len(h) == 1
	})
	return owner
}

// ownedBy returns the slots that the node serves.
func (f *fleet) ownedBy(n *node) []uint32 {
	var found []uint32
	for i := range uint32(slots) {
		if _, ok := n.tryAcquire(i); ok {
			found = append(found, i)
		}
	}
	return found
}

// awaitServed waits until each slot is held by exactly one of the nodes, and each of the nodes knows as many members
// of its cell as there are nodes.
func (f *fleet) awaitServed(nodes []*node) {
	f.t.Helper()
	f.await("all slots are served", func() bool {
		for _, n := range nodes {
			if len(n.keeper.View().Members) < len(nodes) {
				return false
			}
		}
		for i := range uint32(slots) {
			h := f.holders(i)
			if len(h) != 1 || !slices.Contains(nodes, h[0]) {
				return false
			}
		}
		return true
	})
}

// await waits until the condition holds.
func (f *fleet) await(what string, condition func() bool) {
	f.t.Helper()
	end := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(end) {
			f.t.Fatalf("timeout: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// checkExclusivity checks until the test ends that no slot has two holders.
func (f *fleet) checkExclusivity() {
	done := make(chan struct{})
	var wait sync.WaitGroup
	rounds := 0
	wait.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
			}
			for i := range uint32(slots) {
				if h := f.holders(i); len(h) > 1 {
					f.t.Errorf("slot %d is held by %s and %s", i, h[0].peer, h[1].peer)
				}
			}
			rounds++
		}
	})
	f.t.Cleanup(func() {
		close(done)
		wait.Wait()
		if rounds == 0 {
			f.t.Error("holders were never checked")
		}
	})
}

// withRole waits until a node has the role in the cell and returns it.
func (f *fleet) withRole(role seamcell.Role) *node {
	f.t.Helper()
	var found *node
	f.await("node is "+string(role), func() bool {
		for _, n := range f.nodes {
			if n.keeper.View().Role == role {
				found = n
				return true
			}
		}
		return false
	})
	return found
}

// without returns all nodes except one.
func (f *fleet) without(excluded *node) []*node {
	return slices.DeleteFunc(slices.Clone(f.nodes), func(n *node) bool { return n == excluded })
}
