package seamrouter_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/route/seamegress"
)

// callerHeader is the header in which targets get the service of the instance at which a request began.
const callerHeader = "Test-Caller"

// callerDialect is the native dialect with callerHeader.
type callerDialect struct{ seamegress.Native }

// SetHeaders implements seamegress.Dialect.
func (d callerDialect) SetHeaders(ctx context.Context, h http.Header, info seamegress.RequestInfo) {
	d.Native.SetHeaders(ctx, h, info)
	h.Set(callerHeader, info.CallerService)
}

// TestCallerServiceDoesNotDependOnAnnouncements guards against a foreign heartbeat that gives the requests which begin at a node another
// caller service, and that takes its target's keys.
func TestCallerServiceDoesNotDependOnAnnouncements(t *testing.T) {
	for name, foreign := range map[string]seamtarget.Announcement{
		"service that no configuration has": {Service: "elsewhere", Address: "127.0.0.1:9"},
		"service that exists":               {Service: plainService, Address: "127.0.0.1:9"},
		"own service":                       {Service: keyedService, Address: "127.0.0.1:9"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			var mu sync.Mutex
			callers := map[string]int{}
			f.onRun = func(_ string, r *http.Request) func() {
				mu.Lock()
				defer mu.Unlock()
				if r.URL.Path == "/report/x" {
					callers[r.Header.Get(callerHeader)]++
				}
				return func() {}
			}
			origin := f.add("n0", keyedService)
			f.add("n1", plainService)
			origin.stop()
			origin.settings.Service, origin.settings.Target = keyedService, origin.target.address()
			f.start(origin)
			f.awaitServed(f.nodes[1])
			foreign.Name, foreign.Started, foreign.Sequence, foreign.MaxConcurrency = "foreign", time.Now().UnixMilli(), 1, 9
			_ = origin.announce.Announce(time.Now(), foreign) // it may be refused
			for range 20 {
				if a, err := f.send(origin, http.MethodGet, "/report/x", ""); err != nil || a.status != http.StatusOK {
					t.Fatalf("got %+v, error %v", a, err)
				}
			}
			f.awaitServed(f.nodes[1])
			mu.Lock()
			defer mu.Unlock()
			if callers[keyedService] < 20 || len(callers) > 1 {
				t.Errorf("20 requests began at a node of %s, their targets got the caller services %v", keyedService, callers)
			}
		})
	}
}
