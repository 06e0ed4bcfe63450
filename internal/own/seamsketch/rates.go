package seamsketch

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"cardamomseam/internal/own/seamclock"
)

// stripeCount is the number of counters among which the requests of a slot are spread. It reduces contention
// between processors for the same cache line.
const stripeCount = 4

// SlotRates measures the rate of each slot of one service as a moving average of exact counts. Count is cheap and
// safe for concurrent use. Update and Rate must be called from a single goroutine.
type SlotRates struct {
	stripes [stripeCount][]atomic.Uint32
	rates   []float64
	window  time.Duration
	// updated and started are the times of the latest and the first call of Update.
	updated seamclock.Instant
	started seamclock.Instant
}

// NewSlotRates returns the rates of the slots 0 to slots-1, averaged over window.
func NewSlotRates(slots uint32, window time.Duration) *SlotRates {
	r := &SlotRates{rates: make([]float64, slots), window: window}
	for i := range r.stripes {
		r.stripes[i] = make([]atomic.Uint32, slots)
	}
	return r
}

// Count counts one request for the slot. Slots out of range are ignored.
func (r *SlotRates) Count(slot uint32) {
	if int(slot) < len(r.rates) {
		r.stripes[rand.Uint32()%stripeCount][slot].Add(1)
	}
}

// Update adds the requests counted since the last call to the averages.
func (r *SlotRates) Update(now seamclock.Instant) {
	if r.updated.Zero() {
		r.started, r.updated = now, now
		return
	}
	elapsed := now.Mono - r.updated.Mono
	if elapsed <= 0 {
		return
	}
	r.updated = now
	weight := r.weight(now, elapsed)
	for i := range r.rates {
		rate := float64(r.resetCount(i)) / elapsed.Seconds()
		r.rates[i] += weight * (rate - r.rates[i])
	}
}

// weight returns the weight of the latest interval in the average. It is that of an exponential moving average, or
// the interval's fraction of the total measured time if that is larger, as it is until about a window has been
// measured.
func (r *SlotRates) weight(now seamclock.Instant, elapsed time.Duration) float64 {
	decayed := 1 - math.Exp(-float64(elapsed)/float64(r.window))
	fraction := float64(elapsed) / float64(now.Mono-r.started.Mono)
	return max(decayed, fraction)
}

// resetCount returns the count of the slot and sets it to 0.
func (r *SlotRates) resetCount(slot int) uint32 {
	var sum uint32
	for i := range r.stripes {
		sum += r.stripes[i][slot].Swap(0)
	}
	return sum
}

// Rate returns the average rate of the slot, in requests per second.
func (r *SlotRates) Rate(slot uint32) float64 {
	if int(slot) >= len(r.rates) {
		return 0
	}
	return r.rates[slot]
}
