package seamsketch

import (
	"math"
	"sync"
	"time"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

const (
	// maxRegionsPerSlot is the number of regions that are counted for each slot.
	maxRegionsPerSlot = 4
	// confidenceDeviations is the number of standard deviations of the confidence interval of a share.
	confidenceDeviations = 1.64
	// minCount is the decayed count below which a slot is removed.
	minCount = 0.01
)

// RegionCounter counts the requests of each slot by the region of the ingress that received them. Counts decay
// exponentially. It is safe for concurrent use.
type RegionCounter struct {
	window time.Duration
	shards [shardCount]regionShard
}

type regionShard struct {
	mu    sync.Mutex
	slots map[seamslot.ID]*regionCounts
	_     [cacheLineBytes]byte
}

// regionCounts holds the decayed counts of one slot at a time. A region that is not counted yet replaces the one with
// the lowest count.
type regionCounts struct {
	at      seamclock.Instant
	regions [maxRegionsPerSlot]string
	counts  [maxRegionsPerSlot]float32
}

// RegionShare is the region from which most requests of a slot come.
type RegionShare struct {
	Region string
	// Share is the share of the requests that come from Region. It is the lower bound of a confidence interval, so that a
	// small number of requests yields a low share.
	Share float64
}

// NewRegionCounter returns a counter whose counts decay with the time constant window.
func NewRegionCounter(window time.Duration) *RegionCounter {
	c := &RegionCounter{window: window}
	for i := range c.shards {
		c.shards[i].slots = map[seamslot.ID]*regionCounts{}
	}
	return c
}

// Count counts one request for the slot from a region.
func (c *RegionCounter) Count(now seamclock.Instant, slot seamslot.ID, region string) {
	if region == "" {
		return
	}
	s := &c.shards[slot.Index%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.slots[slot]
	if x == nil {
		x = &regionCounts{at: now}
		s.slots[slot] = x
	}
	x.decay(now, c.window)
	x.add(region)
}

// DominantRegions returns, for each slot, the region from which most of its requests come, if it is not local and its
// share is at least minShare.
func (c *RegionCounter) DominantRegions(now seamclock.Instant, local string, minShare float64) map[seamslot.ID]RegionShare {
	found := map[seamslot.ID]RegionShare{}
	for i := range c.shards {
		c.forEachDominant(&c.shards[i], now, func(id seamslot.ID, x RegionShare) {
			if x.Region != local && x.Share >= minShare {
				found[id] = x
			}
		})
	}
	return found
}

func (c *RegionCounter) forEachDominant(s *regionShard, now seamclock.Instant, found func(seamslot.ID, RegionShare)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, x := range s.slots {
		x.decay(now, c.window)
		if x.total() < minCount {
			delete(s.slots, id)
			continue
		}
		found(id, x.dominant())
	}
}

func (x *regionCounts) decay(now seamclock.Instant, window time.Duration) {
	elapsed := now.Mono - x.at.Mono
	if elapsed <= 0 {
		return
	}
	x.at = now
	factor := float32(math.Exp(-float64(elapsed) / float64(window)))
	for i := range x.counts {
		x.counts[i] *= factor
	}
}

func (x *regionCounts) add(region string) {
	smallest := 0
	for i, r := range x.regions {
		if r == region {
			x.counts[i]++
			return
		}
		if x.counts[i] < x.counts[smallest] {
			smallest = i
		}
	}
	x.regions[smallest], x.counts[smallest] = region, 1
}

func (x *regionCounts) total() float64 {
	sum := 0.0
	for _, n := range x.counts {
		sum += float64(n)
	}
	return sum
}

func (x *regionCounts) dominant() RegionShare {
	largest := 0
	for i, n := range x.counts {
		if n > x.counts[largest] {
			largest = i
		}
	}
	total := x.total()
	return RegionShare{Region: x.regions[largest], Share: wilsonLowerBound(float64(x.counts[largest])/total, total)}
}

// wilsonLowerBound returns the lower bound of the Wilson score interval for a share observed in n requests.
func wilsonLowerBound(share, n float64) float64 {
	square := confidenceDeviations * confidenceDeviations
	center := share + square/(2*n)
	spread := confidenceDeviations * math.Sqrt(share*(1-share)/n+square/(4*n*n))
	return max(0, (center-spread)/(1+square/n))
}
