package seamingress_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seamheader"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seampick"
	"cardamomseam/internal/route/seamsession"
)

// detour names one relay for every node.
type detour struct{ peer seampeer.Peer }

func (d *detour) Relays(seampeer.Peer) []seampeer.Peer { return []seampeer.Peer{d.peer} }

// relayed returns a node whose only session leads to the relay, and the relay.
func relayed(t *testing.T, handler http.HandlerFunc) (front, relay *node) {
	t.Helper()
	way := &detour{}
	back := newNode(t, "back", handler)
	relay = newNode(t, "relay", nil)
	front = newNodeWith(t, "front", nil, seamsession.Config{MaxSessions: 1, Relays: way})
	front.directory.candidates = []seampick.Candidate{{Peer: back.peer, Slots: 32}}
	way.peer = relay.peer
	var busy net.Conn
	busy, err := front.pool.Open(t.Context(), relay.peer, seamsession.Void)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { busy.Close() })
	return front, relay
}

func TestRequestTravelsThroughRelay(t *testing.T) {
	front, _ := relayed(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})
	for _, size := range []int{0, 1, 30_000, 500_000} {
		body := strings.Repeat("x", size)
		r, _ := http.NewRequest(http.MethodPost, front.url("/book"), strings.NewReader(body))
		got := do(t, r)
		got.expect(t, 200, seamoutcome.Done, "")
		if got.body != body || got.header.Get(seamheader.Server) != "back" {
			t.Errorf("%d bytes: answer of %d bytes from %q", size, len(got.body), got.header.Get(seamheader.Server))
		}
	}
	if n := front.pool.Len(); n != 1 {
		t.Errorf("%d sessions", n)
	}
}

// TestRelayIsLostWithARequest loses the relay when the request runs: nothing can tell the
// caller's node how it ended, and nothing runs it again.
func TestRelayIsLostWithARequest(t *testing.T) {
	runs := make(chan struct{}, 8)
	lost := make(chan struct{})
	front, relay := relayed(t, func(_ http.ResponseWriter, r *http.Request) {
		runs <- struct{}{}
		<-lost
		_, _ = io.Copy(io.Discard, r.Body)
	})
	go func() {
		<-runs
		relay.closePool()
		close(lost)
	}()
	r, _ := http.NewRequest(http.MethodPost, front.url("/book"), strings.NewReader("x"))
	got := do(t, r)
	if o := got.header.Get(seamheader.Outcome); o != string(seamoutcome.Unknown) {
		t.Errorf("outcome %q, status %d", o, got.status)
	}
	if len(runs) != 0 {
		t.Errorf("ran %d times more", len(runs))
	}
}
