package seamegress_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamsketch"
	"cardamomseam/internal/route/seamegress"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamroutewire"
)

// scriptedTarget is a target that answers each request with the next element of responses. An empty response closes
// the connection. So does the suffix "close" after the response, which is itself not sent.
type scriptedTarget struct {
	// accepted counts the accepted connections.
	accepted  atomic.Int32
	responses chan string
}

func (s *scriptedTarget) serveConn(c net.Conn) {
	s.accepted.Add(1)
	r := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		text := <-s.responses
		body, last := strings.CutSuffix(text, "close")
		fmt.Fprint(c, body)
		if last || text == "" {
			return
		}
	}
}

// listen serves connections with the function until the test ends, and returns the address.
func listen(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return l.Addr().String()
}

// newEgressAt returns an egress in front of a target at the address. capacity limits both its requests and its connections.
func newEgressAt(t *testing.T, address string, capacity int) *seamegress.Egress {
	t.Helper()
	clock := seamclock.NewClock()
	target := announcedTarget{Service: "booker", Name: "t", Address: address, MaxConcurrency: capacity, Connections: capacity}
	e, closeEgress := seamegress.New(seamegress.Config{}, self, grantingOwners{clock, time.Minute}, target, clock, seamsketch.NewUsage(16, time.Minute, time.Minute), metrics.NewSet(), seamevent.NewStream("back"))
	t.Cleanup(closeEgress)
	return e
}

func newScriptedTarget(t *testing.T) (*seamegress.Egress, *scriptedTarget) {
	t.Helper()
	s := &scriptedTarget{responses: make(chan string, 8)}
	return newEgressAt(t, listen(t, s.serveConn), 4), s
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nroom"

func TestTargetConnectionReuse(t *testing.T) {
	for _, tt := range []struct {
		name      string
		responses []string
		// methods and reasons are the requests' methods and expected reasons; an empty reason means success.
		methods []string
		reasons []seamoutcome.Reason
		// connections is the expected number of connections.
		connections int32
	}{
		{"reused", []string{okResponse, okResponse}, []string{"POST", "POST"}, []seamoutcome.Reason{"", ""}, 1},
		{"closed when idle", []string{okResponse + "close", okResponse}, []string{"POST", "POST"}, []seamoutcome.Reason{"", ""}, 2},
		{"Connection: close", []string{strings.Replace(okResponse, "\r\n", "\r\nConnection: close\r\n", 1), okResponse}, []string{"POST", "POST"}, []seamoutcome.Reason{"", ""}, 2},
		{"closed during a POST", []string{okResponse, ""}, []string{"POST", "POST"}, []seamoutcome.Reason{"", seamoutcome.Broken}, 1},
		{"closed during a GET", []string{okResponse, "", okResponse}, []string{"GET", "GET"}, []seamoutcome.Reason{"", ""}, 2},
		{"interim response", []string{"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + okResponse, okResponse}, []string{"POST", "POST"}, []seamoutcome.Reason{"", ""}, 1},
		{"bytes after the response", []string{okResponse + "HTTP", okResponse}, []string{"POST", "POST"}, []seamoutcome.Reason{"", ""}, 2},
		{"oversized headers", []string{"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 100_000) + "\r\n\r\n"}, []string{"POST"}, []seamoutcome.Reason{seamoutcome.Broken}, 1},
		{"HEAD request", []string{"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n", okResponse}, []string{"HEAD", "POST"}, []seamoutcome.Reason{"", ""}, 1},
		{"not HTTP", []string{"220 mail\r\n"}, []string{"POST"}, []seamoutcome.Reason{seamoutcome.Broken}, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			e, s := newScriptedTarget(t)
			for _, a := range tt.responses {
				s.responses <- a
			}
			for i, m := range tt.methods {
				end := run(e, request(byte(i), m))
				if end.Reason != tt.reasons[i] {
					t.Errorf("request %d: unexpected reason %q (%s)", i, end.Reason, end.Detail)
				}
				time.Sleep(10 * time.Millisecond)
			}
			if n := s.accepted.Load(); n != tt.connections {
				t.Errorf("%d connections, want %d", n, tt.connections)
			}
		})
	}
}

// request returns the head of the request with id n. It is idempotent unless it is a POST.
func request(n byte, method string) *seamroutewire.RequestHead {
	h := head(uint64(n) + 1)
	h.Id = append(make([]byte, 15), n)
	h.Method, h.Idempotent = method, method != http.MethodPost
	return h
}
