package seamplace_test

import (
	"testing"
	"time"

	"cardamomseam/internal/own/seamplace"
)

// ranged returns a view of a range of eight slots in erie of which each gets the rate and the share from superior.
func ranged(rate, share float64) seamplace.RangeView {
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
	type part struct {
		from, to uint32
		region   string
	}
	none := part{}
	tests := []struct {
		name   string
		rate   float64
		share  float64
		change func(v *seamplace.RangeView)
		want   part
	}{
		{"callers in another region: as much as one member carries", 10, 0.9, nil, part{100, 105, "superior"}},
		{"callers even", 10, 0.5, nil, none},
		{"most callers, but not enough", 10, 0.59, nil, none},
		{"just enough", 10, 0.65, nil, part{100, 105, "superior"}},
		{"no load", 0, 0.9, nil, none},
		{"too little load to pay", 0.01, 0.9, nil, none},
		{"no cell there", 10, 0.9, func(v *seamplace.RangeView) { v.OtherRegions = []string{"michigan"} }, none},
		{"own region", 10, 0.9, func(v *seamplace.RangeView) { v.Region = "superior" }, none},
		{"no member", 10, 0.9, func(v *seamplace.RangeView) { v.Members = 0 }, none},
		{"moves turned off", 10, 0.9, func(v *seamplace.RangeView) { v.Config.MaxMoves = 0 }, none},
		{"churn weighs more", 10, 0.9, func(v *seamplace.RangeView) { v.Config.Churn, v.Config.Unavailable = 20, 0.1 }, none},
		{"got lately", 10, 0.9, func(v *seamplace.RangeView) {
			for i := range v.Slots {
				v.Slots[i].MovedAt = now.Add(-29 * time.Second)
			}
		}, none},
		{"longer dwell in the settings", 10, 0.9, func(v *seamplace.RangeView) {
			v.Config.Dwell = 2 * time.Hour
		}, none},
		{"one got lately", 10, 0.9, func(v *seamplace.RangeView) { v.Slots[2].MovedAt = now }, part{103, 108, "superior"}},
		{"one with callers here parts the range", 10, 0.9, func(v *seamplace.RangeView) { v.Slots[6].CallerShares = nil }, part{100, 105, "superior"}},
		{"an unused one goes along", 10, 0.9, func(v *seamplace.RangeView) { v.Slots[1].Rate = 0 }, part{100, 106, "superior"}},
		{"unused ones at the ends stay", 10, 0.9, func(v *seamplace.RangeView) {
			v.Slots[0].Rate, v.Slots[1].Rate, v.Slots[6].Rate, v.Slots[7].Rate = 0, 0, 0, 0
		}, part{102, 106, "superior"}},
		{"a hot one goes alone", 10, 0.9, func(v *seamplace.RangeView) { v.Slots[0].Rate = 500 }, part{100, 101, "superior"}},
		{"the region that gains most", 10, 0.9, func(v *seamplace.RangeView) {
			v.Slots[0].CallerShares = map[string]float64{"michigan": 0.9}
		}, part{101, 106, "superior"}},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			v := ranged(x.rate, x.share)
			if x.change != nil {
				x.change(&v)
			}
			p, ok := seamplace.PlanRange(now, v)
			if got := (part{p.From, p.To, p.Region}); got != x.want || ok != (x.want != none) {
				t.Errorf("part is %+v, %t, want %+v", p, ok, x.want)
			}
		})
	}
}
