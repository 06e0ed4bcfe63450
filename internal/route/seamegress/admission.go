package seamegress

import (
	"context"
	"time"

	"cardamomseam/internal/route/seamadmit"
	"cardamomseam/internal/route/seamlimit"
	"cardamomseam/internal/route/seamroutewire"
)

// admission decides which requests may run at the target.
type admission interface {
	Resize(now time.Time, c seamlimit.Capacity)
	Load() seamlimit.Load
	// meanServiceTime returns the mean duration of a request like this one, by class if the implementation
	// distinguishes classes; 0 if it is not known.
	meanServiceTime(head *seamroutewire.RequestHead) time.Duration
	// admit waits until the request may run, or returns why it may not.
	admit(ctx context.Context, now time.Time, a admissionRequest) seamlimit.Verdict
	// Tick decides again about the waiting requests. It is called when the throttle has changed.
	Tick(now time.Time)
	// done ends an admitted request. ran means that the request reached the target or that the target was unreachable,
	// so that s counts; answered means that the target responded.
	done(now time.Time, head *seamroutewire.RequestHead, ran, answered bool, s seamlimit.Sample)
}

// admissionRequest describes a request that waits for admission.
type admissionRequest struct {
	head *seamroutewire.RequestHead
	// objective is the time by which the response must arrive to meet the latency objective; zero if there is none.
	objective, deadline time.Time
}

// fairAdmission divides the target's capacity fairly among callers and adapts the concurrency limit to the target.
type fairAdmission struct {
	*seamlimit.Limiter
}

func (f fairAdmission) admit(ctx context.Context, now time.Time, a admissionRequest) seamlimit.Verdict {
	return f.Admit(ctx, now, seamlimit.Request{Caller: a.head.GetCaller(), Deadline: a.deadline, MaxQueued: int(a.head.GetQueue())})
}

func (f fairAdmission) done(now time.Time, _ *seamroutewire.RequestHead, ran, _ bool, s seamlimit.Sample) {
	f.Done(now, ran, s)
}

func (f fairAdmission) meanServiceTime(*seamroutewire.RequestHead) time.Duration {
	return f.Load().ServiceTime
}

// objectiveAdmission gives priority to requests that can still meet their latency objectives.
type objectiveAdmission struct {
	*seamadmit.Limiter
}

func (p objectiveAdmission) admit(ctx context.Context, now time.Time, a admissionRequest) seamlimit.Verdict {
	v := p.Admit(ctx, now, a.objectiveRequest())
	return seamlimit.Verdict{Admitted: v.Admitted, Reason: v.Reason, RetryAfter: v.RetryAfter, Waited: time.Since(now), AdmittedAt: v.AdmittedAt}
}

func (p objectiveAdmission) meanServiceTime(head *seamroutewire.RequestHead) time.Duration {
	return p.ClassServiceTime(head.GetClass())
}

func (p objectiveAdmission) forecast(now time.Time, a admissionRequest) (v seamlimit.Verdict, refused bool) {
	f, refused := p.Forecast(now, a.objectiveRequest())
	return seamlimit.Verdict{Reason: f.Reason, RetryAfter: f.RetryAfter}, refused
}

func (a admissionRequest) objectiveRequest() seamadmit.Request {
	return seamadmit.Request{
		Class:     a.head.GetClass(),
		Priority:  int(a.head.GetPriority()),
		Objective: a.objective,
		Deadline:  a.deadline,
		Pinned:    a.head.GetKeyed(),
		Key:       a.head.GetSlot(),
	}
}

func (p objectiveAdmission) done(now time.Time, head *seamroutewire.RequestHead, ran, answered bool, s seamlimit.Sample) {
	serviceTime := s.Latency
	if !ran || s.Shed || !answered && serviceTime < p.Load().ServiceTime {
		// The duration of an interrupted request is only a lower bound of its service time.
		serviceTime = 0
	}
	p.Done(now, head.GetClass(), serviceTime)
}
