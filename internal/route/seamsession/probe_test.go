package seamsession_test

import (
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seamsession"
)

const (
	// probeAnswer is the time without an answer to a probe after which a session is given up.
	probeAnswer = time.Second
	// quiet is the time between two bytes, in which a probe is sent.
	quiet = 400 * time.Millisecond
)

// unansweringListener accepts connections on which answers to probes are lost.
type unansweringListener struct{ net.Listener }

// Accept returns such a connection.
func (l unansweringListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return unanswering{c.(*net.TCPConn)}, nil
}

// unanswering is a connection that loses answers to probes.
type unanswering struct{ *net.TCPConn }

// Write drops the answers to probes, which are headers of their own.
func (c unanswering) Write(p []byte) (int, error) {
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

// trickle sends a byte from time to time.
type trickle struct{}

// ServeStream sends until the stream ends.
func (trickle) ServeStream(_ context.Context, _ seampeer.Peer, conn net.Conn) {
	for {
		if _, err := conn.Write([]byte("x")); err != nil {
			return
		}
		time.Sleep(quiet)
	}
}

// A peer behind a small link answers a probe late, after all that was sent before. As long as something of it
// arrives, it lives, and its session is not given up.
func TestSessionSurvivesWhileBytesArrive(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := newMember(t, "a", seamsession.Config{LazyProbes: true, ProbeTimeout: probeAnswer})
	b := newMember(t, "b", seamsession.Config{Listener: unansweringListener{l}, KeepaliveInterval: time.Hour})
	b.pool.Register(seamsession.Rules, trickle{})
	conn, err := a.pool.Open(t.Context(), b.peer, seamsession.Rules)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(time.Minute))
	for range 4 * int(probeAnswer/quiet) {
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			t.Fatalf("the session ended: %v", err)
		}
	}
}
