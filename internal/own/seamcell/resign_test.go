package seamcell_test

import (
	"fmt"
	"testing"
	"time"

	"cardamomseam/internal/own/seamcell"
)

// TestRecordNamesTheSuccessor checks that other cells learn of the coordinator that followed a
// planned stop: they find the owners of its slots by the record.
func TestRecordNamesCoordinatorAfterPlannedStop(t *testing.T) {
	t.Parallel()
	for _, nodes := range []int{2, 3, 6} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			for seed := range int64(5) {
				w := settled(t, nodes, seed)
				cell := w.coordinator().cell.View(w.coordinator().clock()).Cell
				drain(t, w, w.coordinator())
				w.run(time.Second)
				next := w.coordinator()
				w.must(t, next != nil, "no coordinator (seed %d)", seed)
				r := w.store.entries[seamcell.CellPrefix+cell].Record
				w.must(t, r.Coordinator.Same(next.peer), "record names %s, %s coordinates (seed %d)", r.Coordinator, next.peer, seed)
				w.must(t, !r.Backup.Same(next.peer), "%s is its own backup (seed %d)", next.peer, seed)
			}
		})
	}
}
