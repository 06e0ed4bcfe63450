package seamplacer

import (
	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamplace"
	"cardamomseam/internal/own/seamslot"
)

// PlanRange returns the part of a range that benefits most from a move to the region of its callers, and whether
// there is one.
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
	part, ok := seamplace.PlanRange(now, view)
	return seamcell.RangeMove{From: part.From, To: part.To, Region: part.Region}, ok
}

func rangeSlot(now seamclock.Instant, service string, s seamcell.RangeSlot) seamplace.Slot {
	x := seamplace.Slot{
		ID:      seamslot.ID{Service: service, Index: s.Index},
		Rate:    s.Rate,
		MovedAt: now.Add(-s.HeldFor),
	}
	if s.CallerRegion != "" {
		x.CallerShares = map[string]float64{s.CallerRegion: s.CallerShare}
	}
	return x
}
