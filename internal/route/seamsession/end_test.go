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

// mute takes streams and answers nothing.
type mute struct{}

func (mute) ServeStream(_ context.Context, _ seampeer.Peer, conn net.Conn) {
	_, _ = io.Copy(io.Discard, conn)
}

// slowConn is a connection whose end takes a while, during which other goroutines run.
type slowConn struct {
	*net.TCPConn
}

// Close lets others run before it closes the connection.
func (c slowConn) Close() error {
	runtime.Gosched()
	return c.TCPConn.Close()
}

// slowListener keeps the connections that it accepts, so that a test can break them.
type slowListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*net.TCPConn
}

// Accept keeps the connection.
func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	tcp := c.(*net.TCPConn)
	l.conns = append(l.conns, tcp)
	return slowConn{tcp}, nil
}

// each calls f with each connection.
func (l *slowListener) each(f func(c *net.TCPConn)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		f(c)
	}
}

func closeWrite(c *net.TCPConn) { _ = c.CloseWrite() }

// await opens streams to a peer, on which an answer is awaited until they end.
func await(t *testing.T, from, to *member, streams int) *sync.WaitGroup {
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
				t.Error("an answer came")
			}
		})
	}
	return waiting
}

// TestEndOfASessionDoesNotKeepItsStreamsBusy checks that streams that wait for an answer end without
// trying again and again while their session ends. With one processor each of them would keep it until it is
// preempted. A stream that tries again allocates a timer.
func TestClosingSessionDoesNotSpinStreams(t *testing.T) {
	const streams, perStream = 60, 400
	tests := []struct {
		name string
		end  func(asked, asking *member, l *slowListener)
	}{
		{"the pool closes", func(_, asking *member, _ *slowListener) { asking.close() }},
		{"the peer closes", func(asked, _ *member, _ *slowListener) { asked.close() }},
		{"writing fails first", func(asked, asking *member, l *slowListener) {
			l.each(closeWrite)
			_, _ = asking.pool.Open(context.Background(), asked.peer, seamsession.Rules)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			l := &slowListener{Listener: inner}
			asked, asking := newMember(t, "asked", seamsession.Config{}), newMember(t, "asking", seamsession.Config{Listener: l})
			if _, err := asked.say(t, asking.peer, "session"); err != nil {
				t.Fatal(err)
			}
			asked.pool.Register(seamsession.Rules, mute{})
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
			waiting := await(t, asking, asked, streams)
			time.Sleep(20 * time.Millisecond) // all wait
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			tt.end(asked, asking, l)
			waiting.Wait()
			runtime.ReadMemStats(&after)
			if n := after.Mallocs - before.Mallocs; n > streams*perStream {
				t.Errorf("%d allocations while %d streams ended", n, streams)
			}
		})
	}
}
