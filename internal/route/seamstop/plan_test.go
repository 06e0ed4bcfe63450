package seamstop_test

import (
	"testing"
	"time"

	"cardamomseam/internal/route/seamstop"
)

func TestPlanAllowsOnlyRequestsThatTheStopDoesNotCut(t *testing.T) {
	const mean = 200 * time.Millisecond
	start := time.Unix(1000, 0)
	after := start.Add
	plan := seamstop.Plan{Limit: after(5 * time.Second)}
	late := after(9 * time.Second)
	for _, tt := range []struct {
		name string
		plan seamstop.Plan
		now  time.Time
		r    seamstop.Request
		want bool
	}{
		{"no stop is planned", seamstop.Plan{}, start, seamstop.Request{Deadline: late}, true},
		{"2 s left", plan, after(3 * time.Second), seamstop.Request{Deadline: late, MeanServiceTime: mean}, true},
		{"less than 2 s left", plan, after(3001 * time.Millisecond), seamstop.Request{Deadline: late, MeanServiceTime: mean}, false},
		{"2 s left, of unknown duration", plan, after(3 * time.Second), seamstop.Request{Deadline: late}, true},
		{"less than six mean service times left", plan, after(2 * time.Second), seamstop.Request{Deadline: late, MeanServiceTime: 501 * time.Millisecond}, false},
		{"idempotent, less than 2 s left", plan, after(4 * time.Second), seamstop.Request{Deadline: late, MeanServiceTime: mean, Idempotent: true}, true},
		{"idempotent, less than two mean service times left", plan, after(4601 * time.Millisecond), seamstop.Request{Deadline: late, MeanServiceTime: mean, Idempotent: true}, false},
		{"idempotent, less than 0.3 s left", plan, after(4701 * time.Millisecond), seamstop.Request{Deadline: late, Idempotent: true}, false},
		{"deadline at the limit", plan, after(4 * time.Second), seamstop.Request{Deadline: after(5 * time.Second), MeanServiceTime: mean}, true},
		{"deadline after the limit", plan, after(4 * time.Second), seamstop.Request{Deadline: after(5001 * time.Millisecond), MeanServiceTime: mean}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.plan.MayStart(tt.now, tt.r); got != tt.want {
				t.Errorf("got %t, want %t", got, tt.want)
			}
		})
	}
}

func TestTargetsRespondBeforeTheStopCutsThem(t *testing.T) {
	start := time.Unix(1000, 0)
	limit := start.Add(5 * time.Second)
	plan := seamstop.Plan{Limit: limit}
	for _, tt := range []struct {
		name           string
		plan           seamstop.Plan
		deadline, want time.Time
	}{
		{"no stop is planned", seamstop.Plan{}, start.Add(time.Hour), start.Add(time.Hour)},
		{"deadline before the limit", plan, start.Add(time.Second), start.Add(time.Second)},
		{"deadline at the limit", plan, limit, limit.Add(-200 * time.Millisecond)},
		{"deadline after the limit", plan, limit.Add(time.Minute), limit.Add(-200 * time.Millisecond)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.plan.TargetDeadline(tt.deadline); !got.Equal(tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestPlanRepeatsOnlyIdempotentRequestsThatHaveTimeForIt(t *testing.T) {
	const mean = 200 * time.Millisecond
	limit := time.Unix(1000, 0)
	plan := seamstop.Plan{Limit: limit}
	for _, tt := range []struct {
		name string
		r    seamstop.Request
		want bool
	}{
		{"two mean service times left after the stop", seamstop.Request{Deadline: limit.Add(2 * mean), MeanServiceTime: mean, Idempotent: true}, true},
		{"less than two mean service times left", seamstop.Request{Deadline: limit.Add(2*mean - 1), MeanServiceTime: mean, Idempotent: true}, false},
		{"less than 0.3 s left, of unknown duration", seamstop.Request{Deadline: limit.Add(299 * time.Millisecond), Idempotent: true}, false},
		{"not idempotent", seamstop.Request{Deadline: limit.Add(time.Minute), MeanServiceTime: mean}, false},
		{"keyed", seamstop.Request{Deadline: limit.Add(time.Minute), MeanServiceTime: mean, Idempotent: true, Keyed: true}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := plan.MayRepeat(tt.r); got != tt.want {
				t.Errorf("got %t, want %t", got, tt.want)
			}
		})
	}
}
