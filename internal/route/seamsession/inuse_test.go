package seamsession_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seamsession"
)

// slowHandler answers a byte with a byte after the time that a request takes.
type slowHandler struct{}

const slowAnswer = 2500 * time.Millisecond

// ServeStream answers until the stream ends.
func (slowHandler) ServeStream(_ context.Context, _ seampeer.Peer, conn net.Conn) {
	for one := make([]byte, 1); ; {
		if _, err := io.ReadFull(conn, one); err != nil {
			return
		}
		time.Sleep(slowAnswer)
		if _, err := conn.Write(one); err != nil {
			return
		}
	}
}

// Any reason to give a session up leaves it open for the requests that run, at both of its ends.
func TestSessionIsNotClosedWhileARequestRuns(t *testing.T) {
	for _, tt := range []struct {
		name         string
		near, far    seamsession.Config
		duringTheRun func(t *testing.T, near, far *testNode)
	}{
		{"too old at its opener", seamsession.Config{MaxAge: 50 * time.Millisecond, IdleTimeout: 40 * time.Millisecond}, seamsession.Config{}, nil},
		{"too old at its accepter", seamsession.Config{}, seamsession.Config{MaxAge: 50 * time.Millisecond, IdleTimeout: 40 * time.Millisecond}, nil},
		{"full pool at its opener", seamsession.Config{MaxSessions: 1}, seamsession.Config{}, func(t *testing.T, near, _ *testNode) {
			other := newTestNode(t, "other", seamsession.Config{})
			if _, err := near.pool.Open(t.Context(), other.peer, seamsession.Rules); err == nil {
				t.Error("a session was opened beyond the limit")
			}
		}},
		{"full pool at its accepter", seamsession.Config{}, seamsession.Config{MaxSessions: 1}, func(t *testing.T, _, far *testNode) {
			other := newTestNode(t, "other", seamsession.Config{})
			if _, err := other.pool.Open(t.Context(), far.peer, seamsession.Rules); err == nil {
				t.Error("a session was accepted beyond the limit")
			}
		}},
		{"its opener leaves", seamsession.Config{IdleTimeout: 40 * time.Millisecond}, seamsession.Config{IdleTimeout: 40 * time.Millisecond}, func(t *testing.T, near, _ *testNode) {
			go near.pool.Shutdown(t.Context())
		}},
		{"its accepter leaves", seamsession.Config{IdleTimeout: 40 * time.Millisecond}, seamsession.Config{IdleTimeout: 40 * time.Millisecond}, func(t *testing.T, _, far *testNode) {
			go far.pool.Shutdown(t.Context())
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			near, far := newTestNode(t, "near", tt.near), newTestNode(t, "far", tt.far)
			far.pool.Register(seamsession.Request, slowHandler{})
			conn, err := near.pool.Open(t.Context(), far.peer, seamsession.Request)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := conn.Write([]byte("x")); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
			if tt.duringTheRun != nil {
				tt.duringTheRun(t, near, far)
			}
			conn.SetDeadline(time.Now().Add(2 * slowAnswer))
			if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
				t.Errorf("the session was closed during a request: %v; its caller gets 502", err)
			}
		})
	}
}
