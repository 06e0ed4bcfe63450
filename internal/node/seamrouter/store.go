package seamrouter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"cardamomseam/internal/member/seammembership"
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/node/seamstart"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/observe/seamstall"
	"cardamomseam/internal/own/seamelection"
	"cardamomseam/internal/platform/seammirror"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/platform/seamwait"
	"cardamomseam/internal/rule/seamroutes"
)

const (
	// sweepInterval is the time between looks for members whose entries are gone.
	sweepInterval = 250 * time.Millisecond
	// storeFresh is the time since the last call that reached the store within which it is
	// taken to be there.
	storeFreshFor = 4 * time.Second
	// peerFresh is the time since the last bytes of a node within which it is known to live.
	peerAliveFor = 2 * time.Second
	// watchEach is the time between two looks of all nodes of a failure domain together.
	domainWatchInterval = 800 * time.Millisecond
	// gatherTime is the time after a change in which further ones are gathered: each answer to a watch is a
	// call of the store.
	changeBatchDelay = time.Second
	// gatherLeast takes its place at the nodes that take over from an assigner.
	candidateBatchDelay = 400 * time.Millisecond
	// watchLeast is the shortest time for which a watch stays open without changes.
	minWatchTimeout = 200 * time.Millisecond
	// watchLongest is the longest time for which a watch stays open without changes.
	maxWatchTimeout = 25 * time.Second
)

// storeHealth tells whether the store can be reached.
type storeHealth struct {
	mu        sync.Mutex
	known     bool
	reachable bool
	// changed is the time of the last change, and reached that of the last call that succeeded.
	lastChange, lastSuccess time.Time
}

// note takes the end of a call into account and reports whether the health changed.
func (h *storeHealth) record(now time.Time, ok bool) (changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ok {
		h.lastSuccess = now
	}
	changed = !h.known || h.reachable != ok
	if changed {
		h.known, h.reachable, h.lastChange = true, ok, now
	}
	return changed
}

// steady returns the time since which the store can be reached; false if it can't.
func (h *storeHealth) reachableSince(now time.Time) (since time.Time, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastChange, h.reachable && now.Sub(h.lastSuccess) < storeFreshFor
}

func (n *Node) startStore(c *seamstart.Cleanups, _ Options) error {
	store, stop := n.adapter.Store(StoreConfig{
		Addresses: n.settings.Store,
		OnCallEnd:   n.onStoreCallEnd,
		OnCallDuration:    n.recordStoreCall,
		WatchTimeout:      n.watchTimeout,
		ChangeBatchDelay:    n.watchBatchDelay,
	})
	n.store = store
	c.Add(stop)
	n.members = seammembership.New(n.self.Name, n.sink)
	n.registry = seamelection.NewRegistry(n.sink)
	n.routes = seamroutes.NewBook(n.sink)
	n.registration = seammembership.NewRegistration(store, seammembership.Member{Peer: n.self}, n.sink)
	// One watch costs less than one for the routes and one for the rest.
	n.mirror = seammirror.New(store, n.adapter.WatchPrefix, storeReader{n}, n.sink)
	return nil
}

func (n *Node) onStoreCallEnd(call string, err error) {
	now := time.Now()
	if !n.health.record(now, err == nil) {
		return
	}
	if err != nil {
		n.sink.Emit(now, seamevent.StoreDown, seamevent.Fields{"call": call, "error": err.Error()})
		return
	}
	n.sink.Emit(now, seamevent.StoreUp, seamevent.Fields{"call": call})
}

func (n *Node) recordStoreCall(call string, took time.Duration, err error) {
	result := "done"
	if err != nil {
		result = "failed"
	}
	n.metricSet.GetOrCreateCounter(fmt.Sprintf("cardamomseam_store_calls_total{call=%q,result=%q}", call, result)).Inc()
	n.metricSet.GetOrCreateHistogram(fmt.Sprintf("cardamomseam_store_seconds{call=%q}", call)).Update(took.Seconds())
}

// startFollowing follows the store.
func (n *Node) startStoreSync(c *seamstart.Cleanups, _ Options) error {
	c.Add(seamstart.Background(n.mirror.Run))
	c.Add(seamstart.Background(n.pollTables))
	c.Add(seamstart.Background(n.registration.Run))
	c.Add(seamstart.Background(n.sweep))
	c.Add(seamstart.Background(n.syncFromPeers))
	c.Add(seamstart.Background(func(ctx context.Context) { seamstall.Watch(ctx, n.sink) }))
	return nil
}

// sweep removes the members whose entries are gone, once the store has been back for as long as
// a live node takes to write its entry anew.
func (n *Node) sweep(ctx context.Context) {
	seamwait.Each(ctx, sweepInterval, func(now time.Time) {
		since, ok := n.health.reachableSince(now)
		if ok && now.Sub(since) >= seammembership.GracePeriod {
			n.members.RemoveExpired(now, func(p seampeer.Peer) bool { return now.Sub(n.sessions.Heard(p)) < peerAliveFor })
		}
	})
}

// watchWait returns the time after which a watch is opened anew.
func (n *Node) watchTimeout() time.Duration {
	inDomain := 0
	for _, m := range n.members.View().Members {
		if m.Peer.Domain == n.self.Domain {
			inDomain++
		}
	}
	return jitteredWatchTimeout(inDomain, rand.Float64())
}

// waitOf returns the time after which one of so many nodes of a failure domain opens its watch anew. A watch may
// stay silent although keys change; the nodes, which hear of each other's revisions, together look about
// once in watchEach. A change wakes them all at the same moment, so that draw, in [0, 1), spreads their next
// looks over the whole time: of so many at random places in it, the first is about watchEach away.
func jitteredWatchTimeout(nodes int, random float64) time.Duration {
	upper := min(time.Duration(max(nodes, 1)+1)*domainWatchInterval, maxWatchTimeout)
	return max(time.Duration(random*float64(upper)), minWatchTimeout)
}

// watchGather returns the time after a change in which further ones are gathered. The nodes that take over
// from an assigner look at once.
func (n *Node) watchBatchDelay() time.Duration {
	for _, o := range n.allElectors() {
		if rank, _ := (knownPeers{n}).Rank(o.Service()); rank < seamelection.ImmediateCandidates {
			return candidateBatchDelay
		}
	}
	return changeBatchDelay
}

// stateReader takes the keys of the store.
type storeReader struct {
	node *Node
}

// Put takes a key that was written.
func (s storeReader) Put(now time.Time, e seamstore.Entry) {
	switch {
	case e.Key == s.node.adapter.RulesKey:
		s.node.applyRoutes(now, e.Value, fmt.Sprintf("store revision %d", e.Revision))
	case strings.HasPrefix(e.Key, seammembership.KeyPrefix):
		s.node.members.Put(now, e)
	default:
		s.node.registry.Put(now, e)
	}
}

// Delete takes a key that was removed.
func (s storeReader) Delete(now time.Time, key string, recent bool) {
	switch {
	case key == s.node.adapter.RulesKey:
		s.node.sink.Emit(now, seamevent.RoutesRefused, seamevent.Fields{"key": key, "error": "the key was removed; the routes stay in force"})
	case strings.HasPrefix(key, seammembership.KeyPrefix):
		s.node.members.Delete(now, key, recent)
	default:
		s.node.registry.Delete(now, key, recent)
	}
}

// Fresh takes note that all keys were read.
func (s storeReader) Fresh(now time.Time) {
	s.node.registry.Fresh(now)
}

// rawRules are the routes as the operator wrote them.
type rawRoutes struct {
	value    []byte
	revision int64
}

// applyRules puts routes into force, as far as they are valid and newer.
func (n *Node) applyRoutes(now time.Time, value []byte, from string) {
	d, err := n.adapter.DecodeRoutes(value)
	if err != nil {
		n.sink.Emit(now, seamevent.RoutesRefused, seamevent.Fields{"from": from, "error": err.Error()})
		return
	}
	if n.routes.Apply(now, d, from) != nil {
		return // the book has logged why
	}
	if old := n.rawRoutes.Load(); old == nil || old.revision < d.Revision {
		n.rawRoutes.Store(&rawRoutes{value: value, revision: d.Revision})
	}
}
