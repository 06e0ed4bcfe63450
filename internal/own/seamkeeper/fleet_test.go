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
	// patience bounds each wait for a condition.
	patience = 20 * time.Second
)

var errUnreachable = errors.New("node is unreachable")

// network carries datagrams and streams between keepers.
type network struct {
	mu    sync.Mutex
	nodes map[string]*node
	cut   map[string]bool
	// answer, if set, serves the streams to addresses of no node.
	answer func(conn net.Conn)
}

// port is a node's end of the network.
type port struct {
	*network
	from string
}

// Send delivers the payload behind its preamble in the background.
func (p port) Send(to seampeer.Peer, preamble, payload []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.nodes[to.Address]
	if n == nil || p.cut[p.from] || p.cut[to.Address] {
		return nil
	}
	select {
	case n.inbox <- slices.Concat(preamble, payload):
	default:
	}
	return nil
}

// OpenCells opens a stream to the node.
func (p port) OpenCells(ctx context.Context, to seampeer.Peer) (net.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	here, there := net.Pipe()
	if n := p.nodes[to.Address]; n != nil {
		go n.keeper.ServeStream(context.WithoutCancel(ctx), seampeer.Peer{}, there)
		return here, nil
	}
	if p.answer == nil {
		return nil, errUnreachable
	}
	go p.answer(there)
	return here, nil
}

func (n *network) setCut(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = true
}

func (n *network) setAnswer(f func(conn net.Conn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.answer = f
}

// rules are in force everywhere.
type rules struct{}

func (rules) Fetch(context.Context, seampeer.Peer) error { return nil }
func (rules) Load(context.Context) error                 { return nil }
func (rules) Labels(_ string, _ seampeer.Peer, own map[string]string) map[string]string {
	return own
}

// drains counts the orders to drain.
type drains struct{ count atomic.Int32 }

func (d *drains) HandleDrainRequest() { d.count.Add(1) }

// target is a server that takes orders.
type target struct {
	server *httptest.Server

	mu sync.Mutex
	// status is what the target answers to orders, 0 for success.
	status int
	// refuse is what it answers to hand-overs, 0 for success.
	refuse int
	// slow is how long a hand-over takes.
	slow      time.Duration
	orders    []seamtarget.GrantRequest
	handovers []seamtarget.Handover
	// check, if set, is called with each order.
	check func(o seamtarget.GrantRequest)
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
	x.orders = append(x.orders, o)
	if x.check != nil {
		x.check(o)
	}
	if x.status != 0 {
		w.WriteHeader(x.status)
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
	refuse, slow := x.refuse, x.slow
	x.mu.Unlock()
	time.Sleep(slow)
	if refuse != 0 {
		w.WriteHeader(refuse)
	}
}

func (x *target) answer(status int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.status = status
}

// handOvers sets the answer to hand-overs and the time until it.
func (x *target) handOvers(status int, slow time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.refuse, x.slow = status, slow
}

func (x *target) setCheck(f func(o seamtarget.GrantRequest)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.check = f
}

func (x *target) taken() []seamtarget.GrantRequest {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Clone(x.orders)
}

// handed returns the hand-overs that were asked for, of one slot.
func (x *target) handed(slot uint32) []seamtarget.Handover {
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

// node is a keeper with its target.
type node struct {
	peer   seampeer.Peer
	keeper *seamkeeper.Keeper
	target *target
	set    *metrics.Set
	events *seamevent.Stream
	drains *drains
	inbox  chan []byte
	// stop stops the keeper as a crash does; more calls do nothing.
	stop func()
}

// fleet is some nodes with one store and one clock.
type fleet struct {
	t     *testing.T
	net   *network
	store *seamstoretest.MemoryStore
	clock *seamclock.Clock
	nodes []*node
	// deadline is the longest deadline of the service.
	deadline time.Duration
	wait     time.Duration
}

func newFleet(t *testing.T) *fleet {
	return &fleet{
		t:        t,
		net:      &network{nodes: map[string]*node{}, cut: map[string]bool{}},
		store:    &seamstoretest.MemoryStore{},
		clock:    seamclock.NewClock(),
		deadline: time.Second,
		wait:     patience,
	}
}

// formed returns a fleet of so many nodes in one cell that serves all slots.
func formed(t *testing.T, count int) *fleet {
	t.Helper()
	f := newFleet(t)
	for range count {
		f.add()
	}
	f.awaitServed(f.nodes)
	return f
}

// add starts a node and has its target announce itself.
func (f *fleet) add() {
	f.t.Helper()
	f.start().announce("first")
}

func (n *node) announce(run string) {
	n.keeper.TargetChanged(seamtarget.Announcement{
		Service:      service,
		Name:         n.peer.Name + run,
		Address:      n.target.address(),
		Slots:        8,
		Capabilities: []string{seamtarget.CanGrant, seamtarget.CanFence},
	}, true)
}

// start starts a node without a target.
func (f *fleet) start() *node {
	f.t.Helper()
	name := fmt.Sprintf("node-%d", len(f.nodes))
	n := &node{
		peer:   seampeer.Peer{Name: name, Incarnation: 1, Address: name + ":1", Region: "ost", Domain: "ost-" + name},
		target: newTarget(f.t),
		set:    metrics.NewSet(),
		events: seamevent.NewStream(name),
		drains: &drains{},
		inbox:  make(chan []byte, 1024),
	}
	cfg := seamkeeper.DefaultConfig()
	cfg.TrustFencing = true
	cfg.SlotWaitTimeout = f.wait
	keeper, stop, err := seamkeeper.New(cfg, n.peer, seamkeeper.Dependencies{
		Store:          f.store,
		Datagrams:      port{f.net, n.peer.Address},
		Streams:        port{f.net, n.peer.Address},
		Rules:          rules{},
		DrainHandler:   n.drains,
		StoreReachable: func() bool { return true },
		Sink:           n.events,
		Metrics:        n.set,
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

// deliver hands datagrams to the node until the test ends, also when it was stopped.
func (f *fleet) deliver(n *node) {
	f.net.mu.Lock()
	f.net.nodes[n.peer.Address] = n
	f.net.mu.Unlock()
	done := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
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
		running.Wait()
	})
}

// ended is a context with which Acquire does not wait.
func ended() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func slot(index uint32) seamslot.ID { return seamslot.ID{Service: service, Index: index} }

// try acquires the slot without waiting.
func (n *node) try(index uint32) (seamgrant.Grant, bool) {
	grant, release, err := n.keeper.Acquire(ended(), slot(index))
	if err != nil {
		return grant, false
	}
	release()
	return grant, true
}

// holders returns the nodes that hold the slot at one instant, after the last look of try.
func (f *fleet) holders(index uint32) []*node {
	grants := map[*node]seamgrant.Grant{}
	for _, n := range f.nodes {
		if g, ok := n.try(index); ok {
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

// owner returns the one node that serves the slot.
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
		if _, ok := n.try(i); ok {
			found = append(found, i)
		}
	}
	return found
}

// awaitServed waits until each slot is held by exactly one node, one of among,
// and each of among knows a cell.
func (f *fleet) awaitServed(among []*node) {
	f.t.Helper()
	f.await("all slots are served", func() bool {
		for _, n := range among {
			if len(n.keeper.View().Members) < len(among) {
				return false
			}
		}
		for i := range uint32(slots) {
			h := f.holders(i)
			if len(h) != 1 || !slices.Contains(among, h[0]) {
				return false
			}
		}
		return true
	})
}

// await waits until the condition holds.
func (f *fleet) await(what string, condition func() bool) {
	f.t.Helper()
	end := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(end) {
			f.t.Fatalf("not in time: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// watch looks until the test ends that no slot has two holders.
func (f *fleet) watch() {
	done := make(chan struct{})
	var running sync.WaitGroup
	looks := 0
	running.Go(func() {
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
			looks++
		}
	})
	f.t.Cleanup(func() {
		close(done)
		running.Wait()
		if looks == 0 {
			f.t.Error("holders were never looked at")
		}
	})
}

// withRole returns the node that has the role in the cell.
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

// without returns the nodes but one.
func (f *fleet) without(gone *node) []*node {
	return slices.DeleteFunc(slices.Clone(f.nodes), func(n *node) bool { return n == gone })
}
