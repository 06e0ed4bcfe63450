package seamrouter_test

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"cardamomseam/internal/route/seamheader"
)

const (
	// graceLimit is the time limit of the stop in these tests. The node accepts connections for graceNotice.
	graceLimit  = 5 * time.Second
	graceNotice = 4 * time.Second
	// slowWork is the time that a slow request takes, unless its deadline comes first.
	slowWork = 3 * time.Second
)

// graceFleet is a fleet with a target that responds at a request's deadline at the latest.
type graceFleet struct {
	*fleet

	mu sync.Mutex
	// ran are the requests that the target has begun to run, by their path with query.
	ran map[string]bool
}

func (g *graceFleet) run(_ string, r *http.Request) func() {
	g.mu.Lock()
	g.ran[r.URL.RequestURI()] = true
	g.mu.Unlock()
	if r.URL.Query().Get("slow") == "" {
		return func() {}
	}
	work := slowWork
	if left, err := strconv.ParseInt(r.Header.Get(seamheader.Deadline), 10, 64); err == nil {
		work = min(work, time.Duration(left)*time.Millisecond)
	}
	time.Sleep(work)
	return func() {}
}

// check sends a slow request and reports an error if the target runs it and the caller does not get the target's response, or if the
// caller is told that it may have run although it has not.
func (g *graceFleet) check(n *node, method, path string, deadline time.Duration) {
	a, err := g.sendWithin(n, method, path, "", deadline)
	g.mu.Lock()
	ran := g.ran[path]
	g.mu.Unlock()
	switch outcome := a.header.Get(seamheader.Outcome); {
	case err != nil && ran:
		g.t.Errorf("%s: the target ran it, and the caller got no response: %v", path, err)
	case err == nil && outcome != seamheader.Done && (ran || outcome != seamheader.Refused):
		g.t.Errorf("%s: the target ran it (%t), and the caller got %d: %s", path, ran, a.status, a.body)
	}
}

// Callers send slow requests through a node and through another one until late in the grace of the node that stops.
func TestRequestTakenLateInTheGraceGetsTheTargetsResponse(t *testing.T) {
	for _, tt := range []struct {
		name, method, path string
		// entry is the node through which callers send: 0 is the one that stops, with the only target.
		entry int
	}{
		{"not idempotent", http.MethodPost, "/book/a", 0},
		{"idempotent", http.MethodGet, "/report/a", 0},
		{"not idempotent, through another node", http.MethodPost, "/book/a", 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			g := &graceFleet{fleet: f, ran: map[string]bool{}}
			f.onRun = g.run
			f.stopSettings.Notice, f.stopSettings.Limit = graceNotice, graceLimit
			f.add("stopping", plainService)
			f.add("other", keyedService)
			stopping, entry := f.nodes[0], f.nodes[tt.entry]
			f.await("the target", func() bool {
				a, err := f.send(entry, tt.method, tt.path, "")
				return err == nil && a.status == http.StatusOK
			})
			ctx, cancel := context.WithTimeout(t.Context(), graceLimit)
			defer cancel()
			start := time.Now()
			var callers sync.WaitGroup
			for _, at := range []time.Duration{250, 1000, 1750, 2500} {
				for _, deadline := range []time.Duration{4 * time.Second, 10 * time.Second} {
					callers.Go(func() {
						time.Sleep(time.Until(start.Add(at * time.Millisecond)))
						g.check(entry, tt.method, tt.path+"?slow=1&at="+strconv.Itoa(int(at))+"&deadline="+deadline.String(), deadline)
					})
				}
			}
			_ = stopping.Drain(ctx) // returns an error if requests are in flight at its end; the callers report that
			stopping.stop()
			callers.Wait()
		})
	}
}
