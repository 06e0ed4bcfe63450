// Package seamsketch measures request rates in bounded memory: it finds the most requested keys (heavy hitters) with
// a space-saving sketch, and measures the exact rate of each slot and the regions of its callers.
package seamsketch

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"strings"
	"time"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

// maxExponent bounds the exponent of the growing weights. Above it, all counts are scaled down.
const maxExponent = 64

// maxKeyBytes is the length of the longest key that is counted. It bounds the memory of a sketch.
const maxKeyBytes = 256

// Key is one of the most requested keys.
type Key struct {
	Key  string
	Slot seamslot.ID
	// Rate is the estimated rate, in requests per second. It is never too low.
	Rate float64
	// MaxError is the maximum by which Rate may be too high, in requests per second.
	MaxError float64
}

// Sketch finds the most requested keys with the space-saving algorithm: a new key replaces the least requested key
// and inherits its count as its error. Counts decay exponentially, so that keys which are no longer requested are
// replaced. A Sketch is not safe for concurrent use; KeyCounter is.
type Sketch struct {
	limit int
	// window is the time constant of the decay.
	window time.Duration
	// weightOrigin is the time at which a request has weight 1.
	weightOrigin seamclock.Instant
	started      seamclock.Instant
	entries      entries
	index        map[string]*entry
}

// entry is a counted key. Its counts are sums of weights relative to weightOrigin.
type entry struct {
	key      string
	slot     seamslot.ID
	count    float64
	maxError float64
	position int
}

// NewSketch returns a sketch of up to limit keys whose counts decay with the time constant window.
func NewSketch(limit int, window time.Duration) *Sketch {
	return &Sketch{limit: limit, window: window, index: make(map[string]*entry, limit)}
}

// Count counts one request for the key. Keys longer than 256 bytes are not counted.
func (s *Sketch) Count(now seamclock.Instant, slot seamslot.ID, key string) {
	if len(key) > maxKeyBytes {
		return
	}
	w := s.weight(now)
	e, ok := s.index[key]
	switch {
	case ok:
		e.count += w
		heap.Fix(&s.entries, e.position)
	case len(s.entries) < s.limit:
		key = strings.Clone(key)
		e = &entry{key: key, slot: slot, count: w}
		s.index[key] = e
		heap.Push(&s.entries, e)
	default:
		s.replace(slot, key, w)
	}
}

// replace replaces the least requested key by another key.
func (s *Sketch) replace(slot seamslot.ID, key string, w float64) {
	e := s.entries[0]
	delete(s.index, e.key)
	key = strings.Clone(key) // a substring would keep the whole request header in memory
	e.key, e.slot = key, slot
	e.maxError = e.count
	e.count += w
	s.index[key] = e
	heap.Fix(&s.entries, 0)
}

// Top returns up to n keys, sorted by descending rate.
func (s *Sketch) Top(now seamclock.Instant, n int) []Key {
	if len(s.entries) == 0 {
		return nil
	}
	scale := s.ratePerCount(now)
	keys := make([]Key, 0, len(s.entries))
	for _, e := range s.entries {
		keys = append(keys, Key{Key: e.key, Slot: e.slot, Rate: e.count * scale, MaxError: e.maxError * scale})
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Key, b.Key))
	})
	return keys[:min(n, len(keys))]
}

// mergeHottestRates raises the rate of each slot in rates to the guaranteed rate of the slot's most requested key.
func (s *Sketch) mergeHottestRates(now seamclock.Instant, rates map[seamslot.ID]float64) {
	if len(s.entries) == 0 {
		return
	}
	scale := s.ratePerCount(now)
	for _, e := range s.entries {
		rates[e.slot] = max(rates[e.slot], (e.count-e.maxError)*scale)
	}
}

// ratePerCount returns the rate that a count of 1 represents, in requests per second.
func (s *Sketch) ratePerCount(now seamclock.Instant) float64 {
	return 1 / (s.weight(now) * s.effectiveSeconds(now))
}

// weight returns the weight of a request at now. Later requests have a higher weight, which is equivalent to the
// decay of earlier ones.
func (s *Sketch) weight(now seamclock.Instant) float64 {
	if s.weightOrigin.Zero() {
		s.weightOrigin, s.started = now, now
	}
	exponent := float64(now.Mono-s.weightOrigin.Mono) / float64(s.window)
	if exponent > maxExponent {
		s.rescale(now, exponent)
		exponent = 0
	}
	return math.Exp(exponent)
}

// rescale moves weightOrigin to now and scales the counts accordingly.
func (s *Sketch) rescale(now seamclock.Instant, exponent float64) {
	factor := math.Exp(-exponent)
	s.weightOrigin = now
	for _, e := range s.entries {
		e.count *= factor
		e.maxError *= factor
	}
}

// effectiveSeconds returns the duration that the decayed counts represent, in seconds.
func (s *Sketch) effectiveSeconds(now seamclock.Instant) float64 {
	age := float64(now.Mono - s.started.Mono)
	window := float64(s.window)
	covered := 1 - math.Exp(-age/window)
	return s.window.Seconds() * max(covered, minWindowCoverage)
}

// minWindowCoverage is the minimum share of the window that counts as measured. It prevents excessive rates right
// after the start.
const minWindowCoverage = 0.01

// entries is a min-heap of the counted keys by count.
type entries []*entry

func (e entries) Len() int           { return len(e) }
func (e entries) Less(i, j int) bool { return e[i].count < e[j].count }

func (e entries) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].position, e[j].position = i, j
}

// Push implements heap.Interface.
func (e *entries) Push(x any) {
	added := x.(*entry)
	added.position = len(*e)
	*e = append(*e, added)
}

// Pop implements heap.Interface.
func (e *entries) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
