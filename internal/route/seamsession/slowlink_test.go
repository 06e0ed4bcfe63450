package seamsession_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cardamomseam/internal/route/seamsession"
)

// slowListener accepts connections over which bytesPerSecond arrive.
type slowListener struct {
	net.Listener
	bytesPerSecond int
}

// Accept returns a slowConn.
func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp := c.(*net.TCPConn)
	return &slowConn{TCPConn: tcp, bytesPerSecond: l.bytesPerSecond}, tcp.SetReadBuffer(64 << 10)
}

// slowConn is a connection over which bytesPerSecond arrive.
type slowConn struct {
	*net.TCPConn
	bytesPerSecond int
}

// Read reads as many bytes as arrive in the time that it takes.
func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p[:min(len(p), 16<<10)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(c.bytesPerSecond))
	return n, err
}

func TestSlowLinkCutsNoStreamWhileBytesArrive(t *testing.T) {
	const (
		streams     = 40
		streamBytes = 200 << 10
	)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := newTestNode(t, "a", seamsession.Config{LazyProbes: true, ProbeTimeout: time.Second})
	b := newTestNode(t, "b", seamsession.Config{Listener: slowListener{l, 2 << 20}, LazyProbes: true, ProbeTimeout: time.Second})
	b.pool.Register(seamsession.Request, discardHandler{})
	var sending sync.WaitGroup
	var failed atomic.Int32
	start := time.Now()
	for range streams {
		sending.Go(func() {
			conn, err := a.pool.Open(t.Context(), b.peer, seamsession.Request)
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			if _, err := conn.Write(make([]byte, streamBytes)); err != nil && failed.Add(1) == 1 {
				t.Errorf("a stream was cut after %v while bytes arrived over a slow link: %v; the caller of its request gets 502", time.Since(start).Round(time.Millisecond), err)
			}
		})
	}
	sending.Wait()
	if n := failed.Load(); n > 0 {
		t.Errorf("%d of %d streams were cut", n, streams)
	}
}

// Writes over a slow link that can't end in time end with their deadline, and leave the session to the others.
func TestWritesOverASlowLinkEndWithTheirDeadline(t *testing.T) {
	const (
		streams     = 40
		streamBytes = 200 << 10
		timeout     = 500 * time.Millisecond
		// slack is how long after its deadline a write may end.
		slack = 200 * time.Millisecond
	)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := newTestNode(t, "a", seamsession.Config{LazyProbes: true, ProbeTimeout: time.Second})
	b := newTestNode(t, "b", seamsession.Config{Listener: slowListener{l, 2 << 20}, LazyProbes: true, ProbeTimeout: time.Second})
	b.pool.Register(seamsession.Request, discardHandler{})
	var sending sync.WaitGroup
	var late, cancelled, whole atomic.Int32
	for i := range streams {
		sending.Go(func() {
			conn, err := a.pool.Open(t.Context(), b.peer, seamsession.Request)
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			start := time.Now()
			switch i % 4 {
			case 0: // waits as long as it takes
			case 1: // is canceled while it waits
				time.AfterFunc(timeout, func() { conn.SetDeadline(time.Unix(1, 0)) })
			default:
				conn.SetDeadline(start.Add(timeout))
			}
			_, err = conn.Write(make([]byte, streamBytes))
			switch took := time.Since(start); {
			case err == nil:
				whole.Add(1)
			case i%4 == 0:
				t.Errorf("a write without a deadline ended after %v: %v", took, err)
			case took > timeout+slack:
				late.Add(1)
			default:
				cancelled.Add(1)
			}
		})
	}
	sending.Wait()
	if late.Load() > 0 || cancelled.Load() == 0 || whole.Load() < streams/4 {
		t.Errorf("%d writes ended late, %d with their deadline, %d were whole", late.Load(), cancelled.Load(), whole.Load())
	}
}
