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
	memberNumber = 6
	slotNumber   = 96
	// interval is the time between two plans, window that of the average of rates.
	interval = 5 * time.Second
	window   = 10 * time.Second
)

var settings = seamsetting.Place{Imbalance: 1, Churn: 1, Unavailable: 1, Interval: interval, Moves: 16, Dwell: 20 * time.Second}

type noRules struct{}

func (noRules) Version(string) (seamrule.Version, bool) { return seamrule.Version{}, false }

// fleet is a cell whose slots move as planned.
type fleet struct {
	placer *seamplacer.Placer
	view   seamcell.PlaceView
	now    time.Duration
	random *rand.Rand
}

// newFleet returns a cell whose slots are all owned by the first of the owners, in turn.
func newFleet(owners int) *fleet {
	f := &fleet{placer: seamplacer.New(settings, noRules{}), random: rand.New(rand.NewPCG(1, 2))}
	for i := range memberNumber {
		f.view.Members = append(f.view.Members, seamcell.PlaceMember{Name: name(i), Domain: name(i), Region: "erie", Service: "calendar", Capacity: 12})
	}
	for i := range slotNumber {
		id := seamslot.ID{Service: "calendar", Index: uint32(i)}
		f.view.Slots = append(f.view.Slots, seamcell.PlaceSlot{Slot: id, Owner: name(i % owners), Held: time.Hour})
	}
	return f
}

func name(i int) string { return fmt.Sprintf("n%d", i) }

// plan performs one plan and returns its moves.
func (f *fleet) plan() []seamcell.Move {
	f.now += interval
	now := seamclock.Instant{Mono: time.Hour + f.now, Wall: time.Hour + f.now}
	for i := range f.view.Slots {
		f.view.Slots[i].Held += interval
	}
	moves := f.placer.Plan(now, f.view)
	for _, m := range moves {
		s := &f.view.Slots[m.Slot.Index]
		s.Owner, s.Held = m.To, 0
	}
	return moves
}

// load lets requests arrive by chance, rate a second for each member, for one interval. They
// fall on slots in proportion to their weight.
func (f *fleet) load(rate float64, weight func(slot int) float64) {
	total := 0.0
	for i := range f.view.Slots {
		total += weight(i)
	}
	kept := math.Exp(-interval.Seconds() / window.Seconds())
	for i := range f.view.Slots {
		s := &f.view.Slots[i]
		mean := rate * memberNumber * weight(i) / total
		s.Rate = kept*s.Rate + (1-kept)*f.poisson(mean*interval.Seconds())/interval.Seconds()
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

func even(int) float64 { return 1 }

// owned returns the least and the largest number of slots of a member.
func (f *fleet) owned() (least, most int) {
	counts := map[string]int{}
	for _, s := range f.view.Slots {
		counts[s.Owner]++
	}
	least = slotNumber
	for i := range memberNumber {
		least, most = min(least, counts[name(i)]), max(most, counts[name(i)])
	}
	return least, most
}

func TestIdleSlotsAreSpreadEvenly(t *testing.T) {
	f := newFleet(2)
	for range 12 {
		f.plan()
	}
	if least, most := f.owned(); least < 14 || most > 18 {
		t.Fatalf("after a minute members own %d to %d of %d slots", least, most, slotNumber)
	}
	for range 12 {
		if moves := f.plan(); len(moves) > 0 {
			t.Fatalf("spread slots move: %v", moves)
		}
	}
}

// TestPlacementSettlesAtAnyLoad checks that noise and the change between idle and busy
// times move few slots once a balance is found.
func TestPlacementIsStableAtAnyLoad(t *testing.T) {
	skewed := func(slot int) float64 { return 1 / float64(slot+1) }
	for _, weight := range []func(int) float64{even, skewed} {
		for _, rate := range []float64{0.2, 0.5, 1, 1.5, 2, 5, 10, 20, 50, 200} {
			f := newFleet(memberNumber)
			const minutes = 10
			moves := 0
			for i := range 12 * (2 + minutes) {
				f.load(rate, weight)
				n := len(f.plan())
				if i >= 24 {
					moves += n
				}
			}
			t.Logf("%5.1f requests/s a member: %.1f moves a minute", rate, float64(moves)/minutes)
			if moves > 4*minutes {
				t.Errorf("%v requests/s a member: %d moves in %d minutes", rate, moves, minutes)
			}
		}
	}
}

// TestIdleTimesKeepPlacement checks that a service whose load comes and goes around the base
// rate is not spread anew each time.
func TestIdlePeriodsKeepPlacement(t *testing.T) {
	f := newFleet(memberNumber)
	moves := 0
	const cycles = 20
	for i := range 2 * cycles {
		rate := 0.5
		if i%2 == 1 {
			rate = 3
		}
		for range 12 {
			f.load(rate, even)
			moves += len(f.plan())
		}
	}
	t.Logf("%d moves in %d cycles", moves, cycles)
	if moves > 2*cycles {
		t.Errorf("%d moves in %d cycles", moves, cycles)
	}
}

// TestHotKeyStays checks that a slot is anchored by its hottest key, not by its rate.
func TestHotKeyStays(t *testing.T) {
	for _, tt := range []struct {
		name    string
		hottest float64
		stays   bool
	}{{"one hot key", 150, true}, {"many warm keys", 20, false}} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(memberNumber)
			for i := range f.view.Slots {
				f.view.Slots[i].Rate = 10
				if i%memberNumber == 0 {
					f.view.Slots[i].Rate = 20
				}
			}
			f.view.Slots[0].Rate, f.view.Slots[0].Hottest = 190, tt.hottest
			hot := f.view.Slots[0].Owner
			moves := f.plan()
			if len(moves) == 0 {
				t.Fatal("an overloaded member keeps all its slots")
			}
			if stays := f.view.Slots[0].Owner == hot; stays != tt.stays {
				t.Fatalf("slot 0 stays: %v, moves %v", stays, moves)
			}
		})
	}
}

func TestOnlyMembersMoveSlots(t *testing.T) {
	f := newFleet(memberNumber)
	for i := range f.view.Slots {
		f.view.Slots[i].Rate = 20
	}
	f.view.Slots[7].Owner = "gone"
	f.view.Members = append(f.view.Members, seamcell.PlaceMember{Name: "other", Service: "tally", Capacity: 12})
	for _, m := range f.plan() {
		if m.Slot.Index == 7 || m.To == "other" {
			t.Fatalf("move %+v", m)
		}
	}
}

func TestColdMemberOwnsFewerSlots(t *testing.T) {
	f := newFleet(memberNumber - 1)
	f.view.Members[memberNumber-1].Cold = true
	for range 24 {
		f.load(100, even)
		f.plan()
	}
	if least, _ := f.owned(); least < 4 || least > 12 {
		t.Fatalf("the cold member owns %d slots", least)
	}
	f.view.Members[memberNumber-1].Cold = false
	for range 24 {
		f.load(100, even)
		f.plan()
	}
	if least, _ := f.owned(); least <= 12 {
		t.Fatalf("the member that is warm owns %d slots", least)
	}
}
