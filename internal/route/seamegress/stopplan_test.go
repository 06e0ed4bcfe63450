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
	plan := seamegress.StopPlan{NoticeEnd: after(2 * time.Second), Limit: after(5 * time.Second)}
	late := after(9 * time.Second)
	for _, tt := range []struct {
		name string
		plan seamegress.StopPlan
		now  time.Time
		r    seamegress.StartingRequest
		want bool
	}{
		{"no stop is planned", seamegress.StopPlan{}, start, seamegress.StartingRequest{Deadline: late}, true},
		{"within the notice", plan, after(time.Second), seamegress.StartingRequest{Deadline: late, MeanServiceTime: mean}, true},
		{"within the notice, but slow", plan, after(time.Second), seamegress.StartingRequest{Deadline: late, MeanServiceTime: 3 * time.Second}, false},
		{"after the notice", plan, after(2100 * time.Millisecond), seamegress.StartingRequest{Deadline: late, MeanServiceTime: mean}, false},
		{"after the notice, repeatable", plan, after(3 * time.Second), seamegress.StartingRequest{Deadline: late, MeanServiceTime: mean, Idempotent: true}, false},
		{"after the notice, with a key", plan, after(3 * time.Second), seamegress.StartingRequest{Deadline: late, MeanServiceTime: mean, OwnerOnly: true}, false},
		{"after the notice, repeatable with a key", plan, after(3 * time.Second), seamegress.StartingRequest{Deadline: late, MeanServiceTime: mean, OwnerOnly: true, Idempotent: true}, true},
		{"shortly before the limit, repeatable with a key", plan, after(4700 * time.Millisecond), seamegress.StartingRequest{Deadline: late, MeanServiceTime: mean, OwnerOnly: true, Idempotent: true}, false},
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

func TestQueuedRequestIsRefusedAtTheEndOfTheNotice(t *testing.T) {
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
	e.PlanStop(seamegress.StopPlan{NoticeEnd: now.Add(50 * time.Millisecond), Limit: now.Add(10 * time.Second)})
	select {
	case end := <-queued:
		if end.Outcome != seamoutcome.Refused || end.Reason != seamoutcome.Draining {
			t.Errorf("got %+v, want a refusal because the node is draining", end)
		}
	case <-time.After(5 * time.Second):
		t.Error("a request that will not be started still waits 5 s after the end of the notice")
	}
}
