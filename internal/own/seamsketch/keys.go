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

// shardCount is the number of sketches among which keys are divided, so that requests
// seldom wait for each other.
const shardCount = 8

// Keys is a sketch for concurrent use.
type KeyCounter struct {
	shards [shardCount]shard
}

type shard struct {
	mu     sync.Mutex
	sketch *Sketch
	_      [cacheLine]byte
}

// cacheLine is the size of a cache line, in bytes.
const cacheLine = 64

// NewKeys returns a sketch that counts up to about limit keys and forgets them with the
// time constant window.
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

// Top returns up to n keys, most used first.
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

// Hottest returns for each slot with counted keys the rate of the most used one, in
// requests a second. It is never too high, so that no slot is taken as hot by mistake.
func (k *KeyCounter) HottestKeyRates(now seamclock.Instant) map[seamslot.ID]float64 {
	rates := map[seamslot.ID]float64{}
	for i := range k.shards {
		k.shards[i].hottest(now, rates)
	}
	return rates
}

func (s *shard) hottest(now seamclock.Instant, rates map[seamslot.ID]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sketch.hottest(now, rates)
}

func (s *shard) top(now seamclock.Instant, n int) []Key {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sketch.Top(now, n)
}
