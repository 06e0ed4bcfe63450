package seamegress_test

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cardamomseam/internal/route/seamegress"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/stand/seamstandheap"
)

// endlessTarget answers its first request with start and then with unit again and again until the connection is closed. It
// answers later requests properly.
type endlessTarget struct {
	start, unit string
	requests    atomic.Int32
	// written is the number of bytes sent in answer to the first request.
	written atomic.Int64
	// closed is closed once the connection of the first request is.
	closed chan struct{}
}

func (s *endlessTarget) serveConn(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		if s.requests.Add(1) == 1 {
			s.writeEndlessly(c)
			close(s.closed)
			return
		}
		if _, err := c.Write([]byte(okResponse)); err != nil {
			return
		}
	}
}

// endlessBlock is the size of one write of an endless answer, in bytes.
const endlessBlock = 16 << 10

func (s *endlessTarget) writeEndlessly(c net.Conn) {
	block := []byte(strings.Repeat(s.unit, endlessBlock/len(s.unit)))
	n, err := c.Write([]byte(s.start))
	for err == nil {
		s.written.Add(int64(n))
		n, err = c.Write(block)
	}
}

func newEndlessTarget(t *testing.T, start, unit string) (*seamegress.Egress, *endlessTarget) {
	t.Helper()
	s := &endlessTarget{start: start, unit: unit, closed: make(chan struct{})}
	return newEgressAt(t, listen(t, s.serveConn), 1), s
}

// A target may send bytes that are no answer without end. The node stops reading after a bounded number of bytes, closes the
// connection, reports that the outcome is unknown, and serves the next request.
func TestEndlessBytesAreNotReadToTheirEnd(t *testing.T) {
	const (
		// deadline is the time that the caller allows.
		deadline = 20 * time.Second
		// endWithin bounds the time until the end is reported.
		endWithin = 5 * time.Second
		// maxRead bounds the bytes that the target can send, most of which are in the sockets' buffers.
		maxRead = 16 << 20
		chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	)
	for name, answer := range map[string]struct{ start, unit string }{
		"no answer":             {"", "\x00\xff"},
		"a status line":         {"HTTP/1.1 200 ", "x"},
		"empty lines":           {"", "\r\n"},
		"a header name":         {"HTTP/1.1 200 OK\r\n", "x"},
		"a header value":        {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"headers":               {"HTTP/1.1 200 OK\r\n", "X: x\r\n"},
		"interim responses":     {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"a chunk size":          {chunked, "0"},
		"a chunk extension":     {chunked + "4;", "x"},
		"small chunks' padding": {chunked, "1;xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\nx\r\n"},
		"a trailer":             {chunked + "0\r\nX: ", "x"},
		"trailers":              {chunked + "0\r\n", "X: x\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			e, s := newEndlessTarget(t, answer.start, answer.unit)
			first := request(1, http.MethodPost)
			first.Left = deadline.Milliseconds()
			started := time.Now()
			end := run(e, first)
			if took := time.Since(started); took > endWithin {
				t.Errorf("the request took %s, want at most %s", took, endWithin)
			}
			if end.Reason != seamoutcome.Broken {
				t.Errorf("reason %q (%s), want %q", end.Reason, end.Detail, seamoutcome.Broken)
			}
			expectClosed(t, s, endWithin)
			if n := s.written.Load(); n > maxRead {
				t.Errorf("the target could send %d bytes, want at most %d", n, maxRead)
			}
			if end := run(e, request(2, http.MethodPost)); end.Reason != "" {
				t.Errorf("next request: %q (%s)", end.Reason, end.Detail)
			}
		})
	}
}

// A body without end is passed on until the caller's deadline. The response does not look complete then.
func TestEndlessBodyEndsAtTheDeadline(t *testing.T) {
	const deadline = 500 * time.Millisecond
	for name, start := range map[string]string{
		"without length":    "HTTP/1.1 200 OK\r\n\r\n",
		"with a long chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			e, s := newEndlessTarget(t, start, "x")
			first := request(1, http.MethodPost)
			first.Left = deadline.Milliseconds()
			started := time.Now()
			end := run(e, first)
			if took := time.Since(started); took > deadline+time.Second {
				t.Errorf("the request took %s, want at most its deadline and 1s", took)
			}
			if end.Reason != seamoutcome.Timeout {
				t.Errorf("reason %q (%s), want %q", end.Reason, end.Detail, seamoutcome.Timeout)
			}
			expectClosed(t, s, time.Second)
			if end := run(e, request(2, http.MethodPost)); end.Reason != "" {
				t.Errorf("next request: %q (%s)", end.Reason, end.Detail)
			}
		})
	}
}

func expectClosed(t *testing.T, s *endlessTarget, within time.Duration) {
	t.Helper()
	select {
	case <-s.closed:
	case <-time.After(within):
		t.Error("the connection to the target was not closed")
	}
}

// alwaysEndless answers every request with start and then with unit again and again until the connection is closed.
func alwaysEndless(start, unit string) func(net.Conn) {
	block := []byte(strings.Repeat(unit, endlessBlock/len(unit)))
	return func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, err := c.Write([]byte(start))
		for err == nil {
			_, err = c.Write(block)
		}
	}
}

// TestEndlessHeadsOnAllConnectionsTakeLittleMemory guards against a target that fills the memory of its node with heads without end, on all
// connections at once.
func TestEndlessHeadsOnAllConnectionsTakeLittleMemory(t *testing.T) {
	const connections = 110 // that a target accepts
	for name, answer := range map[string]struct{ start, unit string }{
		"a status line":     {"HTTP/1.1 200 ", "x"},
		"a header value":    {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"headers":           {"HTTP/1.1 200 OK\r\n", "X: x\r\n"},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nX: x\r\n\r\n"},
		"trailers":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: x\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEgressAt(t, listen(t, alwaysEndless(answer.start, answer.unit)), connections)
			peak := seamstandheap.Peak(func() {
				var running sync.WaitGroup
				for i := range connections {
					running.Go(func() { run(e, request(byte(i+1), http.MethodPost)) })
				}
				running.Wait()
			})
			t.Logf("%+v bytes", peak)
			if peak.Exceeds(seamstandheap.Size{}) {
				t.Errorf("%d requests took %+v bytes, want at most %d kept and a heap of %d", connections, peak, seamstandheap.MaxKept, seamstandheap.MaxHeap)
			}
		})
	}
}
