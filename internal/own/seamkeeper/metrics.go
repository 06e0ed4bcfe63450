package seamkeeper

import (
	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/own/seamcell"
)

func registerMetrics(k *Keeper, set *metrics.Set) {
	gauges := map[string]func(v seamcell.View) float64{
		"cardamomseam_cell_epoch":     func(v seamcell.View) float64 { return float64(v.Epoch) },
		"cardamomseam_cell_members":   func(v seamcell.View) float64 { return float64(len(v.Members)) },
		"cardamomseam_cell_slots":     func(v seamcell.View) float64 { return float64(len(v.Slots)) },
		"cardamomseam_cell_confirmed": func(v seamcell.View) float64 { return float64(v.ConfirmedRules) },
	}
	for name, read := range gauges {
		set.NewGauge(name, func() float64 { return read(k.View()) })
	}
	set.NewGauge("cardamomseam_slots_held", func() float64 {
		k.heldSlots.mu.RLock()
		defer k.heldSlots.mu.RUnlock()
		return float64(len(k.heldSlots.slots))
	})
	set.NewGauge("cardamomseam_arrivals_waiting", func() float64 { return float64(k.slotWaiters.count.Load()) })
}
