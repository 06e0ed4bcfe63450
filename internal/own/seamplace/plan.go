package seamplace

import "cardamomseam/internal/own/seamclock"

// Plan returns the moves to make now, at most one for each slot. Slots without an owner
// and slots on draining members always move; other moves must gain more than they cost,
// leave slots that moved within Config.Dwell alone, and number at most Config.Moves.
// The same view gives the same moves.
func Plan(now seamclock.Instant, v View) []Move {
	t := newTable(now, v)
	if len(t.members) == 0 {
		return nil
	}
	t.planAssignments()
	t.planDrains()
	t.planImprovements()
	t.planStandbys()
	return t.plannedMoves()
}
