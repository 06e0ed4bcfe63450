// Package seamcall holds the types and encodings that the ingress and the egress
// of a request share, whether they run in one process or in two.
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

// ResponseWriter receives the response of a target. An error means that the response can no longer be delivered.
type ResponseWriter interface {
	// WriteHead writes the status and the headers.
	WriteHead(h *seamroutewire.AnswerHead) error
	// WriteBody writes a part of the body. The slice is valid only during the call.
	WriteBody(p []byte) error
}

// EndToEndFields returns the end-to-end headers of h in wire form, except those whose canonical names are in without.
func EndToEndFields(h http.Header, without ...string) []*seamroutewire.Field {
	options := seamheader.ConnectionOptions(h)
	fields := make([]*seamroutewire.Field, 0, len(h))
	for name, values := range h {
		if !seamheader.EndToEnd(name, options) || slices.Contains(without, name) {
			continue
		}
		for _, v := range values {
			fields = append(fields, &seamroutewire.Field{Name: name, Value: v})
		}
	}
	return fields
}

// AddFields adds the fields, whose names are canonical, to h.
func AddFields(h http.Header, fields []*seamroutewire.Field) {
	for _, f := range fields {
		h[f.GetName()] = append(h[f.GetName()], f.GetValue())
	}
}

// EncodeEnd returns the wire form of the end of the attempt that head began.
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
		Notice:   NoticeToWire(e.Notice),
	}
	if e.Owner.Address != "" {
		w.Owner = seamsession.PeerToWire(e.Owner)
	}
	return w
}

// DecodeEnd returns the End of an attempt from its wire form. An outcome that
// this version does not know becomes Unknown.
func DecodeEnd(w *seamroutewire.AnswerEnd) seamoutcome.End {
	end := seamoutcome.End{
		Outcome:          decodeOutcome(w.GetOutcome()),
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
	if w.GetNotice() != nil {
		report := NoticeFromWire(w.GetNotice())
		end.Notice = &report
	}
	return end
}

func decodeOutcome(s string) seamoutcome.Outcome {
	switch o := seamoutcome.Outcome(s); o {
	case seamoutcome.Done, seamoutcome.Refused:
		return o
	default:
		return seamoutcome.Unknown
	}
}

// MaxWholeBody is the size in bytes of the largest request body that is sent together with its head.
const MaxWholeBody = 32 << 10
