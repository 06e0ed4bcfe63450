package seamholder_test

import (
	"errors"
	"testing"
	"time"

	"cardamomseam/internal/own/seamassign"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamgrant"
	"cardamomseam/internal/own/seamholder"
	"cardamomseam/internal/own/seamslot"
	"cardamomseam/internal/own/seamtable"
)

// at returns the instant at which both clocks read d.
func at(d time.Duration) seamclock.Instant {
	return seamclock.Instant{Mono: d, Wall: d}
}

// afterInheritedGrants is a time by which all grants of an earlier incarnation of the node have expired.
const afterInheritedGrants = time.Minute

var (
	incarnation = seamtable.Holder{Target: "t", Born: 1000, Address: "10.0.0.1:80"}
	cfg         = seamholder.DefaultConfig()
)

func span(from, to uint32) seamtable.Span { return seamtable.Span{From: from, To: to} }

func ranges(s seamtable.Span, fence uint64) []seamtable.Range {
	return []seamtable.Range{{Span: s, Holder: incarnation, Fence: fence, Handover: "state"}}
}

// leased returns a holder with a lease on one range, granted at now.
func leased(now time.Duration) *seamholder.Holder {
	h := seamholder.New(cfg, incarnation, at(0))
	h.HandleReply(at(now), at(now), seamassign.Reply{Epoch: 1, Lease: 2 * time.Second, Revision: 5, Changed: true, Ranges: ranges(span(0, 99), 3)})
	return h
}

// confirmed returns a leased holder whose target has confirmed the grant of the range.
func confirmed(t *testing.T) *seamholder.Holder {
	t.Helper()
	h := leased(afterInheritedGrants)
	o, ttl := startOnlyDueGrant(t, h, afterInheritedGrants)
	h.Granted(at(afterInheritedGrants), o, ttl)
	return h
}

// startOnlyDueGrant checks that one grant and no other order is due, and starts it.
func startOnlyDueGrant(t *testing.T, h *seamholder.Holder, now time.Duration) (seamholder.Order, time.Duration) {
	t.Helper()
	due := h.DueOrders(at(now))
	if len(due) != 1 || due[0].Kind != seamholder.Grant {
		t.Fatalf("due orders %+v, want one grant", due)
	}
	o, ttl, ok := h.StartGrant(at(now), due[0])
	if !ok {
		t.Fatal("the grant was not started")
	}
	return o, ttl
}

// requestRelease applies a reply in which the assigner requests the release of the range.
func requestRelease(h *seamholder.Holder, now time.Duration) {
	h.HandleReply(at(now), at(now), seamassign.Reply{Epoch: 1, Lease: 2 * time.Second, Revision: 5, Release: ranges(span(0, 99), 3)})
}

func acquire(h *seamholder.Holder, now time.Duration, key uint32) (seamgrant.Grant, *seamgrant.NotOwnerError) {
	g, err := h.Acquire(at(now), seamgrant.Grant{Slot: seamslot.ID{Service: "calendar", Index: key}})
	var notOwner *seamgrant.NotOwnerError
	errors.As(err, &notOwner)
	return g, notOwner
}

func TestKeyIsServedOnceTheTargetHasConfirmed(t *testing.T) {
	h := leased(afterInheritedGrants)
	if _, notOwner := acquire(h, afterInheritedGrants, 5); notOwner == nil || !notOwner.GrantPending {
		t.Errorf("before the grant: %+v", notOwner)
	}
	o, ttl := startOnlyDueGrant(t, h, afterInheritedGrants)
	if o.Handover != "state" {
		t.Error("the first grant has no handover")
	}
	h.Granted(at(afterInheritedGrants), o, ttl)
	g, notOwner := acquire(h, afterInheritedGrants, 5)
	if notOwner != nil || g.Epoch != 3 || g.ExpiresAt != at(afterInheritedGrants+ttl) {
		t.Errorf("got %+v, %v", g, notOwner)
	}
	if _, notOwner := acquire(h, afterInheritedGrants+ttl, 5); notOwner == nil {
		t.Error("the key is served after the grant has expired")
	}
	if _, notOwner := acquire(h, afterInheritedGrants, 100); notOwner == nil || notOwner.GrantPending || notOwner.Moving {
		t.Errorf("key of another target: %+v", notOwner)
	}
}

func TestExpiredLeaseIsNotWaitedFor(t *testing.T) {
	h := confirmed(t)
	tests := []struct {
		after            time.Duration
		pending, expired bool
	}{
		{2*time.Second + cfg.RenewalWait/2, true, false},
		{2*time.Second + cfg.RenewalWait, false, true},
		{10 * time.Second, false, true},
	}
	for _, tt := range tests {
		if _, notOwner := acquire(h, afterInheritedGrants+tt.after, 5); notOwner == nil || notOwner.GrantPending != tt.pending || notOwner.LeaseExpired != tt.expired {
			t.Errorf("%s after the lease was granted: %+v", tt.after, notOwner)
		}
	}
	if _, notOwner := acquire(leased(afterInheritedGrants), afterInheritedGrants+10*time.Second, 5); notOwner == nil || !notOwner.LeaseExpired {
		t.Errorf("a range that the target never confirmed: %+v", notOwner)
	}
}

func TestGrantNeverOutlastsLease(t *testing.T) {
	h := leased(afterInheritedGrants)
	for _, after := range []time.Duration{0, 500, 1000, 1500, 1900} {
		now := afterInheritedGrants + after*time.Millisecond
		for _, o := range h.DueOrders(at(now)) {
			_, ttl, ok := h.StartGrant(at(now), o)
			if end := now + cfg.MaxSendDelay + ttl + time.Duration(float64(ttl)*cfg.MaxClockDrift); ok && end > afterInheritedGrants+2*time.Second {
				t.Errorf("a grant sent %s after the heartbeat lasts until %s", after, end-afterInheritedGrants)
			}
		}
	}
	if due := h.DueOrders(at(afterInheritedGrants + 2*time.Second)); len(due) > 0 {
		t.Errorf("due after the lease expired: %+v", due)
	}
}

func TestSuspendedMachineGrantsNothing(t *testing.T) {
	h := leased(afterInheritedGrants)
	due := h.DueOrders(at(afterInheritedGrants))
	// The monotonic clock stops while the machine is suspended.
	resumed := seamclock.Instant{Mono: afterInheritedGrants, Wall: afterInheritedGrants + 5*time.Second}
	if _, _, ok := h.StartGrant(resumed, due[0]); ok {
		t.Error("a grant was started after the lease expired")
	}
}

func TestReleaseWaitsForPendingRenewals(t *testing.T) {
	h := confirmed(t)
	now := afterInheritedGrants + cfg.RenewInterval
	o, ttl := startOnlyDueGrant(t, h, now)
	requestRelease(h, now)
	if due := h.DueOrders(at(now)); len(due) > 0 {
		t.Fatalf("due while a grant is pending: %+v", due)
	}
	h.Granted(at(now), o, ttl)
	due := h.DueOrders(at(now))
	if len(due) != 1 || due[0].Kind != seamholder.Release {
		t.Fatalf("due after the answer: %+v", due)
	}
	h.Released(at(now), due[0], "after")
	got := h.Heartbeat(at(now)).Released
	if len(got) != 1 || got[0].Span != span(0, 99) || got[0].Fence != 3 || got[0].Handover != "after" {
		t.Errorf("reported %+v", got)
	}
}

func TestReleaseIsNotReportedWhileAGrantMayStillArrive(t *testing.T) {
	h := confirmed(t)
	now := afterInheritedGrants + cfg.RenewInterval
	_, ttl := startOnlyDueGrant(t, h, now) // gets no answer
	requestRelease(h, now)
	now += cfg.AnswerTimeout
	due := h.DueOrders(at(now))
	if len(due) != 1 || due[0].Kind != seamholder.Release {
		t.Fatalf("due after the answer timeout: %+v", due)
	}
	h.Released(at(now), due[0], "after")
	if got := h.Heartbeat(at(now)).Released; len(got) > 0 {
		t.Errorf("reported %+v, although an unanswered grant may be in force", got)
	}
	now = afterInheritedGrants + cfg.RenewInterval + 2*ttl
	h.DueOrders(at(now))
	if got := h.Heartbeat(at(now)).Released; len(got) != 1 {
		t.Errorf("reported %+v after that grant expired", got)
	}
}

func TestUnansweredReleaseCompletesWhenGrantExpires(t *testing.T) {
	h := confirmed(t)
	requestRelease(h, afterInheritedGrants)
	h.DueOrders(at(afterInheritedGrants))
	if got := h.Heartbeat(at(afterInheritedGrants)).Released; len(got) > 0 {
		t.Errorf("reported %+v before the answer", got)
	}
	now := afterInheritedGrants + 2*cfg.GrantTTL
	h.DueOrders(at(now))
	if got := h.Heartbeat(at(now)).Released; len(got) != 1 || got[0].Handover != "" {
		t.Errorf("reported %+v after the grant expired", got)
	}
}

func TestPartOfARangeIsReleased(t *testing.T) {
	h := confirmed(t)
	h.HandleReply(at(afterInheritedGrants), at(afterInheritedGrants), seamassign.Reply{Epoch: 1, Lease: 2 * time.Second, Revision: 5, Release: ranges(span(40, 59), 3)})
	if _, notOwner := acquire(h, afterInheritedGrants, 39); notOwner != nil {
		t.Errorf("key outside the released part: %v", notOwner)
	}
	if _, notOwner := acquire(h, afterInheritedGrants, 50); notOwner == nil || !notOwner.Moving {
		t.Errorf("key inside the released part: %+v", notOwner)
	}
	if due := h.DueOrders(at(afterInheritedGrants)); len(due) != 1 || due[0].Span != span(40, 59) {
		t.Errorf("due: %+v", due)
	}
}

func TestRestartedNodeReleasesGrantsOfPreviousRun(t *testing.T) {
	// The run has just started, and the release is ordered before its first grant.
	h := leased(10 * time.Millisecond)
	requestRelease(h, 10*time.Millisecond)
	now := 20 * time.Millisecond
	due := h.DueOrders(at(now))
	if len(due) != 1 || due[0].Kind != seamholder.Release {
		t.Fatalf("due: %+v", due)
	}
	if got := h.Heartbeat(at(now)).Released; len(got) > 0 {
		t.Errorf("reported %+v, although the previous run may have granted the range", got)
	}
	h.Released(at(now), due[0], "")
	now = 2 * cfg.GrantTTL
	h.DueOrders(at(now))
	if got := h.Heartbeat(at(now)).Released; len(got) != 1 {
		t.Errorf("reported %+v after all grants of the previous run expired", got)
	}
}

func TestRetiredIncarnationIsReleasedWithItsKeys(t *testing.T) {
	h := confirmed(t)
	h.Retire()
	if h.FullyReleased(at(afterInheritedGrants)) {
		t.Error("reported as released while the new incarnation may hold the keys")
	}
	due := h.DueOrders(at(afterInheritedGrants))
	if len(due) != 1 || due[0].Kind != seamholder.Release {
		t.Fatalf("due: %+v", due)
	}
	h.Released(at(afterInheritedGrants), due[0], "")
	if !h.FullyReleased(at(afterInheritedGrants)) {
		t.Error("not reported as released after the release")
	}
}

func TestEarlierEpochsAreIgnored(t *testing.T) {
	h := leased(afterInheritedGrants)
	h.ObserveEpoch(at(afterInheritedGrants), 9)
	h.HandleReply(at(afterInheritedGrants+time.Second), at(afterInheritedGrants+time.Second), seamassign.Reply{Epoch: 8, Lease: 10 * time.Second, Revision: 6, Changed: true, Ranges: ranges(span(0, 999), 9)})
	if _, notOwner := acquire(h, afterInheritedGrants, 500); notOwner == nil || notOwner.GrantPending {
		t.Errorf("the reply of a superseded assigner was accepted: %+v", notOwner)
	}
}

func TestLateReplyCountsFromItsHeartbeat(t *testing.T) {
	h := leased(afterInheritedGrants)
	h.HandleReply(at(afterInheritedGrants+time.Second), at(afterInheritedGrants+time.Second), seamassign.Reply{Epoch: 1, Lease: 2 * time.Second, Revision: 5})
	h.HandleReply(at(afterInheritedGrants), at(afterInheritedGrants), seamassign.Reply{Epoch: 1, Lease: 2 * time.Second, Revision: 5})
	if due := h.DueOrders(at(afterInheritedGrants + 2500*time.Millisecond)); len(due) != 1 {
		t.Error("the reply to an earlier heartbeat shortened the lease")
	}
}
