package seamingress_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seamingress"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seampoison"
	"cardamomseam/internal/route/seamroutewire"
	"cardamomseam/internal/route/seamsession"
	"cardamomseam/internal/rule/seamrule"
)

// restrictedKeys returns a node that sends keyed requests to the region ost only, the owner of all keys there, and a node in the region
// west, whose target must not receive a request.
func restrictedKeys(t *testing.T, handler http.HandlerFunc, cfg seamingress.Config) (front, back, far *node) {
	t.Helper()
	back = newNode(t, "back", handler)
	far = startNodeIn(t, "west", "far", forbidden(t), seamsession.Config{}, seamingress.Config{})
	front = startNode(t, "front", nil, seamsession.Config{}, cfg)
	front.rules.decision = seamrule.Decision{Keyed: true, Regions: []string{"ost"}, Limits: seamrule.Limits{DeadlineMillis: 10_000, Retries: 3, QueueLength: 64}}
	front.directory.owner = back.peer
	front.directory.candidates = candidatesOf(back, far)
	return front, back, far
}

// Guards against a key's request that is sent to a forbidden owner, to another node instead, or waits for another owner.
func TestRequestWhoseOwnerIsInAForbiddenRegionIsRefused(t *testing.T) {
	for _, complete := range []bool{true, false} {
		front, back, far := restrictedKeys(t, forbidden(t), seamingress.Config{OwnersComplete: complete})
		unknown := back.peer
		unknown.Region, unknown.Address = "", "10.0.0.1:7000"
		for name, owner := range map[string]seampeer.Peer{"forbidden": far.peer, "region unknown": unknown} {
			front.directory.owner = owner
			expectRegion(t, post(t, front))
			if n := back.owners.acquireCount() + far.owners.acquireCount(); n != 0 {
				t.Errorf("%s, owners complete %t: %d attempts were made", name, complete, n)
			}
		}
	}
}

// Guards against a redirect to an owner outside the regions, and to one whose region is not known.
func TestOwnerHintIsFollowedInAllowedRegionsOnly(t *testing.T) {
	for name, tt := range map[string]struct {
		owner  func(back, far, near *node) string
		reason seamoutcome.Reason
	}{
		"allowed":   {func(_, _, near *node) string { return near.peer.Address }, ""},
		"forbidden": {func(_, far, _ *node) string { return far.peer.Address }, seamoutcome.Region},
		"unknown":   {func(_, _, _ *node) string { return "127.0.0.1:1" }, seamoutcome.Owner},
	} {
		t.Run(name, func(t *testing.T) {
			front, back, far := restrictedKeys(t, forbidden(t), seamingress.Config{OwnersChanged: func() <-chan struct{} { return nil }})
			near := newNode(t, "near", echo)
			front.directory.candidates = candidatesOf(back, far, near)
			front.rules.decision.Limits.Retries = 0
			back.owners.refuseNext(tt.owner(back, far, near), 1<<30)
			got := post(t, front)
			switch tt.reason {
			case "":
				got.expect(t, http.StatusOK, seamoutcome.Done, "")
			case seamoutcome.Region:
				expectRegion(t, got)
				if n := back.owners.acquireCount(); n != 1 {
					t.Errorf("%d attempts, want 1", n)
				}
			default:
				got.expect(t, http.StatusServiceUnavailable, seamoutcome.Refused, tt.reason)
			}
		})
	}
}

// Guards against a waiting request that follows its key out of the regions, and against one that is refused although its key has come
// back into them.
func TestWaitingRequestFollowsItsKeyWithinTheRegions(t *testing.T) {
	front, back, far := restrictedKeys(t, echo, seamingress.Config{OwnersComplete: true})
	back.owners.refuseNext(back.peer.Address, 1<<30)
	done := make(chan result, 1)
	go func() { done <- post(t, front) }()
	awaitOwnerWaiter(t, front)
	front.directory.Learn("booker", 0, far.peer)
	expectRegion(t, <-done)
	back.owners.refuseNext("", 0)
	front.directory.Learn("booker", 0, back.peer)
	post(t, front).expect(t, http.StatusOK, seamoutcome.Done, "")
}

func awaitOwnerWaiter(t *testing.T, n *node) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); seamingress.OwnerWaiters(n.ingress) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no request waits")
		}
	}
}

// Guards against a request that waits for its owner, or retries, and is then sent to a region that a new configuration has removed.
func TestRegionRemovedWhileRequestsWait(t *testing.T) {
	var removed atomic.Bool
	regions := func(string, string) ([]string, bool) {
		if removed.Load() {
			return []string{"west"}, true
		}
		return []string{"ost"}, true
	}
	front, back, _ := restrictedKeys(t, forbidden(t), seamingress.Config{OwnersComplete: true, Regions: regions})
	back.owners.refuseNext(back.peer.Address, 1<<30)
	done := make(chan result, 1)
	go func() { done <- post(t, front) }()
	awaitOwnerWaiter(t, front)
	removed.Store(true)
	back.owners.refuseNext("", 0)
	expectRegion(t, <-done)
}

// Guards against a retry in a region that a new configuration has removed since the first attempt.
func TestRegionRemovedBeforeARetry(t *testing.T) {
	var runs atomic.Int32
	back := newNode(t, "back", func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	front := startNode(t, "front", nil, seamsession.Config{}, seamingress.Config{Regions: func(string, string) ([]string, bool) {
		if runs.Load() > 0 {
			return []string{"west"}, true
		}
		return nil, true
	}})
	front.directory.candidates = candidatesOf(back)
	front.rules.decision.Limits.Retries = 3
	r, _ := http.NewRequest(http.MethodGet, front.url("/book"), nil)
	do(t, r).expect(t, http.StatusServiceUnavailable, seamoutcome.Unknown, seamoutcome.Shed)
	if n := runs.Load(); n != 1 {
		t.Errorf("the target received %d attempts, want 1", n)
	}
}

// Guards against a request that runs at the target of the node that its caller uses although that is in a forbidden region.
func TestOwnTargetOutsideTheRegionsIsNotUsed(t *testing.T) {
	near := newNode(t, "near", echo)
	front := startNodeIn(t, "west", "front", forbidden(t), seamsession.Config{}, seamingress.Config{})
	front.directory.candidates = candidatesOf(front, near)
	front.restrict("ost")
	got := post(t, front)
	got.expect(t, http.StatusOK, seamoutcome.Done, "")
	front.rules.decision.Keyed = true
	front.directory.owner = front.peer
	expectRegion(t, post(t, front))
}

// Guards against a body that passes through a relay in a forbidden region, or through an allowed one to a node in a forbidden region.
func TestRestrictedRequestIsNotRelayedOutsideItsRegions(t *testing.T) {
	for _, tt := range []struct{ relay, target string }{{"ost", "ost"}, {"west", "ost"}, {"ost", "west"}} {
		front, _ := relayedPairIn(t, tt.relay, tt.target, echo)
		front.restrict("ost")
		got := post(t, front)
		if tt.relay == "ost" && tt.target == "ost" {
			got.expect(t, http.StatusOK, seamoutcome.Done, "")
			continue
		}
		got.expect(t, http.StatusServiceUnavailable, seamoutcome.Refused, seamoutcome.Session)
	}
}

// Guards against a trial of a quarantined request that is recorded or sent although no target may run it.
func TestTrialIsNotBegunWithoutAllowedTarget(t *testing.T) {
	begun := 0
	guard := &seampoison.Guard{Table: seampoison.New(), Begin: func(context.Context, seampoison.Record, int64) error { begun++; return nil }}
	back := newNode(t, "back", forbidden(t))
	front := startNode(t, "front", nil, seamsession.Config{}, seamingress.Config{Poison: guard})
	front.directory.candidates = candidatesOf(back)
	front.restrict("west")
	r, _ := http.NewRequest(http.MethodGet, front.url("/book"), nil)
	head := seampoison.HeadDigest(&seamroutewire.RequestHead{Method: r.Method, Host: r.URL.Host, Path: "/book"})
	guard.PutRecord(time.Now().Add(-time.Minute), seampoison.Record{Key: seampoison.Key{Service: "booker", Fingerprint: seampoison.NewFingerprint(head, nil)}, Revision: 1})
	expectRegion(t, do(t, r))
	if begun != 0 {
		t.Errorf("%d trials were begun", begun)
	}
}
