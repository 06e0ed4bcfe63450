package seamanswer_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"regexp"
	"testing"

	"cardamomseam/internal/route/seamanswer"
)

// statusLine is the grammar of a status line, written apart from the code under test.
var statusLine = regexp.MustCompile(`^HTTP/1\.[0-9] [1-5][0-9][0-9]( [^\n]*)?\r?\n`)

// answer is a response that was read to its end.
type answer struct {
	status int
	body   []byte
	// delimitedByClose means that the end of the bytes ended the body.
	delimitedByClose bool
	// rest is the number of bytes after the response.
	rest int
}

// read reads a response whose connection ends after data.
func read(method string, data []byte) (answer, error) {
	source := bytes.NewReader(data)
	r := bufio.NewReader(source)
	res, err := seamanswer.Read(r, &http.Request{Method: method})
	if err != nil {
		return answer{}, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return answer{res.StatusCode, body, seamanswer.IsDelimitedByClose(res), source.Len() + r.Buffered()}, err
}

// FuzzResponseIsWholeOrRefused guards against bytes that are no whole response and pass for one: what was read as whole begins with a
// status line, and no shorter start of the same bytes is whole as well.
func FuzzResponseIsWholeOrRefused(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nroom", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n4;a=b\r\nroom\r\n0\r\nX: 1\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nroom\r\n0\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\nroom", "HTTP/1.1 000 x\r\n\r\n",
		"HTTP/1.1 +20 x\r\n\r\n", "HTTP/1.1  200 x\r\n\r\n", "HTTP/1.1 099\r\n\r\n", "HTTP/1.1 600 x\r\n\r\n", "HTTP/1.1 204 x\r\nContent-Length: 4\r\n\r\nroom",
		"HTTP/1.1 304 x\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200\nContent-Length: 0\n\n", "HTTP/1.1 103 x\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nrooms",
		"HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nroom", "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nroomHTTP/1.1 200 OK\r\n\r\n",
	} {
		for _, head := range []bool{false, true} {
			f.Add([]byte(seed), head)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte, head bool) {
		method := http.MethodGet
		if head {
			method = http.MethodHead
		}
		whole, err := read(method, data)
		if err != nil {
			return
		}
		if !statusLine.Match(data) {
			t.Fatalf("status %d was read from %q", whole.status, data)
		}
		if whole.delimitedByClose {
			return
		}
		length := len(data) - whole.rest
		for n := range length {
			part, err := read(method, data[:n])
			if err != nil || part.delimitedByClose {
				continue
			}
			// The reader of HTTP/1.0 reads beyond the response, so that its length is not known.
			if !bytes.HasPrefix(data, []byte("HTTP/1.0")) || part.status != whole.status || !bytes.Equal(part.body, whole.body) {
				t.Fatalf("%q is whole, and so is its start %q", data[:length], data[:n])
			}
		}
	})
}

// TestCheckRefusesWhatIsNoFinalResponse guards against a status that the transport of package http accepts and HTTP does not know.
func TestCheckRefusesWhatIsNoFinalResponse(t *testing.T) {
	for status, code := range map[string]int{"000 x": 0, "001 x": 1, "099 x": 99, "100 x": 100, "600 x": 600, "999 x": 999, "+20 x": 20, "": 200, "2000": 2000} {
		if seamanswer.Check(&http.Response{Proto: "HTTP/1.1", Status: status, StatusCode: code}) == nil {
			t.Errorf("status %q passes for a response", status)
		}
	}
	for status, code := range map[string]int{"200 OK": 200, "204": 204, "599 x": 599} {
		if err := seamanswer.Check(&http.Response{Proto: "HTTP/1.1", Status: status, StatusCode: code}); err != nil {
			t.Error(err)
		}
	}
}
