package seamplacer

import (
	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamplace"
	"cardamomseam/internal/own/seamslot"
)

// PlanRange returns the most beneficial move of a part of the range to the region of its callers, and false if no
// move is worth its cost.
func (p *Placer) PlanRange(now seamclock.Instant, v seamcell.RangeView) (seamcell.RangeMove, bool) {
	view := seamplace.RangeView{
		Region:       v.Region,
		OtherRegions: v.OtherRegions,
		Members:      v.Members,
		TotalRate:    v.TotalRate,
		Config:       p.config(v.Service),
	}
	for _, s := range v.Slots {
		view.Slots = append(view.Slots, rangeSlot(now, v.Service, s))
	}
	move, ok := seamplace.PlanRange(now, view)
	return seamcell.RangeMove{From: move.From, To: move.To, Region: move.Region}, ok
}

func rangeSlot(now seamclock.Instant, service string, s seamcell.RangeSlot) seamplace.Slot {
	slot := seamplace.Slot{
		ID:      seamslot.ID{Service: service, Index: s.Index},
		Rate:    s.Rate,
		MovedAt: now.Add(-s.HeldFor),
	}
	if s.CallerRegion != "" {
		slot.CallerShares = map[string]float64{s.CallerRegion: s.CallerShare}
	}
	return slot
}
