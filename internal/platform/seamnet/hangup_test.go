package seamnet_test

import (
	"net"
	"testing"
	"time"

	"cardamomseam/internal/platform/seamnet"
)

// connPair returns both ends of a connection.
func connPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialed, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = dialed.Close()
		_ = accepted.Close()
	})
	return accepted.(*net.TCPConn), dialed.(*net.TCPConn)
}

func TestHangupsAreNoticed(t *testing.T) {
	const connections = 200
	for name, hangUp := range map[string]func(c *net.TCPConn){
		"close":      func(c *net.TCPConn) { _ = c.Close() },
		"half close": func(c *net.TCPConn) { _ = c.CloseWrite() },
		"reset": func(c *net.TCPConn) {
			_ = c.SetLinger(0)
			_ = c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			h, release, err := seamnet.NewHangups()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(release)
			noticed := make(chan int, connections)
			var near, far [connections]*net.TCPConn
			for i := range connections {
				near[i], far[i] = connPair(t)
				h.Watch(near[i], func() { noticed <- i })
				if _, err := far[i].Write([]byte("unread")); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(20 * time.Millisecond)
			if len(noticed) > 0 || seamnet.HungUp(near[0]) {
				t.Fatal("a connection counts as closed while it is open")
			}
			for i, c := range far {
				if i != 0 {
					hangUp(c)
				}
			}
			seen := map[int]bool{}
			for range connections - 1 {
				select {
				case i := <-noticed:
					seen[i] = true
				case <-time.After(2 * time.Second):
					t.Fatalf("%d of %d were noticed", len(seen), connections-1)
				}
			}
			if seen[0] || len(seen) != connections-1 {
				t.Errorf("%d of %d were noticed; the open one: %v", len(seen), connections-1, seen[0])
			}
			if !seamnet.HungUp(near[1]) {
				t.Error("a closed connection counts as open")
			}
		})
	}
}

func TestForgottenConnectionsAreNotReported(t *testing.T) {
	h, release, err := seamnet.NewHangups()
	if err != nil {
		t.Fatal(err)
	}
	near, far := connPair(t)
	noticed := make(chan struct{}, 1)
	h.Watch(near, func() { noticed <- struct{}{} })()
	_ = far.Close()
	time.Sleep(20 * time.Millisecond)
	release()
	if len(noticed) > 0 {
		t.Error("a forgotten connection was reported")
	}
}

func TestQueueLengths(t *testing.T) {
	near, far := connPair(t)
	if _, err := far.Write(make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	if got := seamnet.Unread(near); got != 100 {
		t.Errorf("%d bytes unread, want 100", got)
	}
	if got := seamnet.Unacknowledged(far); got != 0 {
		t.Errorf("%d bytes unacknowledged, want none", got)
	}
}
