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

// slotsOf returns the slots of a grant request.
func slotsOf(o seamtarget.GrantRequest) []uint32 {
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
	n.target.setGrantStatus(http.StatusServiceUnavailable)
	n.announce("first")
	grantsSent := func() int {
		count := 0
		for _, o := range n.target.receivedGrants() {
			if slices.Contains(slotsOf(o), 3) {
				count++
			}
		}
		return count
	}
	f.await("slots are granted to the target", func() bool { return grantsSent() >= 3 })
	if _, ok := n.tryAcquire(3); ok {
		t.Error("the slot is served before the target accepted its grant")
	}
	acquired := make(chan error, 1)
	go func() {
		_, done, err := n.keeper.Acquire(context.Background(), slot(3))
		if err == nil {
			done()
		}
		acquired <- err
	}()
	f.await("the request waits", func() bool { return waiting(n) == 1 })
	n.target.setGrantStatus(0)
	if err := <-acquired; err != nil {
		t.Errorf("request that waits for the target: %v", err)
	}
}

// waiting returns the number of requests that wait for a slot.
func waiting(n *node) float64 {
	return n.metrics.GetOrCreateGauge("cardamomseam_arrivals_waiting", nil).Get()
}

func TestFullGrantsAfterTargetOutage(t *testing.T) {
	t.Parallel()
	f := newRunningFleet(t, 2)
	n := f.nodes[0]
	n.target.setGrantStatus(http.StatusServiceUnavailable)
	before := len(n.target.receivedGrants())
	f.await("grants are rejected", func() bool { return len(n.target.receivedGrants()) > before+2 })
	n.target.setGrantStatus(0)
	resumed := len(n.target.receivedGrants())
	f.await("grants are sent again", func() bool { return len(n.target.receivedGrants()) > resumed })
	first := n.target.receivedGrants()[resumed]
	if !first.Full || len(first.Slots) == 0 {
		t.Errorf("the first grant request after an outage is %+v", first)
	}
	f.await("only the lease is renewed", func() bool {
		received := n.target.receivedGrants()
		return !received[len(received)-1].Full
	})
	checkSequence(t, n)
}

func TestRestartedTargetGetsGrantsBeforeRequests(t *testing.T) {
	t.Parallel()
	f := newRunningFleet(t, 3)
	n := f.withRole(seamcell.RoleMember)
	n.target.setGrantStatus(http.StatusServiceUnavailable)
	before := len(n.target.receivedGrants())
	n.announce("second")
	if got := f.ownedBy(n); len(got) > 0 {
		t.Errorf("slots %v are served by a restarted target that accepted no grants", got)
	}
	n.target.setGrantStatus(0)
	f.awaitServed(f.nodes)
	if received := n.target.receivedGrants(); !slices.ContainsFunc(received[before:], func(o seamtarget.GrantRequest) bool { return o.Full && len(o.Slots) > 0 }) {
		t.Errorf("the restarted target received no full grant request: %+v", received[before:])
	}
}

// checkSequence checks that the sequence numbers of grant requests increase.
func checkSequence(t *testing.T, n *node) {
	t.Helper()
	last := uint64(0)
	for _, o := range n.target.receivedGrants() {
		if o.Sequence <= last {
			t.Errorf("grant request %d was received after request %d", o.Sequence, last)
		}
		last = o.Sequence
	}
}

func TestGrantsExpireWithLease(t *testing.T) {
	t.Parallel()
	f := newRunningFleet(t, 3)
	n := f.withRole(seamcell.RoleMember)
	index := f.ownedBy(n)[0]
	g, _ := n.tryAcquire(index)
	renewals := 0
	n.target.setGrantCheck(func(o seamtarget.GrantRequest) {
		leaseEnd, held := n.keeper.Held(slot(index), g.Epoch)
		if !held {
			return
		}
		if o.ExpiresAtMillis > leaseEnd.Wall.Milliseconds() {
			t.Errorf("the grant expires at %d, the lease at %d", o.ExpiresAtMillis, leaseEnd.Wall.Milliseconds())
		}
		if remaining := time.Until(time.Unix(0, int64(leaseEnd.Wall))); time.Duration(o.TTLMillis)*time.Millisecond > remaining+testTimeout {
			t.Errorf("the grant has a TTL of %d ms, the lease %s left", o.TTLMillis, remaining)
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
	f.await("grants are renewed", func() bool { return count() >= 5 })
	checkSequence(t, n)
}
