package seamcell_test

import (
	"fmt"
	"testing"
	"time"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/own/seamslot"
)

// moveRandomPart plans to move a random part of a range to a random region, if the cell has had the
// first slot of the part for a second.
func (w *simulation) moveRandomPart(v seamcell.RangeView) (seamcell.RangeMove, bool) {
	if len(v.OtherRegions) == 0 {
		return seamcell.RangeMove{}, false
	}
	first := w.rnd.Intn(len(v.Slots))
	last := first + w.rnd.Intn(len(v.Slots)-first)
	move := seamcell.RangeMove{
		From: v.Slots[first].Index, To: v.Slots[last].Index + 1, Region: v.OtherRegions[w.rnd.Intn(len(v.OtherRegions))],
	}
	return move, v.Slots[first].HeldFor >= time.Second
}

// newSimulationWithoutHomes returns a simulation of two regions in which one region holds all slots
// of a service without home regions, and the name of the other region.
func newSimulationWithoutHomes(t *testing.T, seed int64) (*simulation, string) {
	t.Helper()
	w := emptySimulation(t, seed, simulationConfig(), []string{"erie", "michigan"})
	w.noHomes = true
	w.startNodes(6)
	w.run(10 * time.Second)
	w.runUntilHeld(10 * time.Second)
	w.require(t, w.held() == slotCount, "%d slots held", w.held())
	for _, region := range w.regions {
		if len(w.ranges(region)) == 0 {
			return w, region
		}
	}
	t.Fatal("both regions own slots")
	return nil, ""
}

// ranges returns the ranges of the cells of a region.
func (w *simulation) ranges(region string) []seamslot.Range {
	var list []seamslot.Range
	for _, e := range w.store.entries {
		if e.Record.Region == region {
			list = append(list, e.Record.Ranges...)
		}
	}
	return list
}

// moveToRegion returns a function that moves up to four slots at a time to a region.
func moveToRegion(region string) func(v seamcell.RangeView) (seamcell.RangeMove, bool) {
	return func(v seamcell.RangeView) (seamcell.RangeMove, bool) {
		from := v.Slots[0].Index
		to := v.Slots[min(4, len(v.Slots))-1].Index + 1
		return seamcell.RangeMove{From: from, To: to, Region: region}, v.Region != region
	}
}

func TestRangeMovesToRegionOfItsCallers(t *testing.T) {
	w, region := newSimulationWithoutHomes(t, 11)
	w.planRange = moveToRegion(region)
	w.run(10 * time.Second)
	w.require(t, w.held() == slotCount, "%d slots held", w.held())
	w.require(t, w.emitted[seamevent.RangeMoved] == 2, "%d moves", w.emitted[seamevent.RangeMoved])
	list := w.ranges(region)
	w.require(t, len(list) == 1 && list[0].Len() == slotCount, "ranges of %s are %v", region, list)
	for _, n := range w.nodes {
		for id, held := range heldBy(n) {
			w.require(t, n.peer.Region == region || !held, "%s still holds %s", n.name, id)
		}
	}
}

// TestLossDuringRangeTransfer checks that all slots are held again after a coordinator that takes part
// in a range transfer, or the store, has failed at different points of the transfer.
func TestLossDuringRangeTransfer(t *testing.T) {
	t.Parallel()
	const moments = 20
	for _, party := range []string{"source", "destination", "store"} {
		for i := range moments {
			t.Run(fmt.Sprint(party, i), func(t *testing.T) {
				t.Parallel()
				w, region := newSimulationWithoutHomes(t, int64(100+i))
				w.planRange = moveToRegion(region)
				for w.held() == slotCount {
					w.run(10 * time.Millisecond)
				}
				w.run(time.Duration(i) * 10 * time.Millisecond)
				w.failParty(t, party, region)
				w.run(2 * time.Second)
				w.store.down = false
				w.runUntilHeld(40 * time.Second)
				w.require(t, w.held() == slotCount, "%d slots held", w.held())
				w.run(25 * time.Second)
				w.require(t, w.held() == slotCount, "%d slots held at the end", w.held())
				w.require(t, len(w.ranges(region)) == 1, "ranges of %s are %v", region, w.ranges(region))
			})
		}
	}
}

// failParty crashes the coordinator of the source or the destination cell, or makes the store
// unavailable.
func (w *simulation) failParty(t *testing.T, party, region string) {
	t.Helper()
	if party == "store" {
		w.store.down = true
		return
	}
	for _, n := range w.nodes {
		if n.cell.View(n.clock()).Role == seamcell.RoleCoordinator && (n.peer.Region == region) == (party == "destination") {
			n.crash()
			return
		}
	}
	t.Fatalf("no coordinator of the %s cell", party)
}

func TestRangeWithHomeRegionStays(t *testing.T) {
	w := emptySimulation(t, 12, simulationConfig(), []string{"erie", "michigan"})
	w.planRange = func(v seamcell.RangeView) (seamcell.RangeMove, bool) {
		t.Errorf("move of a range of %s is planned although it has a home region", v.Service)
		return seamcell.RangeMove{}, false
	}
	w.startNodes(6)
	w.run(20 * time.Second)
	w.require(t, w.held() == slotCount, "%d slots held", w.held())
}

func TestRegionWithoutServerReceivesNoRange(t *testing.T) {
	w, region := newSimulationWithoutHomes(t, 13)
	for _, n := range w.nodes {
		if n.peer.Region == region {
			n.target.Service = "pages"
		}
	}
	w.run(5 * time.Second)
	plans := 0
	w.planRange = func(v seamcell.RangeView) (seamcell.RangeMove, bool) {
		plans++
		w.require(t, len(v.OtherRegions) == 0, "regions are %v", v.OtherRegions)
		return seamcell.RangeMove{From: v.Slots[0].Index, To: v.Slots[0].Index + 1, Region: region}, true
	}
	w.run(10 * time.Second)
	w.require(t, plans > 0 && w.emitted[seamevent.RangeMoved] == 0, "%d moves by %d plans", w.emitted[seamevent.RangeMoved], plans)
}

// TestFaultSchedulesWithRangeMoves runs random fault schedules while random parts of ranges move
// between regions.
func TestFaultSchedulesWithRangeMoves(t *testing.T) {
	const shards = 4
	for shard := range shards {
		t.Run(fmt.Sprint(shard), func(t *testing.T) {
			t.Parallel()
			for i := shard; i < *schedules/shards; i += shards {
				s := anySchedule.Example(i)
				s.Regions, s.NoHomes = 2, true
				if violation := runSchedule(t, s, nil); violation != "" {
					t.Fatalf("schedule %d: %s\n%+v", i, violation, s)
				}
			}
		})
	}
}
