package seamelection_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamelection"
	"cardamomseam/internal/own/seamtable"
)

// TestPlacementIsLoggedOncePerChange guards against a line with each tick of the assigner, and against an evacuation whose progress an
// operator can't see.
func TestPlacementIsLoggedOncePerChange(t *testing.T) {
	store, sink := newStore(t), seamevent.NewStream("n0")
	registry := seamelection.NewRegistry(sink)
	self := seampeer.Peer{Name: "n0", Incarnation: 1, Address: "127.0.0.1:1"}
	e := seamelection.New(service, self, store, registry, seamclock.NewClock(), peers{}, sink)
	var placement atomic.Pointer[seamtable.Placement]
	placement.Store(&seamtable.Placement{})
	e.UsePlacement(func() seamtable.Placement { return *placement.Load() })
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	running.Go(func() { follow(ctx, store, registry) })
	running.Go(func() { e.Run(ctx) })
	count := func(name string) (n int) {
		for _, event := range sink.Recent() {
			if event.Name == name {
				n++
			}
		}
		return n
	}
	await(t, "the first table", func() bool { return count(seamevent.TableWritten) > 0 })
	if n := count(seamevent.PlacementChanged) + count(seamevent.PlacementReached); n > 0 {
		t.Errorf("%d lines without a restriction", n)
	}
	for i, domains := range [][]string{{"d1"}, {"d1", "d2"}, nil} {
		placement.Store(&seamtable.Placement{ExcludedDomains: domains})
		await(t, "the change in the log", func() bool { return count(seamevent.PlacementReached) == i+1 })
		time.Sleep(200 * time.Millisecond) // some ticks
		if changed, reached := count(seamevent.PlacementChanged), count(seamevent.PlacementReached); changed != i+1 || reached != i+1 {
			t.Errorf("%d changes and %d ends in the log after %d changes", changed, reached, i+1)
		}
	}
}
