package seamfeed_test

import (
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomseam/internal/member/seamfeed"
	wire "cardamomseam/internal/member/seamfeedwire"
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/route/seamframe"
	"cardamomseam/internal/stand/seamstandkv"
)

const (
	// settleTime is long enough for all nodes of a calm fleet to have found their sources.
	settleTime = 6 * time.Second
	// deliveryBound is the time within which an acknowledged change is known at each node that is in touch.
	deliveryBound = 3 * time.Second
	// recoveryTime is the time after the end of a fault from which on a node counts as in touch again.
	recoveryTime = 4 * time.Second
)

func TestFeedFollowsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1)
		n := f.nodes["n0-0"]
		f.store.Put("a/1", []byte("x"))
		f.store.Put("b/1", []byte("other"))
		time.Sleep(settleTime)
		n.expect(t, map[string]string{"a/1": "x"})
		f.store.Put("a/1", []byte("y"))
		f.store.Put("a/2", []byte("z"))
		synctest.Wait()
		n.expect(t, map[string]string{"a/1": "y", "a/2": "z"})
		remove(t, f.store, "a/1")
		synctest.Wait()
		n.expect(t, map[string]string{"a/2": "z"})
	})
}

// A node that starts first waits for the others before it follows the store, unless requests arrive.
func TestRequestsEndSettling(t *testing.T) {
	for name, tt := range map[string]struct {
		skip bool
		want int64
	}{
		"no requests": {false, 0},
		"requests":    {true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1, 1)
				synctest.Wait()
				if tt.skip {
					f.nodes["n0-0"].feed.SkipSettling()
				}
				time.Sleep(probeInterval)
				if got := f.watches.Load(); got != tt.want {
					t.Errorf("%d watches a second after the start, want %d", got, tt.want)
				}
			})
		})
	}
}

func TestFeedListsAgainAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 3)
		f.store.Put("a/1", []byte("x"))
		f.store.Put("a/2", []byte("x"))
		time.Sleep(settleTime)
		for _, n := range f.all() {
			n.expect(t, map[string]string{"a/1": "x", "a/2": "x"})
		}
		f.store.SetFaults(seamstandkv.Faults{SuppressWatches: true})
		f.store.Put("a/1", []byte("y"))
		remove(t, f.store, "a/2")
		f.store.Compact()
		f.store.SetFaults(seamstandkv.Faults{})
		time.Sleep(deliveryBound)
		for _, n := range f.all() {
			n.expect(t, map[string]string{"a/1": "y"})
		}
	})
}

func TestFeedListsOnceTheStoreIsReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1)
		f.store.SetFaults(seamstandkv.Faults{Down: true})
		f.store.Put("a/1", []byte("x"))
		time.Sleep(settleTime)
		f.store.SetFaults(seamstandkv.Faults{})
		time.Sleep(deliveryBound)
		f.nodes["n0-0"].expect(t, map[string]string{"a/1": "x"})
	})
}

// Of 200 nodes that start together, only the readers watch the store.
func TestCallsGrowWithDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const domains, perDomain = 4, 50
		f := newFleet(t, domains, perDomain)
		time.Sleep(settleTime)
		if got := f.sources()["store"]; got != domains*seamfeed.ReadersPerDomain {
			t.Errorf("%d nodes follow the store, want %d", got, domains*seamfeed.ReadersPerDomain)
		}
		// Each node lists when it starts and once the others have registered.
		if got := f.lists.Load(); got > 2*domains*perDomain {
			t.Errorf("%d lists by %d nodes", got, domains*perDomain)
		}
		lists, watches := f.lists.Load(), f.watches.Load()
		for i := range 60 {
			f.store.Put("a/routes", fmt.Append(nil, i))
			time.Sleep(time.Second)
		}
		if got := f.lists.Load() + f.watches.Load() - lists - watches; got != 0 {
			t.Errorf("%d calls in a calm minute, want none", got)
		}
		f.expectEverywhere(t)
	})
}

func TestSubscribersLeaveALostReader(t *testing.T) {
	for name, lose := range map[string]func(n *node){
		"stopped":                func(n *node) { n.stop() },
		"cut off from nodes":     func(n *node) { n.networkCut.Store(true) },
		"cut off from the store": func(n *node) { n.storeCut.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1, 12)
				time.Sleep(settleTime)
				lost := f.readers()[0]
				lose(lost)
				// The subscribers notice a reader that lost the store once its own calls have failed for a while.
				time.Sleep(reachableFor)
				f.store.Put("a/routes", []byte("x"))
				time.Sleep(deliveryBound)
				for _, n := range f.all() {
					if n != lost && n.routesRevision() == 0 {
						t.Errorf("%s does not know the change; its source is %s", n.peer.Name, n.feed.Status().Source)
					}
				}
			})
		})
	}
}

// Both readers of a failure domain are lost within a second, just after their heartbeats.
func TestSubscribersLeaveTwoLostReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 12)
		time.Sleep(settleTime)
		readers := f.readers()
		readers[0].networkCut.Store(true)
		time.Sleep(probeInterval)
		synctest.Wait()
		readers[1].networkCut.Store(true)
		f.store.Put("a/routes", []byte("x"))
		time.Sleep(deliveryBound - time.Millisecond)
		for _, n := range f.all() {
			if n.routesRevision() == 0 {
				t.Errorf("%s does not know the change; its source is %s", n.peer.Name, n.feed.Status().Source)
			}
		}
	})
}

func TestTablesReachSubscribers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 6)
		time.Sleep(settleTime)
		for _, n := range f.readers() {
			n.feed.PublishTable(seamstore.Entry{Key: "table/calendar", Value: []byte("x"), Revision: 7})
			n.feed.PublishTable(seamstore.Entry{Key: "table/calendar", Value: []byte("old"), Revision: 6})
		}
		synctest.Wait()
		subscribers := 0
		for _, n := range f.all() {
			if n.feed.Subscribed() {
				subscribers++
				n.feed.RequestTables()
				if got := n.tables["table/calendar"]; got != 7 {
					t.Errorf("%s has the table at revision %d, want 7", n.peer.Name, got)
				}
			}
		}
		synctest.Wait()
		wanted := 0
		for _, n := range f.readers() {
			wanted += n.wanted
		}
		if subscribers == 0 || wanted != subscribers {
			t.Errorf("readers got %d requests for the tables from %d subscribers", wanted, subscribers)
		}
	})
}

// A subscriber follows two readers. The second one must not send it the tables, which are large, once more.
func TestSecondReaderSendsNoTables(t *testing.T) {
	for _, noTables := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 1, 1)
			time.Sleep(settleTime)
			reader := f.nodes["n0-0"]
			near, far := net.Pipe()
			f.serving.Go(func() {
				defer far.Close()
				reader.feed.ServeStream(f.ctx, seampeer.Peer{Name: "subscriber"}, far)
			})
			defer near.Close()
			if err := seamframe.Write(near, seamframe.FeedAsk, &wire.Ask{NoTables: noTables}); err != nil {
				t.Fatal(err)
			}
			go func() {
				reader.feed.PublishTable(seamstore.Entry{Key: "table/calendar", Value: []byte("x"), Revision: 7})
				f.store.Put("a/routes", []byte("x"))
			}()
			frames, release := seamframe.NewReader(near)
			defer release()
			tables, routes := 0, 0
			for routes == 0 {
				update := new(wire.Update)
				if err := frames.ReadMessage(seamframe.FeedUpdate, update); err != nil {
					t.Fatal(err)
				}
				for _, c := range update.GetChanges() {
					if c.GetTable() {
						tables++
					}
					if c.GetKey() == "a/routes" {
						routes++
					}
				}
			}
			if (tables > 0) == noTables {
				t.Errorf("no tables asked for: %t; got %d", noTables, tables)
			}
		})
	}
}

// While the store is down for all nodes, few of them call it.
func TestSubscribersDontCallAStoreThatIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 40
		f := newFleet(t, 2, nodes/2)
		time.Sleep(settleTime)
		lists, watches := f.lists.Load(), f.watches.Load()
		f.store.SetFaults(seamstandkv.Faults{Down: true})
		time.Sleep(20 * time.Second)
		// Each node may try the store itself once, before it knows that the store is down.
		if got := f.lists.Load() + f.watches.Load() - lists - watches; got > 3*nodes {
			t.Errorf("%d calls while the store was down, want at most %d", got, 3*nodes)
		}
		f.store.SetFaults(seamstandkv.Faults{})
		time.Sleep(recoveryTime)
		f.store.Put("a/routes", []byte("x"))
		time.Sleep(deliveryBound)
		f.expectEverywhere(t)
	})
}

// readers returns the nodes that follow the store.
func (f *fleet) readers() []*node {
	var readers []*node
	for _, n := range f.all() {
		if !n.feed.Subscribed() {
			readers = append(readers, n)
		}
	}
	return readers
}

// expectEverywhere checks that all nodes know the latest revision of the routes.
func (f *fleet) expectEverywhere(t *testing.T) {
	t.Helper()
	const key = "a/routes"
	e, err := f.store.Get(t.Context(), seamstore.Takeover, key)
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range f.all() {
		if got := n.routesRevision(); got != e.Revision {
			t.Errorf("%s knows %s at revision %d, want %d; its source is %s", n.peer.Name, key, got, e.Revision, n.feed.Status().Source)
		}
	}
}

// expect checks the node's copy, the registrations excepted.
func (n *node) expect(t *testing.T, want map[string]string) {
	t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	got := map[string]string{}
	for key, e := range n.copy {
		if e.Value != nil {
			got[key] = string(e.Value)
		}
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("copy of %s: %s", n.peer.Name, d)
	}
}

func remove(t *testing.T, store *seamstandkv.Store, key string) {
	t.Helper()
	e, err := store.Get(t.Context(), seamstore.Takeover, key)
	if err != nil {
		t.Fatal(err)
	}
	if err := store.Delete(t.Context(), seamstore.Takeover, key, e.Revision); err != nil {
		t.Fatal(err)
	}
}
