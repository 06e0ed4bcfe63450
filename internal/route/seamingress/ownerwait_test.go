package seamingress_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seamheader"
	"cardamomseam/internal/route/seamingress"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seampick"
)

// keyedPair returns a pair for a keyed service; front's directory names back as the owner of all slots.
func keyedPair(t *testing.T, handler http.HandlerFunc) (front, back *node) {
	t.Helper()
	front, back = pair(t, handler)
	front.rules.decision.Keyed = true
	front.rules.decision.Limits.DeadlineMillis = 10_000
	front.directory.owner = back.peer
	return front, back
}

func post(t *testing.T, n *node) result {
	t.Helper()
	r, _ := http.NewRequest(http.MethodPost, n.url("/book"), nil)
	return do(t, r)
}

// refuseUntil makes the node refuse the given number of requests and name other as the owner, as if the slot were moving.
func (f *fakeOwners) refuseUntil(other string, refusals int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.otherOwner, f.otherOwnerCalls = other, f.acquireCalls+refusals
}

func (f *fakeOwners) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.acquireCalls
}

func TestRequestWaitsForItsOwner(t *testing.T) {
	var runs atomic.Int32
	front, back := keyedPair(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	back.owners.refuseUntil(back.peer.Address, 5)
	post(t, front).expect(t, 200, seamoutcome.Done, "")
	if calls, ran := back.owners.count(), runs.Load(); calls != 6 || ran != 1 {
		t.Errorf("the owner was asked %d times and the request ran %d times", calls, ran)
	}
	if n := seamingress.OwnerWaiters(front.ingress); n != 0 {
		t.Errorf("%d requests still wait after all have ended", n)
	}
}

func TestRequestWithoutOwnerEndsBeforeItsDeadline(t *testing.T) {
	front, back := keyedPair(t, func(http.ResponseWriter, *http.Request) { t.Error("the request reached the target") })
	front.rules.decision.Limits.DeadlineMillis = 60_000
	back.owners.refuseUntil(back.peer.Address, 1<<30)
	start := time.Now()
	got := post(t, front)
	got.expect(t, 503, seamoutcome.Refused, seamoutcome.Owner)
	if took := time.Since(start); took > 30*time.Second {
		t.Errorf("the refusal took %s", took)
	}
	if got.header.Get("Retry-After") == "" {
		t.Error("the refusal has no Retry-After header")
	}
	if n := seamingress.OwnerWaiters(front.ingress); n != 0 {
		t.Errorf("%d requests still wait after all have ended", n)
	}
}

func TestRequestForUnservedKeyIsRefusedImmediately(t *testing.T) {
	front, back := keyedPair(t, func(http.ResponseWriter, *http.Request) { t.Error("the request reached the target") })
	front.rules.decision.Limits.Retries = 3
	back.owners.leaseExpired = true
	got := post(t, front)
	got.expect(t, 503, seamoutcome.Refused, seamoutcome.Owner)
	if calls := back.owners.count(); calls != 1 {
		t.Errorf("the owner was asked %d times", calls)
	}
	if got.header.Get(seamheader.After) != "300" {
		t.Errorf("the caller is told to retry after %q ms", got.header.Get(seamheader.After))
	}
}

func TestWaitForUnreachableOwnerIsShort(t *testing.T) {
	for _, tt := range []struct {
		reason seamoutcome.Reason
		table  bool
		longer bool
	}{
		{seamoutcome.Session, true, false},
		{seamoutcome.Owner, true, true},
		{seamoutcome.Session, false, true},
	} {
		got := seamingress.OwnerWaitTimeout(tt.reason, tt.table)
		if longer := got > 200*time.Millisecond; longer != tt.longer {
			t.Errorf("%s, table %v: waits for %s", tt.reason, tt.table, got)
		}
	}
}

func TestNumberOfWaitingRequestsIsBounded(t *testing.T) {
	front, back := keyedPair(t, func(http.ResponseWriter, *http.Request) { t.Error("the request reached the target") })
	back.owners.refuseUntil(back.peer.Address, 1<<30)
	seamingress.FillOwnerWaiters(front.ingress)
	post(t, front).expect(t, 503, seamoutcome.Refused, seamoutcome.Owner)
	if calls := back.owners.count(); calls != 1 {
		t.Errorf("the owner was asked %d times", calls)
	}
	if n := seamingress.OwnerWaiters(front.ingress); n != seamingress.MaxOwnerWaiters {
		t.Errorf("%d requests wait, want %d", n, seamingress.MaxOwnerWaiters)
	}
}

func TestUnreachableOwnerIsRemovedFromDirectory(t *testing.T) {
	front, back := keyedPair(t, echo)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead := seampeer.Peer{Name: "dead", Incarnation: 1, Address: l.Addr().String()}
	l.Close()
	front.directory.owner = dead
	got := post(t, front)
	got.expect(t, 200, seamoutcome.Done, "")
	if s := got.header.Get(seamheader.Server); s != back.peer.Name {
		t.Errorf("served by %q", s)
	}
	front.directory.mu.Lock()
	defer front.directory.mu.Unlock()
	if l := front.directory.learned; len(l) == 0 || l[0].Address != "" || !slices.ContainsFunc(l, back.peer.Same) {
		t.Errorf("learned %v, want an empty peer first and then %s", l, back.peer)
	}
}

func TestOnlyNodeIsRetriedAfterOwnerWait(t *testing.T) {
	front, back := keyedPair(t, echo)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	proxied := back.peer
	proxied.Address = l.Addr().String()
	l.Close()
	front.directory.owner = proxied
	front.directory.candidates = []seampick.Candidate{{Peer: proxied, Slots: 32}}
	done := make(chan result, 1)
	go func() {
		r, _ := http.NewRequest(http.MethodPost, front.url("/book"), nil)
		done <- do(t, r)
	}()
	for seamingress.OwnerWaiters(front.ingress) == 0 {
		select {
		case got := <-done:
			t.Fatalf("got %d (%s) without a wait", got.status, got.header.Get(seamheader.Reason))
		case <-time.After(time.Millisecond):
		}
	}
	front.directory.mu.Lock()
	front.directory.candidates = []seampick.Candidate{{Peer: back.peer, Slots: 32}}
	front.directory.mu.Unlock()
	got := <-done
	got.expect(t, 200, seamoutcome.Done, "")
}

func TestOwnerWaitNeverRunsARequestTwice(t *testing.T) {
	refuse := func(w http.ResponseWriter) {
		w.Header().Set(seamheader.Outcome, seamheader.Refused)
		w.WriteHeader(http.StatusConflict)
	}
	for _, tt := range []struct {
		name string
		// refusals is the number of requests whose epoch the target refuses.
		refusals int32
		broken   bool
		status   int
		outcome  seamoutcome.Outcome
		reason   seamoutcome.Reason
	}{
		{"target fences at first", 3, false, 200, seamoutcome.Done, ""},
		{"target breaks", 0, true, 502, seamoutcome.Unknown, seamoutcome.Broken},
		{"target fences and then breaks", 2, true, 502, seamoutcome.Unknown, seamoutcome.Broken},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var refused, runs atomic.Int32
			front, back := keyedPair(t, func(w http.ResponseWriter, _ *http.Request) {
				if refused.Add(1) <= tt.refusals {
					refuse(w)
					return
				}
				runs.Add(1)
				if tt.broken {
					panic(http.ErrAbortHandler)
				}
			})
			back.owners.refuseUntil(back.peer.Address, 2)
			post(t, front).expect(t, tt.status, tt.outcome, tt.reason)
			if n := runs.Load(); n != 1 {
				t.Errorf("the request ran %d times", n)
			}
		})
	}
}

func TestConnectionCutsDuringOwnerChangeRunAtMostOnce(t *testing.T) {
	l := newRunRecorder()
	front, back := keyedPair(t, l.serve)
	p := newProxy(t, back.peer.Address)
	proxied := back.peer
	proxied.Address = p.l.Addr().String()
	front.directory.owner = proxied
	front.directory.candidates = []seampick.Candidate{{Peer: proxied, Slots: 32}}
	// A refusal, the recheck of the owner and a response take fewer bytes than this.
	const bytes, step = 1000, 45
	for d := towardsBack; d <= towardsFront; d++ {
		for after := 0; after < bytes; after += step {
			back.owners.refuseUntil(proxied.Address, 1)
			p.arm(d, after, 0)
			l.book(t, front, fmt.Sprintf("moving %d/%d", d, after))
			time.Sleep(time.Millisecond)
		}
	}
	l.verifyFinal(t)
	if l.outcomes[seamheader.Done] == 0 || l.outcomes[seamheader.Unknown] == 0 {
		t.Errorf("outcomes %v: no cut hit a request", l.outcomes)
	}
}
