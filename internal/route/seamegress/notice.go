package seamegress

import (
	"net/http"
	"time"

	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/route/seamcall"
	"cardamomseam/internal/route/seamroutewire"
	"cardamomseam/internal/route/seamthrottle"
)

// throttleTarget returns the incarnation of an announced target as the throttle knows it.
func throttleTarget(a seamtarget.Announcement) seamthrottle.Target {
	return seamthrottle.Target{Name: a.Name, Started: a.Started}
}

// hear records what the target states in a response to the call, which was sent at the given time.
func (c *call) hear(now, sent time.Time, res *http.Response, v Verdict) {
	e := c.egress
	r := seamthrottle.Response{
		Target:   throttleTarget(c.announced),
		Sent:     sent,
		Rejected: v == Rejected,
		Notice:   e.cfg.Dialect.Notice(res.Header),
	}
	before := e.throttle.State()
	if e.throttle.Hear(now, r) {
		e.noticeChanged(now, c.announced, before)
	}
	e.logInvalidLimit(now, c.announced, r.Notice)
}

// learn records what the node that sent a request has passed on about the target, before the request is admitted.
func (e *Egress) learn(now time.Time, sender string, head *seamroutewire.RequestHead) {
	a, ok := e.target.Current()
	if !ok || head.GetNotice() == nil {
		return
	}
	e.syncThrottle(now, a)
	before := e.throttle.State()
	if e.throttle.Learn(now, sender, seamcall.NoticeFromWire(head.GetNotice())) {
		e.noticeChanged(now, a, before)
	}
}

// noticeChanged acts on a change of what is known about the target.
func (e *Egress) noticeChanged(now time.Time, a seamtarget.Announcement, before seamthrottle.State) {
	s := e.throttle.State()
	r := s.Report(now)
	e.events.Emit(now, seamevent.TargetNotice, seamevent.Fields{
		"target": a.Name, "service": a.Service, "limited": r.Limited, "rate": r.Rate, "former": before.Rate, "leaving": r.Leaving,
		"origin": s.Origin, "age": r.Age.Milliseconds(),
	})
	e.limiter.Tick(now)
	if r.Leaving && before.LeavingSince.IsZero() {
		e.TargetLeaving(s.LeavingSince, a)
		if e.cfg.OnTargetLeaving != nil {
			e.cfg.OnTargetLeaving(a)
		}
	}
}

// logInvalidLimit emits an event if the target states a limit that is ignored, once for each such value in a row.
func (e *Egress) logInvalidLimit(now time.Time, a seamtarget.Announcement, n seamthrottle.Notice) {
	e.mu.Lock()
	repeated := n.Invalid == e.invalidLimit
	e.invalidLimit = n.Invalid
	e.mu.Unlock()
	if !repeated && n.Invalid != "" {
		e.events.Emit(now, seamevent.TargetNotice, seamevent.Fields{"target": a.Name, "service": a.Service, "invalid": n.Invalid})
	}
}

// leavingGauge returns 1 if the target states that it is leaving, and 0 otherwise.
func leavingGauge(s seamthrottle.State) float64 {
	if s.LeavingSince.IsZero() {
		return 0
	}
	return 1
}

// isLeaving reports whether the target has announced that it is leaving, or states it in its responses.
func (e *Egress) isLeaving(a seamtarget.Announcement) bool {
	if a.Leaving {
		return true
	}
	s := e.throttle.State()
	return s.Target == throttleTarget(a) && !s.LeavingSince.IsZero()
}

// report returns what is known about the target, for the node that sent the request; nil if that says nothing new to it.
func (e *Egress) report(now time.Time, head *seamroutewire.RequestHead) *seamthrottle.Report {
	r := e.throttle.Report(now)
	endsNotice := head.GetNotice() != nil && r.Target == seamcall.NoticeFromWire(head.GetNotice()).Target
	if !r.Matters() && !endsNotice {
		return nil
	}
	return &r
}
