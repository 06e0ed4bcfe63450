package seamsketch

import (
	"math"
	"sync"
	"time"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

const (
	// callerRegions is the number of regions that are counted for each slot.
	callerRegions = 4
	// callerDeviations is the number of standard deviations by which a share is lowered.
	callerDeviations = 1.64
	// callerLeast is the count below which a slot is forgotten.
	callerLeast = 0.01
)

// Callers counts the requests of each slot by the region of the ingress that they came from. Counts
// decay exponentially. It is safe for concurrent use.
type RegionCounter struct {
	window time.Duration
	shards [shardCount]callerShard
}

type callerShard struct {
	mu    sync.Mutex
	slots map[seamslot.ID]*callerCounts
	_     [cacheLine]byte
}

// callerCounts are the decayed counts of one slot at an instant. The last region that was not
// counted before takes the place of the least one.
type callerCounts struct {
	at      seamclock.Instant
	regions [callerRegions]string
	counts  [callerRegions]float32
}

// Caller is the region from which most requests of a slot come.
type RegionShare struct {
	Region string
	// Share is the part of the requests that come from there. It is lowered by what chance may have
	// added, so that few requests prove little.
	Share float64
}

// NewCallers returns counters that forget with the time constant window.
func NewRegionCounter(window time.Duration) *RegionCounter {
	c := &RegionCounter{window: window}
	for i := range c.shards {
		c.shards[i].slots = map[seamslot.ID]*callerCounts{}
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
		x = &callerCounts{at: now}
		s.slots[slot] = x
	}
	x.decay(now, c.window)
	x.add(region)
}

// Foremost returns for each slot of which at least the part least of the requests comes from one
// region other than own, that region.
func (c *RegionCounter) DominantRegions(now seamclock.Instant, own string, least float64) map[seamslot.ID]RegionShare {
	found := map[seamslot.ID]RegionShare{}
	for i := range c.shards {
		c.foremost(&c.shards[i], now, func(id seamslot.ID, x RegionShare) {
			if x.Region != own && x.Share >= least {
				found[id] = x
			}
		})
	}
	return found
}

func (c *RegionCounter) foremost(s *callerShard, now seamclock.Instant, found func(seamslot.ID, RegionShare)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, x := range s.slots {
		x.decay(now, c.window)
		if x.total() < callerLeast {
			delete(s.slots, id)
			continue
		}
		found(id, x.foremost())
	}
}

func (x *callerCounts) decay(now seamclock.Instant, window time.Duration) {
	elapsed := now.Mono - x.at.Mono
	if elapsed <= 0 {
		return
	}
	x.at = now
	part := float32(math.Exp(-float64(elapsed) / float64(window)))
	for i := range x.counts {
		x.counts[i] *= part
	}
}

func (x *callerCounts) add(region string) {
	least := 0
	for i, r := range x.regions {
		if r == region {
			x.counts[i]++
			return
		}
		if x.counts[i] < x.counts[least] {
			least = i
		}
	}
	x.regions[least], x.counts[least] = region, 1
}

func (x *callerCounts) total() float64 {
	sum := 0.0
	for _, n := range x.counts {
		sum += float64(n)
	}
	return sum
}

func (x *callerCounts) foremost() RegionShare {
	most := 0
	for i, n := range x.counts {
		if n > x.counts[most] {
			most = i
		}
	}
	total := x.total()
	return RegionShare{Region: x.regions[most], Share: lowerBound(float64(x.counts[most])/total, total)}
}

// lowerBound returns the lower end of Wilson's interval for a share seen in n requests.
func lowerBound(share, n float64) float64 {
	square := callerDeviations * callerDeviations
	center := share + square/(2*n)
	spread := callerDeviations * math.Sqrt(share*(1-share)/n+square/(4*n*n))
	return max(0, (center-spread)/(1+square/n))
}
