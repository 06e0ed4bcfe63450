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

	"cardamomseam/internal/route/seamheader"
	"cardamomseam/internal/route/seamoutcome"
)

// A response that breaks off anywhere, by the end of its connection, is none.
func TestResponseThatBreaksOffIsNeverWhole(t *testing.T) {
	for name, whole := range map[string]string{
		"length":   "HTTP/1.1 200 OK\r\nX-Long: aaaa\r\nContent-Length: 4\r\nX-Last: b\r\n\r\nroom",
		"empty":    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"chunked":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n4;a=b\r\nroom\r\n0\r\nX-Sum: 1\r\n\r\n",
		"interim":  "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nroom",
		"no frame": "HTTP/1.1 200 OK\r\nX-Last: b\r\n\r\n",
		"bare LF":  "HTTP/1.1 200 OK\nContent-Length: 0\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			for n := 1; n <= len(whole); n++ {
				e, s := newScriptedTarget(t)
				s.responses <- whole[:n] + "close"
				end := run(e, request(byte(n), http.MethodPost))
				if isWhole := n == len(whole); (end.Outcome == seamoutcome.Done) != isWhole {
					t.Errorf("%q: %v, %s", whole[:n], end.Outcome, end.Detail)
				}
			}
		})
	}
}

// refusalOf returns a response that states that the request was not run.
func refusalOf(id string) string {
	named := ""
	if id != "" {
		named = seamheader.Request + ": " + id + "\r\n"
	}
	return "HTTP/1.1 503 Busy\r\n" + seamheader.Outcome + ": " + seamheader.Refused + "\r\n" + named + "Content-Length: 0\r\n\r\n"
}

// A target writes its refusal of the first request once more when the next one arrives on the connection. That one runs, so that its
// caller must not be told that it did not.
func TestSecondCopyOfARefusalIsNoResponseToAnotherRequest(t *testing.T) {
	for name, id := range map[string]string{"id of the earlier request": "1", "no id": ""} {
		t.Run(name, func(t *testing.T) {
			var connections, ran atomic.Int32
			e := newEgressAt(t, listen(t, func(c net.Conn) {
				first := connections.Add(1) == 1
				r := bufio.NewReader(c)
				for n := 0; ; n++ {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					if first {
						fmt.Fprint(c, refusalOf(id))
					}
					if !first || n > 0 {
						ran.Add(1)
						fmt.Fprint(c, okResponse)
					}
				}
			}), 4)
			if end := run(e, request(1, http.MethodPost)); end.Outcome != seamoutcome.Refused {
				t.Fatalf("the first request: %v", end)
			}
			end := run(e, request(2, http.MethodPost))
			if end.Outcome == seamoutcome.Refused || ran.Load() != 1 {
				t.Errorf("the second request ran %d times, and its caller is told %v: %s", ran.Load(), end.Outcome, end.Detail)
			}
		})
	}
}

func TestConnectionIsNotUsedAgainAfterARefusal(t *testing.T) {
	e, s := newScriptedTarget(t)
	for _, response := range []string{refusalOf("1"), okResponse, okResponse} {
		s.responses <- response
	}
	for i, want := range []seamoutcome.Outcome{seamoutcome.Refused, seamoutcome.Done, seamoutcome.Done} {
		if end := run(e, request(byte(i), http.MethodPost)); end.Outcome != want {
			t.Errorf("request %d: %v, %s", i, end.Outcome, strings.TrimSpace(end.Detail))
		}
		time.Sleep(10 * time.Millisecond)
	}
	if n := s.accepted.Load(); n != 2 {
		t.Errorf("%d connections, want 2: one for the refused request, one for the others", n)
	}
}
