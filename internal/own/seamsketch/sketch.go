// Package seamsketch measures the use of keys and slots in bounded memory: the most
// used keys by a sketch, and the exact rate of each slot.
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

// maxExponent bounds the exponent of the growing weights before they are scaled down.
const maxExponent = 64

// maxKey is the length of the longest key that is counted, in bytes, to bound the memory.
const maxKey = 256

// Key is one of the most used keys.
type Key struct {
	Key  string
	Slot seamslot.ID
	// Rate is the estimated rate in requests a second; it is never too low.
	Rate float64
	// Error is the most by which Rate may be too high, in requests a second.
	MaxError float64
}

// Sketch finds the most used keys by the space-saving algorithm: a key that is not among
// those counted takes the place of the least used one and inherits its count as error.
// Counts decay exponentially, so that a key which cools off leaves. A Sketch is not safe
// for concurrent use; Keys is.
type Sketch struct {
	limit int
	// window is the time constant of the decay.
	window time.Duration
	// origin is the time at which a request has weight 1.
	origin  seamclock.Instant
	started seamclock.Instant
	entries entries
	index   map[string]*entry
}

// entry is a counted key. Counts are in weights relative to the origin.
type entry struct {
	key      string
	slot     seamslot.ID
	count    float64
	error    float64
	position int
}

// NewSketch returns a sketch that counts up to limit keys and forgets them with the time
// constant window.
func NewSketch(limit int, window time.Duration) *Sketch {
	return &Sketch{limit: limit, window: window, index: make(map[string]*entry, limit)}
}

// Count counts one request for the key. Keys longer than 256 bytes are not counted.
func (s *Sketch) Count(now seamclock.Instant, slot seamslot.ID, key string) {
	if len(key) > maxKey {
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

// replace gives the place of the least used key to another key.
func (s *Sketch) replace(slot seamslot.ID, key string, w float64) {
	e := s.entries[0]
	delete(s.index, e.key)
	key = strings.Clone(key) // a part of a request's header would keep all of it in memory
	e.key, e.slot = key, slot
	e.error = e.count
	e.count += w
	s.index[key] = e
	heap.Fix(&s.entries, 0)
}

// Top returns up to n keys, most used first.
func (s *Sketch) Top(now seamclock.Instant, n int) []Key {
	if len(s.entries) == 0 {
		return nil
	}
	scale := s.scale(now)
	keys := make([]Key, 0, len(s.entries))
	for _, e := range s.entries {
		keys = append(keys, Key{Key: e.key, Slot: e.slot, Rate: e.count * scale, MaxError: e.error * scale})
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Key, b.Key))
	})
	return keys[:min(n, len(keys))]
}

// hottest raises the rates of the slots to those that their keys have at least.
func (s *Sketch) hottest(now seamclock.Instant, rates map[seamslot.ID]float64) {
	if len(s.entries) == 0 {
		return
	}
	scale := s.scale(now)
	for _, e := range s.entries {
		rates[e.slot] = max(rates[e.slot], (e.count-e.error)*scale)
	}
}

// scale returns the rate for which a count of 1 stands, in requests a second.
func (s *Sketch) scale(now seamclock.Instant) float64 {
	return 1 / (s.weight(now) * s.span(now))
}

// weight returns the weight of a request at now. Later requests weigh more, which is the
// same as letting earlier ones decay.
func (s *Sketch) weight(now seamclock.Instant) float64 {
	if s.origin.Zero() {
		s.origin, s.started = now, now
	}
	exponent := float64(now.Mono-s.origin.Mono) / float64(s.window)
	if exponent > maxExponent {
		s.rescale(now, exponent)
		exponent = 0
	}
	return math.Exp(exponent)
}

// rescale moves the origin to now and drops what has decayed to nothing.
func (s *Sketch) rescale(now seamclock.Instant, exponent float64) {
	factor := math.Exp(-exponent)
	s.origin = now
	for _, e := range s.entries {
		e.count *= factor
		e.error *= factor
	}
}

// span returns the seconds that the decayed counts stand for.
func (s *Sketch) span(now seamclock.Instant) float64 {
	age := float64(now.Mono - s.started.Mono)
	window := float64(s.window)
	seen := 1 - math.Exp(-age/window)
	return s.window.Seconds() * max(seen, minSeen)
}

// minSeen keeps the first requests after the start from giving huge rates.
const minSeen = 0.01

// entries is a heap of the counted keys, least used first.
type entries []*entry

func (e entries) Len() int           { return len(e) }
func (e entries) Less(i, j int) bool { return e[i].count < e[j].count }

func (e entries) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].position, e[j].position = i, j
}

// Push adds an entry; it serves package heap.
func (e *entries) Push(x any) {
	added := x.(*entry)
	added.position = len(*e)
	*e = append(*e, added)
}

// Pop removes the last entry; it serves package heap.
func (e *entries) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
