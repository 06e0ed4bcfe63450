package seamingress_test

import (
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cardamomseam/internal/route/seamingress"
	"cardamomseam/internal/route/seampick"
)

// sendAndDisconnect sends a complete request to a listener that does not accept yet, and closes or resets the connection.
func sendAndDisconnect(t *testing.T, address string, reset bool) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, "GET /page HTTP/1.1\r\nHost: booker\r\nSeam-Service: booker\r\n\r\n")
	if reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	c.Close()
}

// TestRequestOfDisconnectedCallerIsNotForwarded simulates a process that was paused: it reads requests whose
// callers closed their connections in the meantime, and must not send them to the target.
func TestRequestOfDisconnectedCallerIsNotForwarded(t *testing.T) {
	const callers = 40
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprintf("reset=%v", reset), func(t *testing.T) {
			var ran atomic.Int64
			n := newNode(t, "one", func(http.ResponseWriter, *http.Request) { ran.Add(1) })
			n.directory.candidates = []seampick.Candidate{{Peer: n.peer, Slots: 32}}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			for range callers {
				sendAndDisconnect(t, l.Addr().String(), reset)
			}
			var handled atomic.Int64
			server := &http.Server{
				ConnContext: seamingress.WithConn,
				ErrorLog:    log.New(io.Discard, "", 0),
				Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					defer handled.Add(1)
					n.ingress.ServeHTTP(w, r)
				}),
			}
			go func() { _ = server.Serve(l) }()
			t.Cleanup(func() { _ = server.Close() })
			// A connection that was reset before it was accepted may yield no request to wait for.
			for deadline := time.Now().Add(2 * time.Second); !reset && handled.Load() < callers && time.Now().Before(deadline); {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(50 * time.Millisecond) // allows a forwarded request to reach the target
			if ran.Load() > 0 || n.egress.InFlight() > 0 {
				t.Errorf("requests of disconnected callers were forwarded; %d of %d ran", ran.Load(), callers)
			}
			if !reset && handled.Load() != callers {
				t.Errorf("%d of %d requests were handled", handled.Load(), callers)
			}
		})
	}
}
