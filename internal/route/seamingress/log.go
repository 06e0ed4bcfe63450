package seamingress

import (
	"net/http"
	"time"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/route/seamheader"
	"cardamomseam/internal/route/seamoutcome"
)

// attempt is what became of one attempt of a request, for the log.
type attempt struct {
	Node   string        `json:"node"`
	Target string        `json:"target,omitempty"`
	Reason string        `json:"reason,omitempty"`
	At     time.Duration `json:"at"`
	Took   time.Duration `json:"took"`
	// Wait and Service are what the node said of its target: the wait for a turn, and the mean
	// time of a request.
	Wait    time.Duration `json:"wait,omitempty"`
	Service time.Duration `json:"service,omitempty"`
}

// outcomes are the names of events for the ends of requests.
var outcomes = map[seamoutcome.Outcome]string{
	seamoutcome.Done:    seamevent.RequestDone,
	seamoutcome.Refused: seamevent.RequestRefused,
	seamoutcome.Unknown: seamevent.RequestUnknown,
}

// log writes the line of a request that was offered to nodes.
func (x *exchange) log(start time.Time, end seamoutcome.End) {
	i := x.ingress
	now := time.Now()
	fields := seamevent.Fields{
		"id":       x.head.GetRequest(),
		"service":  x.service,
		"route":    x.choice.Selector,
		"routes":   x.choice.Revision,
		"reason":   string(end.Reason),
		"detail":   end.Detail,
		"took":     now.Sub(start).Milliseconds(),
		"left":     x.deadline.Sub(now).Milliseconds(),
		"attempts": x.attempts,
	}
	if x.choice.Keyed {
		fields["key"] = x.choice.Slot
	}
	if end.RetryAfter > 0 {
		fields["after"] = end.RetryAfter.Milliseconds()
	}
	i.events.Emit(now, outcomes[end.Outcome], fields)
}

// logRefused writes the line of a request that was offered to no node.
func (i *Ingress) logRefused(start time.Time, r *http.Request, refused *refusedRequest) {
	now := time.Now()
	i.events.Emit(now, seamevent.RequestRefused, seamevent.Fields{
		"id":     r.Header.Get(seamheader.Request),
		"host":   r.Host,
		"path":   r.URL.Path,
		"reason": string(refused.End.Reason),
		"detail": refused.End.Detail,
		"status": refused.Status,
		"took":   now.Sub(start).Milliseconds(),
	})
}
