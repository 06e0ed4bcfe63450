package seamegress

import (
	"context"
	"time"

	"cardamomseam/internal/route/seamadmit"
	"cardamomseam/internal/route/seamlimit"
	"cardamomseam/internal/route/seamroutewire"
)

// admission decides which requests the target gets.
type admission interface {
	Resize(now time.Time, c seamlimit.Capacity)
	Load() seamlimit.Load
	// work returns the mean time of a request of the same class; 0 if it is not known.
	work(head *seamroutewire.RequestHead) time.Duration
	// admit waits until the request may run, or returns why it may not.
	admit(ctx context.Context, now time.Time, a ask) seamlimit.Verdict
	// done ends an admitted request. ran says that it reached the target, and whole that the target answered it.
	done(now time.Time, head *seamroutewire.RequestHead, ran, whole bool, s seamlimit.Sample)
}

// ask is a request that asks for a place.
type ask struct {
	head *seamroutewire.RequestHead
	// objective is the time until which the answer is prompt; zero if there is none.
	objective, deadline time.Time
}

// fair admits requests in turn among callers, and finds out how many the target runs well at once.
type fair struct {
	*seamlimit.Limiter
}

func (f fair) admit(ctx context.Context, now time.Time, a ask) seamlimit.Verdict {
	return f.Admit(ctx, now, seamlimit.Request{Caller: a.head.GetCaller(), Deadline: a.deadline, MaxQueued: int(a.head.GetQueue())})
}

func (f fair) done(now time.Time, _ *seamroutewire.RequestHead, ran, _ bool, s seamlimit.Sample) {
	f.Done(now, ran, s)
}

func (f fair) work(*seamroutewire.RequestHead) time.Duration { return f.Load().ServiceTime }

// prompt admits those requests first that can still be answered within their objectives.
type prompt struct {
	*seamadmit.Limiter
}

func (p prompt) admit(ctx context.Context, now time.Time, a ask) seamlimit.Verdict {
	v := p.Admit(ctx, now, a.prompt())
	return seamlimit.Verdict{Admitted: v.Admitted, Reason: v.Reason, RetryAfter: v.RetryAfter, Waited: time.Since(now)}
}

func (p prompt) work(head *seamroutewire.RequestHead) time.Duration {
	return p.ClassServiceTime(head.GetClass())
}

func (p prompt) forecast(now time.Time, a ask) (v seamlimit.Verdict, refused bool) {
	f, refused := p.Forecast(now, a.prompt())
	return seamlimit.Verdict{Reason: f.Reason, RetryAfter: f.RetryAfter}, refused
}

func (a ask) prompt() seamadmit.Request {
	return seamadmit.Request{
		Class:     a.head.GetClass(),
		Priority:  int(a.head.GetPriority()),
		Objective: a.objective,
		Deadline:  a.deadline,
		Pinned:    a.head.GetKeyed(),
	}
}

func (p prompt) done(now time.Time, head *seamroutewire.RequestHead, ran, whole bool, s seamlimit.Sample) {
	service := s.Latency
	if !ran || s.Shed || !whole && service < p.Load().ServiceTime {
		// A request that was cut short says only that the target takes at least so long.
		service = 0
	}
	p.Done(now, head.GetClass(), service)
}
