package seamplacer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"cardamomseam/internal/node/seamplacer"
	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamsketch"
	"cardamomseam/internal/own/seamslot"
)

// callerWindow is the time constant with which nodes forget the regions of callers.
const callerWindow = 30 * time.Second

var regions = []string{"erie", "superior"}

// shore is a service whose slots stand in two regions, with a cell each.
type shore struct {
	placer  *seamplacer.Placer
	random  *rand.Rand
	callers *seamsketch.Callers
	now     time.Duration
	region  [slotNumber]string
	entered [slotNumber]time.Duration
	// rate is that of each slot, in requests a second.
	rate float64
}

func newShore(rate float64) *shore {
	s := &shore{
		placer: seamplacer.New(settings, noRules{}), random: rand.New(rand.NewPCG(5, 6)),
		callers: seamsketch.NewCallers(callerWindow), rate: rate,
	}
	for i := range s.region {
		s.region[i] = "erie"
	}
	return s
}

func (s *shore) instant() seamclock.Instant {
	return seamclock.Instant{Mono: time.Hour + s.now, Wall: time.Hour + s.now}
}

// pass lets an interval pass in which a share of the requests of each slot comes from superior, and
// returns the number of parts that each cell then moves.
func (s *shore) pass(share float64) int {
	end := s.now + interval
	for s.now < end {
		s.now += time.Duration(s.random.ExpFloat64() / (s.rate * slotNumber) * float64(time.Second))
		region := regions[0]
		if s.random.Float64() < share {
			region = regions[1]
		}
		s.callers.Count(s.instant(), seamslot.ID{Index: s.random.Uint32N(slotNumber)}, region)
	}
	moves := 0
	for _, own := range regions {
		if s.plan(own) {
			moves++
		}
	}
	return moves
}

// plan moves the first part of the ranges of a region that the placer names.
func (s *shore) plan(own string) bool {
	foremost := s.callers.Foremost(s.instant(), own, 0.5)
	v := seamcell.RangeView{Region: own, Regions: regions, Members: memberNumber}
	for _, region := range s.region {
		if region == own {
			v.Total += s.rate
		}
	}
	for i, region := range append(s.region[:], "") {
		if region == own {
			x := foremost[seamslot.ID{Index: uint32(i)}]
			v.Slots = append(v.Slots, seamcell.RangeSlot{
				Index: uint32(i), Rate: s.rate, Caller: x.Region, Share: x.Share, Held: s.now - s.entered[i],
			})
			continue
		}
		if m, ok := s.placer.PlanRange(s.instant(), v); ok {
			for k := m.From; k < m.To; k++ {
				s.region[k], s.entered[k] = m.Region, s.now
			}
			return true
		}
		v.Slots = nil
	}
	return false
}

// TestRangesStayWhileCallersAreEven checks that chance moves nothing.
func TestRangesStayWhileCallersAreBalanced(t *testing.T) {
	for _, rate := range []float64{0.05, 0.2, 1, 5} {
		s := newShore(rate)
		moves := 0
		for range 12 * 30 {
			moves += s.pass(0.5)
		}
		t.Logf("%.2f requests/s a slot: %d moves in 30 minutes", rate, moves)
		if moves > 0 {
			t.Errorf("%d moves at %.2f requests/s a slot", moves, rate)
		}
	}
}

// TestRangesFollowCallersOnce checks that all slots change regions once when their callers do.
func TestRangesFollowCallersOnce(t *testing.T) {
	for _, rate := range []float64{0.2, 1, 5} {
		s := newShore(rate)
		for range 24 {
			s.pass(0.1)
		}
		began, moves, there := s.now, 0, 0
		for there < slotNumber && s.now-began < 5*time.Minute {
			moves += s.pass(0.95)
			there = 0
			for _, r := range s.region {
				if r == regions[1] {
					there++
				}
			}
		}
		t.Logf("%.2f requests/s a slot: %d of %d slots in %s, %d moves", rate, there, slotNumber, s.now-began, moves)
		for range 24 {
			moves += s.pass(0.95)
		}
		if there < slotNumber*9/10 || moves > 16 {
			t.Errorf("%d of %d slots followed in %d moves", there, slotNumber, moves)
		}
	}
}
