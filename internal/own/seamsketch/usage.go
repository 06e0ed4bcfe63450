package seamsketch

import (
	"time"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

// Usage counts the use of keys, and the regions that slots are used from.
type Usage struct {
	*KeyCounter
	Regions *RegionCounter
}

// NewUsage returns a usage that counts up to about limit keys and forgets them with the time constant
// window, and regions with the time constant callers.
func NewUsage(limit int, window, callers time.Duration) *Usage {
	return &Usage{KeyCounter: NewKeyCounter(limit, window), Regions: NewRegionCounter(callers)}
}

// Count counts one request for the key from a region.
func (u *Usage) Count(now seamclock.Instant, slot seamslot.ID, key, region string) {
	u.KeyCounter.Count(now, slot, key)
	u.Regions.Count(now, slot, region)
}
