package seamsession_test

import (
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/route/seamsession"
)

const (
	// probeTimeout is the time without a pong after which a session is closed.
	probeTimeout = time.Second
	// trickleInterval is the time between two bytes; it is long enough for a probe to be sent.
	trickleInterval = 400 * time.Millisecond
)

// pongDroppingListener accepts connections that drop outgoing pongs.
type pongDroppingListener struct{ net.Listener }

// Accept returns a pongDroppingConn.
func (l pongDroppingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return pongDroppingConn{c.(*net.TCPConn)}, nil
}

// pongDroppingConn is a connection that drops outgoing pongs.
type pongDroppingConn struct{ *net.TCPConn }

// Write drops pongs, each of which is a single header without a body.
func (c pongDroppingConn) Write(p []byte) (int, error) {
	const (
		headerSize = 12
		pingType   = 2
		answerFlag = 2
	)
	if len(p) == headerSize && p[1] == pingType && binary.BigEndian.Uint16(p[2:])&answerFlag != 0 {
		return len(p), nil
	}
	return c.TCPConn.Write(p)
}

// trickleHandler sends one byte every trickleInterval.
type trickleHandler struct{}

// ServeStream sends until the stream ends.
func (trickleHandler) ServeStream(_ context.Context, _ seampeer.Peer, conn net.Conn) {
	for {
		if _, err := conn.Write([]byte("x")); err != nil {
			return
		}
		time.Sleep(trickleInterval)
	}
}

// TestSessionSurvivesWhileBytesArrive checks that a session is not closed while bytes arrive from the peer, even if
// its pongs do not. Over a slow link, a pong arrives late, after all data sent before it.
func TestSessionSurvivesWhileBytesArrive(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := newTestNode(t, "a", seamsession.Config{LazyProbes: true, ProbeTimeout: probeTimeout})
	b := newTestNode(t, "b", seamsession.Config{Listener: pongDroppingListener{l}, KeepaliveInterval: time.Hour})
	b.pool.Register(seamsession.Rules, trickleHandler{})
	conn, err := a.pool.Open(t.Context(), b.peer, seamsession.Rules)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(time.Minute))
	for range 4 * int(probeTimeout/trickleInterval) {
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			t.Fatalf("the session ended: %v", err)
		}
	}
}

func TestSessionClosedAsSilentIsLogged(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := newTestNode(t, "a", seamsession.Config{LazyProbes: true, ProbeTimeout: 100 * time.Millisecond})
	b := newTestNode(t, "b", seamsession.Config{Listener: pongDroppingListener{l}, KeepaliveInterval: time.Hour})
	conn, err := a.pool.Open(t.Context(), b.peer, seamsession.Rules)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Minute))
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Fatal("the silent session was not closed")
	}
	recent := a.events.Recent()
	if len(recent) != 1 || recent[0].Name != seamevent.PeerDown || recent[0].Fields["call"] != "probe" || recent[0].Fields["streams"] != 1 {
		t.Errorf("got events %+v, want one of the failed probe with one stream", recent)
	}
}
