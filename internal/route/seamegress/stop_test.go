package seamegress_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"cardamomseam/internal/route/seamheader"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamstop"
)

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
	e.PlanStop(seamstop.Plan{Limit: now.Add(2050 * time.Millisecond)})
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
	release, running := make(chan struct{}), make(chan struct{})
	e := newBufferingEgress(t, 0, func(http.ResponseWriter, *http.Request) {
		close(running)
		<-release
	})
	defer close(release)
	ended := make(chan seamoutcome.End, 1)
	go func() { ended <- e.Run(t.Context(), upload(1, 0), nil, &discard{header: http.Header{}}) }()
	<-running
	e.PlanStop(seamstop.Plan{Limit: time.Now().Add(50 * time.Millisecond)})
	select {
	case end := <-ended:
		if end.Outcome != seamoutcome.Unknown || end.Reason != seamoutcome.Cancelled {
			t.Errorf("got %+v, want a report that the node canceled the request", end)
		}
	case <-time.After(2 * time.Second):
		t.Error("the node that sent the request is not told that the stop cuts it, and waits for its end")
	}
}

// TestTargetRespondsBeforeAStopThatLeavesNoTimeToRepeat guards against an idempotent request that the stop cuts so shortly before its
// deadline that no other node can run it: its caller got an unknown outcome instead of the target's response.
func TestTargetRespondsBeforeAStopThatLeavesNoTimeToRepeat(t *testing.T) {
	const limit = 5 * time.Second
	for _, tt := range []struct {
		name string
		left time.Duration
		// until is the time until the ingress stops; 0 if it doesn't.
		until time.Duration
		keyed bool
		// most is the longest timeout that the target may get.
		most time.Duration
	}{
		{"no time to repeat", limit + 250*time.Millisecond, 0, false, limit - 100*time.Millisecond},
		{"time to repeat", limit + 10*time.Second, 0, false, limit + 10*time.Second},
		{"the ingress stops too", limit + 10*time.Second, limit + 250*time.Millisecond, false, limit - 100*time.Millisecond},
		{"the owner of the key stops", limit + 10*time.Second, 0, true, limit - 100*time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			timeouts := make(chan time.Duration, 1)
			e := newBufferingEgress(t, 0, func(_ http.ResponseWriter, r *http.Request) {
				n, _ := strconv.Atoi(r.Header.Get(seamheader.Deadline))
				timeouts <- time.Duration(n) * time.Millisecond
			})
			e.PlanStop(seamstop.Plan{Limit: time.Now().Add(limit)})
			h := upload(1, 0)
			h.Idempotent, h.Keyed, h.Left, h.Until = true, tt.keyed, tt.left.Milliseconds(), tt.until.Milliseconds()
			expect(t, e.Run(t.Context(), h, nil, &discard{header: http.Header{}}), seamoutcome.Done, "")
			if got := <-timeouts; got > tt.most || got < tt.most-time.Second {
				t.Errorf("the target got a timeout of %v, want at most %v", got, tt.most)
			}
		})
	}
}
