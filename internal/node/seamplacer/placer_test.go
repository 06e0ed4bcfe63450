package seamplacer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"cardamomseam/internal/node/seamplacer"
	"cardamomseam/internal/node/seamsetting"
	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
	"cardamomseam/internal/rule/seamrule"
)

const (
	numMembers = 6
	numSlots   = 96
	// interval is the time between two plans, and rateWindow the decay time constant of the rates.
	interval   = 5 * time.Second
	rateWindow = 10 * time.Second
)

var settings = seamsetting.Place{Imbalance: 1, Churn: 1, Unavailable: 1, Interval: interval, Moves: 16, Dwell: 20 * time.Second}

type noRules struct{}

func (noRules) Version(string) (seamrule.Version, bool) { return seamrule.Version{}, false }

// fleet is a simulated cell that performs the planned moves.
type fleet struct {
	placer *seamplacer.Placer
	view   seamcell.PlacementView
	now    time.Duration
	random *rand.Rand
}

// newFleet returns a cell whose slots are distributed evenly over the given number of members.
func newFleet(owners int) *fleet {
	f := &fleet{placer: seamplacer.New(settings, noRules{}), random: rand.New(rand.NewPCG(1, 2))}
	for i := range numMembers {
		f.view.Members = append(f.view.Members, seamcell.PlacementMember{Name: name(i), Domain: name(i), Region: "erie", Service: "calendar", Capacity: 12})
	}
	for i := range numSlots {
		id := seamslot.ID{Service: "calendar", Index: uint32(i)}
		f.view.Slots = append(f.view.Slots, seamcell.PlacementSlot{Slot: id, Owner: name(i % owners), HeldFor: time.Hour})
	}
	return f
}

func name(i int) string { return fmt.Sprintf("n%d", i) }

// runPlan advances the time by an interval, performs one plan and returns its moves.
func (f *fleet) runPlan() []seamcell.Move {
	f.now += interval
	now := seamclock.Instant{Mono: time.Hour + f.now, Wall: time.Hour + f.now}
	for i := range f.view.Slots {
		f.view.Slots[i].HeldFor += interval
	}
	moves := f.placer.Plan(now, f.view)
	for _, m := range moves {
		s := &f.view.Slots[m.Slot.Index]
		s.Owner, s.HeldFor = m.To, 0
	}
	return moves
}

// addLoad simulates random requests for one interval, with a mean of rate requests per second and member,
// distributed over the slots in proportion to their weight.
func (f *fleet) addLoad(rate float64, weight func(slot int) float64) {
	total := 0.0
	for i := range f.view.Slots {
		total += weight(i)
	}
	decay := math.Exp(-interval.Seconds() / rateWindow.Seconds())
	for i := range f.view.Slots {
		s := &f.view.Slots[i]
		mean := rate * numMembers * weight(i) / total
		s.Rate = decay*s.Rate + (1-decay)*f.poisson(mean*interval.Seconds())/interval.Seconds()
	}
}

func (f *fleet) poisson(mean float64) float64 {
	n, arrived := 0.0, f.random.ExpFloat64()
	for arrived < mean {
		n++
		arrived += f.random.ExpFloat64()
	}
	return n
}

func uniform(int) float64 { return 1 }

// owned returns the smallest and the largest number of slots owned by a member.
func (f *fleet) owned() (least, most int) {
	counts := map[string]int{}
	for _, s := range f.view.Slots {
		counts[s.Owner]++
	}
	least = numSlots
	for i := range numMembers {
		least, most = min(least, counts[name(i)]), max(most, counts[name(i)])
	}
	return least, most
}

func TestIdleSlotsAreSpreadEvenly(t *testing.T) {
	f := newFleet(2)
	for range 12 {
		f.runPlan()
	}
	if least, most := f.owned(); least < 14 || most > 18 {
		t.Fatalf("after a minute members own %d to %d of %d slots", least, most, numSlots)
	}
	for range 12 {
		if moves := f.runPlan(); len(moves) > 0 {
			t.Fatalf("evenly spread slots were moved: %v", moves)
		}
	}
}

// TestPlacementIsStableAtAnyLoad checks that random load variation moves few slots once the load is
// balanced, at any request rate.
func TestPlacementIsStableAtAnyLoad(t *testing.T) {
	skewed := func(slot int) float64 { return 1 / float64(slot+1) }
	for _, weight := range []func(int) float64{uniform, skewed} {
		for _, rate := range []float64{0.2, 0.5, 1, 1.5, 2, 5, 10, 20, 50, 200} {
			f := newFleet(numMembers)
			const minutes = 10
			moves := 0
			for i := range 12 * (2 + minutes) {
				f.addLoad(rate, weight)
				n := len(f.runPlan())
				if i >= 24 {
					moves += n
				}
			}
			t.Logf("%5.1f requests/s per member: %.1f moves per minute", rate, float64(moves)/minutes)
			if moves > 4*minutes {
				t.Errorf("%v requests/s per member: %d moves in %d minutes", rate, moves, minutes)
			}
		}
	}
}

// TestIdlePeriodsKeepPlacement checks that a service whose load alternates around the base
// rate is not rebalanced on each change.
func TestIdlePeriodsKeepPlacement(t *testing.T) {
	f := newFleet(numMembers)
	moves := 0
	const cycles = 20
	for i := range 2 * cycles {
		rate := 0.5
		if i%2 == 1 {
			rate = 3
		}
		for range 12 {
			f.addLoad(rate, uniform)
			moves += len(f.runPlan())
		}
	}
	t.Logf("%d moves in %d cycles", moves, cycles)
	if moves > 2*cycles {
		t.Errorf("%d moves in %d cycles", moves, cycles)
	}
}

// TestHotKeyStays checks that a slot's hottest key, not its total rate, prevents it from being moved.
func TestHotKeyStays(t *testing.T) {
	for _, tt := range []struct {
		name    string
		hottest float64
		stays   bool
	}{{"one hot key", 150, true}, {"many warm keys", 20, false}} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(numMembers)
			for i := range f.view.Slots {
				f.view.Slots[i].Rate = 10
				if i%numMembers == 0 {
					f.view.Slots[i].Rate = 20
				}
			}
			f.view.Slots[0].Rate, f.view.Slots[0].HottestKeyRate = 190, tt.hottest
			hot := f.view.Slots[0].Owner
			moves := f.runPlan()
			if len(moves) == 0 {
				t.Fatal("no slot moved away from an overloaded member")
			}
			if stays := f.view.Slots[0].Owner == hot; stays != tt.stays {
				t.Fatalf("slot 0 stays: %v, moves %v", stays, moves)
			}
		})
	}
}

func TestOnlyMembersMoveSlots(t *testing.T) {
	f := newFleet(numMembers)
	for i := range f.view.Slots {
		f.view.Slots[i].Rate = 20
	}
	f.view.Slots[7].Owner = "gone"
	f.view.Members = append(f.view.Members, seamcell.PlacementMember{Name: "other", Service: "tally", Capacity: 12})
	for _, m := range f.runPlan() {
		if m.Slot.Index == 7 || m.To == "other" {
			t.Fatalf("unexpected move %+v", m)
		}
	}
}

func TestColdMemberOwnsFewerSlots(t *testing.T) {
	f := newFleet(numMembers - 1)
	f.view.Members[numMembers-1].ColdStart = true
	for range 24 {
		f.addLoad(100, uniform)
		f.runPlan()
	}
	if least, _ := f.owned(); least < 4 || least > 12 {
		t.Fatalf("the cold member owns %d slots", least)
	}
	f.view.Members[numMembers-1].ColdStart = false
	for range 24 {
		f.addLoad(100, uniform)
		f.runPlan()
	}
	if least, _ := f.owned(); least <= 12 {
		t.Fatalf("the warm member owns %d slots", least)
	}
}
