package seamplace_test

import (
	"testing"
	"time"

	"cardamomseam/internal/own/seamplace"
)

// newRangeView returns a view of a range of eight slots in erie. Each slot has the rate, and the share of its requests
// comes from superior.
func newRangeView(rate, share float64) seamplace.RangeView {
	v := seamplace.RangeView{
		Region: "erie", OtherRegions: []string{"michigan", "superior"}, Members: 2, TotalRate: 8 * rate, Config: seamplace.DefaultConfig(),
	}
	v.Config.BaseRate = seamplace.NodeBaseRate
	for i := range uint32(8) {
		s := slot(100+i, "", "", rate)
		s.MovedAt = now.Add(-time.Hour)
		s.CallerShares = map[string]float64{"superior": share}
		v.Slots = append(v.Slots, s)
	}
	return v
}

func TestPlanRange(t *testing.T) {
	type rangeMove struct {
		from, to uint32
		region   string
	}
	none := rangeMove{}
	tests := []struct {
		name   string
		rate   float64
		share  float64
		change func(v *seamplace.RangeView)
		want   rangeMove
	}{
		{"callers in another region: load of one member", 10, 0.9, nil, rangeMove{100, 105, "superior"}},
		{"callers evenly split", 10, 0.5, nil, none},
		{"share of callers just below the minimum", 10, 0.59, nil, none},
		{"share of callers just above the minimum", 10, 0.65, nil, rangeMove{100, 105, "superior"}},
		{"no load", 0, 0.9, nil, none},
		{"load too low to exceed the cost", 0.01, 0.9, nil, none},
		{"no cell in the region of the callers", 10, 0.9, func(v *seamplace.RangeView) { v.OtherRegions = []string{"michigan"} }, none},
		{"own region", 10, 0.9, func(v *seamplace.RangeView) { v.Region = "superior" }, none},
		{"no member", 10, 0.9, func(v *seamplace.RangeView) { v.Members = 0 }, none},
		{"moves disabled", 10, 0.9, func(v *seamplace.RangeView) { v.Config.MaxMoves = 0 }, none},
		{"high weight of churn", 10, 0.9, func(v *seamplace.RangeView) { v.Config.Churn, v.Config.Unavailable = 20, 0.1 }, none},
		{"received recently", 10, 0.9, func(v *seamplace.RangeView) {
			for i := range v.Slots {
				v.Slots[i].MovedAt = now.Add(-29 * time.Second)
			}
		}, none},
		{"longer dwell in the settings", 10, 0.9, func(v *seamplace.RangeView) {
			v.Config.Dwell = 2 * time.Hour
		}, none},
		{"one slot received recently", 10, 0.9, func(v *seamplace.RangeView) { v.Slots[2].MovedAt = now }, rangeMove{103, 108, "superior"}},
		{"slot with local callers splits the range", 10, 0.9, func(v *seamplace.RangeView) { v.Slots[6].CallerShares = nil }, rangeMove{100, 105, "superior"}},
		{"idle slot inside the range moves too", 10, 0.9, func(v *seamplace.RangeView) { v.Slots[1].Rate = 0 }, rangeMove{100, 106, "superior"}},
		{"idle slots at both ends stay", 10, 0.9, func(v *seamplace.RangeView) {
			v.Slots[0].Rate, v.Slots[1].Rate, v.Slots[6].Rate, v.Slots[7].Rate = 0, 0, 0, 0
		}, rangeMove{102, 106, "superior"}},
		{"hot slot moves alone", 10, 0.9, func(v *seamplace.RangeView) { v.Slots[0].Rate = 500 }, rangeMove{100, 101, "superior"}},
		{"region with the highest gain", 10, 0.9, func(v *seamplace.RangeView) {
			v.Slots[0].CallerShares = map[string]float64{"michigan": 0.9}
		}, rangeMove{101, 106, "superior"}},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			v := newRangeView(x.rate, x.share)
			if x.change != nil {
				x.change(&v)
			}
			p, ok := seamplace.PlanRange(now, v)
			if got := (rangeMove{p.From, p.To, p.Region}); got != x.want || ok != (x.want != none) {
				t.Errorf("move is %+v, %t, want %+v", p, ok, x.want)
			}
		})
	}
}
