package seamegress

import (
	"math"
	"sync"
	"time"

	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamthrottle"
)

// StatedLoad is the load that a target states in a response.
type StatedLoad struct {
	// Running and Waiting are numbers of requests at the target, Slots the number that it runs concurrently.
	Running, Waiting, Slots int
	// Pace is the time that work takes at the moment, in units of the usual time; 0 if it is not stated.
	Pace float64
}

const (
	// statedTTL is the time for which the stated numbers of requests and slots are used.
	statedTTL = time.Second
	// paceDecay is the time constant with which the stated pace returns to the usual one. It is short, since the pace changes
	// many times a second.
	paceDecay = 300 * time.Millisecond
	// minPace and maxPace bound the pace, so that one absurd value does not make a target look idle or unusable.
	minPace, maxPace = 0.1, 10
)

// StatedLoads holds the last load that the target stated. It is safe for concurrent use. The zero value is empty.
type StatedLoads struct {
	mu     sync.Mutex
	target seamthrottle.Target
	load   StatedLoad
	at     time.Time
}

// Record records the load of the target. A load without slots is ignored.
func (s *StatedLoads) Record(now time.Time, target seamthrottle.Target, load StatedLoad) {
	if load.Slots <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.target, s.load, s.at = target, load, now
}

// Apply adjusts what the end of a request reports about the load by what the target has stated.
func (s *StatedLoads) Apply(now time.Time, target seamthrottle.Target, end *seamoutcome.End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at.IsZero() || s.target != target {
		return
	}
	if now.Sub(s.at) < statedTTL && end.Slots > 0 {
		end.Slots = min(end.Slots, s.load.Slots)
		end.InFlight = max(end.InFlight, s.load.Running+s.load.Waiting)
	}
	pace := s.paceLocked(now)
	end.ServiceTime = time.Duration(float64(end.ServiceTime) * pace)
	end.ClassServiceTime = time.Duration(float64(end.ClassServiceTime) * pace)
}

// Pace returns the stated pace with a weight that decreases with its age.
func (s *StatedLoads) Pace(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.paceLocked(now)
}

func (s *StatedLoads) paceLocked(now time.Time) float64 {
	if s.load.Pace <= 0 {
		return 1
	}
	weight := math.Exp(-max(now.Sub(s.at).Seconds(), 0) / paceDecay.Seconds())
	return 1 + (min(max(s.load.Pace, minPace), maxPace)-1)*weight
}
