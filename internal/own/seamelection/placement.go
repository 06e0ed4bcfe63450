package seamelection

import (
	"time"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamtable"
)

// placed is the placement that the assigner follows, for the log.
type placed struct {
	placement seamtable.Placement
	since     time.Time
	// reported is whether it has been logged that no holder outside it has keys.
	reported bool
}

// applyPlacement passes the current placement to the assigner. It logs each change, and when no holder outside the placement has
// keys any more. mu must be held.
func (e *Elector) applyPlacement(now time.Time) {
	p := e.placement()
	e.assigner.SetPlacement(p)
	misplaced := e.assigner.Misplaced()
	if !p.Equal(e.placed.placement) {
		e.placed = placed{placement: p, since: now}
		e.logPlacement(now, seamevent.PlacementChanged, misplaced)
	}
	if misplaced > 0 || e.placed.reported || e.placed.since.IsZero() {
		return
	}
	e.placed.reported = true
	e.logPlacement(now, seamevent.PlacementReached, misplaced)
}

func (e *Elector) logPlacement(now time.Time, name string, misplaced int) {
	e.sink.Emit(now, name, seamevent.Fields{
		"service": e.service, "epoch": e.assigner.Epoch(), "regions": e.placed.placement.Regions, "excluded": e.placed.placement.ExcludedDomains,
		"keys": misplaced, "after": now.Sub(e.placed.since).Milliseconds(),
	})
}
