package seamegress_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamsketch"
	"cardamomseam/internal/route/seamegress"
	"cardamomseam/internal/route/seamoutcome"
)

func TestChangeOfTheTargetCutsNoRunningRequest(t *testing.T) {
	for name, change := range map[string]func(a *seamtarget.Announcement){
		"connection limit": func(a *seamtarget.Announcement) { a.Connections = 3 },
		"slots":            func(a *seamtarget.Announcement) { a.MaxConcurrency = 1 },
		"leaving":          func(a *seamtarget.Announcement) { a.Leaving = true },
		"incarnation":      func(a *seamtarget.Announcement) { a.Name = "t2" },
		"service":          func(a *seamtarget.Announcement) { a.Service = "other" },
	} {
		t.Run(name, func(t *testing.T) {
			running, release := make(chan struct{}), make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost {
					close(running)
					<-release
				}
				_, _ = io.WriteString(w, "whole")
			}))
			t.Cleanup(server.Close)
			clock := seamclock.NewClock()
			target := &drainingTarget{a: seamtarget.Announcement{Service: "booker", Name: "t", Address: server.Listener.Addr().String(), MaxConcurrency: 4, Connections: 4}}
			keys := seamsketch.NewUsage(16, time.Minute, time.Minute)
			e, closeEgress := seamegress.New(seamegress.Config{AdmitByObjective: true}, self, grantingOwners{clock, time.Minute}, target, clock, keys, metrics.NewSet(), seamevent.NewStream("back"))
			t.Cleanup(closeEgress)
			first := make(chan seamoutcome.End, 1)
			go func() { first <- run(e, request(1, http.MethodPost)) }()
			<-running
			target.mu.Lock()
			change(&target.a)
			target.mu.Unlock()
			second := request(2, http.MethodGet)
			second.Left = 50
			_ = run(e, second) // applies the change; it is refused after some changes
			time.Sleep(20 * time.Millisecond)
			close(release)
			if end := <-first; end.Outcome != seamoutcome.Done {
				t.Errorf("the running request ended with %+v", end)
			}
		})
	}
}
