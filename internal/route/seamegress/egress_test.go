package seamegress_test

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamgrant"
	"cardamomseam/internal/own/seamsketch"
	"cardamomseam/internal/own/seamslot"
	"cardamomseam/internal/route/seamcall"
	"cardamomseam/internal/route/seamdedup"
	"cardamomseam/internal/route/seamegress"
	"cardamomseam/internal/route/seamframe"
	"cardamomseam/internal/route/seamheader"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamroutewire"
	"cardamomseam/internal/route/seamstop"
)

var self = seampeer.Peer{Name: "back", Incarnation: 3}

// grantingOwners grants every slot for leaseDuration.
type grantingOwners struct {
	clock         *seamclock.Clock
	leaseDuration time.Duration
}

func (g grantingOwners) Acquire(_ context.Context, id seamslot.ID) (seamgrant.Grant, func(), error) {
	return seamgrant.Grant{Slot: id, Epoch: 1, ExpiresAt: g.clock.Now().Add(g.leaseDuration)}, func() {}, nil
}

func (g grantingOwners) Held(seamslot.ID, uint64) (seamclock.Instant, bool) {
	return seamclock.Instant{}, false
}

// renewingOwners grants every slot, and renews the lease until lost is set.
type renewingOwners struct {
	grantingOwners
	lost atomic.Bool
	// heldCalls counts the calls of Held.
	heldCalls atomic.Int32
}

func (r *renewingOwners) Held(seamslot.ID, uint64) (seamclock.Instant, bool) {
	r.heldCalls.Add(1)
	return r.clock.Now().Add(r.leaseDuration), !r.lost.Load()
}

// announcedTarget is a target with a fixed announcement.
type announcedTarget seamtarget.Announcement

func (a announcedTarget) Current() (seamtarget.Announcement, bool) {
	return seamtarget.Announcement(a), true
}

// newEgress returns an egress in front of a target, and the number of requests that reached the target.
func newEgress(t *testing.T, leaseDuration time.Duration, capabilities []string, handler http.HandlerFunc) (*seamegress.Egress, *atomic.Int32) {
	t.Helper()
	var runs atomic.Int32
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		if handler != nil {
			handler(w, r)
		}
	}))
	t.Cleanup(target.Close)
	clock := seamclock.NewClock()
	return newEgressFor(t, grantingOwners{clock, leaseDuration}, clock, target, capabilities), &runs
}

// newEgressFor returns an egress in front of the target.
func newEgressFor(t *testing.T, owners seamegress.Owners, clock *seamclock.Clock, target *httptest.Server, capabilities []string) *seamegress.Egress {
	t.Helper()
	return newCountingEgress(t, owners, clock, target, capabilities, seamsketch.NewUsage(16, time.Minute, time.Minute))
}

// newBufferingEgress returns an egress that buffers bodies before admission, in front of a target with one slot.
func newBufferingEgress(t *testing.T, bufferBytes int64, handler http.HandlerFunc) *seamegress.Egress {
	t.Helper()
	target := httptest.NewServer(handler)
	t.Cleanup(target.Close)
	clock := seamclock.NewClock()
	announced := announcedTarget{Service: "booker", Name: "t", Address: target.Listener.Addr().String(), MaxConcurrency: 1}
	keys := seamsketch.NewUsage(16, time.Minute, time.Minute)
	cfg := seamegress.Config{AdmitByObjective: true, BodyBufferBytes: bufferBytes}
	e, closeEgress := seamegress.New(cfg, self, grantingOwners{clock, time.Minute}, announced, clock, keys, metrics.NewSet(), seamevent.NewStream("back"))
	t.Cleanup(closeEgress)
	return e
}

// upload returns the head of a request with a streamed body.
func upload(attempt uint64, length int) *seamroutewire.RequestHead {
	h := head(attempt)
	h.Id = binary.BigEndian.AppendUint64(make([]byte, 8), attempt)
	h.Whole, h.Length, h.Left = false, int64(length), 20_000
	return h
}

// TestSlowBodyBufferedBeforeAdmission checks that a request whose body arrives slowly does not occupy a slot of
// the target meanwhile, as long as the body fits into the memory budget.
func TestSlowBodyBufferedBeforeAdmission(t *testing.T) {
	const length = 100 << 10
	for _, tt := range []struct {
		name        string
		bufferBytes int64
		slotFree    bool
	}{
		{"fits the budget", length, true},
		{"exceeds the budget", length - 1, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got := make(chan int, 2)
			e := newBufferingEgress(t, tt.bufferBytes, func(_ http.ResponseWriter, r *http.Request) {
				n, _ := io.Copy(io.Discard, r.Body)
				got <- int(n)
			})
			body, send := io.Pipe()
			ended := make(chan seamoutcome.End, 1)
			go func() { ended <- e.Run(t.Context(), upload(1, length), body, &discard{header: http.Header{}}) }()
			if _, err := send.Write(make([]byte, length/2)); err != nil {
				t.Fatal(err)
			}
			if free := e.Load().Running == 0; free != tt.slotFree {
				t.Errorf("target slot free: %v, want %v", free, tt.slotFree)
			}
			if tt.slotFree {
				if end := e.Run(t.Context(), upload(2, 0), nil, &discard{header: http.Header{}}); end.Outcome != seamoutcome.Done {
					t.Errorf("the short request ended with %+v", end)
				}
				<-got
			}
			if _, err := send.Write(make([]byte, length/2)); err != nil {
				t.Fatal(err)
			}
			if err := send.Close(); err != nil {
				t.Fatal(err)
			}
			if end := <-ended; end.Outcome != seamoutcome.Done {
				t.Errorf("the upload ended with %+v", end)
			}
			if n := <-got; n != length {
				t.Errorf("the target got %d bytes", n)
			}
		})
	}
}

// TestRequestRefusedShortlyBeforeShutdown checks that a node starts no request that may not end before its
// shutdown deadline.
func TestRequestRefusedShortlyBeforeShutdown(t *testing.T) {
	var runs atomic.Int32
	e := newBufferingEgress(t, 0, func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		time.Sleep(100 * time.Millisecond)
	})
	run := func(attempt uint64) seamoutcome.End {
		return e.Run(t.Context(), upload(attempt, 0), nil, &discard{header: http.Header{}})
	}
	if end := run(1); end.Outcome != seamoutcome.Done {
		t.Fatalf("got %+v", end)
	}
	planStop := func(in time.Duration) {
		limit := time.Now().Add(in)
		e.PlanStop(seamstop.Plan{Limit: limit})
	}
	planStop(time.Hour)
	if end := run(2); end.Outcome != seamoutcome.Done {
		t.Errorf("got %+v long before the shutdown deadline", end)
	}
	planStop(150 * time.Millisecond)
	if end := run(3); end.Outcome != seamoutcome.Refused || end.Reason != seamoutcome.Draining {
		t.Errorf("got %+v right before the shutdown deadline", end)
	}
	if n := runs.Load(); n != 2 {
		t.Errorf("%d requests ran", n)
	}
}

// drainingTarget is a target that announces that it is leaving once startLeaving was called.
type drainingTarget struct {
	mu sync.Mutex
	a  seamtarget.Announcement
}

func (l *drainingTarget) Current() (seamtarget.Announcement, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.a, true
}

func (l *drainingTarget) startLeaving() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.a.Leaving = true
}

// TestQueuedRequestRefusedAfterTargetLeft checks that a request that was queued while its target started to leave
// is not started after the handover grace period.
func TestQueuedRequestRefusedAfterTargetLeft(t *testing.T) {
	release := make(chan struct{})
	var runs atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		<-release
	}))
	t.Cleanup(server.Close)
	clock := seamclock.NewClock()
	target := &drainingTarget{a: seamtarget.Announcement{Service: "booker", Name: "t", Address: server.Listener.Addr().String(), MaxConcurrency: 1}}
	cfg := seamegress.Config{AdmitByObjective: true, HandoverGrace: time.Millisecond}
	keys := seamsketch.NewUsage(16, time.Minute, time.Minute)
	e, closeEgress := seamegress.New(cfg, self, grantingOwners{clock, time.Minute}, target, clock, keys, metrics.NewSet(), seamevent.NewStream("back"))
	t.Cleanup(closeEgress)
	ends := make(chan seamoutcome.End, 2)
	run := func(attempt uint64) {
		h := upload(attempt, 0)
		h.Keyed = true
		ends <- e.Run(t.Context(), h, nil, &discard{header: http.Header{}})
	}
	go run(1)
	for e.Load().Running == 0 {
		time.Sleep(time.Millisecond)
	}
	go run(2)
	for e.Load().Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	target.startLeaving()
	// The grace period begins when the node first sees that the target is leaving.
	if end := e.Run(t.Context(), upload(3, 0), nil, &discard{header: http.Header{}}); end.Reason != seamoutcome.Draining {
		t.Errorf("a request without a key ended with %+v", end)
	}
	time.Sleep(5 * time.Millisecond)
	close(release)
	reasons := map[seamoutcome.Reason]int{}
	for range 2 {
		reasons[(<-ends).Reason]++
	}
	if reasons[seamoutcome.Draining] != 1 || runs.Load() != 1 {
		t.Errorf("reasons %v, %d requests ran", reasons, runs.Load())
	}
}

// TestTruncatedBodyIsNotRun checks that a request whose body is truncated while it is buffered does not reach
// the target.
func TestTruncatedBodyIsNotRun(t *testing.T) {
	e := newBufferingEgress(t, 1<<20, func(http.ResponseWriter, *http.Request) { t.Error("the request reached the target") })
	end := e.Run(t.Context(), upload(1, 100), io.MultiReader(strings.NewReader("a part")), &discard{header: http.Header{}})
	if end.Outcome != seamoutcome.Refused || end.Reason != seamoutcome.Malformed {
		t.Errorf("got %+v", end)
	}
}

func newCountingEgress(t *testing.T, owners seamegress.Owners, clock *seamclock.Clock, target *httptest.Server, capabilities []string, keys seamegress.KeyCounter) *seamegress.Egress {
	t.Helper()
	announced := announcedTarget{Service: "booker", Name: "t", Address: target.Listener.Addr().String(), MaxConcurrency: 2, Capabilities: capabilities}
	e, closeEgress := seamegress.New(seamegress.Config{}, self, owners, announced, clock, keys, metrics.NewSet(), seamevent.NewStream("back"))
	t.Cleanup(closeEgress)
	return e
}

func head(attempt uint64) *seamroutewire.RequestHead {
	return &seamroutewire.RequestHead{
		Id:      make([]byte, 16),
		Attempt: attempt,
		Service: "booker",
		Method:  http.MethodPost,
		Path:    "/book",
		Left:    2000,
		Queue:   8,
		Whole:   true,
	}
}

// discard discards the body of a response.
type discard struct{ header http.Header }

func (d *discard) WriteHead(h *seamroutewire.AnswerHead) error {
	seamcall.AddFields(d.header, h.GetHeaders())
	return nil
}

func (*discard) WriteBody([]byte) error { return nil }

func run(e *seamegress.Egress, h *seamroutewire.RequestHead) seamoutcome.End {
	return e.Run(context.Background(), h, http.NoBody, &discard{http.Header{}})
}

func expect(t *testing.T, end seamoutcome.End, outcome seamoutcome.Outcome, reason seamoutcome.Reason) {
	t.Helper()
	if end.Outcome != outcome || end.Reason != reason {
		t.Errorf("got %s (%s: %s), want %s (%s)", end.Outcome, end.Reason, end.Detail, outcome, reason)
	}
}

func TestKeysOfAdmittedRequestsAreCounted(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(target.Close)
	keys := seamsketch.NewUsage(16, time.Minute, time.Minute)
	clock := seamclock.NewClock()
	e := newCountingEgress(t, grantingOwners{clock, time.Minute}, clock, target, nil, keys)
	keyed := func(attempt uint64, key string, left int64) *seamroutewire.RequestHead {
		h := head(attempt)
		h.Idempotent, h.Keyed, h.Key, h.Slot, h.Left = true, true, []byte(key), 5, left
		return h
	}
	expect(t, run(e, keyed(1, "room-\xff", 2000)), seamoutcome.Done, "")
	expect(t, run(e, keyed(2, "late", 0)), seamoutcome.Refused, seamoutcome.Expired)
	expect(t, run(e, head(3)), seamoutcome.Done, "")
	top := keys.Top(seamclock.NewClock().Now(), 16)
	want := seamslot.ID{Service: "booker", Index: 5}
	if len(top) != 1 || top[0].Key != "room-\xff" || top[0].Slot != want {
		t.Fatalf("counted %+v", top)
	}
}

func TestVoid(t *testing.T) {
	e, runs := newEgress(t, time.Minute, nil, nil)
	void := func(attempt, incarnation uint64) seamdedup.State {
		return e.Void(&seamroutewire.Void{
			Id:      make([]byte, 16),
			Attempt: attempt,
			Peer:    &seamroutewire.Peer{Name: self.Name, Incarnation: incarnation},
			Left:    1000,
		})
	}
	if s := void(1, self.Incarnation-1); s != seamdedup.Unknown {
		t.Errorf("a later incarnation replied %s for an earlier one", s)
	}
	if s := void(1, self.Incarnation); s != seamdedup.Voided {
		t.Errorf("before the attempt: %s", s)
	}
	expect(t, run(e, head(1)), seamoutcome.Refused, seamoutcome.Voided)
	expect(t, run(e, head(2)), seamoutcome.Done, "")
	if s := void(2, self.Incarnation); s != seamdedup.Ran {
		t.Errorf("after the attempt: %s", s)
	}
	expect(t, run(e, head(3)), seamoutcome.Unknown, seamoutcome.Duplicate)
	if n := runs.Load(); n != 1 {
		t.Errorf("the target ran %d requests", n)
	}
}

func TestGrantBoundsDeadlineWithoutFencing(t *testing.T) {
	for _, tt := range []struct {
		name     string
		can      []string
		deadline time.Duration
	}{
		{"fences", []string{seamtarget.CanFence}, 2 * time.Second},
		{"does not fence", nil, 300 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var timeout time.Duration
			e, _ := newEgress(t, 300*time.Millisecond, tt.can, func(_ http.ResponseWriter, r *http.Request) {
				n, _ := strconv.Atoi(r.Header.Get(seamheader.Deadline))
				timeout = time.Duration(n) * time.Millisecond
			})
			h := head(1)
			h.Keyed = true
			expect(t, run(e, h), seamoutcome.Done, "")
			if timeout > tt.deadline || timeout < tt.deadline/2 {
				t.Errorf("the target received a timeout of %v, want no more than the deadline and at least half of it", timeout)
			}
		})
	}
}

func TestRunningRequestFollowsLeaseRenewal(t *testing.T) {
	const leaseDuration = 100 * time.Millisecond
	for _, tt := range []struct {
		name string
		// lost means that the lease is not renewed while the request runs.
		lost    bool
		outcome seamoutcome.Outcome
		reason  seamoutcome.Reason
	}{
		{"renewed", false, seamoutcome.Done, ""},
		{"lost", true, seamoutcome.Unknown, seamoutcome.Timeout},
	} {
		t.Run(tt.name, func(t *testing.T) {
			clock := seamclock.NewClock()
			owners := &renewingOwners{grantingOwners: grantingOwners{clock, leaseDuration}}
			ended := make(chan struct{})
			target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				owners.lost.Store(tt.lost)
				for owners.heldCalls.Load() < 3 {
					select {
					case <-r.Context().Done():
						close(ended)
						return
					case <-time.After(time.Millisecond):
					}
				}
			}))
			t.Cleanup(target.Close)
			e := newEgressFor(t, owners, clock, target, nil)
			h := head(1)
			h.Keyed = true
			h.Left = 10_000
			expect(t, run(e, h), tt.outcome, tt.reason)
			if tt.lost {
				<-ended // the target sees that its connection is closed
			}
		})
	}
}

func TestRequestDelayedInSessionExpires(t *testing.T) {
	e, runs := newEgress(t, time.Minute, nil, nil)
	near, far := net.Pipe()
	defer near.Close()
	go func() {
		defer far.Close()
		e.ServeStream(context.Background(), seampeer.Peer{}, agedConn{far})
	}()
	h := head(1)
	h.Expires = 2000
	go send(near, h)
	r, done := seamframe.NewReader(near)
	defer done()
	end := new(seamroutewire.AnswerEnd)
	if err := r.ReadMessage(seamframe.AnswerEnd, end); err != nil {
		t.Fatal(err)
	}
	expect(t, seamcall.DecodeEnd(end), seamoutcome.Refused, seamoutcome.Expired)
	if n := runs.Load(); n != 0 {
		t.Errorf("the target ran %d requests", n)
	}
}

// agedConn is a stream of a session that is a minute old.
type agedConn struct{ net.Conn }

func (agedConn) Age(time.Time) time.Duration { return time.Minute }

func send(w io.Writer, h *seamroutewire.RequestHead) {
	b, done := seamframe.NewBuffer()
	defer done()
	_ = b.AppendMessage(seamframe.RequestHead, h)
	_ = b.AppendMessage(seamframe.RequestEnd, &seamroutewire.RequestEnd{})
	_ = b.Flush(w)
}

func TestMalformedStreamsReachNoTarget(t *testing.T) {
	e, runs := newEgress(t, time.Minute, nil, nil)
	short := head(1)
	short.Length = 5
	withoutID := head(1)
	withoutID.Id = nil
	for name, write := range map[string]func(c net.Conn){
		"nothing": func(net.Conn) {},
		"noise":   func(c net.Conn) { _, _ = c.Write([]byte("GET / HTTP/1.1\r\n\r\n")) },
		"other":   func(c net.Conn) { _ = seamframe.Write(c, seamframe.AnswerEnd, &seamroutewire.AnswerEnd{}) },
		"half":    func(c net.Conn) { _, _ = c.Write([]byte{0x0a, 40, 1, 2, 3}) },
		"short":   func(c net.Conn) { send(c, short) },
		"no id":   func(c net.Conn) { send(c, withoutID) },
	} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				defer far.Close()
				e.ServeStream(context.Background(), seampeer.Peer{}, far)
			}()
			go func() { _, _ = io.Copy(io.Discard, near) }()
			write(near)
			near.Close()
			select {
			case <-ended:
			case <-time.After(2 * time.Second):
				t.Error("the stream is still served")
			}
		})
	}
	if n := runs.Load(); n != 0 {
		t.Errorf("the target ran %d requests", n)
	}
	if n := e.InFlight(); n != 0 {
		t.Errorf("%d requests are in flight", n)
	}
}

func TestLeavingNodeServesOwnedKeysUntilDrain(t *testing.T) {
	e, _ := newEgress(t, time.Minute, nil, nil)
	keyed := func(n byte) *seamroutewire.RequestHead {
		h := head(uint64(n))
		h.Keyed, h.Id = true, append(make([]byte, 15), n)
		return h
	}
	e.RefuseUnkeyed()
	expect(t, run(e, head(1)), seamoutcome.Refused, seamoutcome.Draining)
	expect(t, run(e, keyed(2)), seamoutcome.Done, "")
	if err := e.Drain(t.Context()); err != nil {
		t.Error(err)
	}
	expect(t, run(e, keyed(3)), seamoutcome.Refused, seamoutcome.Draining)
}

func TestDrainWaitsForRequestsInFlight(t *testing.T) {
	running, release := make(chan struct{}), make(chan struct{})
	e, _ := newEgress(t, time.Minute, nil, func(http.ResponseWriter, *http.Request) {
		close(running)
		<-release
	})
	first := make(chan seamoutcome.End, 1)
	go func() { first <- run(e, head(1)) }()
	<-running
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if err := e.Drain(ctx); err == nil {
		t.Error("the drain ended before the request")
	}
	h := head(2)
	h.Id = []byte("0123456789abcdef")
	expect(t, run(e, h), seamoutcome.Refused, seamoutcome.Draining)
	close(release)
	if err := e.Drain(t.Context()); err != nil {
		t.Error(err)
	}
	expect(t, <-first, seamoutcome.Done, "")
}

// movableOwners grants every slot until move is called.
type movableOwners struct {
	grantingOwners
	mu      sync.Mutex
	moved   bool
	changed chan struct{}
}

func (m *movableOwners) Acquire(ctx context.Context, id seamslot.ID) (seamgrant.Grant, func(), error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.moved {
		return seamgrant.Grant{}, nil, &seamgrant.NotOwnerError{Slot: id, Owner: "10.0.0.9:1", Moving: true}
	}
	return m.grantingOwners.Acquire(ctx, id)
}

func (m *movableOwners) Held(seamslot.ID, uint64) (seamclock.Instant, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clock.Now().Add(m.leaseDuration), !m.moved
}

func (m *movableOwners) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

func (m *movableOwners) move() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.moved = true
	close(m.changed)
	m.changed = make(chan struct{})
}

func TestQueuedRequestRedirectedWhenSlotMoves(t *testing.T) {
	running, end := make(chan struct{}, 2), make(chan struct{})
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		running <- struct{}{}
		<-end
	}))
	t.Cleanup(target.Close)
	clock := seamclock.NewClock()
	owners := &movableOwners{grantingOwners: grantingOwners{clock, time.Minute}, changed: make(chan struct{})}
	e := newEgressFor(t, owners, clock, target, []string{seamtarget.CanFence})
	keyed := func(attempt uint64) *seamroutewire.RequestHead {
		h := head(attempt)
		h.Idempotent, h.Keyed, h.Left = true, true, 60_000
		return h
	}
	ends := make(chan seamoutcome.End, 3)
	for n := range uint64(2) {
		go func() { ends <- run(e, keyed(n)) }()
		<-running
	}
	go func() { ends <- run(e, keyed(2)) }()
	for e.Load().Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	owners.move()
	got := <-ends
	expect(t, got, seamoutcome.Refused, seamoutcome.Owner)
	if got.Owner.Address != "10.0.0.9:1" {
		t.Errorf("redirected to %q", got.Owner.Address)
	}
	close(end)
	<-ends
	<-ends
}
