package seamingress_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seamheader"
	"cardamomseam/internal/route/seamingress"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seampick"
	"cardamomseam/internal/route/seamsession"
)

// fixedRelay selects the same relay for every node.
type fixedRelay struct{ peer seampeer.Peer }

func (d *fixedRelay) Relays(seampeer.Peer) []seampeer.Peer { return []seampeer.Peer{d.peer} }

// relayedPair returns a front node and the relay through which its requests reach the target's node. The front node may
// have one session, which it uses for the relay.
func relayedPair(t *testing.T, handler http.HandlerFunc) (front, relay *node) {
	t.Helper()
	return relayedPairIn(t, "ost", "ost", handler)
}

// relayedPairIn returns a front node and a relay as relayedPair does, with the relay and the target's node in the regions. The front
// node's directory has the target's node in the region ost.
func relayedPairIn(t *testing.T, relayRegion, targetRegion string, handler http.HandlerFunc) (front, relay *node) {
	t.Helper()
	route := &fixedRelay{}
	back := startNodeIn(t, targetRegion, "back", handler, seamsession.Config{}, seamingress.Config{})
	relay = startNodeIn(t, relayRegion, "relay", nil, seamsession.Config{}, seamingress.Config{})
	front = newNodeWith(t, "front", nil, seamsession.Config{MaxSessions: 1, Relays: route})
	front.directory.candidates = []seampick.Candidate{{Peer: back.peer, Slots: 32}}
	front.directory.candidates[0].Peer.Region = "ost"
	route.peer = relay.peer
	var busy net.Conn
	busy, err := front.pool.Open(t.Context(), relay.peer, seamsession.Void)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { busy.Close() })
	return front, relay
}

func TestRequestIsForwardedThroughRelay(t *testing.T) {
	front, _ := relayedPair(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})
	for _, size := range []int{0, 1, 30_000, 500_000} {
		body := strings.Repeat("x", size)
		r, _ := http.NewRequest(http.MethodPost, front.url("/book"), strings.NewReader(body))
		got := do(t, r)
		got.expect(t, 200, seamoutcome.Done, "")
		if got.body != body || got.header.Get(seamheader.Server) != "back" {
			t.Errorf("%d bytes: response of %d bytes from %q", size, len(got.body), got.header.Get(seamheader.Server))
		}
	}
	if n := front.pool.Len(); n != 1 {
		t.Errorf("%d sessions", n)
	}
}

// TestRelayLostDuringRequest stops the relay while the request runs: the caller's node can't learn how the
// request ended, so the outcome must be unknown and the request must not run again.
func TestRelayLostDuringRequest(t *testing.T) {
	runs := make(chan struct{}, 8)
	lost := make(chan struct{})
	front, relay := relayedPair(t, func(_ http.ResponseWriter, r *http.Request) {
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
		t.Errorf("the request ran %d more times", len(runs))
	}
}
