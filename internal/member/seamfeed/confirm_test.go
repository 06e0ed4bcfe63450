package seamfeed_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cardamomseam/internal/member/seamfeed"
	"cardamomseam/internal/stand/seamstandkv"
)

// confirm asks the node whether it knows all changes, as for a request that arrives now.
func (n *node) confirm() error {
	return n.feed.Confirm(n.fleet.ctx, time.Now().Add(-seamfeed.MaxAge))
}

func TestConfirmedNodeKnowsEachAcknowledgedChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 5)
		time.Sleep(settleTime)
		f.store.SetFaults(seamstandkv.Faults{SuppressWatches: true})
		for i := range 5 {
			f.store.Put("a/routes", routesOf(i, 30<<10))
			time.Sleep(seamfeed.MaxAge + time.Millisecond)
			for _, n := range f.all() {
				if err := n.confirm(); err != nil {
					t.Fatalf("%s: %v", n.peer.Name, err)
				}
			}
			f.expectEverywhere(t)
		}
	})
}

func TestConfirmedAlsoIfTheStoreHasForgottenItsHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 4)
		time.Sleep(settleTime)
		f.store.Put("z/other", nil)
		synctest.Wait() // the watches have passed that revision
		f.store.Compact()
		time.Sleep(2 * seamfeed.MaxAge)
		lists := f.lists.Load()
		for _, n := range f.all() {
			for range 3 {
				if err := n.confirm(); err != nil {
					t.Errorf("%s: %v", n.peer.Name, err)
				}
				time.Sleep(2 * seamfeed.MaxAge)
			}
		}
		if n := f.lists.Load() - lists; n > seamfeed.ReadersPerDomain {
			t.Errorf("%d lists by %d readers", n, seamfeed.ReadersPerDomain)
		}
	})
}

func TestNodeWithoutAnAnswerFromTheStoreIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 5)
		time.Sleep(settleTime)
		f.store.SetFaults(seamstandkv.Faults{Down: true})
		time.Sleep(2 * seamfeed.MaxAge)
		for _, n := range f.all() {
			start := time.Now()
			if n.confirm() == nil {
				t.Errorf("%s is confirmed while the store is down", n.peer.Name)
			}
			if took := time.Since(start); took > seamfeed.MaxAge {
				t.Errorf("%s: refused after %v", n.peer.Name, took)
			}
		}
	})
}

func TestNodeWhoseValueHasNotArrivedIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 5)
		f.cutSubscribersOff()
		n := f.subscribers()[0]
		n.bytesPerSecond.Store(10 << 10)
		f.store.Put("a/routes", routesOf(1, maxStoreValue))
		time.Sleep(seamfeed.MaxAge + 100*time.Millisecond)
		if n.confirm() == nil {
			t.Errorf("confirmed with the routes of revision %d before the acknowledged ones have arrived", n.routesRevision())
		}
	})
}

// A caller that asks for paths that don't exist, at each node and in a loop, costs the store little.
func TestChecksOfManyCallersAreSharedAndBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, seconds, callers = 40, 20, 4
		f := newFleet(t, 1, nodes)
		time.Sleep(settleTime)
		before := f.changeLists.Load()
		var calling sync.WaitGroup
		end := time.Now().Add(seconds * time.Second)
		for _, n := range f.all() {
			for range callers {
				calling.Go(func() {
					for time.Now().Before(end) {
						if err := n.confirm(); err != nil {
							t.Error(err)
						}
						time.Sleep(50 * time.Millisecond)
					}
				})
			}
		}
		calling.Wait()
		calls := f.changeLists.Load() - before
		if most := int64(4 * seamfeed.ReadersPerDomain * seconds); calls > most {
			t.Errorf("%d calls to the store in %d s, want at most %d", calls, seconds, most)
		}
	})
}
