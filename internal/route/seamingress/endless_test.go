package seamingress_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// endlessBlock is the size of one write of endless bytes.
const endlessBlock = 16 << 10

// A caller may send bytes that are no request without end. The node stops reading after a bounded number of bytes, closes
// the connection and serves other callers meanwhile.
func TestEndlessBytesOfCallersAreNotReadToTheirEnd(t *testing.T) {
	const (
		// endWithin bounds the time until the connection is closed.
		endWithin = 10 * time.Second
		// maxRead bounds the bytes that the caller can send, of which many are in the sockets' buffers.
		maxRead = 16 << 20
		// bodyLimit is the limit on bodies in bytes.
		bodyLimit = 1 << 20
		chunked   = "POST /a HTTP/1.1\r\nHost: booker\r\nTransfer-Encoding: chunked\r\n\r\n"
	)
	for name, request := range map[string]struct{ start, unit string }{
		"no request":         {"", "\x00\xff"},
		"empty lines":        {"", "\r\n"},
		"a method":           {"", "GET"},
		"a path":             {"GET /", "x"},
		"a header name":      {"GET /a HTTP/1.1\r\n", "x"},
		"a header value":     {"GET /a HTTP/1.1\r\nX: ", "x"},
		"headers":            {"GET /a HTTP/1.1\r\n", "X: x\r\n"},
		"a chunk size":       {chunked, "0"},
		"a chunk extension":  {chunked + "4;", "x"},
		"padding of chunks":  {chunked, "1;xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\nx\r\n"},
		"a body":             {chunked, "10\r\nxxxxxxxxxxxxxxxx\r\n"},
		"a trailer":          {chunked + "0\r\nX: ", "x"},
		"trailers":           {chunked + "0\r\n", "X: x\r\n"},
		"refused requests":   {"", "GET /a HTTP/1.1\r\n\r\n"},
		"a body with length": {"POST /a HTTP/1.1\r\nHost: booker\r\nContent-Length: 999999999999\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			front := newNodeWithBodyLimit(t, bodyLimit, func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
			})
			c := connect(t, front)
			c.SetDeadline(time.Now().Add(endWithin))
			go func() { _, _ = io.Copy(io.Discard, c) }()
			if written, timeout := writeEndlessly(c, request.start, request.unit); timeout || written > maxRead {
				t.Errorf("the caller could send %d bytes; connection open after %s: %v", written, endWithin, timeout)
			}
			r, _ := http.NewRequest(http.MethodPost, front.url("/book"), nil)
			if got := do(t, r); got.status != http.StatusOK || got.err != nil {
				t.Errorf("another caller got %d, %v", got.status, got.err)
			}
		})
	}
}

// writeEndlessly writes start, and then unit again and again until the connection fails. It returns the number of bytes
// written and whether the deadline of the connection ended it.
func writeEndlessly(c net.Conn, start, unit string) (written int, timeout bool) {
	block := []byte(strings.Repeat(unit, endlessBlock/len(unit)))
	n, err := c.Write([]byte(start))
	for err == nil {
		written += n
		n, err = c.Write(block)
	}
	return written + n, errors.Is(err, os.ErrDeadlineExceeded)
}
