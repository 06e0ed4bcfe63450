package seamsketch

import (
	"time"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

// Usage counts the requests of keys, and the requests of slots by region.
type Usage struct {
	*KeyCounter
	Regions *RegionCounter
}

// NewUsage returns a usage that counts up to about limit keys. The counts of keys decay with the time constant window,
// and those of regions with the time constant regionWindow.
func NewUsage(limit int, window, regionWindow time.Duration) *Usage {
	return &Usage{KeyCounter: NewKeyCounter(limit, window), Regions: NewRegionCounter(regionWindow)}
}

// Count counts one request for the key from a region.
func (u *Usage) Count(now seamclock.Instant, slot seamslot.ID, key, region string) {
	u.KeyCounter.Count(now, slot, key)
	u.Regions.Count(now, slot, region)
}
