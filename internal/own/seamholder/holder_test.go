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

// at is a time since the start of the machine on both clocks.
func at(d time.Duration) seamclock.Instant {
	return seamclock.Instant{Mono: d, Wall: d}
}

// long is a time after which nothing of an earlier run of a node is left.
const long = time.Minute

var (
	life = seamtable.Holder{Target: "t", Born: 1000, Address: "10.0.0.1:80"}
	cfg  = seamholder.DefaultConfig()
)

func span(from, to uint32) seamtable.Span { return seamtable.Span{From: from, To: to} }

func ranges(s seamtable.Span, fence uint64) []seamtable.Range {
	return []seamtable.Range{{Span: s, Holder: life, Fence: fence, Handover: "state"}}
}

// listed returns a holder that was promised a range at a time.
func listed(now time.Duration) *seamholder.Holder {
	h := seamholder.New(cfg, life, at(0))
	h.HandleReply(at(now), at(now), seamassign.Reply{Epoch: 1, Lease: 2 * time.Second, Revision: 5, Changed: true, Ranges: ranges(span(0, 99), 3)})
	return h
}

// holding returns a holder whose target has confirmed the range.
func holding(t *testing.T) *seamholder.Holder {
	t.Helper()
	h := listed(long)
	o, hold := start(t, h, long)
	h.Granted(at(long), o, hold)
	return h
}

// start starts the one grant that is due.
func start(t *testing.T, h *seamholder.Holder, now time.Duration) (seamholder.Order, time.Duration) {
	t.Helper()
	due := h.DueOrders(at(now))
	if len(due) != 1 || due[0].Kind != seamholder.Grant {
		t.Fatalf("due are %+v, want one grant", due)
	}
	o, hold, ok := h.StartGrant(at(now), due[0])
	if !ok {
		t.Fatal("the grant was not started")
	}
	return o, hold
}

func release(h *seamholder.Holder, now time.Duration) {
	h.HandleReply(at(now), at(now), seamassign.Reply{Epoch: 1, Lease: 2 * time.Second, Revision: 5, Release: ranges(span(0, 99), 3)})
}

func acquire(h *seamholder.Holder, now time.Duration, key uint32) (seamgrant.Grant, *seamgrant.NotOwnerError) {
	g, err := h.Acquire(at(now), seamgrant.Grant{Slot: seamslot.ID{Service: "calendar", Index: key}})
	var not *seamgrant.NotOwnerError
	errors.As(err, &not)
	return g, not
}

func TestKeyIsServedOnceTheTargetHasConfirmed(t *testing.T) {
	h := listed(long)
	if _, not := acquire(h, long, 5); not == nil || !not.GrantPending {
		t.Errorf("before the grant: %+v", not)
	}
	o, hold := start(t, h, long)
	if o.Handover != "state" {
		t.Error("the first grant has no handover")
	}
	h.Granted(at(long), o, hold)
	g, not := acquire(h, long, 5)
	if not != nil || g.Epoch != 3 || g.ExpiresAt != at(long+hold) {
		t.Errorf("got %+v, %v", g, not)
	}
	if _, not := acquire(h, long+hold, 5); not == nil {
		t.Error("the key is served after the end of the grant")
	}
	if _, not := acquire(h, long, 100); not == nil || not.GrantPending || not.Moving {
		t.Errorf("key of another: %+v", not)
	}
}

func TestLapsedRightIsNotWaitedFor(t *testing.T) {
	h := holding(t)
	tests := []struct {
		after            time.Duration
		arriving, lapsed bool
	}{
		{2*time.Second + cfg.RenewalWait/2, true, false},
		{2*time.Second + cfg.RenewalWait, false, true},
		{10 * time.Second, false, true},
	}
	for _, tt := range tests {
		if _, not := acquire(h, long+tt.after, 5); not == nil || not.GrantPending != tt.arriving || not.LeaseExpired != tt.lapsed {
			t.Errorf("%s after the promise: %+v", tt.after, not)
		}
	}
	if _, not := acquire(listed(long), long+10*time.Second, 5); not == nil || !not.LeaseExpired {
		t.Errorf("the target has never confirmed: %+v", not)
	}
}

func TestGrantNeverOutlastsTheRight(t *testing.T) {
	h := listed(long)
	for _, after := range []time.Duration{0, 500, 1000, 1500, 1900} {
		now := long + after*time.Millisecond
		for _, o := range h.DueOrders(at(now)) {
			_, hold, ok := h.StartGrant(at(now), o)
			if end := now + cfg.MaxSendDelay + hold + time.Duration(float64(hold)*cfg.MaxClockDrift); ok && end > long+2*time.Second {
				t.Errorf("a grant %s after the beat lasts until %s", after, end-long)
			}
		}
	}
	if due := h.DueOrders(at(long + 2*time.Second)); len(due) > 0 {
		t.Errorf("due after the end of the right: %+v", due)
	}
}

func TestSuspendedMachineGrantsNothing(t *testing.T) {
	h := listed(long)
	due := h.DueOrders(at(long))
	// The steady clock stood still while the machine was suspended.
	thawed := seamclock.Instant{Mono: long, Wall: long + 5*time.Second}
	if _, _, ok := h.StartGrant(thawed, due[0]); ok {
		t.Error("a grant was started after the end of the right")
	}
}

func TestReleaseWaitsForRenewalsOnTheirWay(t *testing.T) {
	h := holding(t)
	now := long + cfg.RenewInterval
	o, hold := start(t, h, now)
	release(h, now)
	if due := h.DueOrders(at(now)); len(due) > 0 {
		t.Fatalf("due beside a grant on its way: %+v", due)
	}
	h.Granted(at(now), o, hold)
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
	h := holding(t)
	now := long + cfg.RenewInterval
	_, hold := start(t, h, now) // it gets no answer
	release(h, now)
	now += cfg.AnswerTimeout
	due := h.DueOrders(at(now))
	if len(due) != 1 || due[0].Kind != seamholder.Release {
		t.Fatalf("due after the time for the answer: %+v", due)
	}
	h.Released(at(now), due[0], "after")
	if got := h.Heartbeat(at(now)).Released; len(got) > 0 {
		t.Errorf("reported %+v, although a grant without an answer lasts", got)
	}
	now = long + cfg.RenewInterval + 2*hold
	h.DueOrders(at(now))
	if got := h.Heartbeat(at(now)).Released; len(got) != 1 {
		t.Errorf("reported %+v after the end of that grant", got)
	}
}

func TestUnansweredReleaseEndsWithTheGrant(t *testing.T) {
	h := holding(t)
	release(h, long)
	h.DueOrders(at(long))
	if got := h.Heartbeat(at(long)).Released; len(got) > 0 {
		t.Errorf("reported %+v before the answer", got)
	}
	now := long + 2*cfg.GrantTTL
	h.DueOrders(at(now))
	if got := h.Heartbeat(at(now)).Released; len(got) != 1 || got[0].Handover != "" {
		t.Errorf("reported %+v after the end of the grant", got)
	}
}

func TestPartOfARangeIsReleased(t *testing.T) {
	h := holding(t)
	h.HandleReply(at(long), at(long), seamassign.Reply{Epoch: 1, Lease: 2 * time.Second, Revision: 5, Release: ranges(span(40, 59), 3)})
	if _, not := acquire(h, long, 39); not != nil {
		t.Errorf("key beside the part: %v", not)
	}
	if _, not := acquire(h, long, 50); not == nil || !not.Moving {
		t.Errorf("key of the part: %+v", not)
	}
	if due := h.DueOrders(at(long)); len(due) != 1 || due[0].Span != span(40, 59) {
		t.Errorf("due: %+v", due)
	}
}

func TestRestartedNodeReleasesWhatItsFormerRunGranted(t *testing.T) {
	// The run began just now, and the release is ordered before its first grant.
	h := listed(10 * time.Millisecond)
	release(h, 10*time.Millisecond)
	now := 20 * time.Millisecond
	due := h.DueOrders(at(now))
	if len(due) != 1 || due[0].Kind != seamholder.Release {
		t.Fatalf("due: %+v", due)
	}
	if got := h.Heartbeat(at(now)).Released; len(got) > 0 {
		t.Errorf("reported %+v, although the former run may have granted the range", got)
	}
	h.Released(at(now), due[0], "")
	now = 2 * cfg.GrantTTL
	h.DueOrders(at(now))
	if got := h.Heartbeat(at(now)).Released; len(got) != 1 {
		t.Errorf("reported %+v after all grants of the former run", got)
	}
}

func TestRetiredLifeIsOverOnceItsKeysAreReleased(t *testing.T) {
	h := holding(t)
	h.Retire()
	if h.FullyReleased(at(long)) {
		t.Error("over while the new life may hold the keys")
	}
	due := h.DueOrders(at(long))
	if len(due) != 1 || due[0].Kind != seamholder.Release {
		t.Fatalf("due: %+v", due)
	}
	h.Released(at(long), due[0], "")
	if !h.FullyReleased(at(long)) {
		t.Error("not over after the release")
	}
}

func TestEarlierEpochsAreIgnored(t *testing.T) {
	h := listed(long)
	h.ObserveEpoch(at(long), 9)
	h.HandleReply(at(long+time.Second), at(long+time.Second), seamassign.Reply{Epoch: 8, Lease: 10 * time.Second, Revision: 6, Changed: true, Ranges: ranges(span(0, 999), 9)})
	if _, not := acquire(h, long, 500); not == nil || not.GrantPending {
		t.Errorf("a replaced assigner was believed: %+v", not)
	}
}

func TestLateAnswerCountsFromItsBeat(t *testing.T) {
	h := listed(long)
	h.HandleReply(at(long+time.Second), at(long+time.Second), seamassign.Reply{Epoch: 1, Lease: 2 * time.Second, Revision: 5})
	h.HandleReply(at(long), at(long), seamassign.Reply{Epoch: 1, Lease: 2 * time.Second, Revision: 5})
	if due := h.DueOrders(at(long + 2500*time.Millisecond)); len(due) != 1 {
		t.Error("the answer to an earlier beat shortened the right")
	}
}
