package seamrouter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"cardamomseam/internal/member/seamfeed"
	"cardamomseam/internal/member/seammembership"
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/node/seamstart"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/observe/seamstall"
	"cardamomseam/internal/own/seamelection"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/platform/seamwait"
	"cardamomseam/internal/route/seampoison"
	"cardamomseam/internal/rule/seamroutes"
)

const (
	// sweepInterval is the interval between checks for members whose entries have expired.
	sweepInterval = 500 * time.Millisecond
	// storeFreshFor is how long after a successful call the store counts as reachable.
	storeFreshFor = 4 * time.Second
	// peerAliveFor is how long after the last bytes from a peer the peer counts as alive.
	peerAliveFor = 2 * time.Second
	// domainWatchInterval is the mean interval at which some node of a failure domain reopens its watch.
	domainWatchInterval = 800 * time.Millisecond
	// changeBatchDelay is how long a watch collects further changes after a change. Each reply to a watch counts
	// as a call to the store.
	changeBatchDelay = 400 * time.Millisecond
	// minWatchTimeout is the shortest time for which a watch stays open without changes.
	minWatchTimeout = 200 * time.Millisecond
	// maxWatchTimeout is the longest time for which a watch stays open without changes.
	maxWatchTimeout = 25 * time.Second
)

// storeHealth tracks whether the store is reachable.
type storeHealth struct {
	mu        sync.Mutex
	known     bool
	reachable bool
	// lastChange is when reachable last changed, and lastSuccess when a call last succeeded.
	lastChange, lastSuccess time.Time
}

// record records the result of a call and reports whether the reachability changed.
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

// reachableSince returns when the store became reachable, and false if it is unreachable or no call
// has succeeded lately.
func (h *storeHealth) reachableSince(now time.Time) (since time.Time, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastChange, h.isReachable(now)
}

// isReachable reports whether the last call reached the store and one has succeeded lately. The caller holds mu.
func (h *storeHealth) isReachable(now time.Time) bool {
	return h.reachable && now.Sub(h.lastSuccess) < storeFreshFor
}

// mayBeReachable reports whether the store is reachable or no call has ended yet.
func (h *storeHealth) mayBeReachable(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.known || h.isReachable(now)
}

// lastContact returns when a call last succeeded.
func (h *storeHealth) lastContact() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastSuccess
}

func (n *Node) startStore(c *seamstart.Cleanups, _ Options) error {
	store, stop := n.adapter.Store(StoreConfig{
		Addresses:        n.settings.Store,
		OnCallEnd:        n.onStoreCallEnd,
		OnCallDuration:   n.recordStoreCall,
		OnEraChange:      n.onStoreRestored,
		OnItemRefused:    n.onStoreItemRefused,
		OnCurrent:        func(asOf time.Time, revision int64) { n.feed.Confirmed(asOf, revision) },
		WatchTimeout:     watchTimeout,
		ChangeBatchDelay: changeBatchDelay,
	})
	n.store = store
	c.Add(stop)
	n.members = seammembership.New(n.self.Name, n.sink)
	n.registry = seamelection.NewRegistry(n.sink)
	n.routes = seamroutes.NewActiveTable(n.sink)
	n.routes.CountSplits(n.metricSet)
	n.registration = seammembership.NewRegistration(store, seammembership.Member{Peer: n.self, Memory: n.settings.Memory}, n.sink)
	// One watch makes fewer store calls than separate watches for the routes and the other keys.
	n.feed = seamfeed.New(store, n.adapter.WatchPrefix, storeReader{n}, feedNetwork{n}, n.sink)
	n.metricSet.NewGauge("cardamomseam_routes_revision", func() float64 { return float64(n.routes.Revision()) })
	n.metricSet.NewGauge("cardamomseam_evacuated_domains", func() float64 { return float64(len(n.evacuations.Snapshot().All())) })
	n.metricSet.NewGauge("cardamomseam_evacuated_domain_keys", func() float64 { return float64(n.keysInEvacuatedDomains()) })
	n.metricSet.NewGauge("cardamomseam_feed_age_seconds", func() float64 { return n.feedAge(time.Now()).Seconds() })
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

// feedAge returns the time since this node was last known to know all changes, or since its start.
func (n *Node) feedAge(now time.Time) time.Duration {
	if asOf := n.feed.CurrentAsOf(); asOf.After(n.startedAt) {
		return now.Sub(asOf)
	}
	return now.Sub(n.startedAt)
}

// onStoreItemRefused logs an item that was passed over because it can't be decoded.
func (n *Node) onStoreItemRefused(err error) {
	n.metricSet.GetOrCreateCounter("cardamomseam_store_items_refused_total").Inc()
	n.sink.Emit(time.Now(), seamevent.StoreItemRefused, seamevent.Fields{"error": err.Error()})
}

// onStoreRestored logs that the store has come back from a copy. revision is the one up to which this node knew all changes.
func (n *Node) onStoreRestored(before, after int64) {
	now := time.Now()
	n.metricSet.GetOrCreateCounter("cardamomseam_store_restored_total").Inc()
	n.sink.Emit(now, seamevent.StoreRestored, seamevent.Fields{"from": before, "era": after, "revision": n.feed.Status().Revision})
}

func (n *Node) recordStoreCall(call string, took time.Duration, err error) {
	result := "done"
	if err != nil {
		result = "failed"
	}
	n.metricSet.GetOrCreateCounter(fmt.Sprintf("cardamomseam_store_calls_total{call=%q,result=%q}", call, result)).Inc()
	n.metricSet.GetOrCreateHistogram(fmt.Sprintf("cardamomseam_store_seconds{call=%q}", call)).Update(took.Seconds())
}

// startStoreSync starts the background tasks that exchange state with the store and with peers.
func (n *Node) startStoreSync(c *seamstart.Cleanups, _ Options) error {
	c.Add(seamstart.Background(n.feed.Run))
	c.Add(seamstart.Background(n.pollTables))
	c.Add(seamstart.Background(n.registration.Run))
	c.Add(seamstart.Background(n.sweep))
	c.Add(seamstart.Background(n.sharePoison))
	c.Add(seamstart.Background(n.syncFromPeers))
	c.Add(seamstart.Background(func(ctx context.Context) { seamstall.Watch(ctx, n.sink) }))
	return nil
}

// sweep removes the members whose entries have expired, once the store has been reachable for as long as
// a live node needs to rewrite its entry.
func (n *Node) sweep(ctx context.Context) {
	seamwait.Every(ctx, sweepInterval, func(now time.Time) {
		since, ok := n.health.reachableSince(now)
		if ok && now.Sub(since) >= seammembership.GracePeriod {
			n.members.RemoveExpired(now, func(p seampeer.Peer) bool { return now.Sub(n.sessions.LastReceived(p)) < peerAliveFor })
		}
	})
}

// watchTimeout returns the time after which a reader reopens its watch.
func watchTimeout() time.Duration {
	return jitteredWatchTimeout(seamfeed.ReadersPerDomain, rand.Float64())
}

// jitteredWatchTimeout returns the time after which one of the given number of readers in a failure domain reopens its
// watch. A watch may report nothing although keys change. Nodes learn each other's revisions, so it is enough that
// some reader reopens its watch about every domainWatchInterval. A change ends all watches at the same moment;
// random, in [0, 1), spreads the next reopenings uniformly over (readers+1) * domainWatchInterval, so that the
// earliest of them is on average about domainWatchInterval away.
func jitteredWatchTimeout(readers int, random float64) time.Duration {
	upper := min(time.Duration(max(readers, 1)+1)*domainWatchInterval, maxWatchTimeout)
	return max(time.Duration(random*float64(upper)), minWatchTimeout)
}

// storeReader applies the keys read from the store to the node's view.
type storeReader struct {
	node *Node
}

// Put applies a written key.
func (s storeReader) Put(now time.Time, e seamstore.Entry) {
	if domain, ok := s.node.evacuatedDomain(e.Key); ok {
		s.node.evacuate(now, domain, e.Revision)
		return
	}
	switch {
	case e.Key == s.node.adapter.RulesKey:
		s.node.applyRoutes(now, e)
	case strings.HasPrefix(e.Key, seammembership.KeyPrefix):
		s.node.members.Put(now, e)
		s.node.hearPoison(strings.TrimPrefix(e.Key, seammembership.KeyPrefix))
	case strings.HasPrefix(e.Key, seampoison.RecordPrefix):
		s.node.putPoisonRecord(now, e)
	default:
		s.node.registry.Put(now, e)
	}
}

// Delete applies the deletion of a key.
func (s storeReader) Delete(now time.Time, key string, timeUnknown bool) {
	if domain, ok := s.node.evacuatedDomain(key); ok {
		s.node.reinstate(now, domain)
		return
	}
	switch {
	case key == s.node.adapter.RulesKey:
		s.node.sink.Emit(now, seamevent.RoutesRefused, seamevent.Fields{"key": key, "error": "the key was deleted; the current routes stay in effect"})
	case strings.HasPrefix(key, seammembership.KeyPrefix):
		s.node.members.Delete(now, key, timeUnknown)
	case strings.HasPrefix(key, seampoison.RecordPrefix):
		s.node.deletePoisonRecord(now, key)
	default:
		s.node.registry.Delete(now, key, timeUnknown)
	}
}

// Synced records that all keys have been read.
func (s storeReader) Synced(now time.Time) {
	s.node.registry.Synced(now)
	s.node.evacuationsSynced(now)
}

// PutTable applies an ownership table that a reader sent.
func (s storeReader) PutTable(now time.Time, e seamstore.Entry) { s.node.registry.Put(now, e) }

// TablesWanted triggers a current read of the tables for a subscriber.
func (s storeReader) TablesWanted() { s.node.requestTableRead() }

// routesEntry is the entry of the store from which the routes in effect were decoded.
type routesEntry struct {
	seamstore.Entry
	// document is the revision of the routes.
	document int64
}

// applyRoutes puts routes into effect if they are valid and newer than the current ones.
func (n *Node) applyRoutes(now time.Time, e seamstore.Entry) {
	from := fmt.Sprintf("store revision %d", e.Revision)
	d, err := n.adapter.DecodeRoutes(e.Value)
	if err != nil {
		n.sink.Emit(now, seamevent.RoutesRefused, seamevent.Fields{"from": from, "error": err.Error()})
		return
	}
	if n.routes.Apply(now, d, from) != nil {
		return // Apply has logged the reason
	}
	if old := n.routesEntry.Load(); old == nil || old.document < d.Revision {
		n.routesEntry.Store(&routesEntry{Entry: e, document: d.Revision})
	}
}
