package seamegress_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamsketch"
	"cardamomseam/internal/route/seamegress"
	"cardamomseam/internal/route/seamoutcome"
)

// evacuatedEgress is an egress whose target has one slot and can be evacuated.
type evacuatedEgress struct {
	*seamegress.Egress
	set *metrics.Set
	// unkeyed and keyed are whether such requests are refused.
	unkeyed, keyed atomic.Bool
	runs           atomic.Int32
	// started is signalled when a request begins to run, which ends when finish is closed.
	started, finish chan struct{}
}

func newEvacuatedEgress(t *testing.T) *evacuatedEgress {
	t.Helper()
	x := &evacuatedEgress{set: metrics.NewSet(), started: make(chan struct{}, 16), finish: make(chan struct{})}
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		x.runs.Add(1)
		x.started <- struct{}{}
		<-x.finish
	}))
	t.Cleanup(target.Close)
	clock := seamclock.NewClock()
	announced := announcedTarget{Service: "booker", Name: "t", Address: target.Listener.Addr().String(), MaxConcurrency: 1}
	cfg := seamegress.Config{AdmitByObjective: true, BodyBufferBytes: 1 << 20, Evacuated: func(_ time.Time, keyed bool) bool {
		return keyed && x.keyed.Load() || !keyed && x.unkeyed.Load()
	}}
	e, stop := seamegress.New(cfg, self, grantingOwners{clock, time.Minute}, announced, clock, seamsketch.NewUsage(16, time.Minute, time.Minute), x.set, seamevent.NewStream("back"))
	t.Cleanup(stop)
	x.Egress = e
	return x
}

func (x *evacuatedEgress) run(t *testing.T, attempt uint64, keyed bool) seamoutcome.End {
	h := upload(attempt, 4)
	h.Keyed = keyed
	return x.Run(t.Context(), h, strings.NewReader("body"), &discard{header: http.Header{}})
}

// TestEvacuatedTargetGetsNoRequest guards against requests that reach an evacuated target: new ones, those with a key at the time at
// which they are refused too, and those that were waiting for a slot. A running request must not be interrupted.
func TestEvacuatedTargetGetsNoRequest(t *testing.T) {
	x := newEvacuatedEgress(t)
	var requests sync.WaitGroup
	requests.Go(func() {
		if end := x.run(t, 1, false); end.Outcome != seamoutcome.Done {
			t.Errorf("the request that was running ended with %+v", end)
		}
	})
	<-x.started
	for i := range 3 {
		requests.Go(func() {
			if end := x.run(t, uint64(2+i), false); end.Reason != seamoutcome.Draining || end.Outcome != seamoutcome.Refused {
				t.Errorf("a request that was waiting ended with %+v", end)
			}
		})
	}
	for x.InFlight() < 4 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond) // until they wait for admission
	x.unkeyed.Store(true)
	if end := x.run(t, 10, false); end.Reason != seamoutcome.Draining {
		t.Errorf("a new request ended with %+v", end)
	}
	close(x.finish)
	requests.Wait()
	if end := x.run(t, 11, true); end.Outcome != seamoutcome.Done {
		t.Errorf("a request with a key, whose keys may still move, ended with %+v", end)
	}
	x.keyed.Store(true)
	if end := x.run(t, 12, true); end.Reason != seamoutcome.Draining {
		t.Errorf("a request with a key ended with %+v", end)
	}
	if n := x.runs.Load(); n != 2 {
		t.Errorf("%d requests reached the target, want 2", n)
	}
	var text bytes.Buffer
	x.set.WritePrometheus(&text)
	if want := "cardamomseam_egress_evacuated_total 5\n"; !strings.Contains(text.String(), want) {
		t.Errorf("the metrics lack %q", want)
	}
}
