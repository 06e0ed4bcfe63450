package seamsketch

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

// shardCount is the number of shards. Sharding reduces lock contention between requests.
const shardCount = 8

// KeyCounter estimates request rates by key like a Sketch and is safe for concurrent use. It spreads the
// keys over several independently locked shards.
type KeyCounter struct {
	shards [shardCount]keyShard
}

type keyShard struct {
	mu     sync.Mutex
	sketch *Sketch
	_      [cacheLineBytes]byte // keeps the locks of two shards on different cache lines
}

// cacheLineBytes is the size of a cache line.
const cacheLineBytes = 64

// NewKeyCounter returns a counter of up to about limit keys whose counts decay with the time constant window.
func NewKeyCounter(limit int, window time.Duration) *KeyCounter {
	k := &KeyCounter{}
	for i := range k.shards {
		k.shards[i].sketch = NewSketch(max(1, limit/shardCount), window)
	}
	return k
}

// Count counts one request for the key.
func (k *KeyCounter) Count(now seamclock.Instant, slot seamslot.ID, key string) {
	s := &k.shards[xxhash.Sum64String(key)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sketch.Count(now, slot, key)
}

// Top returns up to n keys, sorted by descending rate.
func (k *KeyCounter) Top(now seamclock.Instant, n int) []Key {
	var all []Key
	for i := range k.shards {
		all = append(all, k.shards[i].top(now, n)...)
	}
	slices.SortFunc(all, func(a, b Key) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Key, b.Key))
	})
	return all[:min(n, len(all))]
}

// HottestKeyRates returns the rate of the most requested key of each slot with counted keys, in requests per second.
// The rates are lower bounds, so that no slot is considered hot by mistake.
func (k *KeyCounter) HottestKeyRates(now seamclock.Instant) map[seamslot.ID]float64 {
	rates := map[seamslot.ID]float64{}
	for i := range k.shards {
		k.shards[i].mergeHottestRates(now, rates)
	}
	return rates
}

func (s *keyShard) mergeHottestRates(now seamclock.Instant, rates map[seamslot.ID]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sketch.mergeHottestRates(now, rates)
}

func (s *keyShard) top(now seamclock.Instant, n int) []Key {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sketch.Top(now, n)
}
