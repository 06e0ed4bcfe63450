package seamegress_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamgrant"
	"cardamomseam/internal/own/seamsketch"
	"cardamomseam/internal/own/seamslot"
	"cardamomseam/internal/route/seamegress"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamstop"
)

// slowOwners grants every slot, from the second time on after a wait, as while a grant is renewed late.
type slowOwners struct {
	grantingOwners
	wait  time.Duration
	calls atomic.Int32
}

func (s *slowOwners) Acquire(ctx context.Context, id seamslot.ID) (seamgrant.Grant, func(), error) {
	if s.calls.Add(1) > 1 {
		time.Sleep(s.wait)
	}
	grant, _, err := s.grantingOwners.Acquire(ctx, id)
	return grant, func() {}, err
}

func TestRequestThatWaitsForItsGrantIsNotStartedShortlyBeforeShutdown(t *testing.T) {
	const (
		beforeShutdown = 2400 * time.Millisecond
		grantWait      = 500 * time.Millisecond
		// lateAfter is the time from which on a run would be cut: less than 2 s before the node stops.
		lateAfter = 450 * time.Millisecond
	)
	var lateRuns atomic.Int32
	var shutdown atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if time.Now().UnixNano() > shutdown.Load()-int64(beforeShutdown-lateAfter) {
			lateRuns.Add(1)
		}
	}))
	t.Cleanup(server.Close)
	clock := seamclock.NewClock()
	owners := &slowOwners{grantingOwners: grantingOwners{clock, time.Minute}, wait: grantWait}
	target := announcedTarget{Service: "booker", Name: "t", Address: server.Listener.Addr().String(), MaxConcurrency: 1}
	keys := seamsketch.NewUsage(16, time.Minute, time.Minute)
	e, closeEgress := seamegress.New(seamegress.Config{AdmitByObjective: true, BodyBufferBytes: 1 << 20}, self, owners, target, clock, keys, metrics.NewSet(), seamevent.NewStream("back"))
	t.Cleanup(closeEgress)
	deadline := time.Now().Add(beforeShutdown)
	shutdown.Store(deadline.UnixNano())
	e.PlanStop(seamstop.Plan{Limit: deadline})
	h := upload(1, 4)
	h.Keyed = true
	end := e.Run(t.Context(), h, strings.NewReader("body"), &discard{header: http.Header{}})
	if end.Reason != seamoutcome.Draining || lateRuns.Load() != 0 {
		t.Errorf("a request that got its grant 1.9 s before the node stops ended with %q after %d runs, want a refusal: the stop cuts longer ones and their callers get 502", end.Reason, lateRuns.Load())
	}
}

func TestDrainOfAnIdleEgressReportsNoRequestsInFlight(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	failed := 0
	for range 50 {
		e, _ := newEgress(t, time.Minute, nil, nil)
		if e.Drain(ctx) != nil {
			failed++
		}
	}
	if failed > 0 {
		t.Errorf("%d of 50 drains at the end of the time reported requests in flight; there were none, and the node logs that it cut some", failed)
	}
}
