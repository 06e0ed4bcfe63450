package seamingress_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/platform/seamguard"
	"cardamomseam/internal/route/seamingress"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seampick"
	"cardamomseam/internal/route/seamsession"
)

// TestUnreadBodyOfARefusedRequestEndsItsConnection guards against callers that stop within the body of a request which was refused before its
// body was read, and keep their connections for good.
func TestUnreadBodyOfARefusedRequestEndsItsConnection(t *testing.T) {
	n := newNode(t, "one", nil)
	n.rules.err = keyError{}
	c := connect(t, n)
	fmt.Fprint(c, "POST /x HTTP/1.1\r\nHost: x\r\nSeam-Service: booker\r\nContent-Length: 100\r\n\r\nx")
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if got, err := io.ReadAll(c); err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 400 ") {
		t.Errorf("the caller got %q, %v, want a refusal and the end of the connection", got, err)
	}
}

// TestRequestBeyondTheMemoryIsRefused guards against a request that is run, or read, although the budget has no room for it, and against a
// budget that is not returned.
func TestRequestBeyondTheMemoryIsRefused(t *testing.T) {
	ran := 0
	g := seamguard.New(1, metrics.NewSet(), nil)
	n := startNode(t, "one", func(w http.ResponseWriter, _ *http.Request) {
		ran++
		fmt.Fprint(w, "room")
	}, seamsession.Config{}, seamingress.Config{Guard: g})
	n.directory.candidates = []seampick.Candidate{{Peer: n.peer, Slots: 32}}
	post := func(size int) result {
		r, _ := http.NewRequest(http.MethodPost, n.url("/photo"), strings.NewReader(strings.Repeat("x", size)))
		r.Close = true
		return do(t, r)
	}
	for _, size := range []int{10, 20_000, 100_000} {
		post(size).expect(t, http.StatusOK, seamoutcome.Done, "")
	}
	awaitReserved(t, g, 0)
	const left = 60 << 10 // enough for a connection and the head of a request
	taken := int64(8<<20 - left)
	g.Reserve(time.Now(), seamguard.Bodies, taken)
	before := ran
	post(20_000).expect(t, http.StatusServiceUnavailable, seamoutcome.Refused, seamoutcome.Memory)
	// The connection is closed while the caller still sends a longer body, so that it may not see the answer.
	if got := post(100_000); got.err == nil {
		got.expect(t, http.StatusServiceUnavailable, seamoutcome.Refused, seamoutcome.Memory)
	}
	if ran != before {
		t.Error("a refused request has run")
	}
	g.Release(taken)
	post(100_000).expect(t, http.StatusOK, seamoutcome.Done, "")
	awaitReserved(t, g, 0)
}

// awaitReserved waits until n bytes are reserved.
func awaitReserved(t *testing.T, g *seamguard.Guard, n int64) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); g.Reserved() != n; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are reserved, want %d", g.Reserved(), n)
		}
	}
}
