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
	storeFresh = 4 * time.Second
	// peerFresh is the time since the last bytes of a node within which it is known to live.
	peerFresh = 2 * time.Second
	// watchEach is the time between two looks of all nodes of a failure domain together.
	watchEach = 800 * time.Millisecond
	// gatherTime is the time after a change in which further ones are gathered: each answer to a watch is a
	// call of the store.
	gatherTime = time.Second
	// gatherLeast takes its place at the nodes that take over from an assigner.
	gatherLeast = 400 * time.Millisecond
	// watchLeast is the shortest time for which a watch stays open without changes.
	watchLeast = 200 * time.Millisecond
	// watchLongest is the longest time for which a watch stays open without changes.
	watchLongest = 25 * time.Second
)

// storeHealth tells whether the store can be reached.
type storeHealth struct {
	mu        sync.Mutex
	known     bool
	reachable bool
	// changed is the time of the last change, and reached that of the last call that succeeded.
	changed, reached time.Time
}

// note takes the end of a call into account and reports whether the health changed.
func (h *storeHealth) note(now time.Time, ok bool) (changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ok {
		h.reached = now
	}
	changed = !h.known || h.reachable != ok
	if changed {
		h.known, h.reachable, h.changed = true, ok, now
	}
	return changed
}

// steady returns the time since which the store can be reached; false if it can't.
func (h *storeHealth) steady(now time.Time) (since time.Time, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed, h.reachable && now.Sub(h.reached) < storeFresh
}

func (n *Node) startStore(c *seamstart.Cleanups, _ Options) error {
	store, stop := n.adapter.Store(StoreConfig{
		Addresses:        n.settings.Store,
		OnCallEnd:        n.observeStore,
		OnCallDuration:   n.countCall,
		WatchTimeout:     n.watchWait,
		ChangeBatchDelay: n.watchGather,
	})
	n.store = store
	c.Add(stop)
	n.roll = seammembership.New(n.self.Name, n.sink)
	n.registry = seamelection.NewRegistry(n.sink)
	n.book = seamroutes.NewActiveTable(n.sink)
	n.entry = seammembership.NewRegistration(store, seammembership.Member{Peer: n.self}, n.sink)
	// One watch costs less than one for the routes and one for the rest.
	n.mirror = seammirror.New(store, n.adapter.WatchPrefix, stateReader{n}, n.sink)
	return nil
}

func (n *Node) observeStore(call string, err error) {
	now := time.Now()
	if !n.health.note(now, err == nil) {
		return
	}
	if err != nil {
		n.sink.Emit(now, seamevent.StoreDown, seamevent.Fields{"call": call, "error": err.Error()})
		return
	}
	n.sink.Emit(now, seamevent.StoreUp, seamevent.Fields{"call": call})
}

func (n *Node) countCall(call string, took time.Duration, err error) {
	result := "done"
	if err != nil {
		result = "failed"
	}
	n.set.GetOrCreateCounter(fmt.Sprintf("cardamomseam_store_calls_total{call=%q,result=%q}", call, result)).Inc()
	n.set.GetOrCreateHistogram(fmt.Sprintf("cardamomseam_store_seconds{call=%q}", call)).Update(took.Seconds())
}

// startFollowing follows the store.
func (n *Node) startFollowing(c *seamstart.Cleanups, _ Options) error {
	c.Add(seamstart.Background(n.mirror.Run))
	c.Add(seamstart.Background(n.followTables))
	c.Add(seamstart.Background(n.entry.Run))
	c.Add(seamstart.Background(n.sweep))
	c.Add(seamstart.Background(n.catchUp))
	c.Add(seamstart.Background(func(ctx context.Context) { seamstall.Watch(ctx, n.sink) }))
	return nil
}

// sweep removes the members whose entries are gone, once the store has been back for as long as
// a live node takes to write its entry anew.
func (n *Node) sweep(ctx context.Context) {
	seamwait.Every(ctx, sweepInterval, func(now time.Time) {
		since, ok := n.health.steady(now)
		if ok && now.Sub(since) >= seammembership.GracePeriod {
			n.roll.RemoveExpired(now, func(p seampeer.Peer) bool { return now.Sub(n.sessions.LastReceived(p)) < peerFresh })
		}
	})
}

// watchWait returns the time after which a watch is opened anew.
func (n *Node) watchWait() time.Duration {
	near := 0
	for _, m := range n.roll.View().Members {
		if m.Peer.Domain == n.self.Domain {
			near++
		}
	}
	return waitOf(near, rand.Float64())
}

// waitOf returns the time after which one of so many nodes of a failure domain opens its watch anew. A watch may
// stay silent although keys change; the nodes, which hear of each other's revisions, together look about
// once in watchEach. A change wakes them all at the same moment, so that draw, in [0, 1), spreads their next
// looks over the whole time: of so many at random places in it, the first is about watchEach away.
func waitOf(nodes int, draw float64) time.Duration {
	longest := min(time.Duration(max(nodes, 1)+1)*watchEach, watchLongest)
	return max(time.Duration(draw*float64(longest)), watchLeast)
}

// watchGather returns the time after a change in which further ones are gathered. The nodes that take over
// from an assigner look at once.
func (n *Node) watchGather() time.Duration {
	for _, o := range n.openedOffices() {
		if rank, _ := (knownPeers{n}).Rank(o.Service()); rank < seamelection.ImmediateCandidates {
			return gatherLeast
		}
	}
	return gatherTime
}

// stateReader takes the keys of the store.
type stateReader struct {
	node *Node
}

// Put takes a key that was written.
func (s stateReader) Put(now time.Time, e seamstore.Entry) {
	switch {
	case e.Key == s.node.adapter.RulesKey:
		s.node.applyRules(now, e.Value, fmt.Sprintf("store revision %d", e.Revision))
	case strings.HasPrefix(e.Key, seammembership.KeyPrefix):
		s.node.roll.Put(now, e)
	default:
		s.node.registry.Put(now, e)
	}
}

// Delete takes a key that was removed.
func (s stateReader) Delete(now time.Time, key string, lately bool) {
	switch {
	case key == s.node.adapter.RulesKey:
		s.node.sink.Emit(now, seamevent.RoutesRefused, seamevent.Fields{"key": key, "error": "the key was removed; the routes stay in force"})
	case strings.HasPrefix(key, seammembership.KeyPrefix):
		s.node.roll.Delete(now, key, lately)
	default:
		s.node.registry.Delete(now, key, lately)
	}
}

// Fresh takes note that all keys were read.
func (s stateReader) Synced(now time.Time) {
	s.node.registry.Synced(now)
}

// rawRules are the routes as the operator wrote them.
type rawRules struct {
	value    []byte
	revision int64
}

// applyRules puts routes into force, as far as they are valid and newer.
func (n *Node) applyRules(now time.Time, value []byte, from string) {
	d, err := n.adapter.DecodeRoutes(value)
	if err != nil {
		n.sink.Emit(now, seamevent.RoutesRefused, seamevent.Fields{"from": from, "error": err.Error()})
		return
	}
	if n.book.Apply(now, d, from) != nil {
		return // the book has logged why
	}
	if old := n.raw.Load(); old == nil || old.revision < d.Revision {
		n.raw.Store(&rawRules{value: value, revision: d.Revision})
	}
}
