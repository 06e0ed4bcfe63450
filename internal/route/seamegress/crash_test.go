package seamegress_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamsketch"
	"cardamomseam/internal/route/seamegress"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seampoison"
)

// crashingTarget is an egress whose target does something to its own server when it gets a request.
type crashingTarget struct {
	egress *seamegress.Egress
	events *seamevent.Stream
	server *httptest.Server
	guard  *seampoison.Guard
	// refused is the number of times that the target was reported to refuse connections.
	refused atomic.Int32
}

// newCrashingTarget returns a target that runs handle for each request, and the egress in front of it.
func newCrashingTarget(t *testing.T, handle func(g *crashingTarget, r *http.Request)) *crashingTarget {
	t.Helper()
	g := &crashingTarget{events: seamevent.NewStream("back"), guard: &seampoison.Guard{Table: seampoison.New()}}
	g.server = httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { handle(g, r) }))
	t.Cleanup(g.server.Close)
	clock := seamclock.NewClock()
	announced := announcedTarget{Service: "booker", Name: "t", Address: g.server.Listener.Addr().String(), MaxConcurrency: 4, Started: 7}
	keys := seamsketch.NewUsage(16, time.Minute, time.Minute)
	cfg := seamegress.Config{
		OnConnectionRefused: func(seamtarget.Announcement) { g.refused.Add(1) },
		Poison:              g.guard,
		BodyBufferBytes:     1 << 20,
	}
	e, closeEgress := seamegress.New(cfg, self, grantingOwners{clock, time.Minute}, announced, clock, keys, metrics.NewSet(), g.events)
	t.Cleanup(closeEgress)
	g.egress = e
	return g
}

// crash ends the target.
func (g *crashingTarget) crash() {
	_ = g.server.Listener.Close() // a second crash finds it closed
	g.server.CloseClientConnections()
	panic(http.ErrAbortHandler)
}

// run runs one request with the path.
func (g *crashingTarget) run(t *testing.T, attempt uint64, path string) seamoutcome.End {
	h := upload(attempt, 0)
	h.Path, h.Request = path, path
	return g.egress.Run(t.Context(), h, nil, &discard{header: http.Header{}})
}

// crashed returns the ids of the requests in the events of crashes.
func (g *crashingTarget) crashed() map[string]int {
	ids := map[string]int{}
	for _, x := range g.events.Recent() {
		if x.Name == seamevent.TargetCrashed {
			ids[x.Fields["id"].(string)]++
		}
	}
	return ids
}

func TestRequestsThatRanAtACrashAreLogged(t *testing.T) {
	var running sync.WaitGroup
	running.Add(2)
	g := newCrashingTarget(t, func(g *crashingTarget, r *http.Request) {
		if r.URL.Path == "/before" {
			return
		}
		running.Done()
		running.Wait()
		g.crash()
	})
	if end := g.run(t, 1, "/before"); end.Outcome != seamoutcome.Done {
		t.Fatalf("got %+v", end)
	}
	var ended sync.WaitGroup
	for i, path := range []string{"/a", "/b"} {
		ended.Go(func() {
			if end := g.run(t, uint64(i+2), path); end.Outcome != seamoutcome.Unknown || end.Reason != seamoutcome.Crashed {
				t.Errorf("%s: got %+v, want an unknown outcome with the reason crashed", path, end)
			}
		})
	}
	ended.Wait()
	if ids := g.crashed(); len(ids) != 2 || ids["/a"] != 1 || ids["/b"] != 1 {
		t.Errorf("got %v, want each request that was running once", ids)
	}
	if n := g.refused.Load(); n != 1 {
		t.Errorf("the crash was reported %d times, want once", n)
	}
}

func TestLostResponseIsNoCrash(t *testing.T) {
	g := newCrashingTarget(t, func(*crashingTarget, *http.Request) { panic(http.ErrAbortHandler) })
	if end := g.run(t, 1, "/lost"); end.Outcome != seamoutcome.Unknown || end.Reason != seamoutcome.Broken {
		t.Errorf("got %+v, want an unknown outcome with the reason broken", end)
	}
	if ids := g.crashed(); len(ids) > 0 {
		t.Errorf("got %v, want no crash", ids)
	}
}

func TestTargetRunsOneTrialAtATime(t *testing.T) {
	release, running := make(chan struct{}), make(chan struct{})
	g := newCrashingTarget(t, func(*crashingTarget, *http.Request) {
		running <- struct{}{}
		<-release
	})
	trial := func(attempt uint64, path string) seamoutcome.End {
		h := upload(attempt, 0)
		h.Path, h.Request, h.Trial = path, path, true
		return g.egress.Run(t.Context(), h, nil, &discard{header: http.Header{}})
	}
	first := make(chan seamoutcome.End, 1)
	go func() { first <- trial(1, "/a") }()
	<-running
	if end := trial(2, "/b"); end.Outcome != seamoutcome.Refused || end.Reason != seamoutcome.Full {
		t.Errorf("got %+v, want a refusal, so that another target runs the trial", end)
	}
	close(release)
	if end := <-first; end.Outcome != seamoutcome.Done {
		t.Errorf("got %+v", end)
	}
}

// The ingress has not seen the body, and this node has it in memory before the request is sent.
func TestQuarantinedUploadGetsATrial(t *testing.T) {
	g := newCrashingTarget(t, func(*crashingTarget, *http.Request) {})
	var trials atomic.Int32
	g.guard.Begin = func(context.Context, seampoison.Record, int64) error {
		trials.Add(1)
		return nil
	}
	body := strings.Repeat("x", 100<<10)
	h := upload(1, len(body))
	key := seampoison.Key{Service: "booker", Fingerprint: seampoison.NewFingerprint(seampoison.HeadDigest(h), []byte(body))}
	g.guard.PutRecord(time.Now().Add(-time.Minute), seampoison.Record{Key: key, Revision: 1})
	end := g.egress.Run(t.Context(), h, io.NopCloser(strings.NewReader(body)), &discard{header: http.Header{}})
	if end.Outcome != seamoutcome.Done || trials.Load() != 1 {
		t.Errorf("got %+v and %d trials, want one that is answered", end, trials.Load())
	}
	if ended := g.guard.Ended(); len(ended) != 1 {
		t.Errorf("got %+v, want the record, which is to be deleted", ended)
	}
}
