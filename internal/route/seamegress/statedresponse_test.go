package seamegress_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamsketch"
	"cardamomseam/internal/route/seamegress"
)

// loadDialect is the native dialect of a target that states a load in each response.
type loadDialect struct{ seamegress.Native }

func (d loadDialect) Classify(res *http.Response, info seamegress.RequestInfo) seamegress.Classification {
	cl := d.Native.Classify(res, info)
	cl.Load = seamegress.StatedLoad{Running: 2, Waiting: 7, Slots: 3}
	return cl
}

// TestStatedLoadReachesTheSender guards against a load that is lost on its way, and against one passed on without the setting.
func TestStatedLoadReachesTheSender(t *testing.T) {
	for _, passOn := range []bool{false, true} {
		target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		t.Cleanup(target.Close)
		clock := seamclock.NewClock()
		announced := announcedTarget{Service: "booker", Name: "t", Address: target.Listener.Addr().String(), MaxConcurrency: 4}
		keys := seamsketch.NewUsage(16, time.Minute, time.Minute)
		cfg := seamegress.Config{AdmitByObjective: true, Dialect: loadDialect{}, PassOnStatedLoad: passOn}
		e, closeEgress := seamegress.New(cfg, self, grantingOwners{clock, time.Minute}, announced, clock, keys, metrics.NewSet(), seamevent.NewStream("back"))
		t.Cleanup(closeEgress)
		end := run(e, request(1, http.MethodGet))
		inFlight, slots := 0, 4
		if passOn {
			inFlight, slots = 9, 3
		}
		if end.InFlight != inFlight || end.Slots != slots {
			t.Errorf("passed on: %v; got %d in flight and %d slots, want %d and %d", passOn, end.InFlight, end.Slots, inFlight, slots)
		}
	}
}
