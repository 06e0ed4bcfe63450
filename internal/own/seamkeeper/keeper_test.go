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
			f := formed(t, 4)
			f.watch()
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
	fates := []seamstoretest.WriteFault{seamstoretest.ResponseLost, seamstoretest.RequestLost, seamstoretest.NoFault}
	f.store.InjectFault = func() seamstoretest.WriteFault {
		return fates[int(writes.Add(1)-1)%len(fates)]
	}
	for range 4 {
		f.add()
	}
	f.watch()
	f.awaitServed(f.nodes)
	gone := f.withRole(seamcell.RoleCoordinator)
	gone.stop()
	f.await("slots are served elsewhere", func() bool {
		for i := range uint32(slots) {
			if h := f.holders(i); len(h) != 1 || h[0] == gone {
				return false
			}
		}
		return true
	})
	if n := writes.Load(); n < int32(len(fates)) {
		t.Errorf("%d writes; not all fates were met", n)
	}
}

func TestDrainHandsOverSlots(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(map[bool]string{false: "with store", true: "without store"}[down], func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.deadline = time.Minute // so that the request below is waited for
			for range 4 {
				f.add()
			}
			f.awaitServed(f.nodes)
			f.watch()
			leaver := f.withRole(seamcell.RoleMember)
			f.store.SetDown(down)
			index := f.ownedBy(leaver)[0]
			_, release, err := leaver.keeper.Acquire(context.Background(), slot(index))
			if err != nil {
				t.Fatal(err)
			}
			drained := drain(leaver)
			f.await("slot is not admitted any more", func() bool {
				_, ok := leaver.try(index)
				return !ok
			})
			successor := f.successor(leaver, index)
			arrival := make(chan error, 1)
			go func() {
				_, done, err := successor.keeper.Acquire(context.Background(), slot(index))
				if err == nil {
					done()
				}
				arrival <- err
			}()
			f.await("all other slots are served elsewhere", func() bool { return len(f.ownedBy(leaver)) == 0 && f.served(index) == slots-1 })
			if h := leaver.target.handed(index); len(h) > 0 {
				t.Error("the slot was handed over while a request was in flight")
			}
			select {
			case err := <-drained:
				t.Fatalf("the node drained while a request was in flight (%v)", err)
			case err := <-arrival:
				t.Fatalf("the successor serves while a request is in flight (%v)", err)
			default:
			}
			release()
			if err := <-arrival; err != nil {
				t.Errorf("request that waits at the successor: %v", err)
			}
			if err := <-drained; err != nil {
				t.Errorf("drain: %v", err)
			}
			handed := leaver.target.handed(index)
			if len(handed) != 1 || handed[0].Successor != successor.target.address() {
				t.Errorf("hand-overs %+v, want one to %s", handed, successor.target.address())
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
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		drained <- n.keeper.Drain(ctx)
	}()
	return drained
}

// served returns the number of slots but one that have a holder.
func (f *fleet) served(except uint32) int {
	count := 0
	for i := range uint32(slots) {
		if i != except && len(f.holders(i)) == 1 {
			count++
		}
	}
	return count
}

// successor returns the node to which the slot moves.
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
	f.await("the successor knows", func() bool {
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
	f := formed(t, 3)
	f.watch()
	leaver := f.withRole(seamcell.RoleMember)
	index := f.ownedBy(leaver)[0]
	first := f.grant(leaver, index)
	leaver.target.handOvers(http.StatusBadGateway, 0)
	drained := drain(leaver)
	f.await("the failure is reported", func() bool { return reported(leaver, index) > 0 })
	if n := len(leaver.target.handed(index)); n < 2 {
		t.Errorf("%d attempts to hand over", n)
	}
	f.await("the slot is back under a new epoch", func() bool {
		g, ok := leaver.try(index)
		return ok && g.Epoch > first.Epoch
	})
	leaver.target.handOvers(0, 0)
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
	handed := leaver.target.handed(index)
	if last := handed[len(handed)-1]; last.Epoch <= first.Epoch {
		t.Errorf("the state was handed over under the old epoch %d", last.Epoch)
	}
}

// reported returns the number of failed hand-overs of the slot that the node reported.
func reported(n *node, index uint32) int {
	count := 0
	for _, e := range n.events.Recent() {
		if e.Name == seamevent.HandoverFailed && e.Fields["slot"] == slot(index).String() {
			count++
		}
	}
	return count
}

// grant returns the grant under which the node serves the slot.
func (f *fleet) grant(n *node, index uint32) seamgrant.Grant {
	f.t.Helper()
	var g seamgrant.Grant
	f.await("a grant", func() bool {
		var ok bool
		g, ok = n.try(index)
		return ok
	})
	return g
}

func TestSlowHandoverCompletes(t *testing.T) {
	t.Parallel()
	f := formed(t, 3)
	leaver := f.withRole(seamcell.RoleMember)
	index := f.ownedBy(leaver)[0]
	// Longer than any other call to a target may take.
	leaver.target.handOvers(0, 800*time.Millisecond)
	if err := <-drain(leaver); err != nil {
		t.Fatal(err)
	}
	if n := len(leaver.target.handed(index)); n != 1 {
		t.Errorf("%d attempts to hand over", n)
	}
}

func TestOverdueRequestDoesNotBlockRelease(t *testing.T) {
	t.Parallel()
	f := formed(t, 3)
	f.watch()
	leaver := f.withRole(seamcell.RoleMember)
	index := f.ownedBy(leaver)[0]
	overdue, release, err := leaver.keeper.Acquire(context.Background(), slot(index))
	if err != nil {
		t.Fatal(err)
	}
	drained := drain(leaver)
	for held := true; held; {
		_, held = leaver.keeper.Held(slot(index), overdue.Epoch)
	}
	release()
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
	f.await("the slot is served elsewhere", func() bool { return f.served(slots) == slots })
	// The state of the new owner must not be replaced by that of the former one.
	time.Sleep(100 * time.Millisecond)
	for _, h := range leaver.target.handed(index) {
		if h.Epoch <= overdue.Epoch {
			t.Errorf("the slot was handed over after its release: %+v", h)
		}
	}
}

func TestPartitionedMemberStopsBeforeLeaseExpires(t *testing.T) {
	t.Parallel()
	f := formed(t, 4)
	f.watch()
	cut := f.withRole(seamcell.RoleMember)
	index := f.ownedBy(cut)[0]
	f.net.setCut(cut.peer.Address)
	var last seamgrant.Grant
	f.await("the cut member admits nothing", func() bool {
		before := f.clock.Now()
		g, ok := cut.try(index)
		if !ok {
			return true
		}
		last = g
		if seamclock.Expired(before, g.ExpiresAt) {
			t.Error("a request was admitted after the end of the lease")
		}
		return false
	})
	if _, held := cut.keeper.Held(slot(index), last.Epoch); held {
		t.Error("the slot counts as held after the lease")
	}
	f.await("the slot is served elsewhere", func() bool {
		h := f.holders(index)
		return len(h) == 1 && h[0] != cut
	})
	if !seamclock.Expired(f.clock.Now(), last.ExpiresAt) {
		t.Error("the slot was served elsewhere before the lease was over")
	}
}

func TestStoppedKeeperIgnoresEvents(t *testing.T) {
	t.Parallel()
	f := formed(t, 3)
	for _, n := range f.nodes {
		n.stop()
	}
	// Datagrams, reports and requests come until the process ends.
	f.await("nothing is admitted after the lease", func() bool {
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
				t.Errorf("%s took a report after it was stopped", n.peer)
			}
		}
	}
}

func notOwner(t *testing.T, n *node, index uint32) *seamgrant.NotOwnerError {
	t.Helper()
	_, release, err := n.keeper.Acquire(ended(), slot(index))
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
	f := formed(t, 3)
	owner := f.owner(3)
	for _, n := range f.without(owner) {
		f.await("the owner is known", func() bool { return notOwner(t, n, 3).Owner == owner.peer.Address })
	}
}

func TestDrainedNodeNamesOwnerInFormerCell(t *testing.T) {
	for _, role := range []seamcell.Role{seamcell.RoleMember, seamcell.RoleCoordinator} {
		t.Run(string(role), func(t *testing.T) {
			t.Parallel()
			f := formed(t, 4)
			f.watch()
			left := f.withRole(role)
			if err := <-drain(left); err != nil {
				t.Fatal(err)
			}
			f.await("the node has left", func() bool { return left.keeper.View().Cell == "" })
			dead := seampeer.Peer{Name: "dead", Incarnation: 1, Address: "dead:1"}
			for i := range uint32(slots) {
				// What was learned of an owner that is gone is not passed on.
				left.keeper.Learn(service, i, dead)
				f.await("a node of the cell is named", func() bool {
					name := notOwner(t, left, i).Owner
					return name != left.peer.Address && f.net.nodes[name] != nil
				})
				left.keeper.Learn(service, i, seampeer.Peer{})
				owner, ok := left.keeper.Owner(service, i)
				if !ok || owner.Same(left.peer) || owner.Same(dead) {
					t.Errorf("slot %d is looked for at %s, %t", i, owner, ok)
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
		t.Errorf("owner %s is known before it was learned", p)
	}
	n.keeper.Learn(service, 1, owner)
	if p, ok := n.keeper.Owner(service, 1); !ok || p != owner {
		t.Errorf("got %s, %t after learning", p, ok)
	}
	if got := notOwner(t, n, 1).Owner; got != owner.Address {
		t.Errorf("the error names %q", got)
	}
	n.keeper.Learn(service, 1, seampeer.Peer{})
	if p, ok := n.keeper.Owner(service, 1); ok {
		t.Errorf("owner %s is known after it was forgotten", p)
	}
}
