package seamkeeper_test

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamgrant"
	"cardamomseam/internal/own/seamkeeper"
	"cardamomseam/internal/rule/seamstoretest"
)

func TestLostNodeIsReplaced(t *testing.T) {
	for _, tt := range []struct {
		role seamcell.Role
		down bool
	}{
		{seamcell.RoleMember, false},
		{seamcell.RoleMember, true},
		{seamcell.RoleBackup, false},
		{seamcell.RoleCoordinator, false},
	} {
		name := string(tt.role)
		if tt.down {
			name += " without store"
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newRunningFleet(t, 4)
			f.checkExclusivity()
			lost := f.withRole(tt.role)
			f.store.SetDown(tt.down)
			lost.stop()
			f.await("slots are served elsewhere", func() bool {
				for i := range uint32(slots) {
					if h := f.holders(i); len(h) != 1 || h[0] == lost {
						return false
					}
				}
				return true
			})
		})
	}
}

func TestLostStoreResponses(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	var writes atomic.Int32
	faults := []seamstoretest.WriteFault{seamstoretest.ResponseLost, seamstoretest.RequestLost, seamstoretest.NoFault}
	f.store.InjectFault = func() seamstoretest.WriteFault {
		return faults[int(writes.Add(1)-1)%len(faults)]
	}
	for range 4 {
		f.add()
	}
	f.checkExclusivity()
	f.awaitServed(f.nodes)
	lost := f.withRole(seamcell.RoleCoordinator)
	lost.stop()
	f.await("slots are served elsewhere", func() bool {
		for i := range uint32(slots) {
			if h := f.holders(i); len(h) != 1 || h[0] == lost {
				return false
			}
		}
		return true
	})
	if n := writes.Load(); n < int32(len(faults)) {
		t.Errorf("%d writes; not all faults were injected", n)
	}
}

func TestDrainHandsOverSlots(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(map[bool]string{false: "with store", true: "without store"}[down], func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.deadline = time.Minute // long enough that the drain waits for the request below
			for range 4 {
				f.add()
			}
			f.awaitServed(f.nodes)
			f.checkExclusivity()
			draining := f.withRole(seamcell.RoleMember)
			f.store.SetDown(down)
			index := f.ownedBy(draining)[0]
			_, release, err := draining.keeper.Acquire(context.Background(), slot(index))
			if err != nil {
				t.Fatal(err)
			}
			drained := drain(draining)
			f.await("requests for the slot are no longer admitted", func() bool {
				_, ok := draining.tryAcquire(index)
				return !ok
			})
			successor := f.successor(draining, index)
			acquired := make(chan error, 1)
			go func() {
				_, done, err := successor.keeper.Acquire(context.Background(), slot(index))
				if err == nil {
					done()
				}
				acquired <- err
			}()
			f.await("all other slots are served elsewhere", func() bool { return len(f.ownedBy(draining)) == 0 && f.served(index) == slots-1 })
			if h := draining.target.handoversOf(index); len(h) > 0 {
				t.Error("the slot was handed over while a request was in flight")
			}
			select {
			case err := <-drained:
				t.Fatalf("the node drained while a request was in flight (%v)", err)
			case err := <-acquired:
				t.Fatalf("the successor serves while a request is in flight (%v)", err)
			default:
			}
			release()
			if err := <-acquired; err != nil {
				t.Errorf("request that waits at the successor: %v", err)
			}
			if err := <-drained; err != nil {
				t.Errorf("drain: %v", err)
			}
			handed := draining.target.handoversOf(index)
			if len(handed) != 1 || handed[0].Successor != successor.target.address() {
				t.Errorf("handovers %+v, want one to %s", handed, successor.target.address())
			}
			if n := f.served(slots); n != slots {
				t.Errorf("%d slots are served after the drain", n)
			}
		})
	}
}

func drain(n *node) <-chan error {
	drained := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		drained <- n.keeper.Drain(ctx)
	}()
	return drained
}

// served returns the number of slots that have exactly one holder, without the slot except. No slot is left out if
// except is out of range.
func (f *fleet) served(except uint32) int {
	count := 0
	for i := range uint32(slots) {
		if i != except && len(f.holders(i)) == 1 {
			count++
		}
	}
	return count
}

// successor returns the node to which the slot moves, once that node knows of the move.
func (f *fleet) successor(from *node, index uint32) *node {
	f.t.Helper()
	var next *node
	f.await("slot has a successor", func() bool {
		for _, s := range from.keeper.View().Slots {
			for _, n := range f.nodes {
				if s.Slot == slot(index) && s.Next.Same(n.peer) {
					next = n
				}
			}
		}
		return next != nil
	})
	f.await("the successor knows of the move", func() bool {
		for _, s := range next.keeper.View().Slots {
			if s.Slot == slot(index) && s.Next.Same(next.peer) {
				return true
			}
		}
		return false
	})
	return next
}

func TestFailedHandoverKeepsSlot(t *testing.T) {
	t.Parallel()
	f := newRunningFleet(t, 3)
	f.checkExclusivity()
	draining := f.withRole(seamcell.RoleMember)
	index := f.ownedBy(draining)[0]
	first := f.grant(draining, index)
	draining.target.setHandover(http.StatusBadGateway, 0)
	drained := drain(draining)
	f.await("the failure is reported", func() bool { return handoverFailures(draining, index) > 0 })
	if n := len(draining.target.handoversOf(index)); n < 2 {
		t.Errorf("%d handover attempts, want at least 2", n)
	}
	f.await("the node serves the slot under a new epoch", func() bool {
		g, ok := draining.tryAcquire(index)
		return ok && g.Epoch > first.Epoch
	})
	draining.target.setHandover(0, 0)
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
	handed := draining.target.handoversOf(index)
	if last := handed[len(handed)-1]; last.Epoch <= first.Epoch {
		t.Errorf("the state was handed over under the old epoch %d", last.Epoch)
	}
}

// handoverFailures returns the number of failed handovers of the slot that the node reported.
func handoverFailures(n *node, index uint32) int {
	count := 0
	for _, e := range n.events.Recent() {
		if e.Name == seamevent.HandoverFailed && e.Fields["slot"] == slot(index).String() {
			count++
		}
	}
	return count
}

// grant waits until the node serves the slot and returns the grant.
func (f *fleet) grant(n *node, index uint32) seamgrant.Grant {
	f.t.Helper()
	var g seamgrant.Grant
	f.await("a grant", func() bool {
		var ok bool
		g, ok = n.tryAcquire(index)
		return ok
	})
	return g
}

func TestSlowHandoverCompletes(t *testing.T) {
	t.Parallel()
	f := newRunningFleet(t, 3)
	draining := f.withRole(seamcell.RoleMember)
	index := f.ownedBy(draining)[0]
	// Longer than the timeout of any other call to a target.
	draining.target.setHandover(0, 800*time.Millisecond)
	if err := <-drain(draining); err != nil {
		t.Fatal(err)
	}
	if n := len(draining.target.handoversOf(index)); n != 1 {
		t.Errorf("%d handover attempts, want 1", n)
	}
}

// TestOverdueRequestDoesNotBlockRelease checks that a drain releases a slot while a request is still in flight after
// the maximum deadline has passed, and that the slot is not handed over afterwards.
func TestOverdueRequestDoesNotBlockRelease(t *testing.T) {
	t.Parallel()
	f := newRunningFleet(t, 3)
	f.checkExclusivity()
	draining := f.withRole(seamcell.RoleMember)
	index := f.ownedBy(draining)[0]
	overdue, release, err := draining.keeper.Acquire(context.Background(), slot(index))
	if err != nil {
		t.Fatal(err)
	}
	drained := drain(draining)
	for held := true; held; {
		_, held = draining.keeper.Held(slot(index), overdue.Epoch)
	}
	release()
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
	f.await("the slot is served elsewhere", func() bool { return f.served(slots) == slots })
	// A late handover would replace the state of the new owner by that of the former one.
	time.Sleep(100 * time.Millisecond)
	for _, h := range draining.target.handoversOf(index) {
		if h.Epoch <= overdue.Epoch {
			t.Errorf("the slot was handed over after its release: %+v", h)
		}
	}
}

func TestPartitionedMemberStopsBeforeLeaseExpires(t *testing.T) {
	t.Parallel()
	f := newRunningFleet(t, 4)
	f.checkExclusivity()
	partitioned := f.withRole(seamcell.RoleMember)
	index := f.ownedBy(partitioned)[0]
	f.net.partition(partitioned.peer.Address)
	var last seamgrant.Grant
	f.await("the partitioned member admits no requests", func() bool {
		before := f.clock.Now()
		g, ok := partitioned.tryAcquire(index)
		if !ok {
			return true
		}
		last = g
		if seamclock.Expired(before, g.ExpiresAt) {
			t.Error("a request was admitted after the lease expired")
		}
		return false
	})
	if _, held := partitioned.keeper.Held(slot(index), last.Epoch); held {
		t.Error("the slot is still held after the lease expired")
	}
	f.await("the slot is served elsewhere", func() bool {
		h := f.holders(index)
		return len(h) == 1 && h[0] != partitioned
	})
	if !seamclock.Expired(f.clock.Now(), last.ExpiresAt) {
		t.Error("the slot was served elsewhere before the lease expired")
	}
}

func TestStoppedKeeperIgnoresEvents(t *testing.T) {
	t.Parallel()
	f := newRunningFleet(t, 3)
	for _, n := range f.nodes {
		n.stop()
	}
	// A stopped keeper still receives datagrams, load reports and requests until the process ends.
	f.await("no requests are admitted after the lease expired", func() bool {
		admitted := 0
		for _, n := range f.nodes {
			n.keeper.Candidates(service)
			admitted += len(f.ownedBy(n))
		}
		return admitted == 0
	})
	const load = 99
	for _, n := range f.nodes {
		n.keeper.ReportLoad(seamkeeper.Load{InFlight: load}, time.Second)
		for _, m := range n.keeper.View().Members {
			if m.InFlight == load {
				t.Errorf("%s accepted a load report after it was stopped", n.peer)
			}
		}
	}
}

func acquireNotOwner(t *testing.T, n *node, index uint32) *seamgrant.NotOwnerError {
	t.Helper()
	_, release, err := n.keeper.Acquire(cancelledContext(), slot(index))
	if err == nil {
		release()
	}
	var e *seamgrant.NotOwnerError
	if !errors.As(err, &e) {
		t.Fatalf("%s: got %v, want a NotOwnerError", n.peer, err)
	}
	return e
}

func TestNotOwnerErrorNamesOwner(t *testing.T) {
	t.Parallel()
	f := newRunningFleet(t, 3)
	owner := f.owner(3)
	for _, n := range f.without(owner) {
		f.await("the owner is known", func() bool { return acquireNotOwner(t, n, 3).Owner == owner.peer.Address })
	}
}

func TestDrainedNodeNamesOwnerInFormerCell(t *testing.T) {
	for _, role := range []seamcell.Role{seamcell.RoleMember, seamcell.RoleCoordinator} {
		t.Run(string(role), func(t *testing.T) {
			t.Parallel()
			f := newRunningFleet(t, 4)
			f.checkExclusivity()
			drained := f.withRole(role)
			if err := <-drain(drained); err != nil {
				t.Fatal(err)
			}
			f.await("the node has left", func() bool { return drained.keeper.View().Cell == "" })
			unknown := seampeer.Peer{Name: "dead", Incarnation: 1, Address: "dead:1"}
			for i := range uint32(slots) {
				// NotOwnerError must not name a cached owner that no longer exists.
				drained.keeper.Learn(service, i, unknown)
				f.await("a node of the cell is named", func() bool {
					name := acquireNotOwner(t, drained, i).Owner
					return name != drained.peer.Address && f.net.nodes[name] != nil
				})
				drained.keeper.Learn(service, i, seampeer.Peer{})
				owner, ok := drained.keeper.Owner(service, i)
				if !ok || owner.Same(drained.peer) || owner.Same(unknown) {
					t.Errorf("owner of slot %d is %s, %t", i, owner, ok)
				}
			}
		})
	}
}

func TestCachedOwnerIsRemoved(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store.SetDown(true)
	n := f.start()
	owner := seampeer.Peer{Name: "far", Incarnation: 1, Address: "far:1"}
	if p, ok := n.keeper.Owner(service, 1); ok {
		t.Errorf("owner %s is known before it was cached", p)
	}
	n.keeper.Learn(service, 1, owner)
	if p, ok := n.keeper.Owner(service, 1); !ok || p != owner {
		t.Errorf("got %s, %t after caching the owner", p, ok)
	}
	if got := acquireNotOwner(t, n, 1).Owner; got != owner.Address {
		t.Errorf("the error names %q", got)
	}
	n.keeper.Learn(service, 1, seampeer.Peer{})
	if p, ok := n.keeper.Owner(service, 1); ok {
		t.Errorf("owner %s is known after it was removed", p)
	}
}
