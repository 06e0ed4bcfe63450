package seamegress_test

import (
	"net/http"
	"testing"
	"time"

	"cardamomseam/internal/route/seamegress"
	"cardamomseam/internal/route/seamoutcome"
)

func TestStopPlanAllowsOnlyRequestsThatTheStopDoesNotCut(t *testing.T) {
	const mean = 200 * time.Millisecond
	start := time.Unix(1000, 0)
	after := start.Add
	plan := seamegress.StopPlan{Limit: after(5 * time.Second)}
	late := after(9 * time.Second)
	for _, tt := range []struct {
		name string
		plan seamegress.StopPlan
		now  time.Time
		r    seamegress.StartingRequest
		want bool
	}{
		{"no stop is planned", seamegress.StopPlan{}, start, seamegress.StartingRequest{Deadline: late}, true},
		{"2 s left", plan, after(3 * time.Second), seamegress.StartingRequest{Deadline: late, MeanServiceTime: mean}, true},
		{"less than 2 s left", plan, after(3001 * time.Millisecond), seamegress.StartingRequest{Deadline: late, MeanServiceTime: mean}, false},
		{"2 s left, of unknown duration", plan, after(3 * time.Second), seamegress.StartingRequest{Deadline: late}, true},
		{"less than six mean service times left", plan, after(2 * time.Second), seamegress.StartingRequest{Deadline: late, MeanServiceTime: 501 * time.Millisecond}, false},
		{"idempotent, less than 2 s left", plan, after(4 * time.Second), seamegress.StartingRequest{Deadline: late, MeanServiceTime: mean, Idempotent: true}, true},
		{"idempotent, less than two mean service times left", plan, after(4601 * time.Millisecond), seamegress.StartingRequest{Deadline: late, MeanServiceTime: mean, Idempotent: true}, false},
		{"idempotent, less than 0.3 s left", plan, after(4701 * time.Millisecond), seamegress.StartingRequest{Deadline: late, Idempotent: true}, false},
		{"deadline at the limit", plan, after(4 * time.Second), seamegress.StartingRequest{Deadline: after(5 * time.Second), MeanServiceTime: mean}, true},
		{"deadline after the limit", plan, after(4 * time.Second), seamegress.StartingRequest{Deadline: after(5001 * time.Millisecond), MeanServiceTime: mean}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.plan.MayStart(tt.now, tt.r); got != tt.want {
				t.Errorf("got %t, want %t", got, tt.want)
			}
		})
	}
}

func TestQueuedRequestIsRefusedOnceTheStopWouldCutIt(t *testing.T) {
	release := make(chan struct{})
	e := newBufferingEgress(t, 0, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	run := func(attempt uint64) seamoutcome.End {
		return e.Run(t.Context(), upload(attempt, 0), nil, &discard{header: http.Header{}})
	}
	slots := e.Load().Slots
	for i := range slots {
		go run(uint64(i + 1))
	}
	for e.Load().Running < slots {
		time.Sleep(time.Millisecond)
	}
	queued := make(chan seamoutcome.End, 1)
	go func() { queued <- run(100) }()
	for e.Load().Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	now := time.Now()
	e.PlanStop(seamegress.StopPlan{Limit: now.Add(2050 * time.Millisecond)})
	select {
	case end := <-queued:
		if end.Outcome != seamoutcome.Refused || end.Reason != seamoutcome.Draining {
			t.Errorf("got %+v, want a refusal because the node is draining", end)
		}
	case <-time.After(time.Second):
		t.Error("a request that will not be started still waits 1 s later")
	}
}

func TestRunningRequestIsReportedWhenTheStopCutsIt(t *testing.T) {
	release := make(chan struct{})
	e := newBufferingEgress(t, 0, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	ended := make(chan seamoutcome.End, 1)
	go func() { ended <- e.Run(t.Context(), upload(1, 0), nil, &discard{header: http.Header{}}) }()
	for e.Load().Running == 0 {
		time.Sleep(time.Millisecond)
	}
	e.PlanStop(seamegress.StopPlan{Limit: time.Now().Add(50 * time.Millisecond)})
	select {
	case end := <-ended:
		if end.Outcome != seamoutcome.Unknown || end.Reason != seamoutcome.Cancelled {
			t.Errorf("got %+v, want a report that the node canceled the request", end)
		}
	case <-time.After(2 * time.Second):
		t.Error("the node that sent the request is not told that the stop cuts it, and waits for its end")
	}
}
