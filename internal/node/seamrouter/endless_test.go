package seamrouter_test

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cardamomseam/internal/stand/seamstandheap"
)

const (
	// endlessConns is the number of connections on which a faulty far end sends bytes at once.
	endlessConns = 64
	// endlessFor is the time for which it sends.
	endlessFor = 300 * time.Millisecond
)

// endlessRequests maps what a faulty far end sends to the start of its bytes and to those that follow again and again.
var endlessRequests = map[string]struct{ start, unit string }{
	"no request":     {"", "\x00\xff"},
	"a request line": {"GET /", "x"},
	"a header value": {"GET /report/x HTTP/1.1\r\nHost: visits.example\r\nX: ", "x"},
	"headers":        {"GET /report/x HTTP/1.1\r\nHost: visits.example\r\n", "X: x\r\n"},
	"requests":       {"", "GET /nothing HTTP/1.1\r\nHost: visits.example\r\n\r\n"},
	"a body":         {"POST /book/x HTTP/1.1\r\nHost: visits.example\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
	"a chunk":        {"POST /book/x HTTP/1.1\r\nHost: visits.example\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff\r\n", "x"},
	"an extension":   {"POST /book/x HTTP/1.1\r\nHost: visits.example\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x"},
	"trailers":       {"POST /book/x HTTP/1.1\r\nHost: visits.example\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: x\r\n"},
}

// sendEndlessly sends start and then unit on connections to the address, and connects again when one is closed, for endlessFor. It
// reads nothing.
func sendEndlessly(address, start, unit string) {
	const block = 16 << 10
	endless := []byte(strings.Repeat(unit, block/len(unit)))
	end := time.Now().Add(endlessFor)
	var sending sync.WaitGroup
	for range endlessConns {
		sending.Go(func() {
			for time.Now().Before(end) {
				c, err := net.Dial("tcp", address)
				if err != nil {
					return
				}
				_ = c.SetDeadline(end)
				_, err = c.Write([]byte(start))
				for err == nil {
					_, err = c.Write(endless)
				}
				c.Close()
			}
		})
	}
	sending.Wait()
}

// TestEndlessBytesTakeLittleMemoryAndLeaveOthersServed guards against bytes without end at any address of a node, which fill its memory or
// end the requests of others.
func TestEndlessBytesTakeLittleMemoryAndLeaveOthersServed(t *testing.T) {
	f := newFleet(t, plainService, plainService)
	n := f.nodes[0]
	f.await("service", func() bool {
		a, err := f.send(n, http.MethodGet, "/report/x", "")
		return err == nil && a.status == http.StatusOK
	})
	var calm seamstandheap.Size
	f.checkServed(n, func() { calm = seamstandheap.Peak(func() { time.Sleep(endlessFor) }) })
	t.Logf("calm: %d KiB kept, heap of %d KiB", calm.Kept>>10, calm.All>>10)
	for place, address := range map[string]string{
		"callers": n.settings.Ingress, "announcements": n.settings.Announce, "health": n.settings.Health, "operators": n.settings.Metrics,
		"peers": n.settings.Listen,
	} {
		for name, far := range endlessRequests {
			t.Run(place+"/"+name, func(t *testing.T) {
				var peak seamstandheap.Size
				f.checkServed(n, func() { peak = seamstandheap.Peak(func() { sendEndlessly(address, far.start, far.unit) }) })
				t.Logf("%d KiB kept, heap of %d KiB", peak.Kept>>10, peak.All>>10)
				if peak.Exceeds(calm) {
					t.Errorf("%d connections took %+v bytes, want at most %d kept and a heap of %d, and %+v of calm", endlessConns, peak, seamstandheap.MaxKept, seamstandheap.MaxHeap, calm)
				}
			})
		}
	}
}

// checkServed sends requests to a node while during runs, and fails if one of them is not served.
func (f *fleet) checkServed(n *node, during func()) {
	f.t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		during()
	}()
	for sent := 0; ; sent++ {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if a, err := f.send(n, http.MethodGet, "/report/x", ""); err != nil || a.status != http.StatusOK {
			f.t.Errorf("request %d got %+v, error %v", sent, a, err)
		}
	}
}
