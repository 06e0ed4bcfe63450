package seamplace

import "cardamomseam/internal/own/seamclock"

// Plan returns the moves to make now, at most one for each slot. It always moves slots without an owner and slots of
// draining members. Other changes of owner need a benefit above their cost, exclude slots that moved within Config.Dwell,
// and number at most Config.MaxMoves. Plan also chooses standbys, and is deterministic.
func Plan(now seamclock.Instant, v View) []Move {
	t := newPlanState(now, v)
	if len(t.members) == 0 {
		return nil
	}
	t.planAssignments()
	t.planDrains()
	t.planImprovements()
	t.planStandbys()
	return t.plannedMoves()
}
