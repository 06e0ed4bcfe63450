package seamsketch

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"cardamomseam/internal/own/seamclock"
)

// stripeCount is the number of counters among which the requests of a slot are divided,
// so that the processors seldom write the same cache line.
const stripeCount = 4

// Rates holds the exact rate of each slot of one service as a moving average. Count is
// for concurrent use and cheap; Fold and Rate belong to one goroutine.
type SlotRates struct {
	stripes [stripeCount][]atomic.Uint32
	rates   []float64
	window  time.Duration
	folded  seamclock.Instant
	started seamclock.Instant
}

// NewRates returns the rates of the slots from 0 to slots-1, averaged over window.
func NewSlotRates(slots uint32, window time.Duration) *SlotRates {
	r := &SlotRates{rates: make([]float64, slots), window: window}
	for i := range r.stripes {
		r.stripes[i] = make([]atomic.Uint32, slots)
	}
	return r
}

// Count counts one request for the slot; a slot out of range is ignored.
func (r *SlotRates) Count(slot uint32) {
	if int(slot) < len(r.rates) {
		r.stripes[rand.Uint32()%stripeCount][slot].Add(1)
	}
}

// Fold takes what was counted since the last call into the averages.
func (r *SlotRates) Update(now seamclock.Instant) {
	if r.folded.Zero() {
		r.started, r.folded = now, now
		return
	}
	elapsed := now.Mono - r.folded.Mono
	if elapsed <= 0 {
		return
	}
	r.folded = now
	part := r.part(now, elapsed)
	for i := range r.rates {
		rate := float64(r.take(i)) / elapsed.Seconds()
		r.rates[i] += part * (rate - r.rates[i])
	}
}

// part returns the weight of the latest interval: the exponential one, or while less than
// a window was seen, its part of all the time seen.
func (r *SlotRates) part(now seamclock.Instant, elapsed time.Duration) float64 {
	decayed := 1 - math.Exp(-float64(elapsed)/float64(r.window))
	share := float64(elapsed) / float64(now.Mono-r.started.Mono)
	return max(decayed, share)
}

func (r *SlotRates) take(slot int) uint32 {
	var sum uint32
	for i := range r.stripes {
		sum += r.stripes[i][slot].Swap(0)
	}
	return sum
}

// Rate returns the average rate of the slot, in requests a second.
func (r *SlotRates) Rate(slot uint32) float64 {
	if int(slot) >= len(r.rates) {
		return 0
	}
	return r.rates[slot]
}
