package seamplacer

import (
	"maps"
	"slices"

	"cardamomseam/internal/own/seamcell"
)

// splitByService splits a view into one view per service that has members, sorted by service name.
func splitByService(view seamcell.PlacementView) []seamcell.PlacementView {
	views := map[string]*seamcell.PlacementView{}
	for _, m := range view.Members {
		v := views[m.Service]
		if v == nil {
			v = &seamcell.PlacementView{ActiveMoves: view.ActiveMoves}
			views[m.Service] = v
		}
		v.Members = append(v.Members, m)
	}
	for _, s := range view.Slots {
		if v := views[s.Slot.Service]; v != nil {
			v.Slots = append(v.Slots, s)
		}
	}
	sorted := make([]seamcell.PlacementView, 0, len(views))
	for _, name := range slices.Sorted(maps.Keys(views)) {
		sorted = append(sorted, *views[name])
	}
	return sorted
}
