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
)

var self = seampeer.Peer{Name: "back", Incarnation: 3}

// granting grants every slot for a time.
type granting struct {
	clock *seamclock.Clock
	life  time.Duration
}

func (g granting) Acquire(_ context.Context, id seamslot.ID) (seamgrant.Grant, func(), error) {
	return seamgrant.Grant{Slot: id, Epoch: 1, ExpiresAt: g.clock.Now().Add(g.life)}, func() {}, nil
}

func (g granting) Held(seamslot.ID, uint64) (seamclock.Instant, bool) {
	return seamclock.Instant{}, false
}

// renewing grants every slot for a time, and renews the lease until it is lost.
type renewing struct {
	granting
	lost atomic.Bool
	// looks counts the looks at the lease.
	looks atomic.Int32
}

func (r *renewing) Held(seamslot.ID, uint64) (seamclock.Instant, bool) {
	r.looks.Add(1)
	return r.clock.Now().Add(r.life), !r.lost.Load()
}

// announcing is a target that announced itself.
type announcing seamtarget.Announcement

func (a announcing) Current() (seamtarget.Announcement, bool) {
	return seamtarget.Announcement(a), true
}

// newEgress returns an egress before a target, and the count of requests that reached it.
func newEgress(t *testing.T, life time.Duration, can []string, handler http.HandlerFunc) (*seamegress.Egress, *atomic.Int32) {
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
	return egressOf(t, granting{clock, life}, clock, target, can), &runs
}

// egressOf returns an egress before the target.
func egressOf(t *testing.T, owners seamegress.Owners, clock *seamclock.Clock, target *httptest.Server, can []string) *seamegress.Egress {
	t.Helper()
	return countingEgress(t, owners, clock, target, can, seamsketch.NewUsage(16, time.Minute, time.Minute))
}

// holdingEgress returns an egress before a target with one slot that receives bodies before their requests take it.
func holdingEgress(t *testing.T, hold int64, handler http.HandlerFunc) *seamegress.Egress {
	t.Helper()
	target := httptest.NewServer(handler)
	t.Cleanup(target.Close)
	clock := seamclock.NewClock()
	announced := announcing{Service: "booker", Name: "t", Address: target.Listener.Addr().String(), Slots: 1}
	keys := seamsketch.NewUsage(16, time.Minute, time.Minute)
	cfg := seamegress.Config{AdmitByObjective: true, BodyBufferBytes: hold}
	e, closeEgress := seamegress.New(cfg, self, granting{clock, time.Minute}, announced, clock, keys, metrics.NewSet(), seamevent.NewStream("back"))
	t.Cleanup(closeEgress)
	return e
}

// upload returns the head of a request whose body follows in parts.
func upload(attempt uint64, length int) *seamroutewire.RequestHead {
	h := head(attempt)
	h.Id = binary.BigEndian.AppendUint64(make([]byte, 8), attempt)
	h.Whole, h.Length, h.Left = false, int64(length), 20_000
	return h
}

// A body that arrives slowly takes no place at the target from requests that could run meanwhile, as long as
// there is room for it in memory.
func TestSlowBodyBufferedBeforeAdmission(t *testing.T) {
	const length = 100 << 10
	for _, tt := range []struct {
		name string
		hold int64
		free bool
	}{
		{"room", length, true},
		{"no room", length - 1, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got := make(chan int, 2)
			e := holdingEgress(t, tt.hold, func(_ http.ResponseWriter, r *http.Request) {
				n, _ := io.Copy(io.Discard, r.Body)
				got <- int(n)
			})
			body, send := io.Pipe()
			ended := make(chan seamoutcome.End, 1)
			go func() { ended <- e.Run(t.Context(), upload(1, length), body, &discard{header: http.Header{}}) }()
			if _, err := send.Write(make([]byte, length/2)); err != nil {
				t.Fatal(err)
			}
			if free := e.Load().Running == 0; free != tt.free {
				t.Errorf("place free: %v, want %v", free, tt.free)
			}
			if tt.free {
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

// A node that ends soon begins nothing that it would have to give up.
func TestRequestRefusedShortlyBeforeShutdown(t *testing.T) {
	var runs atomic.Int32
	e := holdingEgress(t, 0, func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		time.Sleep(100 * time.Millisecond)
	})
	run := func(attempt uint64) seamoutcome.End {
		return e.Run(t.Context(), upload(attempt, 0), nil, &discard{header: http.Header{}})
	}
	if end := run(1); end.Outcome != seamoutcome.Done {
		t.Fatalf("got %+v", end)
	}
	e.SetShutdownDeadline(time.Now().Add(time.Hour))
	if end := run(2); end.Outcome != seamoutcome.Done {
		t.Errorf("got %+v long before the end", end)
	}
	e.SetShutdownDeadline(time.Now().Add(150 * time.Millisecond))
	if end := run(3); end.Outcome != seamoutcome.Refused || end.Reason != seamoutcome.Draining {
		t.Errorf("got %+v right before the end", end)
	}
	if n := runs.Load(); n != 2 {
		t.Errorf("%d requests ran", n)
	}
}

// leavingTarget is a target that says when it leaves.
type leavingTarget struct {
	mu sync.Mutex
	a  seamtarget.Announcement
}

func (l *leavingTarget) Current() (seamtarget.Announcement, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.a, true
}

func (l *leavingTarget) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.a.Leaving = true
}

// A request that waited for its place while the target began to leave is not started after the time for which
// the target serves on.
func TestQueuedRequestRefusedAfterTargetLeft(t *testing.T) {
	release := make(chan struct{})
	var runs atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		<-release
	}))
	t.Cleanup(server.Close)
	clock := seamclock.NewClock()
	target := &leavingTarget{a: seamtarget.Announcement{Service: "booker", Name: "t", Address: server.Listener.Addr().String(), Slots: 1}}
	cfg := seamegress.Config{AdmitByObjective: true, HandoverGrace: time.Millisecond}
	keys := seamsketch.NewUsage(16, time.Minute, time.Minute)
	e, closeEgress := seamegress.New(cfg, self, granting{clock, time.Minute}, target, clock, keys, metrics.NewSet(), seamevent.NewStream("back"))
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
	target.leave()
	// The time begins when the node sees that the target leaves.
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

// A body that is cut while it is received reaches no target.
func TestTruncatedBodyIsNotRun(t *testing.T) {
	e := holdingEgress(t, 1<<20, func(http.ResponseWriter, *http.Request) { t.Error("the request reached the target") })
	end := e.Run(t.Context(), upload(1, 100), io.MultiReader(strings.NewReader("a part")), &discard{header: http.Header{}})
	if end.Outcome != seamoutcome.Refused || end.Reason != seamoutcome.Malformed {
		t.Errorf("got %+v", end)
	}
}

func countingEgress(t *testing.T, owners seamegress.Owners, clock *seamclock.Clock, target *httptest.Server, can []string, keys seamegress.KeyCounter) *seamegress.Egress {
	t.Helper()
	announced := announcing{Service: "booker", Name: "t", Address: target.Listener.Addr().String(), Slots: 2, Capabilities: can}
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

// discard takes an answer.
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
	e := countingEgress(t, granting{clock, time.Minute}, clock, target, nil, keys)
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
	ask := func(attempt, incarnation uint64) seamdedup.State {
		return e.Void(&seamroutewire.Void{
			Id:      make([]byte, 16),
			Attempt: attempt,
			Peer:    &seamroutewire.Peer{Name: self.Name, Incarnation: incarnation},
			Left:    1000,
		})
	}
	if s := ask(1, self.Incarnation-1); s != seamdedup.Unknown {
		t.Errorf("a later run answers %s for an earlier one", s)
	}
	if s := ask(1, self.Incarnation); s != seamdedup.Voided {
		t.Errorf("before the attempt: %s", s)
	}
	expect(t, run(e, head(1)), seamoutcome.Refused, seamoutcome.Voided)
	expect(t, run(e, head(2)), seamoutcome.Done, "")
	if s := ask(2, self.Incarnation); s != seamdedup.Ran {
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
			var told time.Duration
			e, _ := newEgress(t, 300*time.Millisecond, tt.can, func(_ http.ResponseWriter, r *http.Request) {
				n, _ := strconv.Atoi(r.Header.Get(seamheader.Deadline))
				told = time.Duration(n) * time.Millisecond
			})
			h := head(1)
			h.Keyed = true
			expect(t, run(e, h), seamoutcome.Done, "")
			if told > tt.deadline || told < tt.deadline/2 {
				t.Errorf("the target was told %v", told)
			}
		})
	}
}

func TestRunningRequestFollowsLeaseRenewal(t *testing.T) {
	const life = 100 * time.Millisecond
	for _, tt := range []struct {
		name string
		// lost says that the lease is not renewed while the request runs.
		lost    bool
		outcome seamoutcome.Outcome
		reason  seamoutcome.Reason
	}{
		{"renewed", false, seamoutcome.Done, ""},
		{"lost", true, seamoutcome.Unknown, seamoutcome.Timeout},
	} {
		t.Run(tt.name, func(t *testing.T) {
			clock := seamclock.NewClock()
			owners := &renewing{granting: granting{clock, life}}
			ended := make(chan struct{})
			target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				owners.lost.Store(tt.lost)
				for owners.looks.Load() < 3 {
					select {
					case <-r.Context().Done():
						close(ended)
						return
					case <-time.After(time.Millisecond):
					}
				}
			}))
			t.Cleanup(target.Close)
			e := egressOf(t, owners, clock, target, nil)
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
		e.ServeStream(context.Background(), seampeer.Peer{}, oldConn{far})
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

// oldConn is a stream of a session that is a minute old.
type oldConn struct{ net.Conn }

func (oldConn) Age(time.Time) time.Duration { return time.Minute }

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
	nameless := head(1)
	nameless.Id = nil
	for name, write := range map[string]func(c net.Conn){
		"nothing": func(net.Conn) {},
		"noise":   func(c net.Conn) { _, _ = c.Write([]byte("GET / HTTP/1.1\r\n\r\n")) },
		"other":   func(c net.Conn) { _ = seamframe.Write(c, seamframe.AnswerEnd, &seamroutewire.AnswerEnd{}) },
		"half":    func(c net.Conn) { _, _ = c.Write([]byte{0x0a, 40, 1, 2, 3}) },
		"short":   func(c net.Conn) { send(c, short) },
		"no id":   func(c net.Conn) { send(c, nameless) },
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

// movable grants every slot until it moves to another owner.
type movable struct {
	granting
	mu      sync.Mutex
	moved   bool
	changed chan struct{}
}

func (m *movable) Acquire(ctx context.Context, id seamslot.ID) (seamgrant.Grant, func(), error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.moved {
		return seamgrant.Grant{}, nil, &seamgrant.NotOwnerError{Slot: id, Owner: "10.0.0.9:1", Moving: true}
	}
	return m.granting.Acquire(ctx, id)
}

func (m *movable) Held(seamslot.ID, uint64) (seamclock.Instant, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clock.Now().Add(m.life), !m.moved
}

func (m *movable) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

func (m *movable) move() {
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
	owners := &movable{granting: granting{clock, time.Minute}, changed: make(chan struct{})}
	e := egressOf(t, owners, clock, target, []string{seamtarget.CanFence})
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
		t.Errorf("sent to %q", got.Owner.Address)
	}
	close(end)
	<-ends
	<-ends
}
