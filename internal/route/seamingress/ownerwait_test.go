package seamingress_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/platform/seamwait"
	"cardamomseam/internal/route/seamheader"
	"cardamomseam/internal/route/seamingress"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seampick"
)

// keyedPair returns a pair of nodes for a keyed service. The directory of front records back as the owner of all slots.
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

// refuseNext makes Acquire fail on its next calls, for the given number of refusals, and name other as the owner, as
// while a slot moves.
func (f *fakeOwners) refuseNext(other string, refusals int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.otherOwner, f.otherOwnerCalls = other, f.acquireCalls+refusals
}

// acquireCount returns the number of calls of Acquire.
func (f *fakeOwners) acquireCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.acquireCalls
}

func TestRequestWaitsForItsOwner(t *testing.T) {
	var runs atomic.Int32
	front, back := keyedPair(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	back.owners.refuseNext(back.peer.Address, 5)
	post(t, front).expect(t, 200, seamoutcome.Done, "")
	if calls, ran := back.owners.acquireCount(), runs.Load(); calls != 6 || ran != 1 {
		t.Errorf("the owner's node received %d attempts, want 6; %d ran, want 1", calls, ran)
	}
	if n := seamingress.OwnerWaiters(front.ingress); n != 0 {
		t.Errorf("%d requests still wait after all have ended", n)
	}
}

func TestRequestWithoutOwnerEndsBeforeItsDeadline(t *testing.T) {
	front, back := keyedPair(t, func(http.ResponseWriter, *http.Request) { t.Error("the request reached the target") })
	front.rules.decision.Limits.DeadlineMillis = 60_000
	back.owners.refuseNext(back.peer.Address, 1<<30)
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

// TestRequestForUnservedKeyIsRefusedImmediately checks that a request is not retried if the owner reports that its lease
// has expired, and that the caller gets a Retry-After delay.
func TestRequestForUnservedKeyIsRefusedImmediately(t *testing.T) {
	front, back := keyedPair(t, func(http.ResponseWriter, *http.Request) { t.Error("the request reached the target") })
	front.rules.decision.Limits.Retries = 3
	back.owners.leaseExpired = true
	got := post(t, front)
	got.expect(t, 503, seamoutcome.Refused, seamoutcome.Owner)
	if calls := back.owners.acquireCount(); calls != 1 {
		t.Errorf("the owner's node received %d attempts, want 1", calls)
	}
	if got.header.Get(seamheader.After) != "300" {
		t.Errorf("Seam-After is %q, want 300", got.header.Get(seamheader.After))
	}
}

func TestWaitForUnreachableOwnerIsShort(t *testing.T) {
	for _, tt := range []struct {
		reason seamoutcome.Reason
		// notified means that the ingress is notified of owner changes.
		notified bool
		// long means that the wait exceeds 200 ms.
		long bool
	}{
		{seamoutcome.Session, true, false},
		{seamoutcome.Owner, true, true},
		{seamoutcome.Session, false, true},
	} {
		got := seamingress.OwnerWaitTimeout(tt.reason, tt.notified)
		if long := got > 200*time.Millisecond; long != tt.long {
			t.Errorf("reason %s, notified %v: waits for %s", tt.reason, tt.notified, got)
		}
	}
}

// TestOwnerIsAskedSeldomWhileOtherOwnersChange guards against a request that is sent to the same owner, often across regions, at each
// change of the owner of any key.
func TestOwnerIsAskedSeldomWhileOtherOwnersChange(t *testing.T) {
	front, back := keyedPair(t, func(http.ResponseWriter, *http.Request) { t.Error("the request reached the target") })
	changes := newOwnerChanges()
	seamingress.SetOwnersChanged(front.ingress, changes.channel)
	stop := changes.every(10 * time.Millisecond)
	defer stop()
	back.owners.refuseNext(back.peer.Address, 1<<30)
	post(t, front).expect(t, 503, seamoutcome.Refused, seamoutcome.Owner)
	if calls := back.owners.acquireCount(); calls > 6 {
		t.Errorf("the owner's node received %d attempts, want at most 6", calls)
	}
}

// TestWaitEndsWhenTheKeyHasAnotherOwner guards against a request that waits on although its key can be served.
func TestWaitEndsWhenTheKeyHasAnotherOwner(t *testing.T) {
	front, back := keyedPair(t, echo)
	changes := newOwnerChanges()
	seamingress.SetOwnersChanged(front.ingress, changes.channel)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	former := seampeer.Peer{Name: "former", Incarnation: 1, Address: l.Addr().String()}
	l.Close()
	front.directory.owner, front.directory.keepOwner = former, true
	go func() {
		for seamingress.OwnerWaiters(front.ingress) == 0 {
			time.Sleep(time.Millisecond)
		}
		front.directory.setOwner(back.peer)
		changes.notify()
	}()
	post(t, front).expect(t, 200, seamoutcome.Done, "")
}

// ownerChanges notifies of changes of owners.
type ownerChanges struct {
	mu      sync.Mutex
	changed chan struct{}
}

func newOwnerChanges() *ownerChanges { return &ownerChanges{changed: make(chan struct{})} }

func (o *ownerChanges) channel() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.changed
}

func (o *ownerChanges) notify() {
	o.mu.Lock()
	defer o.mu.Unlock()
	close(o.changed)
	o.changed = make(chan struct{})
}

// every notifies at each interval until the returned function is called.
func (o *ownerChanges) every(interval time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	go seamwait.Every(ctx, interval, func(time.Time) { o.notify() })
	return cancel
}

func TestNumberOfWaitingRequestsIsBounded(t *testing.T) {
	front, back := keyedPair(t, func(http.ResponseWriter, *http.Request) { t.Error("the request reached the target") })
	back.owners.refuseNext(back.peer.Address, 1<<30)
	seamingress.FillOwnerWaiters(front.ingress)
	post(t, front).expect(t, 503, seamoutcome.Refused, seamoutcome.Owner)
	if calls := back.owners.acquireCount(); calls != 1 {
		t.Errorf("the owner's node received %d attempts, want 1", calls)
	}
	if n := seamingress.OwnerWaiters(front.ingress); n != seamingress.MaxOwnerWaiters {
		t.Errorf("%d requests are counted as waiting, want %d", n, seamingress.MaxOwnerWaiters)
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
		t.Errorf("learned %v, want first an empty peer, which removes the owner, and then %s", l, back.peer)
	}
}

// TestOnlyNodeIsRetriedAfterOwnerWait checks that a request whose only candidate is unreachable waits, and is sent to a
// node that becomes a candidate during the wait.
func TestOnlyNodeIsRetriedAfterOwnerWait(t *testing.T) {
	front, back := keyedPair(t, echo)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unreachable := back.peer
	unreachable.Address = l.Addr().String()
	l.Close()
	front.directory.owner = unreachable
	front.directory.candidates = []seampick.Candidate{{Peer: unreachable, Slots: 32}}
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
	rejectEpoch := func(w http.ResponseWriter) {
		w.Header().Set(seamheader.Outcome, seamheader.Refused)
		w.WriteHeader(http.StatusConflict)
	}
	for _, tt := range []struct {
		name string
		// refusals is the number of requests whose epoch the target rejects.
		refusals int32
		broken   bool
		status   int
		outcome  seamoutcome.Outcome
		reason   seamoutcome.Reason
	}{
		{"target rejects the epoch at first", 3, false, 200, seamoutcome.Done, ""},
		{"target closes the connection", 0, true, 502, seamoutcome.Unknown, seamoutcome.Broken},
		{"target rejects the epoch and then closes the connection", 2, true, 502, seamoutcome.Unknown, seamoutcome.Broken},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var received, runs atomic.Int32
			front, back := keyedPair(t, func(w http.ResponseWriter, _ *http.Request) {
				if received.Add(1) <= tt.refusals {
					rejectEpoch(w)
					return
				}
				runs.Add(1)
				if tt.broken {
					panic(http.ErrAbortHandler)
				}
			})
			back.owners.refuseNext(back.peer.Address, 2)
			post(t, front).expect(t, tt.status, tt.outcome, tt.reason)
			if n := runs.Load(); n != 1 {
				t.Errorf("the request ran %d times", n)
			}
		})
	}
}

func TestConnectionCutsDuringOwnerChangeRunAtMostOnce(t *testing.T) {
	rec := newRunRecorder()
	front, back := keyedPair(t, rec.serve)
	p := newProxy(t, back.peer.Address)
	proxied := back.peer
	proxied.Address = p.l.Addr().String()
	front.directory.owner = proxied
	front.directory.candidates = []seampick.Candidate{{Peer: proxied, Slots: 32}}
	// A refused attempt, the next one and its response take fewer bytes than this.
	const bytes, step = 1000, 45
	for d := towardsBack; d <= towardsFront; d++ {
		for offset := 0; offset < bytes; offset += step {
			back.owners.refuseNext(proxied.Address, 1)
			p.arm(d, offset, 0)
			rec.book(t, front, fmt.Sprintf("moving %d/%d", d, offset))
			time.Sleep(time.Millisecond)
		}
	}
	rec.verifyFinal(t)
	if rec.outcomes[seamheader.Done] == 0 || rec.outcomes[seamheader.Unknown] == 0 {
		t.Errorf("outcomes %v: want at least one done and one unknown", rec.outcomes)
	}
}
