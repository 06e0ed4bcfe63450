// Package seamanswer reads HTTP responses more strictly than package http does: it rejects what HTTP does not define as a response.
package seamanswer

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// minStatus and maxStatus are the first and the last status that HTTP defines, those of interim responses included.
	minStatus = 100
	maxStatus = 599
	// versionPrefix begins each status line of the major version that is understood.
	versionPrefix = "HTTP/1."
	// statusStart and statusEnd are the positions of the status in a status line, after the version and a space.
	statusStart = len(versionPrefix) + 2
	statusEnd   = statusStart + 3
	// maxShownLine is the largest part of a line that an error shows, in bytes.
	maxShownLine = 64
)

// StatusError reports a line that is no status line of HTTP/1.
type StatusError struct {
	Line string
}

// Error gives the start of the line.
func (e *StatusError) Error() string {
	return fmt.Sprintf("not a status line of HTTP/1: %q", e.Line)
}

// errChunksInHTTP10 reports a transfer encoding in HTTP/1.0, which has none, so that the end of the body is not known.
var errChunksInHTTP10 = errors.New("a response in HTTP/1.0 has a transfer encoding")

// Read reads the head of the response to a request, which may be an interim response. The connection of a response in HTTP/1.0 can't be
// read any further after its body.
func Read(r *bufio.Reader, request *http.Request) (*http.Response, error) {
	line, err := peekLine(r)
	if err != nil {
		return nil, err
	}
	if !isStatusLine(line) {
		return nil, &StatusError{Line: string(line[:min(len(line), maxShownLine)])}
	}
	if line[len(versionPrefix)] != '0' {
		return http.ReadResponse(r, request)
	}
	return readHTTP10(r, request)
}

// readHTTP10 reads a response in HTTP/1.0 as one in HTTP/1.1, since package http hides a transfer encoding in HTTP/1.0.
func readHTTP10(r *bufio.Reader, request *http.Request) (*http.Response, error) {
	if _, err := r.Discard(len(versionPrefix) + 1); err != nil {
		return nil, err
	}
	res, err := http.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader(versionPrefix+"1"), r)), request)
	switch {
	case err != nil:
		return nil, err
	case len(res.TransferEncoding) > 0:
		return nil, errChunksInHTTP10
	case res.StatusCode < http.StatusOK:
		return nil, errors.New("an interim response is in HTTP/1.0")
	}
	res.Proto, res.ProtoMinor, res.Close = versionPrefix+"0", 0, true
	return res, nil
}

// peekLine returns the next line without its end and without reading it. It fails if the line is longer than the buffer of r.
func peekLine(r *bufio.Reader) ([]byte, error) {
	for n := 1; ; n = r.Buffered() + 1 {
		_, err := r.Peek(n)
		read, _ := r.Peek(r.Buffered()) // peeking at buffered bytes can't fail
		if end := bytes.IndexByte(read, '\n'); end >= 0 {
			return bytes.TrimSuffix(read[:end], []byte("\r")), nil
		}
		if errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
	}
}

// isStatusLine reports whether a line consists of the version, a space, a status and, if anything follows, a space and a reason.
func isStatusLine(line []byte) bool {
	if len(line) < statusEnd || !bytes.HasPrefix(line, []byte(versionPrefix)) || !isDigit(line[len(versionPrefix)]) || line[statusStart-1] != ' ' {
		return false
	}
	status := 0
	for _, c := range line[statusStart:statusEnd] {
		if !isDigit(c) {
			return false
		}
		status = 10*status + int(c-'0')
	}
	return isStatus(status) && (len(line) == statusEnd || line[statusEnd] == ' ')
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

func isStatus(status int) bool { return minStatus <= status && status <= maxStatus }

// IsFinalStatus reports whether a status is one of a final response.
func IsFinalStatus(status int) bool { return http.StatusOK <= status && status <= maxStatus }

// Check returns a *StatusError for a response from package http whose status line is not that of a final response.
func Check(res *http.Response) error {
	line := res.Proto + " " + res.Status
	if !isStatusLine([]byte(line)) || !IsFinalStatus(res.StatusCode) {
		return &StatusError{Line: line[:min(len(line), maxShownLine)]}
	}
	return nil
}

// IsDelimitedByClose reports whether the body of a response ends where its connection does.
func IsDelimitedByClose(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0 && res.Body != http.NoBody
}

// MayCarryBody reports whether a response that can't have a body announces one. Its bytes would be read as the next response.
func MayCarryBody(res *http.Response) bool {
	switch res.StatusCode {
	case http.StatusNoContent:
		return len(res.TransferEncoding) > 0 || res.Header.Get("Content-Length") != ""
	case http.StatusNotModified:
		return len(res.TransferEncoding) > 0
	}
	return false
}
