package seamingress_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// pipelined returns a number of requests for the paths /0, /1 and so on.
func pipelined(count int) []string {
	requests := make([]string, count)
	for i := range requests {
		requests[i] = fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: booker\r\nSeam-Service: booker\r\n\r\n", i)
	}
	return requests
}

// connect connects to the node's ingress.
func connect(t *testing.T, n *node) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", n.server.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// A caller that closes its connection cancels the running request, and those behind it don't start.
func TestDisconnectCancelsPipelinedRequests(t *testing.T) {
	const segmentInterval = 5 * time.Millisecond
	for name, tt := range map[string]struct {
		requests int
		// segments is whether each request is sent in a segment of its own.
		segments bool
		reset    bool
	}{
		"one":                         {requests: 1},
		"two in one segment":          {requests: 2},
		"two in two segments":         {requests: 2, segments: true},
		"two in two segments, reset":  {requests: 2, segments: true, reset: true},
		"fifty in one segment":        {requests: 50},
		"fifty in one segment, reset": {requests: 50, reset: true},
		"fifty in fifty segments":     {requests: 50, segments: true},
	} {
		t.Run(name, func(t *testing.T) {
			var ran atomic.Int64
			started, cancelled := make(chan struct{}, tt.requests), make(chan struct{}, tt.requests)
			front, _ := pair(t, func(_ http.ResponseWriter, r *http.Request) {
				ran.Add(1)
				started <- struct{}{}
				select {
				case <-r.Context().Done():
					cancelled <- struct{}{}
				case <-time.After(5 * time.Second):
				}
			})
			c := connect(t, front)
			requests := pipelined(tt.requests)
			if !tt.segments {
				requests = []string{strings.Join(requests, "")}
			}
			for _, r := range requests {
				fmt.Fprint(c, r)
				time.Sleep(segmentInterval)
			}
			<-started
			if tt.reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			c.Close()
			select {
			case <-cancelled:
			case <-time.After(3 * time.Second):
				t.Error("the request runs 3s after its caller closed the connection")
			}
			time.Sleep(100 * time.Millisecond) // allows a request behind it to reach the target
			if got := ran.Load(); got != 1 {
				t.Errorf("%d requests reached the target, want 1", got)
			}
		})
	}
}

// Responses come in the order of the requests, whether they have keys or not.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	const count = 50
	front, back := pair(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "0") {
			time.Sleep(10 * time.Millisecond)
		}
		fmt.Fprint(w, r.URL.Path)
	})
	front.directory.owner = back.peer
	front.rules.keyed = func(r *http.Request) bool { return len(r.URL.Path)%2 == 0 }
	c := connect(t, front)
	fmt.Fprint(c, strings.Join(pipelined(count), ""))
	answers := bufio.NewReader(c)
	for i := range count {
		answer, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		body, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if want := fmt.Sprintf("/%d", i); string(body) != want || err != nil {
			t.Fatalf("answer %d is %q, %v; want %q", i, body, err, want)
		}
	}
}

// A response that closes the connection arrives completely, although requests behind it remain unread. They don't run.
func TestLastResponseIsWholeBeforeUnreadRequests(t *testing.T) {
	const size, unread = 4 << 20, 2000
	for name, tt := range map[string]struct {
		first string
		drain bool
	}{
		"asked for by the caller": {first: "GET /first HTTP/1.1\r\nHost: booker\r\nConnection: close\r\n\r\n"},
		"planned stop":            {first: "GET /first HTTP/1.1\r\nHost: booker\r\n\r\n", drain: true},
	} {
		t.Run(name, func(t *testing.T) {
			var ran atomic.Int64
			front, _ := pair(t, func(w http.ResponseWriter, _ *http.Request) {
				ran.Add(1)
				time.Sleep(200 * time.Millisecond)
				_, _ = w.Write(make([]byte, size))
			})
			drained := make(chan error, 1)
			c := connect(t, front)
			if tt.drain {
				go func() { drained <- front.server.Drain(t.Context(), 200*time.Millisecond) }()
				time.Sleep(50 * time.Millisecond)
			} else {
				drained <- nil
			}
			fmt.Fprint(c, tt.first+strings.Join(pipelined(unread), ""))
			time.Sleep(400 * time.Millisecond)
			answer, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer answer.Body.Close()
			read, err := io.Copy(io.Discard, slowReader{answer.Body})
			if read != size || err != nil {
				t.Errorf("read %d bytes of %d: %v", read, size, err)
			}
			if err := <-drained; err != nil {
				t.Error(err)
			}
			if got := ran.Load(); got != 1 {
				t.Errorf("%d requests reached the target, want 1", got)
			}
		})
	}
}

// slowReader reads in small parts with pauses.
type slowReader struct{ io.Reader }

// Read reads at most 64 kB.
func (s slowReader) Read(p []byte) (int, error) {
	time.Sleep(2 * time.Millisecond)
	return s.Reader.Read(p[:min(len(p), 64<<10)])
}

// Nothing behind a request whose body is broken is taken for a request.
func TestNothingBehindABrokenBodyRuns(t *testing.T) {
	for name, body := range map[string]string{
		"malformed chunk":    "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nx\r\n",
		"chunk without end":  "Transfer-Encoding: chunked\r\n\r\n5\r\nabcdefgh\r\n0\r\n\r\n",
		"length twice":       "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabc",
		"length of no digit": "Content-Length: +3\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			var behind atomic.Int64
			front, _ := pair(t, func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if r.URL.Path != "/first" {
					behind.Add(1)
				}
			})
			c := connect(t, front)
			fmt.Fprint(c, "POST /first HTTP/1.1\r\nHost: booker\r\n"+body+pipelined(1)[0])
			if _, err := io.ReadAll(c); err != nil {
				t.Error(err)
			}
			if got := behind.Load(); got != 0 {
				t.Errorf("%d requests behind the broken body reached the target", got)
			}
		})
	}
}

// While a request runs, a connection takes a bounded number of bytes of the requests behind it.
func TestPipelineIsBounded(t *testing.T) {
	const limit = 32 << 20
	release := make(chan struct{})
	front, _ := pair(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	c := connect(t, front)
	requests := []byte(strings.Join(pipelined(1000), ""))
	c.SetDeadline(time.Now().Add(time.Second))
	for written := 0; ; {
		n, err := c.Write(requests)
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil || written > limit {
			t.Fatalf("%d bytes were taken: %v", written, err)
		}
	}
}
