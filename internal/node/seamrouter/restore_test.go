package seamrouter_test

import (
	"context"
	"flag"
	"testing"
	"time"

	"cardamomseam/internal/stand/seamstandkv"
)

// restoredFleet starts a fleet whose store has come back from a copy once. Nodes 0 and 1 hold keys.
func restoredFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t)
	f.store.Restore(f.store.Copy())
	f.add("n0", keyedService)
	f.add("n1", keyedService)
	f.add("n2", plainService)
	f.add("n3", plainService)
	f.awaitServed(f.nodes[3])
	return f
}

// copyBeforeJoin copies the store, adds a target of the keyed service and waits until it has keys, which the copy lacks.
func (f *fleet) copyBeforeJoin() seamstandkv.Copy {
	f.t.Helper()
	copied := f.store.Copy()
	joined := f.add("n4", keyedService)
	f.await("keys of the new target", func() bool { return len(joined.State(time.Now()).Held) > 0 })
	return copied
}

// drainAssigner stops the node of the assigner of the keyed service as planned.
func (f *fleet) drainAssigner() {
	f.t.Helper()
	assigner := f.nodes[0].State(time.Now()).Leaders[keyedService]
	for _, n := range f.nodes {
		if n.State(time.Now()).Node != assigner {
			continue
		}
		ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
		defer cancel()
		_ = n.Drain(ctx) // no request is in flight
		n.stop()
		return
	}
	f.t.Fatal("no assigner is known")
}

// tokenCheck watches who holds some of the keys, and under which fencing tokens.
type tokenCheck struct {
	// holder and fence are the last target that held a key, and its token.
	holder map[uint32]string
	fence  map[uint32]uint64
	// shared is since when two targets hold a key.
	shared map[uint32]time.Time
}

func newTokenCheck() *tokenCheck {
	return &tokenCheck{holder: map[uint32]string{}, fence: map[uint32]uint64{}, shared: map[uint32]time.Time{}}
}

// watch checks the fleet for the given time.
func (c *tokenCheck) watch(f *fleet, d time.Duration) {
	f.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for key := uint32(0); key < 1<<16; key += 1 << 10 {
			c.check(f, time.Now(), key)
		}
		if f.t.Failed() {
			return
		}
	}
}

// check fails if a key has had two holders for over half a second, or if another target holds it under a lower token.
func (c *tokenCheck) check(f *fleet, now time.Time, key uint32) {
	f.t.Helper()
	if f.holders(key) < 2 {
		delete(c.shared, key)
	} else if since, ok := c.shared[key]; !ok {
		c.shared[key] = now
	} else if now.Sub(since) > 500*time.Millisecond {
		f.t.Errorf("two targets have held key %d for %v", key, now.Sub(since))
	}
	for _, n := range f.nodes {
		fence, ok := n.target.fenceOf(now, key)
		if !ok {
			continue
		}
		if n.target.name != c.holder[key] && fence <= c.fence[key] {
			f.t.Errorf("%s holds key %d under token %d, %s had it under %d", n.target.name, key, fence, c.holder[key], c.fence[key])
		}
		if fence > c.fence[key] {
			c.holder[key], c.fence[key] = n.target.name, fence
		}
	}
}

// fenceOf returns the fencing token under which the target holds a key; false if it doesn't.
func (g *target) fenceOf(now time.Time, key uint32) (uint64, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, h := range g.grants {
		if h.Contains(key) && now.Before(h.expiresAt) {
			return h.Fence, true
		}
	}
	return 0, false
}

// TestMovedKeysKeepTheirHolderWhenTheStoreComesBackFromACopy guards against a former owner that gets its keys back, under its old
// token, from the copy of a table from before they moved.
func TestMovedKeysKeepTheirHolderWhenTheStoreComesBackFromACopy(t *testing.T) {
	for _, tt := range []struct {
		name string
		// calm is the time between the return of the store and the stop of the assigner.
		calm time.Duration
	}{
		{"assigner stops later", 3 * time.Second},
		{"assigner stops at once", 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := restoredFleet(t)
			copied := f.copyBeforeJoin()
			c := newTokenCheck()
			c.watch(f, time.Second)
			f.store.Restore(copied)
			c.watch(f, tt.calm)
			f.drainAssigner()
			c.watch(f, 4*time.Second)
			f.awaitServed(f.nodes[0])
		})
	}
}

// TestNoKeyIsLostOrSharedWhenTheStoreComesBackTwice guards against a second copy that undoes what was done after the first.
func TestNoKeyIsLostOrSharedWhenTheStoreComesBackTwice(t *testing.T) {
	t.Parallel()
	f := restoredFleet(t)
	copied := f.copyBeforeJoin()
	c := newTokenCheck()
	for _, pause := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second} {
		f.store.Restore(copied)
		c.watch(f, pause)
	}
	f.awaitServed(f.nodes[3])
}

// TestKeysAreAssignedAgainWhenTheCopyIsOlderThanTheirTable guards against a service that starts from nothing beside targets that
// hold its keys.
func TestKeysAreAssignedAgainWhenTheCopyIsOlderThanTheirTable(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store.Restore(f.store.Copy())
	copied := f.store.Copy()
	for _, service := range []string{keyedService, keyedService, plainService, plainService} {
		f.add("n"+string(rune('0'+len(f.nodes))), service)
	}
	f.awaitServed(f.nodes[3])
	c := newTokenCheck()
	f.store.Restore(copied)
	c.watch(f, 3*time.Second)
	f.awaitServed(f.nodes[3])
}

// restoreOutage is the time for which the store is away before it comes back from a copy. A longer one is set by hand.
var restoreOutage = flag.Duration("restoreoutage", 3*time.Second, "time for which the store is away before it comes back from a copy")

// TestKeysAreServedAgainWhenTheStoreComesBackFromACopyAfterAnOutage guards against two holders, or none, when the leases of the leader and
// of the holders have expired meanwhile.
func TestKeysAreServedAgainWhenTheStoreComesBackFromACopyAfterAnOutage(t *testing.T) {
	t.Parallel()
	f := restoredFleet(t)
	copied := f.copyBeforeJoin()
	c := newTokenCheck()
	f.store.SetFaults(seamstandkv.Faults{Down: true})
	c.watch(f, *restoreOutage)
	f.store.Restore(copied)
	f.store.SetFaults(seamstandkv.Faults{})
	c.watch(f, 3*time.Second)
	f.awaitServed(f.nodes[3])
	c.watch(f, time.Second)
}

// TestKeysKeepOneHolderWhenTheStoreComesBackWhileTheyMove guards against a move that is half done when the table that planned it is lost.
func TestKeysKeepOneHolderWhenTheStoreComesBackWhileTheyMove(t *testing.T) {
	t.Parallel()
	f := restoredFleet(t)
	c := newTokenCheck()
	for i := range 3 {
		copied := f.store.Copy()
		f.announce(f.nodes[i%2], true) // its keys move away
		c.watch(f, time.Duration(50+100*i)*time.Millisecond)
		f.store.Restore(copied)
		c.watch(f, 1500*time.Millisecond)
		f.add("n"+string(rune('5'+i)), keyedService)
	}
	f.awaitServed(f.nodes[3])
	c.watch(f, time.Second)
}
