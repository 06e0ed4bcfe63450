package seamegress_test

import (
	"testing"
	"time"

	"cardamomseam/internal/route/seamegress"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamthrottle"
)

// TestStatedLoadIsPassedOnWhileFresh guards against reports that repeat an old statement, or that of a former incarnation.
func TestStatedLoadIsPassedOnWhileFresh(t *testing.T) {
	target, other := seamthrottle.Target{Name: "a", Started: 1}, seamthrottle.Target{Name: "a", Started: 2}
	busy := seamegress.StatedLoad{Running: 6, Waiting: 3, Slots: 8, Pace: 2}
	own := seamoutcome.End{InFlight: 4, Slots: 12, ServiceTime: 100 * time.Millisecond, ClassServiceTime: 200 * time.Millisecond}
	for _, tt := range []struct {
		name            string
		target          seamthrottle.Target
		load            seamegress.StatedLoad
		age             time.Duration
		inFlight, slots int
		service         time.Duration
	}{
		{"fresh", target, busy, 0, 9, 8, 200 * time.Millisecond},
		{"pace fades", target, busy, 300 * time.Millisecond, 9, 8, 137 * time.Millisecond},
		{"old", target, busy, 5 * time.Second, 4, 12, 100 * time.Millisecond},
		{"from the future", target, busy, -time.Second, 9, 8, 200 * time.Millisecond},
		{"another incarnation", other, busy, 0, 4, 12, 100 * time.Millisecond},
		{"fewer requests than this node knows of", target, seamegress.StatedLoad{Slots: 12}, 0, 4, 12, 100 * time.Millisecond},
		{"absurd pace", target, seamegress.StatedLoad{Slots: 12, Pace: 1e6}, 0, 4, 12, time.Second},
		{"no load", target, seamegress.StatedLoad{Pace: 2}, 0, 4, 12, 100 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var s seamegress.StatedLoads
			at := time.Unix(1000, 0)
			s.Record(at, tt.target, tt.load)
			end := own
			s.Apply(at.Add(tt.age), target, &end)
			if end.InFlight != tt.inFlight || end.Slots != tt.slots || end.ServiceTime.Round(time.Millisecond) != tt.service {
				t.Errorf("reports %d in flight, %d slots and a service time of %v", end.InFlight, end.Slots, end.ServiceTime)
			}
			if end.ClassServiceTime.Round(2*time.Millisecond) != (2 * end.ServiceTime).Round(2*time.Millisecond) {
				t.Errorf("service time of the class is %v", end.ClassServiceTime)
			}
		})
	}
}
