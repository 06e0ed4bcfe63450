package seamingress

import (
	"net/http"
	"time"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/route/seamheader"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamresidency"
)

// attemptRecord describes one attempt of a request in the log.
type attemptRecord struct {
	Node   string        `json:"node"`
	Target string        `json:"target,omitempty"`
	Reason string        `json:"reason,omitempty"`
	At     time.Duration `json:"at"`
	Took   time.Duration `json:"took"`
	// Void is the state that the node reported when it was asked to void the attempt.
	Void string `json:"void,omitempty"`
	// Wait is the queueing delay and Service the mean service time that the node reported for its target.
	Wait    time.Duration `json:"wait,omitempty"`
	Service time.Duration `json:"service,omitempty"`
}

// outcomeEvents maps each outcome to the name of its log event.
var outcomeEvents = map[seamoutcome.Outcome]string{
	seamoutcome.Done:    seamevent.RequestDone,
	seamoutcome.Refused: seamevent.RequestRefused,
	seamoutcome.Unknown: seamevent.RequestUnknown,
}

// log emits the event of a request that was routed to nodes, with its attempts.
func (x *exchange) log(start time.Time, end seamoutcome.End) {
	i := x.ingress
	now := time.Now()
	fields := seamevent.Fields{
		"id":       x.head.GetRequest(),
		"service":  x.service,
		"route":    x.decision.Selector,
		"routes":   x.decision.Revision,
		"reason":   string(end.Reason),
		"detail":   end.Detail,
		"took":     now.Sub(start).Milliseconds(),
		"left":     x.deadline.Sub(now).Milliseconds(),
		"attempts": x.attempts,
	}
	if x.decision.Keyed {
		fields["key"] = x.decision.Slot
	}
	if x.restricted() {
		fields["regions"] = seamresidency.Format(x.decision.Regions)
	}
	if end.RetryAfter > 0 {
		fields["after"] = end.RetryAfter.Milliseconds()
	}
	i.events.Emit(now, outcomeEvents[end.Outcome], fields)
}

// logRefused emits the event of a request that was refused before any attempt.
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
