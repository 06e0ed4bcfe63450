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
)

// Order is what a target is told about a request besides the caller's own words.
type RequestInfo struct {
	// Request is the id of the request.
	Request string
	// Target identifies the run of the target that is meant.
	Target string
	// Key is the number of the key of a keyed request.
	Key uint32
	// Origin is the service of the instance at which the request began.
	CallerService string
	// Left is the time until the deadline; 0 means that there is none.
	Timeout time.Duration
	// Grant is the right to serve the slot; nil for a service without keys.
	Grant *seamgrant.Grant
}

// Verdict is what an answer of the target means.
type Verdict int

// Verdicts on answers.
const (
	// Genuine means that the target ran the request and this is its answer.
	Executed Verdict = iota
	// Rejected means that the target has not run the request.
	Rejected
	// Foreign means that the answer belongs to another request.
	Mismatched
	// Spoiled means that the answer is not the target's, or not whole.
	Invalid
)

// Judgement is a verdict with the reason of a rejection.
type Classification struct {
	Verdict Verdict
	// Reason says why the target rejected the request.
	Reason seamoutcome.Reason
	// After is the time after which the target asks to try again, or 0.
	After time.Duration
}

// Dialect is how a target is spoken to.
type Dialect interface {
	// Prepare adds to the headers of a request what the target needs.
	SetHeaders(ctx context.Context, h http.Header, o RequestInfo)
	// Judge says what an answer to a request means, by its head.
	Classify(res *http.Response, o RequestInfo) Classification
}

// Own is the dialect of targets that speak the headers of package seamheader.
type Native struct{}

// Prepare adds what the target needs to fence, to recognize a duplicate and to stop in time.
func (Native) SetHeaders(ctx context.Context, h http.Header, o RequestInfo) {
	// A caller's own word on these is not passed on.
	delete(h, seamheader.Epoch)
	delete(h, seamheader.Slot)
	if o.Grant != nil {
		h[seamheader.Epoch] = []string{strconv.FormatUint(o.Grant.Epoch, 10)}
		h[seamheader.Slot] = []string{strconv.FormatUint(uint64(o.Grant.Slot.Index), 10)}
	}
	if o.Timeout != 0 {
		h[seamheader.Deadline] = []string{strconv.FormatInt(o.Timeout.Milliseconds(), 10)}
	}
	h[seamheader.Request] = []string{o.Request}
	h[seamspan.Header] = []string{seamspan.Traceparent(ctx)}
}

// Judge takes every answer as the target's that does not say that the request was refused.
func (Native) Classify(res *http.Response, _ RequestInfo) Classification {
	if res.Header.Get(seamheader.Outcome) != seamheader.Refused {
		return Classification{Verdict: Executed}
	}
	j := Classification{Verdict: Rejected, Reason: seamoutcome.Shed, After: retryAfter(res.Header)}
	if res.StatusCode == http.StatusConflict {
		j.Reason = seamoutcome.Fenced
	}
	return j
}

// retryAfter returns the wait that the target asks for, or 0.
func retryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}
