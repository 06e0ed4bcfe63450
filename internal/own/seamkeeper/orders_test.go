package seamkeeper_test

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/own/seamcell"
)

// orderSlots returns the slots of orders.
func orderSlots(o seamtarget.GrantRequest) []uint32 {
	found := make([]uint32, 0, len(o.Slots))
	for _, s := range o.Slots {
		found = append(found, s.Slot)
	}
	return found
}

func TestSlotServedOnlyAfterTargetAcceptsGrant(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	n := f.start()
	n.target.answer(http.StatusServiceUnavailable)
	n.announce("first")
	ordered := func() int {
		count := 0
		for _, o := range n.target.taken() {
			if slices.Contains(orderSlots(o), 3) {
				count++
			}
		}
		return count
	}
	f.await("slots are ordered", func() bool { return ordered() >= 3 })
	if _, ok := n.try(3); ok {
		t.Error("the slot is served before the target took its orders")
	}
	arrival := make(chan error, 1)
	go func() {
		_, done, err := n.keeper.Acquire(context.Background(), slot(3))
		if err == nil {
			done()
		}
		arrival <- err
	}()
	f.await("the request waits", func() bool { return waiting(n) == 1 })
	n.target.answer(0)
	if err := <-arrival; err != nil {
		t.Errorf("request that waits for the target: %v", err)
	}
}

// waiting returns the number of requests that wait for a slot.
func waiting(n *node) float64 {
	return n.set.GetOrCreateGauge("cardamomseam_arrivals_waiting", nil).Get()
}

func TestFullGrantsAfterTargetOutage(t *testing.T) {
	t.Parallel()
	f := formed(t, 2)
	n := f.nodes[0]
	n.target.answer(http.StatusServiceUnavailable)
	before := len(n.target.taken())
	f.await("orders are refused", func() bool { return len(n.target.taken()) > before+2 })
	n.target.answer(0)
	at := len(n.target.taken())
	f.await("orders come again", func() bool { return len(n.target.taken()) > at })
	first := n.target.taken()[at]
	if !first.Full || len(first.Slots) == 0 {
		t.Errorf("the first orders after an outage are %+v", first)
	}
	f.await("orders are renewed only", func() bool {
		taken := n.target.taken()
		return !taken[len(taken)-1].Full
	})
	assertSequence(t, n)
}

func TestRestartedTargetGetsGrantsBeforeRequests(t *testing.T) {
	t.Parallel()
	f := formed(t, 3)
	n := f.withRole(seamcell.RoleMember)
	n.target.answer(http.StatusServiceUnavailable)
	at := len(n.target.taken())
	n.announce("second")
	if got := f.ownedBy(n); len(got) > 0 {
		t.Errorf("slots %v are served by a run that took no orders", got)
	}
	n.target.answer(0)
	f.awaitServed(f.nodes)
	if taken := n.target.taken(); !slices.ContainsFunc(taken[at:], func(o seamtarget.GrantRequest) bool { return o.Full && len(o.Slots) > 0 }) {
		t.Errorf("the new run got no complete orders: %+v", taken[at:])
	}
}

// assertSequence looks that sequences of orders rise.
func assertSequence(t *testing.T, n *node) {
	t.Helper()
	last := uint64(0)
	for _, o := range n.target.taken() {
		if o.Sequence <= last {
			t.Errorf("orders %d came after orders %d", o.Sequence, last)
		}
		last = o.Sequence
	}
}

func TestGrantsExpireWithLease(t *testing.T) {
	t.Parallel()
	f := formed(t, 3)
	n := f.withRole(seamcell.RoleMember)
	index := f.ownedBy(n)[0]
	g, _ := n.try(index)
	renewals := 0
	n.target.setCheck(func(o seamtarget.GrantRequest) {
		until, held := n.keeper.Held(slot(index), g.Epoch)
		if !held {
			return
		}
		if o.ExpiresAtMillis > until.Wall.Milliseconds() {
			t.Errorf("orders hold until %d, the lease until %d", o.ExpiresAtMillis, until.Wall.Milliseconds())
		}
		if life := time.Until(time.Unix(0, int64(until.Wall))); time.Duration(o.TTLMillis)*time.Millisecond > life+patience {
			t.Errorf("orders hold %d ms, the lease %s", o.TTLMillis, life)
		}
		if !o.Full {
			renewals++
		}
	})
	count := func() int {
		n.target.mu.Lock()
		defer n.target.mu.Unlock()
		return renewals
	}
	f.await("orders are renewed", func() bool { return count() >= 5 })
	assertSequence(t, n)
}
