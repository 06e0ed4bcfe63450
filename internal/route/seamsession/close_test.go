package seamsession_test

import (
	"context"
	"io"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seamsession"
)

// discardHandler reads streams to their end and sends nothing.
type discardHandler struct{}

func (discardHandler) ServeStream(_ context.Context, _ seampeer.Peer, conn net.Conn) {
	_, _ = io.Copy(io.Discard, conn)
}

// slowCloseConn is a connection whose Close lets other goroutines run first.
type slowCloseConn struct {
	*net.TCPConn
}

// Close yields the processor before it closes the connection.
func (c slowCloseConn) Close() error {
	runtime.Gosched()
	return c.TCPConn.Close()
}

// recordingListener records the connections that it accepts, so that a test can break them.
type recordingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*net.TCPConn
}

// Accept records the connection and returns it as a slowCloseConn.
func (l *recordingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	tcp := c.(*net.TCPConn)
	l.conns = append(l.conns, tcp)
	return slowCloseConn{tcp}, nil
}

// each calls f with each connection.
func (l *recordingListener) each(f func(c *net.TCPConn)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		f(c)
	}
}

func closeWrite(c *net.TCPConn) { _ = c.CloseWrite() }

// openWaitingStreams opens streams to a peer, on each of which a read blocks until the stream ends.
func openWaitingStreams(t *testing.T, from, to *testNode, streams int) *sync.WaitGroup {
	t.Helper()
	waiting := new(sync.WaitGroup)
	for range streams {
		conn, err := from.pool.Open(t.Context(), to.peer, seamsession.Rules)
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(time.Minute))
		if _, err := conn.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		waiting.Go(func() {
			if _, err := conn.Read(make([]byte, 1)); err == nil {
				t.Error("unexpected data")
			}
		})
	}
	return waiting
}

// TestClosingSessionDoesNotSpinStreams checks that streams blocked in a read do not retry in a busy loop while their
// session closes. With one processor, each of them would occupy it until it is preempted. Each retry allocates a
// timer, so the test counts allocations.
func TestClosingSessionDoesNotSpinStreams(t *testing.T) {
	const streams, perStream = 60, 400
	tests := []struct {
		name string
		end  func(server, client *testNode, l *recordingListener)
	}{
		{"the pool closes", func(_, client *testNode, _ *recordingListener) { client.close() }},
		{"the peer closes", func(server, _ *testNode, _ *recordingListener) { server.close() }},
		{"writing fails first", func(server, client *testNode, l *recordingListener) {
			l.each(closeWrite)
			_, _ = client.pool.Open(context.Background(), server.peer, seamsession.Rules)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			l := &recordingListener{Listener: inner}
			server, client := newTestNode(t, "server", seamsession.Config{}), newTestNode(t, "client", seamsession.Config{Listener: l})
			if _, err := server.roundTrip(t, client.peer, "session"); err != nil {
				t.Fatal(err)
			}
			server.pool.Register(seamsession.Rules, discardHandler{})
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
			waiting := openWaitingStreams(t, client, server, streams)
			time.Sleep(20 * time.Millisecond) // until all reads block
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			tt.end(server, client, l)
			waiting.Wait()
			runtime.ReadMemStats(&after)
			if n := after.Mallocs - before.Mallocs; n > streams*perStream {
				t.Errorf("%d allocations while %d streams ended", n, streams)
			}
		})
	}
}
