package seamsketch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamsketch"
	"cardamomseam/internal/own/seamslot"
)

const callerWindow = 30 * time.Second

// countRequests counts random requests for a slot during d and returns the time of the last one. The fraction share
// of them comes from region superior, the rest from region erie.
func countRequests(c *seamsketch.RegionCounter, from seamclock.Instant, d time.Duration, rate, share float64, random *rand.Rand) seamclock.Instant {
	end := from.Mono + d
	for now := from; ; {
		now = now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if now.Mono >= end {
			return now
		}
		region := "erie"
		if random.Float64() < share {
			region = "superior"
		}
		c.Count(now, seamslot.ID{Service: "calendar", Index: 3}, region)
	}
}

func TestDominantRegionShare(t *testing.T) {
	begin := seamclock.Instant{Mono: time.Hour, Wall: time.Hour}
	tests := []struct {
		name        string
		rate, share float64
		low, high   float64
	}{
		{"all from the other region", 10, 1, 0.95, 1},
		{"most from the other region", 10, 0.8, 0.7, 0.8},
		{"half from the other region", 10, 0.5, 0, 0.5},
		{"few requests yield a low share", 0.05, 1, 0.2, 0.6},
		{"none from the other region", 10, 0, 0, 0},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			c := seamsketch.NewRegionCounter(callerWindow)
			now := countRequests(c, begin, 3*time.Minute, x.rate, x.share, rand.New(rand.NewPCG(1, 2)))
			share := 0.0
			for _, f := range c.DominantRegions(now, "erie", 0) {
				share = f.Share
			}
			if share < x.low || share > x.high {
				t.Errorf("share is %.3f, want %.3f to %.3f", share, x.low, x.high)
			}
		})
	}
}

func TestDominantRegionsFollowChange(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	c := seamsketch.NewRegionCounter(callerWindow)
	now := countRequests(c, seamclock.Instant{Mono: time.Hour, Wall: time.Hour}, 5*time.Minute, 10, 0, random)
	if found := c.DominantRegions(now, "erie", 0.5); len(found) != 0 {
		t.Errorf("found %v while all requests come from the local region", found)
	}
	now = countRequests(c, now, 45*time.Second, 10, 1, random)
	if found := c.DominantRegions(now, "erie", 0.5); len(found) != 1 {
		t.Errorf("found %v after all requests came from another region", found)
	}
	now = now.Add(20 * callerWindow)
	if found := c.DominantRegions(now, "erie", 0); len(found) != 0 {
		t.Errorf("found %v long after the last request", found)
	}
}

func BenchmarkRegionCounter(b *testing.B) {
	c := seamsketch.NewRegionCounter(callerWindow)
	now := seamclock.Instant{Mono: time.Hour, Wall: time.Hour}
	for n := range b.N {
		c.Count(now.Add(time.Duration(n)), seamslot.ID{Service: "calendar", Index: uint32(n % 100)}, "erie")
	}
}
