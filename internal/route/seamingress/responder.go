package seamingress

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/route/seamcall"
	"cardamomseam/internal/route/seamheader"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamroutewire"
)

// defaultRetryAfter is the Retry-After delay of a refusal that states none.
const defaultRetryAfter = time.Second

// responder writes the response of a request to its caller. A response that arrives in one piece
// is buffered until the outcome of the attempt is known.
type responder struct {
	w            http.ResponseWriter
	rc           *http.ResponseController
	writeTimeout time.Duration
	// server is the name of the instance whose target responds.
	server   string
	head     *seamroutewire.AnswerHead
	buffered []byte
	// mayTruncateUnnoticed reports whether the caller could take the start of a body without length for the whole; nil means
	// that it never could.
	mayTruncateUnnoticed func() bool
	// started is true once a part of the response has been written to the caller.
	started bool
}

func newResponder(w http.ResponseWriter, writeTimeout time.Duration) *responder {
	return &responder{w: w, rc: http.NewResponseController(w), writeTimeout: writeTimeout}
}

// reset discards the buffered response of an attempt and prepares for the next one.
func (a *responder) reset(server string) {
	a.server, a.head, a.buffered = server, nil, a.buffered[:0]
}

// errTruncationUnnoticed reports a response without length to a caller that uses HTTP/1.0 and still sends its request. The
// caller's write could receive the error of a reset, so that its next read would see the end of a complete body.
var errTruncationUnnoticed = errors.New("a response without length is not passed on in HTTP/1.0 before the end of the request")

// WriteHead receives the status and headers of the response. They are written immediately unless the response is
// buffered.
func (a *responder) WriteHead(h *seamroutewire.AnswerHead) error {
	if !h.GetWhole() && h.GetLength() < 0 && a.mayTruncateUnnoticed != nil && a.mayTruncateUnnoticed() {
		return errTruncationUnnoticed
	}
	a.head = h
	if !h.GetWhole() {
		a.sendHead()
	}
	return nil
}

// WriteBody buffers or writes a part of the response body.
func (a *responder) WriteBody(p []byte) error {
	if a.head.GetWhole() {
		a.buffered = append(a.buffered, p...)
		return nil
	}
	return a.send(p)
}

func (a *responder) sendHead() {
	a.started = true
	h := a.w.Header()
	seamcall.AddFields(h, a.head.GetHeaders())
	if n := a.head.GetLength(); n >= 0 && allowsContentLength(int(a.head.GetStatus())) {
		h["Content-Length"] = []string{strconv.FormatInt(n, 10)}
	}
	h[seamheader.Outcome] = []string{seamheader.Done}
	delete(h, seamheader.Reason)
	h[seamheader.Server] = []string{a.server}
	a.w.WriteHeader(int(a.head.GetStatus()))
}

// allowsContentLength reports whether a response with the status may have a Content-Length header.
func allowsContentLength(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

func (a *responder) send(p []byte) error {
	// Response writers without deadlines, as in tests, block without a time limit.
	_ = a.rc.SetWriteDeadline(time.Now().Add(a.writeTimeout))
	if _, err := a.w.Write(p); err != nil {
		return err
	}
	return a.rc.Flush()
}

// commit writes the buffered response to the caller. For a streamed response, it extends the write deadline for
// what the HTTP server has yet to send.
func (a *responder) commit() {
	if a.started {
		_ = a.rc.SetWriteDeadline(time.Now().Add(a.writeTimeout))
		return
	}
	a.sendHead()
	_ = a.rc.SetWriteDeadline(time.Now().Add(a.writeTimeout))
	// The caller has disconnected if the write fails: nobody is left to report the error to.
	_, _ = a.w.Write(a.buffered)
}

// errorBody is the JSON body of a response that this node generates instead of the target.
type errorBody struct {
	Outcome seamoutcome.Outcome `json:"outcome"`
	Reason  seamoutcome.Reason  `json:"reason"`
	Detail  string              `json:"detail,omitempty"`
}

// fail responds that the request was refused or that its outcome is unknown.
func (a *responder) fail(end seamoutcome.End, status int) {
	h := a.w.Header()
	h.Set(seamheader.Outcome, string(end.Outcome))
	h.Set(seamheader.Reason, string(end.Reason))
	h.Set("Content-Type", "application/json")
	if end.Outcome == seamoutcome.Refused && seamoutcome.Lookup(end.Reason).RetryLater {
		setRetryAfter(h, end.RetryAfter)
	}
	_ = a.rc.SetWriteDeadline(time.Now().Add(a.writeTimeout))
	a.w.WriteHeader(status)
	// The caller has disconnected if the write fails: nobody is left to report the error to.
	_ = json.NewEncoder(a.w).Encode(errorBody{end.Outcome, end.Reason, end.Detail})
}

// setRetryAfter sets the headers with the delay before a retry; Retry-After is rounded up to whole seconds.
func setRetryAfter(h http.Header, after time.Duration) {
	if after <= 0 {
		after = defaultRetryAfter
	}
	seconds := (after + time.Second - 1) / time.Second
	h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	h.Set(seamheader.After, strconv.FormatInt(after.Milliseconds(), 10))
}

// overloaded reports whether the status of the response means that the target is overloaded.
func (a *responder) overloaded() bool {
	switch a.head.GetStatus() {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return true
	}
	return false
}
