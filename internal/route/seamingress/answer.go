package seamingress

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"cardamomseam/internal/route/seamcall"
	"cardamomseam/internal/route/seamheader"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamroutewire"
)

// defaultAfter is the time after which a caller is told to retry if nothing better is known.
const defaultAfter = time.Second

// responder gives a caller the answer to its request. It holds back an answer
// that comes in one piece until its end is known.
type responder struct {
	w    http.ResponseWriter
	rc   *http.ResponseController
	slow time.Duration
	// server is the instance whose target answers.
	server string
	head   *seamroutewire.AnswerHead
	held   []byte
	// started says that the caller has got a part of the answer.
	started bool
}

func newResponder(w http.ResponseWriter, slow time.Duration) *responder {
	return &responder{w: w, rc: http.NewResponseController(w), slow: slow}
}

// reset forgets an attempt of which nothing was sent.
func (a *responder) reset(server string) {
	a.server, a.head, a.held = server, nil, a.held[:0]
}

// Head takes the head of an answer.
func (a *responder) WriteHead(h *seamroutewire.AnswerHead) error {
	a.head = h
	if !h.GetWhole() {
		a.sendHead()
	}
	return nil
}

// Body takes a part of the body.
func (a *responder) WriteBody(p []byte) error {
	if a.head.GetWhole() {
		a.held = append(a.held, p...)
		return nil
	}
	return a.send(p)
}

func (a *responder) sendHead() {
	a.started = true
	h := a.w.Header()
	seamcall.AddFields(h, a.head.GetHeaders())
	if n := a.head.GetLength(); n >= 0 && hasLength(int(a.head.GetStatus())) {
		h["Content-Length"] = []string{strconv.FormatInt(n, 10)}
	}
	h[seamheader.Outcome] = []string{seamheader.Done}
	delete(h, seamheader.Reason)
	h[seamheader.Server] = []string{a.server}
	a.w.WriteHeader(int(a.head.GetStatus()))
}

// hasLength reports whether an answer of the status may state the length of its body.
func hasLength(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

func (a *responder) send(p []byte) error {
	// Writers without deadlines, as in tests, wait without a bound.
	_ = a.rc.SetWriteDeadline(time.Now().Add(a.slow))
	if _, err := a.w.Write(p); err != nil {
		return err
	}
	return a.rc.Flush()
}

// commit gives the caller what was held back of a whole answer.
func (a *responder) commit() {
	if a.started {
		_ = a.rc.SetWriteDeadline(time.Now().Add(a.slow))
		return
	}
	a.sendHead()
	_ = a.rc.SetWriteDeadline(time.Now().Add(a.slow))
	// A caller that is gone has no use for the error.
	_, _ = a.w.Write(a.held)
}

// failure is the body of an answer that is not the target's.
type failure struct {
	Outcome seamoutcome.Outcome `json:"outcome"`
	Reason  seamoutcome.Reason  `json:"reason"`
	Detail  string              `json:"detail,omitempty"`
}

// fail tells the caller that its request was refused or that its outcome is unknown.
func (a *responder) fail(end seamoutcome.End, status int) {
	h := a.w.Header()
	h.Set(seamheader.Outcome, string(end.Outcome))
	h.Set(seamheader.Reason, string(end.Reason))
	h.Set("Content-Type", "application/json")
	if end.Outcome == seamoutcome.Refused && seamoutcome.Lookup(end.Reason).RetryLater {
		tellAfter(h, end.RetryAfter)
	}
	_ = a.rc.SetWriteDeadline(time.Now().Add(a.slow))
	a.w.WriteHeader(status)
	// A caller that is gone has no use for the error.
	_ = json.NewEncoder(a.w).Encode(failure{end.Outcome, end.Reason, end.Detail})
}

func tellAfter(h http.Header, after time.Duration) {
	if after <= 0 {
		after = defaultAfter
	}
	whole := (after + time.Second - 1) / time.Second
	h.Set("Retry-After", strconv.FormatInt(int64(whole), 10))
	h.Set(seamheader.After, strconv.FormatInt(after.Milliseconds(), 10))
}

// shed reports whether the answer held back says that the target has too much work.
func (a *responder) shed() bool {
	switch a.head.GetStatus() {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return true
	}
	return false
}

// stopReading ends a read of the request's body that is still going on. The
// connection takes no further request.
func (a *responder) stopReading() {
	_ = a.rc.SetReadDeadline(time.Unix(1, 0))
}
