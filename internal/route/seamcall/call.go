// Package seamcall holds what the ingress and the egress of a request share,
// whether they are in one process or in two.
package seamcall

import (
	"net/http"
	"slices"
	"time"

	"cardamomseam/internal/route/seamheader"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamroutewire"
	"cardamomseam/internal/route/seamsession"
)

// Answer takes the answer of a target. An error means that the caller left.
type ResponseWriter interface {
	// Head takes the status and the headers.
	WriteHead(h *seamroutewire.AnswerHead) error
	// Body takes a part of the body, which is valid during the call only.
	WriteBody(p []byte) error
}

// Fields returns the headers that are passed on, in wire form, without those left out.
func EndToEndFields(h http.Header, without ...string) []*seamroutewire.Field {
	named := seamheader.ConnectionOptions(h)
	fields := make([]*seamroutewire.Field, 0, len(h))
	for name, values := range h {
		if !seamheader.EndToEnd(name, named) || slices.Contains(without, name) {
			continue
		}
		for _, v := range values {
			fields = append(fields, &seamroutewire.Field{Name: name, Value: v})
		}
	}
	return fields
}

// Header adds the fields to h.
func AddFields(h http.Header, fields []*seamroutewire.Field) {
	for _, f := range fields {
		h[f.GetName()] = append(h[f.GetName()], f.GetValue())
	}
}

// WireEnd returns the end of an attempt in wire form.
func EncodeEnd(head *seamroutewire.RequestHead, e seamoutcome.End) *seamroutewire.AnswerEnd {
	w := &seamroutewire.AnswerEnd{
		Attempt:  head.GetAttempt(),
		Outcome:  string(e.Outcome),
		Reason:   string(e.Reason),
		Detail:   e.Detail,
		Inflight: int32(e.InFlight),
		Slots:    int32(e.Slots),
		After:    e.RetryAfter.Milliseconds(),
		Ran:      e.Ran,
		Service:  e.ServiceTime.Microseconds(),
		Work:     e.ClassServiceTime.Microseconds(),
		Wait:     e.QueueWait.Microseconds(),
		Rules:    e.RulesRevision,
	}
	if e.Owner.Address != "" {
		w.Owner = seamsession.PeerToWire(e.Owner)
	}
	return w
}

// End returns the end of an attempt from its wire form. An outcome that this
// version does not know is Unknown.
func DecodeEnd(w *seamroutewire.AnswerEnd) seamoutcome.End {
	return seamoutcome.End{
		Outcome:          outcome(w.GetOutcome()),
		Reason:           seamoutcome.Reason(w.GetReason()),
		Detail:           w.GetDetail(),
		Owner:            seamsession.PeerFromWire(w.GetOwner()),
		InFlight:         int(w.GetInflight()),
		Slots:            int(w.GetSlots()),
		RetryAfter:       time.Duration(w.GetAfter()) * time.Millisecond,
		Ran:              w.GetRan(),
		ServiceTime:      time.Duration(w.GetService()) * time.Microsecond,
		ClassServiceTime: time.Duration(w.GetWork()) * time.Microsecond,
		QueueWait:        time.Duration(w.GetWait()) * time.Microsecond,
		RulesRevision:    w.GetRules(),
	}
}

func outcome(s string) seamoutcome.Outcome {
	switch o := seamoutcome.Outcome(s); o {
	case seamoutcome.Done, seamoutcome.Refused:
		return o
	default:
		return seamoutcome.Unknown
	}
}

// WholeLimit is the largest body of a request that is sent in one piece, in bytes.
const MaxWholeBody = 32 << 10
