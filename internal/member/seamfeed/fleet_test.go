package seamfeed_test

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/member/seamfeed"
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/platform/seamwait"
	"cardamomseam/internal/stand/seamstandkv"
)

const (
	// nodePrefix is the prefix of the nodes' keys: the failure domain and the name follow.
	nodePrefix = "a/node/"
	// probeInterval and reachableFor model a node's other calls to the store, which show whether it is reachable.
	probeInterval = time.Second
	reachableFor  = 2500 * time.Millisecond
	// retryInterval is the time after which a call that failed is repeated.
	retryInterval = 200 * time.Millisecond
)

var errCut = errors.New("cut off")

// fleet is a number of nodes whose feeds follow one store.
type fleet struct {
	t     *testing.T
	store *seamstandkv.Store
	// lists, watches and changeLists count the calls to the store.
	lists, watches, changeLists atomic.Int64

	ctx context.Context
	// serving are the streams that nodes serve.
	serving sync.WaitGroup

	mu    sync.Mutex
	nodes map[string]*node
}

// node is one node with its copy of the keys.
type node struct {
	fleet *fleet
	peer  seampeer.Peer
	feed  *seamfeed.Feed
	stop  func()
	// storeCut and networkCut cut the node off from the store and from the other nodes.
	storeCut, networkCut atomic.Bool
	// bytesPerSecond is the capacity of each of the node's connections; 0 means that it is unlimited.
	bytesPerSecond atomic.Int64
	// received counts the bytes that other nodes have sent to this one.
	received atomic.Int64

	mu     sync.Mutex
	copy   map[string]seamstore.Entry
	tables map[string]int64
	wanted int
	// known are the keys of nodes that the node knows before it has read the store.
	known []string
	// lastContact is when a call last reached the store.
	lastContact time.Time
	// disturbedUntil is the end of the latest fault at this node.
	disturbedUntil time.Time
}

func newFleet(t *testing.T, domains, nodesPerDomain int) *fleet {
	store, stop := seamstandkv.New()
	t.Cleanup(stop)
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{t: t, store: store, ctx: ctx, nodes: map[string]*node{}}
	t.Cleanup(func() {
		cancel()
		f.serving.Wait()
	})
	for d := range domains {
		for i := range nodesPerDomain {
			f.start(fmt.Sprintf("n%d-%d", d, i), fmt.Sprintf("d%d", d))
		}
	}
	return f
}

// start starts a node, which registers itself.
func (f *fleet) start(name, domain string) *node {
	n := &node{
		fleet:  f,
		peer:   seampeer.Peer{Name: name, Domain: domain, Region: "ost", Address: name},
		copy:   map[string]seamstore.Entry{},
		tables: map[string]int64{},
	}
	n.feed = seamfeed.New(nodeStore{n}, "a/", n, n, seamevent.NewStream(name))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { n.feed.Run(ctx) })
	running.Go(func() { n.probe(ctx) })
	n.stop = sync.OnceFunc(func() {
		cancel()
		running.Wait()
	})
	f.t.Cleanup(n.stop)
	f.mu.Lock()
	f.nodes[name] = n
	f.mu.Unlock()
	f.store.Put(nodePrefix+domain+"/"+name, nil)
	return n
}

// all returns the nodes in the order of their names.
func (f *fleet) all() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var nodes []*node
	for _, name := range slices.Sorted(maps.Keys(f.nodes)) {
		nodes = append(nodes, f.nodes[name])
	}
	return nodes
}

func (f *fleet) node(name string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[name]
}

// sources counts the nodes by source.
func (f *fleet) sources() map[string]int {
	count := map[string]int{}
	for _, n := range f.all() {
		count[n.feed.Status().Source]++
	}
	return count
}

// probe models the node's other calls to the store.
func (n *node) probe(ctx context.Context) {
	for ctx.Err() == nil {
		_, err := n.fleet.store.Get(ctx, seamstore.Keepalive, "probe")
		if err == nil && !n.storeCut.Load() {
			n.contact()
		}
		seamwait.For(ctx, probeInterval)
	}
}

func (n *node) contact() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastContact = time.Now()
}

// View implements seamfeed.Network: the candidates are the registered nodes that the node knows.
func (n *node) View(now time.Time) seamfeed.View {
	v := seamfeed.View{Self: n.peer, Candidates: []seamfeed.Candidate{{Peer: n.peer}}, StoreReachable: n.StoreReachable(now)}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, key := range append(slices.Collect(maps.Keys(n.copy)), n.known...) {
		id, ok := strings.CutPrefix(key, nodePrefix)
		domain, name, _ := strings.Cut(id, "/")
		if ok && name != n.peer.Name {
			v.Candidates = append(v.Candidates, seamfeed.Candidate{Peer: seampeer.Peer{Name: name, Domain: domain, Region: "ost", Address: name}})
		}
	}
	return v
}

// StoreReachable implements seamfeed.Network.
func (n *node) StoreReachable(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lastContact.IsZero() || now.Sub(n.lastContact) < reachableFor
}

// LastContact implements seamfeed.Network.
func (n *node) LastContact() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lastContact
}

// Open implements seamfeed.Network.
func (n *node) Open(_ context.Context, reader seampeer.Peer) (net.Conn, error) {
	return n.open(reader, func(to *node, conn net.Conn) { to.feed.ServeStream(n.fleet.ctx, n.peer, conn) })
}

// OpenPieces implements seamfeed.Network.
func (n *node) OpenPieces(_ context.Context, from seampeer.Peer) (net.Conn, error) {
	return n.open(from, func(to *node, conn net.Conn) { to.feed.PieceServer().ServeStream(n.fleet.ctx, n.peer, conn) })
}

// open connects the node to another one, which serves the connection.
func (n *node) open(peer seampeer.Peer, serve func(to *node, conn net.Conn)) (net.Conn, error) {
	to := n.fleet.node(peer.Name)
	if to == nil || to.networkCut.Load() || n.networkCut.Load() {
		return nil, errCut
	}
	local, remote := net.Pipe()
	n.fleet.serving.Go(func() {
		defer remote.Close()
		serve(to, &link{Conn: remote, ends: []*node{n, to}, sent: &n.received})
	})
	return &link{Conn: local, ends: []*node{n, to}, sent: new(atomic.Int64)}, nil
}

// link is a connection that delivers nothing while one of its ends is cut off, and as many bytes a second as the slower of
// them may receive.
type link struct {
	net.Conn
	ends []*node
	// sent counts the bytes that were sent over this end.
	sent *atomic.Int64
}

// Write implements net.Conn.
func (l *link) Write(p []byte) (int, error) {
	for _, n := range l.ends {
		if n.networkCut.Load() {
			return len(p), nil
		}
		if rate := n.bytesPerSecond.Load(); rate > 0 {
			time.Sleep(time.Duration(len(p)) * time.Second / time.Duration(rate))
		}
	}
	l.sent.Add(int64(len(p)))
	return l.Conn.Write(p)
}

// Put implements seamfeed.Handler. It checks that the copy never goes back.
func (n *node) Put(_ time.Time, e seamstore.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e.Revision <= n.copy[e.Key].Revision {
		n.fleet.t.Errorf("%s: %s went from revision %d to %d", n.peer.Name, e.Key, n.copy[e.Key].Revision, e.Revision)
	}
	n.copy[e.Key] = e
}

// Delete implements seamfeed.Handler.
func (n *node) Delete(_ time.Time, key string, _ bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.copy, key)
}

// Synced implements seamfeed.Handler.
func (*node) Synced(time.Time) {}

// PutTable implements seamfeed.Handler.
func (n *node) PutTable(_ time.Time, e seamstore.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tables[e.Key] = e.Revision
}

// TablesWanted implements seamfeed.Handler.
func (n *node) TablesWanted() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.wanted++
}

// routesRevision returns the revision at which the node knows the routes; 0 if it doesn't.
func (n *node) routesRevision() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.copy["a/routes"].Revision
}

// nodeStore is the store as one node reaches it.
type nodeStore struct{ *node }

// List implements seamfeed.Store.
func (s nodeStore) List(ctx context.Context, p seamstore.Priority, prefix string) ([]seamstore.Entry, int64, error) {
	s.fleet.lists.Add(1)
	if s.storeCut.Load() {
		return nil, 0, errCut
	}
	entries, revision, err := s.fleet.store.List(ctx, p, prefix)
	if err == nil {
		s.contact()
	}
	return entries, revision, err
}

// Changes implements seamfeed.Store.
func (s nodeStore) Changes(ctx context.Context, prefix string, from int64) ([]seamstore.Change, int64, error) {
	s.fleet.changeLists.Add(1)
	if s.storeCut.Load() {
		return nil, 0, errCut
	}
	return s.fleet.store.Changes(ctx, prefix, from)
}

// Watch implements seamfeed.Store.
func (s nodeStore) Watch(ctx context.Context, prefix string, from int64, f func([]seamstore.Change)) error {
	s.fleet.watches.Add(1)
	for ctx.Err() == nil {
		if s.storeCut.Load() {
			seamwait.For(ctx, retryInterval)
			continue
		}
		reachable, cancel := context.WithCancel(ctx)
		go func() {
			for !s.storeCut.Load() && seamwait.For(reachable, retryInterval/4) {
			}
			cancel()
		}()
		err := s.fleet.store.Watch(reachable, prefix, from, func(changes []seamstore.Change) {
			for _, c := range changes {
				from = max(from, c.Revision)
			}
			f(changes)
		})
		cancel()
		var compacted *seamstore.CompactedError
		if errors.As(err, &compacted) && !s.storeCut.Load() {
			return err
		}
		seamwait.For(ctx, retryInterval)
	}
	return ctx.Err()
}
