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

// callerWindow is the decay time constant of the request counts by caller region.
const callerWindow = 30 * time.Second

var regions = []string{"erie", "superior"}

// twoRegions simulates a service whose slots are placed in two regions, with one cell each.
type twoRegions struct {
	placer      *seamplacer.Placer
	random      *rand.Rand
	callers     *seamsketch.RegionCounter
	now         time.Duration
	slotRegions [numSlots]string
	movedAt     [numSlots]time.Duration
	// rate is the request rate of each slot, in requests per second.
	rate float64
}

func newTwoRegions(rate float64) *twoRegions {
	s := &twoRegions{
		placer: seamplacer.New(settings, noRules{}), random: rand.New(rand.NewPCG(5, 6)),
		callers: seamsketch.NewRegionCounter(callerWindow), rate: rate,
	}
	for i := range s.slotRegions {
		s.slotRegions[i] = "erie"
	}
	return s
}

func (s *twoRegions) clockReading() seamclock.Instant {
	return seamclock.Instant{Mono: time.Hour + s.now, Wall: time.Hour + s.now}
}

// runInterval simulates one planning interval in which the given share of each slot's requests comes from
// superior. At its end each cell makes at most one move; runInterval returns their number.
func (s *twoRegions) runInterval(share float64) int {
	end := s.now + interval
	for s.now < end {
		s.now += time.Duration(s.random.ExpFloat64() / (s.rate * numSlots) * float64(time.Second))
		region := regions[0]
		if s.random.Float64() < share {
			region = regions[1]
		}
		s.callers.Count(s.clockReading(), seamslot.ID{Index: s.random.Uint32N(numSlots)}, region)
	}
	moves := 0
	for _, ownRegion := range regions {
		if s.runPlan(ownRegion) {
			moves++
		}
	}
	return moves
}

// runPlan performs the first move that the placer plans for the ranges of a region, and reports whether there was one.
func (s *twoRegions) runPlan(ownRegion string) bool {
	dominant := s.callers.DominantRegions(s.clockReading(), ownRegion, 0.5)
	v := seamcell.RangeView{Region: ownRegion, OtherRegions: regions, Members: numMembers}
	for _, region := range s.slotRegions {
		if region == ownRegion {
			v.TotalRate += s.rate
		}
	}
	// The empty region after the last slot ends the last range.
	for i, region := range append(s.slotRegions[:], "") {
		if region == ownRegion {
			callers := dominant[seamslot.ID{Index: uint32(i)}]
			v.Slots = append(v.Slots, seamcell.RangeSlot{
				Index: uint32(i), Rate: s.rate, CallerRegion: callers.Region, CallerShare: callers.Share, HeldFor: s.now - s.movedAt[i],
			})
			continue
		}
		if m, ok := s.placer.PlanRange(s.clockReading(), v); ok {
			for k := m.From; k < m.To; k++ {
				s.slotRegions[k], s.movedAt[k] = m.Region, s.now
			}
			return true
		}
		v.Slots = nil
	}
	return false
}

// TestRangesStayWhileCallersAreBalanced checks that random variation of the callers' regions moves no range.
func TestRangesStayWhileCallersAreBalanced(t *testing.T) {
	for _, rate := range []float64{0.05, 0.2, 1, 5} {
		s := newTwoRegions(rate)
		moves := 0
		for range 12 * 30 {
			moves += s.runInterval(0.5)
		}
		t.Logf("%.2f requests/s per slot: %d moves in 30 minutes", rate, moves)
		if moves > 0 {
			t.Errorf("%d moves at %.2f requests/s per slot, want none", moves, rate)
		}
	}
}

// TestRangesFollowCallersOnce checks that at least 90% of the slots follow their callers to another region, in at
// most 16 moves.
func TestRangesFollowCallersOnce(t *testing.T) {
	for _, rate := range []float64{0.2, 1, 5} {
		s := newTwoRegions(rate)
		for range 24 {
			s.runInterval(0.1)
		}
		started, moves, movedSlots := s.now, 0, 0
		for movedSlots < numSlots && s.now-started < 5*time.Minute {
			moves += s.runInterval(0.95)
			movedSlots = 0
			for _, r := range s.slotRegions {
				if r == regions[1] {
					movedSlots++
				}
			}
		}
		t.Logf("%.2f requests/s per slot: %d of %d slots in %s, %d moves", rate, movedSlots, numSlots, s.now-started, moves)
		for range 24 {
			moves += s.runInterval(0.95)
		}
		if movedSlots < numSlots*9/10 || moves > 16 {
			t.Errorf("%d of %d slots followed in %d moves, want at least 90%% in at most 16 moves", movedSlots, numSlots, moves)
		}
	}
}
