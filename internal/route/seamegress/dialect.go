package seamegress

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"cardamomseam/internal/own/seamgrant"
	"cardamomseam/internal/route/seamheader"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamspan"
	"cardamomseam/internal/route/seamthrottle"
)

// RequestInfo holds what the router sends to a target about a request, in addition to the caller's own headers.
type RequestInfo struct {
	// RequestID is the id of the request.
	RequestID string
	// TargetID identifies the incarnation of the target that the request is for.
	TargetID string
	// Slot is the number of the slot of a keyed request.
	Slot uint32
	// CallerService is the service that the calling instance belongs to.
	CallerService string
	// Timeout is the time until the deadline; 0 means that there is none.
	Timeout time.Duration
	// Grant is the authority to serve the slot; nil for a service without keys.
	Grant *seamgrant.Grant
}

// Verdict classifies a response of the target.
type Verdict int

// Verdicts on responses.
const (
	// Executed means that the target ran the request and this is its response.
	Executed Verdict = iota
	// Rejected means that the target has not run the request.
	Rejected
	// Mismatched means that the response belongs to another request.
	Mismatched
	// Invalid means that the response does not come from the target, or is not complete.
	Invalid
)

// Classification is a verdict with the reason of a rejection.
type Classification struct {
	Verdict Verdict
	// Reason is set if Verdict is Rejected.
	Reason seamoutcome.Reason
	// RetryAfter is the Retry-After delay that the target asks for, or 0.
	RetryAfter time.Duration
	// Load is the load that the target states, zero if it states none.
	Load StatedLoad
}

// isFromTarget reports whether the response comes from the intended target: a rejection may come from another target that has
// taken over the address.
func (c Classification) isFromTarget() bool {
	return c.Verdict == Executed || c.Verdict == Rejected && c.Reason != seamoutcome.Target
}

// Dialect translates between the router and the HTTP header conventions of a target.
type Dialect interface {
	// SetHeaders adds the headers that the target needs to a request.
	SetHeaders(ctx context.Context, h http.Header, info RequestInfo)
	// Classify determines from the status and headers what a response to a request means.
	Classify(res *http.Response, info RequestInfo) Classification
	// Notice returns what the target states about itself in the headers of a response.
	Notice(h http.Header) seamthrottle.Notice
}

// Native is the dialect of targets that use the headers of package seamheader.
type Native struct{}

// SetHeaders adds the epoch and the slot, by which the target fences, the request id, by which it detects
// duplicates, the deadline and the trace context.
func (Native) SetHeaders(ctx context.Context, h http.Header, info RequestInfo) {
	// The caller's own values of these headers are not forwarded.
	delete(h, seamheader.Epoch)
	delete(h, seamheader.Slot)
	if info.Grant != nil {
		h[seamheader.Epoch] = []string{strconv.FormatUint(info.Grant.Epoch, 10)}
		h[seamheader.Slot] = []string{strconv.FormatUint(uint64(info.Grant.Slot.Index), 10)}
	}
	if info.Timeout != 0 {
		h[seamheader.Deadline] = []string{strconv.FormatInt(info.Timeout.Milliseconds(), 10)}
	}
	h[seamheader.Request] = []string{info.RequestID}
	h[seamspan.Header] = []string{seamspan.Traceparent(ctx)}
}

// Classify returns Rejected for a response whose outcome header is Refused, and Executed for any other.
func (Native) Classify(res *http.Response, _ RequestInfo) Classification {
	if res.Header.Get(seamheader.Outcome) != seamheader.Refused {
		return Classification{Verdict: Executed}
	}
	cl := Classification{Verdict: Rejected, Reason: seamoutcome.Shed, RetryAfter: retryAfter(res.Header)}
	if res.StatusCode == http.StatusConflict {
		cl.Reason = seamoutcome.Fenced
	}
	return cl
}

// Notice returns what the headers Limit and Leaving of package seamheader state.
func (Native) Notice(h http.Header) seamthrottle.Notice {
	return seamthrottle.ParseNotice(h[seamheader.Limit], h.Get(seamheader.Leaving))
}

// retryAfter returns the Retry-After delay that the target asks for, or 0.
func retryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}
