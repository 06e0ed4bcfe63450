package seamegress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamroutewire"
)

// endlessUpload is the body of an upload that never ends. It delivers bytes as fast as they are read.
type endlessUpload struct{}

func (endlessUpload) Read(p []byte) (int, error) { return len(p), nil }

// resetDuringUpload returns a target that answers the head of an upload with the response, reads some of the body and then resets the
// connection.
func resetDuringUpload(response string) func(net.Conn) {
	return func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		fmt.Fprint(c, response)
		_, _ = io.CopyN(io.Discard, c, 1<<20)
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// uploads are the forms of a streamed request.
var uploads = map[string]func() *seamroutewire.RequestHead{
	"plain":   func() *seamroutewire.RequestHead { return upload(1, 1<<30) },
	"chunked": func() *seamroutewire.RequestHead { return upload(1, -1) },
	"keyed": func() *seamroutewire.RequestHead {
		h := upload(1, 1<<30)
		h.Keyed = true
		return h
	},
	"idempotent": func() *seamroutewire.RequestHead {
		h := upload(1, 1<<30)
		h.Idempotent, h.Method = true, http.MethodPut
		return h
	},
}

// TestResponseResetDuringAnUploadIsNeverWhole guards against a partial body that passes for the whole. The write of the upload
// receives the error of the reset, and the read that follows it sees only an end.
func TestResponseResetDuringAnUploadIsNeverWhole(t *testing.T) {
	const rounds = 8
	for form, head := range uploads {
		for name, response := range map[string]string{
			"no length":          "HTTP/1.1 200 OK\r\n\r\nroom",
			"HTTP/1.0":           "HTTP/1.0 200 OK\r\n\r\nroom",
			"HTTP/1.0, no body":  "HTTP/1.0 200 OK\r\n\r\n",
			"length":             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nroom",
			"chunked":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nroom\r\n",
			"chunked, trailer":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n4\r\nroom\r\n0\r\nX: y",
			"chunks in HTTP/1.0": "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nroom\r\n",
		} {
			t.Run(form+"/"+name, func(t *testing.T) {
				for range rounds {
					e := newEgressAt(t, listen(t, resetDuringUpload(response)), 4)
					h := head()
					h.Left = 5000
					end := e.Run(t.Context(), h, endlessUpload{}, &discard{http.Header{}})
					if end.Outcome != seamoutcome.Unknown || end.Reason != seamoutcome.Broken {
						t.Fatalf("the end is %v %q (%s), want unknown, broken", end.Outcome, end.Reason, end.Detail)
					}
				}
			})
		}
	}
}

// TestEarlyResponseThatEndsProperlyIsWhole guards against a refusal of what a target sends in full while it no longer wants the upload.
func TestEarlyResponseThatEndsProperlyIsWhole(t *testing.T) {
	for name, response := range map[string]string{
		"length":    "HTTP/1.1 413 Large\r\nContent-Length: 4\r\nConnection: close\r\n\r\nroom",
		"chunked":   "HTTP/1.1 413 Large\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nroom\r\n0\r\nX: y\r\n\r\n",
		"no length": "HTTP/1.1 413 Large\r\n\r\nroom",
		"HTTP/1.0":  "HTTP/1.0 413 Large\r\n\r\nroom",
		"no body":   "HTTP/1.1 204 None\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			e := newEgressAt(t, listen(t, func(c net.Conn) {
				r := bufio.NewReader(c)
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				fmt.Fprint(c, response)
				_ = c.(*net.TCPConn).CloseWrite()
				_, _ = io.Copy(io.Discard, r)
			}), 4)
			h := upload(1, 1<<30)
			h.Left = 5000
			if end := e.Run(t.Context(), h, endlessUpload{}, &discard{http.Header{}}); end.Outcome != seamoutcome.Done {
				t.Errorf("the end is %v %q (%s), want done", end.Outcome, end.Reason, end.Detail)
			}
		})
	}
}

// TestLineWithoutAStatusIsNoResponse guards against a status line that HTTP does not know and that passes for an interim or a final response.
func TestLineWithoutAStatusIsNoResponse(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 x", "HTTP/1.1 001 x", "HTTP/1.1 099 x", "HTTP/1.1 600 x", "HTTP/1.1 999 x", "HTTP/1.1 +20 x", "HTTP/1.1 -20 x",
		"HTTP/1.1 20 x", "HTTP/1.1 2000 x", "HTTP/1.1  200 x", "HTTP/1.1 2 0 x", "HTTP/1.1 0x2 x", "HTTP/1.1 200x", "HTTP/1.1\t200 x",
		" HTTP/1.1 200 x", "HTTP/2.0 200 x", "HTTP/0.9 200 x", "HTTP/1.1 ", "HTTP/1.1", "HTTP 200 x", "http/1.1 200 x",
	} {
		t.Run(line, func(t *testing.T) {
			for _, h := range []*seamroutewire.RequestHead{request(1, http.MethodPost), request(2, http.MethodHead), upload(3, -1)} {
				// A response that passes for interim is skipped, so that the next one would pass for the answer.
				text := line + "\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
				e, s := newScriptedTarget(t)
				s.responses <- text
				h.Left = 2000
				end := e.Run(t.Context(), h, strings.NewReader("body"), &discard{http.Header{}})
				if end.Outcome != seamoutcome.Unknown || end.Reason != seamoutcome.Broken {
					t.Errorf("%s: the end is %v %q (%s), want unknown, broken", h.GetMethod(), end.Outcome, end.Reason, end.Detail)
				}
			}
		})
	}
}

// TestBodyOfABodilessResponseIsNoResponseToTheNextRequest guards against bytes that follow a response without a body and arrive when the
// connection carries the next request.
func TestBodyOfABodilessResponseIsNoResponseToTheNextRequest(t *testing.T) {
	const late = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nX-Late: 1\r\n\r\nforged"
	for name, tt := range map[string]struct{ method, head string }{
		"204 with length": {http.MethodPost, "HTTP/1.1 204 None\r\nContent-Length: 60\r\n\r\n"},
		"204 with chunks": {http.MethodPost, "HTTP/1.1 204 None\r\nTransfer-Encoding: chunked\r\n\r\n"},
		"304 with chunks": {http.MethodGet, "HTTP/1.1 304 None\r\nTransfer-Encoding: chunked\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEgressAt(t, listen(t, func(c net.Conn) {
				r := bufio.NewReader(c)
				for n := 0; ; n++ {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					if n == 0 {
						fmt.Fprint(c, tt.head)
						continue
					}
					fmt.Fprint(c, late)
				}
			}), 4)
			run(e, request(1, tt.method))
			time.Sleep(10 * time.Millisecond)
			w := &discard{http.Header{}}
			e.Run(t.Context(), request(2, http.MethodPost), http.NoBody, w)
			if w.header.Get("X-Late") != "" {
				t.Error("the body of the first response passed for the second response")
			}
		})
	}
}

// TestChunksOfHTTP10AreNoBody guards against the framing of chunks that passes for the body: HTTP/1.0 has no chunks.
func TestChunksOfHTTP10AreNoBody(t *testing.T) {
	e, s := newScriptedTarget(t)
	s.responses <- "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nroom\r\n" + "close"
	if end := run(e, request(1, http.MethodPost)); end.Outcome != seamoutcome.Unknown {
		t.Errorf("the end is %v, want unknown", end.Outcome)
	}
}
