package seamrouter_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"cardamomseam/internal/route/seamroutewire"
)

// newStoppingFleet starts a fleet with two nodes of a service, of which one will stop, and a node of another service through
// which callers enter.
func newStoppingFleet(t *testing.T) (f *fleet, stopping, entry *node) {
	t.Helper()
	f = newFleet(t, plainService, plainService, keyedService)
	stopping, entry = f.nodes[0], f.nodes[2]
	for _, n := range f.nodes[:2] {
		f.await("requests at "+n.target.name, func() bool {
			a, err := f.send(entry, http.MethodPost, "/book/1", "")
			return err == nil && a.body == n.target.name
		})
	}
	f.await("requests through the node that will stop", func() bool {
		a, err := f.send(stopping, http.MethodPost, "/book/1", "")
		return err == nil && a.status == http.StatusOK
	})
	return f, stopping, entry
}

// keepBusy sends a request of a caller of the node, which keeps the node from ending its stop early, and returns when a target
// runs it.
func (f *fleet) keepBusy(callers *sync.WaitGroup, n *node, work string) {
	f.t.Helper()
	runs := func() int { return f.nodes[0].target.runCount() + f.nodes[1].target.runCount() }
	before := runs()
	callers.Go(func() { _, _ = f.send(n, http.MethodPost, "/book/own?work="+work, "") })
	f.await("the caller's request", func() bool { return runs() > before })
}

func TestStoppingNodeStartsNoRequestThatItsStopWouldCut(t *testing.T) {
	f, stopping, entry := newStoppingFleet(t)
	var callers sync.WaitGroup
	f.keepBusy(&callers, stopping, "1800ms")
	ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
	defer cancel()
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		_ = stopping.Drain(ctx) // returns an error if requests are in flight at its end; the callers report that
		stopping.stop()
	}()
	time.Sleep(500 * time.Millisecond)
	for range 7 {
		callers.Go(func() {
			a, err := f.send(entry, http.MethodPost, "/book/2?work=2600ms", "")
			if err != nil || a.status != http.StatusOK {
				t.Errorf("a request sent to a running node while another node stops: status %d, %q, %v; want 200", a.status, a.body, err)
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	callers.Wait()
	<-drained
}

func TestStopAtItsLimitStillLetsPeersLeaveItsSessions(t *testing.T) {
	f, stopping, _ := newStoppingFleet(t)
	distant := dialAsPeer(t, stopping)
	defer distant.Close()
	var callers sync.WaitGroup
	defer callers.Wait()
	f.keepBusy(&callers, stopping, "2s")
	const limit = 1100 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	started := time.Now()
	_ = stopping.Drain(ctx) // returns an error if the caller's request is in flight at its end
	if left := time.Since(started) - limit; left < 100*time.Millisecond {
		t.Errorf("the node waited %v for a peer that has not confirmed that it sends no more; requests on their way are lost", left)
	}
}

// dialAsPeer opens a session to the node as a peer whose answers take long.
func dialAsPeer(t *testing.T, n *node) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", n.settings.Listen)
	if err != nil {
		t.Fatal(err)
	}
	self := &seamroutewire.Peer{Name: "distant", Incarnation: 1, Address: "127.0.0.1:1"}
	if _, err := protodelim.MarshalTo(conn, &seamroutewire.Hello{Self: self}); err != nil {
		t.Fatal(err)
	}
	if err := protodelim.UnmarshalFrom(bufio.NewReader(conn), new(seamroutewire.Hello)); err != nil {
		t.Fatal(err)
	}
	return conn
}
