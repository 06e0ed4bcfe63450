package seamsketch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamsketch"
	"cardamomseam/internal/own/seamslot"
)

const window = 10 * time.Second

func at(d time.Duration) seamclock.Instant {
	return seamclock.Instant{Mono: time.Hour + d, Wall: time.Hour + d}
}

// TestSketchBoundsError checks the guarantees of the algorithm against exact counts.
func TestSketchBoundsError(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const limit = 8
		s := seamsketch.NewSketch(limit, window)
		exact := map[string]int{}
		keys := rapid.SliceOfN(rapid.IntRange(0, 30), 1, 400).Draw(r, "keys")
		for _, k := range keys {
			key := fmt.Sprint(k)
			exact[key]++
			s.Count(at(0), seamslot.ID{}, key)
		}
		unit := s.Top(at(0), 1)[0].Rate // rates are proportional to counts
		var total float64
		top := s.Top(at(0), limit)
		for _, k := range top {
			total += k.Rate
		}
		perCount := total / float64(len(keys))
		for _, k := range top {
			count := float64(exact[k.Key])
			got, slack := k.Rate/perCount, k.MaxError/perCount
			if got < count-1e-6 || got-slack > count+1e-6 {
				r.Fatalf("key %s counted %v, error %v, exact %v (unit %v)", k.Key, got, slack, count, unit)
			}
		}
		if len(top) > limit {
			r.Fatalf("%d keys are kept", len(top))
		}
	})
}

func TestSketchFollowsHotKeys(t *testing.T) {
	k := seamsketch.NewKeyCounter(64, window)
	random := rand.New(rand.NewPCG(1, 1))
	const rate = 1000
	hot := func(at time.Duration) string { return fmt.Sprintf("hot%d", at/time.Minute) }
	for d := time.Duration(0); d < 2*time.Minute; d += time.Second / rate {
		key := fmt.Sprintf("cold%d", random.IntN(5000))
		if random.IntN(10) == 0 {
			key = hot(d)
		}
		k.Count(at(d), seamslot.ID{Service: "calendar", Index: 3}, key)
	}
	top := k.Top(at(2*time.Minute), 1)[0]
	if top.Key != "hot1" || math.Abs(top.Rate-rate/10) > 0.3*rate/10 {
		t.Fatalf("top key is %+v, want hot1 at about %d/s", top, rate/10)
	}
	if top.Slot.Index != 3 {
		t.Fatalf("slot is %s", top.Slot)
	}
	hottest := k.HottestKeyRates(at(2 * time.Minute))
	if len(hottest) != 1 || math.Abs(hottest[top.Slot]-(top.Rate-top.MaxError)) > 1e-6 || hottest[top.Slot] < 0.7*rate/10 {
		t.Fatalf("hottest keys are %v, top is %+v", hottest, top)
	}
}

func TestSketchAfterLongIdlePeriod(t *testing.T) {
	s := seamsketch.NewSketch(4, window)
	s.Count(at(0), seamslot.ID{}, "old")
	for i := range 100 {
		s.Count(at(24*time.Hour+time.Duration(i)*time.Second), seamslot.ID{}, "new")
	}
	top := s.Top(at(24*time.Hour+100*time.Second), 4)
	if top[0].Key != "new" || math.Abs(top[0].Rate-1) > 0.1 {
		t.Fatalf("top is %+v", top)
	}
	if top[1].Rate > 1e-9 {
		t.Fatalf("a key unused for a day still has the rate %v", top[1].Rate)
	}
}

func TestSlotRatesAverage(t *testing.T) {
	r := seamsketch.NewSlotRates(4, window)
	r.Update(at(0))
	for s := 1; s <= 60; s++ {
		var wait sync.WaitGroup
		for range 4 {
			wait.Go(func() {
				for range 50 {
					r.Count(2)
				}
			})
		}
		wait.Wait()
		r.Count(99)
		r.Update(at(time.Duration(s) * time.Second))
		if got := r.Rate(2); math.Abs(got-200) > 1 {
			t.Fatalf("rate after %d s is %v, want 200", s, got)
		}
	}
	r.Update(at(60*time.Second + window))
	if got := r.Rate(2); math.Abs(got-200/math.E) > 1 {
		t.Fatalf("rate after a quiet window is %v, want %v", got, 200/math.E)
	}
	if r.Rate(1) != 0 || r.Rate(99) != 0 {
		t.Fatal("an unused slot has a rate")
	}
}

func BenchmarkKeyCounterCount(b *testing.B) {
	k := seamsketch.NewKeyCounter(128, window)
	names := make([]string, 10_000)
	for i := range names {
		names[i] = fmt.Sprint("household-", i)
	}
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for i := rand.IntN(len(names)); p.Next(); i++ {
			k.Count(at(time.Duration(i)), seamslot.ID{}, names[i%len(names)])
		}
	})
}

func BenchmarkSlotRatesCount(b *testing.B) {
	r := seamsketch.NewSlotRates(512, window)
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			r.Count(7)
		}
	})
}
