package seamcell_test

import (
	"fmt"
	"testing"
	"time"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/own/seamslot"
)

// roam moves a random part of a range to a random region once the cell has had it for a second.
func (w *world) roam(v seamcell.RangeView) (seamcell.RangeMove, bool) {
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

// roaming returns a world of two regions in which all slots of a service without homes are held in
// one, and the name of the other.
func roaming(t *testing.T, seed int64) (*world, string) {
	t.Helper()
	w := emptyWorld(t, seed, modelConfig(), []string{"erie", "michigan"})
	w.roaming = true
	w.populate(6)
	w.run(10 * time.Second)
	w.untilHeld(10 * time.Second)
	w.must(t, w.held() == slotNumber, "%d slots held", w.held())
	for _, region := range w.regions {
		if len(w.ranges(region)) == 0 {
			return w, region
		}
	}
	t.Fatal("both regions own slots")
	return nil, ""
}

// ranges returns the ranges of the cells of a region.
func (w *world) ranges(region string) []seamslot.Range {
	var list []seamslot.Range
	for _, e := range w.store.entries {
		if e.Record.Region == region {
			list = append(list, e.Record.Ranges...)
		}
	}
	return list
}

// towards returns a function that moves up to four slots at a time to a region.
func towards(region string) func(v seamcell.RangeView) (seamcell.RangeMove, bool) {
	return func(v seamcell.RangeView) (seamcell.RangeMove, bool) {
		from := v.Slots[0].Index
		to := v.Slots[min(4, len(v.Slots))-1].Index + 1
		return seamcell.RangeMove{From: from, To: to, Region: region}, v.Region != region
	}
}

func TestRangeMovesToRegionOfItsCallers(t *testing.T) {
	w, region := roaming(t, 11)
	w.callers = towards(region)
	w.run(10 * time.Second)
	w.must(t, w.held() == slotNumber, "%d slots held", w.held())
	w.must(t, w.emitted[seamevent.RangeMoved] == 2, "%d moves", w.emitted[seamevent.RangeMoved])
	list := w.ranges(region)
	w.must(t, len(list) == 1 && list[0].Len() == slotNumber, "ranges of %s are %v", region, list)
	for _, n := range w.nodes {
		for id, held := range heldBy(n) {
			w.must(t, n.peer.Region == region || !held, "%s still holds %s", n.name, id)
		}
	}
}

// TestLossWhileRangeFollows loses a party of the transfer at many moments of it.
func TestLossDuringRangeTransfer(t *testing.T) {
	t.Parallel()
	const moments = 20
	for _, loser := range []string{"giver", "taker", "store"} {
		for i := range moments {
			t.Run(fmt.Sprint(loser, i), func(t *testing.T) {
				t.Parallel()
				w, region := roaming(t, int64(100+i))
				w.callers = towards(region)
				for w.held() == slotNumber {
					w.run(10 * time.Millisecond)
				}
				w.run(time.Duration(i) * 10 * time.Millisecond)
				w.lost(t, loser, region)
				w.run(2 * time.Second)
				w.store.down = false
				w.untilHeld(40 * time.Second)
				w.must(t, w.held() == slotNumber, "%d slots held", w.held())
				w.run(25 * time.Second)
				w.must(t, w.held() == slotNumber, "%d slots held in the end", w.held())
				w.must(t, len(w.ranges(region)) == 1, "ranges of %s are %v", region, w.ranges(region))
			})
		}
	}
}

// lost loses the coordinator of the giving or taking cell, or the store.
func (w *world) lost(t *testing.T, loser, region string) {
	t.Helper()
	if loser == "store" {
		w.store.down = true
		return
	}
	for _, n := range w.nodes {
		if n.cell.View(n.clock()).Role == seamcell.RoleCoordinator && (n.peer.Region == region) == (loser == "taker") {
			n.crash()
			return
		}
	}
	t.Fatalf("no coordinator of the %s", loser)
}

func TestRangeWithHomeRegionStays(t *testing.T) {
	w := emptyWorld(t, 12, modelConfig(), []string{"erie", "michigan"})
	w.callers = func(v seamcell.RangeView) (seamcell.RangeMove, bool) {
		t.Errorf("range of %s is weighed although it has a home", v.Service)
		return seamcell.RangeMove{}, false
	}
	w.populate(6)
	w.run(20 * time.Second)
	w.must(t, w.held() == slotNumber, "%d slots held", w.held())
}

func TestRegionWithoutServerReceivesNoRange(t *testing.T) {
	w, region := roaming(t, 13)
	for _, n := range w.nodes {
		if n.peer.Region == region {
			n.target.Service = "pages"
		}
	}
	w.run(5 * time.Second)
	weighed := 0
	w.callers = func(v seamcell.RangeView) (seamcell.RangeMove, bool) {
		weighed++
		w.must(t, len(v.OtherRegions) == 0, "regions are %v", v.OtherRegions)
		return seamcell.RangeMove{From: v.Slots[0].Index, To: v.Slots[0].Index + 1, Region: region}, true
	}
	w.run(10 * time.Second)
	w.must(t, weighed > 0 && w.emitted[seamevent.RangeMoved] == 0, "%d moves of %d", w.emitted[seamevent.RangeMoved], weighed)
}

// TestSchedulesOfCallers runs random schedules of faults while random parts of ranges change regions.
func TestFaultSchedulesWithRangeMoves(t *testing.T) {
	const shards = 4
	for shard := range shards {
		t.Run(fmt.Sprint(shard), func(t *testing.T) {
			t.Parallel()
			for i := shard; i < *schedules/shards; i += shards {
				s := anySchedule.Example(i)
				s.Regions, s.NoHomes = 2, true
				if broken := play(t, s, nil); broken != "" {
					t.Fatalf("schedule %d: %s\n%+v", i, broken, s)
				}
			}
		})
	}
}
