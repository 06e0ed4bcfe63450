package seamsession_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/route/seamsession"
)

// echoHandler writes the name of the requesting peer and then echoes what it reads.
type echoHandler struct{}

func (echoHandler) ServeStream(_ context.Context, from seampeer.Peer, conn net.Conn) {
	fmt.Fprint(conn, from.Name, " ")
	_, _ = io.Copy(conn, conn)
}

type testNode struct {
	pool   *seamsession.Pool
	peer   seampeer.Peer
	events *seamevent.Stream
	close  func()
}

func newTestNode(t testing.TB, name string, cfg seamsession.Config) *testNode {
	t.Helper()
	if cfg.Listener == nil {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		cfg.Listener = l
	}
	peer := seampeer.Peer{Name: name, Incarnation: 5, Address: cfg.Listener.Addr().String(), Region: "ost"}
	events := seamevent.NewStream(name)
	pool, closePool, err := seamsession.New(cfg, peer, metrics.NewSet(), events)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closePool)
	pool.Register(seamsession.Rules, echoHandler{})
	return &testNode{pool: pool, peer: peer, events: events, close: closePool}
}

// roundTrip sends text to a peer and returns the reply.
func (m *testNode) roundTrip(t testing.TB, to seampeer.Peer, text string) (string, error) {
	t.Helper()
	conn, err := m.pool.Open(t.Context(), to, seamsession.Rules)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(conn, text); err != nil {
		return "", err
	}
	reply := make([]byte, len(m.peer.Name)+1+len(text))
	_, err = io.ReadFull(conn, reply)
	return string(reply), err
}

func TestStreamsInBothDirections(t *testing.T) {
	a, b := newTestNode(t, "a", seamsession.Config{}), newTestNode(t, "b", seamsession.Config{})
	for range 3 {
		if got, err := a.roundTrip(t, b.peer, "hello"); err != nil || got != "a hello" {
			t.Fatalf("got %q, %v", got, err)
		}
		if got, err := b.roundTrip(t, a.peer, "hello"); err != nil || got != "b hello" {
			t.Fatalf("got %q, %v", got, err)
		}
	}
}

func TestOpenRejectsOtherIncarnation(t *testing.T) {
	a, b := newTestNode(t, "a", seamsession.Config{}), newTestNode(t, "b", seamsession.Config{})
	older, other, anyRun, anyName := b.peer, b.peer, b.peer, b.peer
	older.Incarnation = 4
	other.Name = "c"
	anyRun.Incarnation = 0
	anyName.Name, anyName.Incarnation = "", 0
	for range 2 {
		for _, p := range []seampeer.Peer{older, other} {
			_, err := a.roundTrip(t, p, "x")
			var stale *seamsession.StalePeerError
			if !errors.As(err, &stale) || !stale.Got.Same(b.peer) || stale.Want != p {
				t.Errorf("opening to %v: %v", p, err)
			}
		}
		for _, p := range []seampeer.Peer{b.peer, anyRun, anyName} {
			if _, err := a.roundTrip(t, p, "x"); err != nil {
				t.Errorf("opening to %v: %v", p, err)
			}
		}
	}
}

func TestDeadPeerFailsFastAndBacksOff(t *testing.T) {
	a, b := newTestNode(t, "a", seamsession.Config{}), newTestNode(t, "b", seamsession.Config{})
	if _, err := a.roundTrip(t, b.peer, "x"); err != nil {
		t.Fatal(err)
	}
	b.close()
	start := time.Now()
	var unreachable *seamsession.UnreachableError
	for i := range 3 {
		_, err := a.roundTrip(t, b.peer, "x")
		if i > 0 && (!errors.As(err, &unreachable) || unreachable.RetryAfter <= 0) {
			t.Errorf("attempt %d: %v", i, err)
		}
	}
	if d := time.Since(start); d > time.Second {
		t.Errorf("three attempts took %v", d)
	}
}

func TestDialTimesOutOnUnresponsivePeer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	a := newTestNode(t, "a", seamsession.Config{DialTimeout: 100 * time.Millisecond})
	start := time.Now()
	_, err = a.roundTrip(t, seampeer.Peer{Name: "unresponsive", Address: l.Addr().String()}, "x")
	var unreachable *seamsession.UnreachableError
	if !errors.As(err, &unreachable) || time.Since(start) > time.Second {
		t.Errorf("%v after %v", err, time.Since(start))
	}
}

func TestIdleSessionIsClosedAndReopened(t *testing.T) {
	a := newTestNode(t, "a", seamsession.Config{IdleTimeout: 40 * time.Millisecond})
	b := newTestNode(t, "b", seamsession.Config{})
	for range 2 {
		if _, err := a.roundTrip(t, b.peer, "x"); err != nil {
			t.Fatal(err)
		}
		waitFor(t, func() bool { return a.pool.Len() == 0 && b.pool.Len() == 0 })
	}
}

func waitFor(t *testing.T, f func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatal("timeout")
}

// fixedRelay selects the same relay for every peer.
type fixedRelay struct{ peer seampeer.Peer }

func (r *fixedRelay) Relays(seampeer.Peer) []seampeer.Peer { return []seampeer.Peer{r.peer} }

func TestFullPoolOpensThroughRelay(t *testing.T) {
	relay := &fixedRelay{}
	a := newTestNode(t, "a", seamsession.Config{MaxSessions: 1, Relays: relay})
	b, c := newTestNode(t, "b", seamsession.Config{}), newTestNode(t, "c", seamsession.Config{})
	relay.peer = b.peer
	busy, err := a.pool.Open(t.Context(), b.peer, seamsession.Rules)
	if err != nil {
		t.Fatal(err)
	}
	defer busy.Close()
	if got, err := a.roundTrip(t, c.peer, "x"); err != nil || got != "b x" {
		t.Errorf("through the relay: %q, %v", got, err)
	}
	stale := c.peer
	stale.Incarnation = 4
	_, err = a.roundTrip(t, stale, "x")
	var wrong *seamsession.StalePeerError
	if !errors.As(err, &wrong) || !wrong.Got.Same(c.peer) {
		t.Errorf("to another incarnation through the relay: %v", err)
	}
}

func TestFullPoolClosesLongestIdleSession(t *testing.T) {
	a := newTestNode(t, "a", seamsession.Config{MaxSessions: 2})
	for i := range 4 {
		b := newTestNode(t, fmt.Sprint("b", i), seamsession.Config{})
		waitFor(t, func() bool {
			_, err := a.roundTrip(t, b.peer, "x")
			return err == nil
		})
		if n := a.pool.Len(); n > 2 {
			t.Errorf("%d sessions", n)
		}
	}
}

func TestBlockedStreamDoesNotDelayOthers(t *testing.T) {
	a, b := newTestNode(t, "a", seamsession.Config{}), newTestNode(t, "b", seamsession.Config{})
	slow, err := a.pool.Open(t.Context(), b.peer, seamsession.Rules)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	go func() {
		// The echo is never read, so the stream's windows fill up in both directions.
		_, _ = slow.Write(make([]byte, 4<<20))
	}()
	time.Sleep(50 * time.Millisecond)
	start := time.Now()
	for range 20 {
		if _, err := a.roundTrip(t, b.peer, "quick"); err != nil {
			t.Fatal(err)
		}
	}
	if d := time.Since(start); d > 2*time.Second {
		t.Errorf("20 short streams next to a blocked one took %v", d)
	}
}

// BenchmarkSessionMemory reports the memory that one idle session uses, both ends added up.
func BenchmarkSessionMemory(b *testing.B) {
	hub := newTestNode(b, "hub", seamsession.Config{MaxSessions: 1 << 20, IdleTimeout: time.Hour})
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapInuse + m.StackInuse
	}
	const sessions = 200
	var before uint64
	members := make([]*testNode, sessions)
	for i := range members {
		members[i] = newTestNode(b, fmt.Sprint("m", i), seamsession.Config{})
	}
	before = heap()
	for _, m := range members {
		if _, err := hub.roundTrip(b, m.peer, "x"); err != nil {
			b.Fatal(err)
		}
	}
	time.Sleep(100 * time.Millisecond)
	each := float64(heap()-before) / sessions / 1024
	for b.Loop() {
		if _, err := hub.roundTrip(b, members[0].peer, "x"); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(each, "KB/session-pair")
}
