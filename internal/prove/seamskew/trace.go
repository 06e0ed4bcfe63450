package seamskew

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamsketch"
	"cardamomseam/internal/own/seamslot"
)

const (
	// rateWindow is the time constant of the rates that the policies see.
	rateWindow = 10 * time.Second
	// sketchLimit is the number of keys in the sketch.
	sketchLimit = 128
	// topKeys is the number of keys that are looked at for hot slots.
	topKeys = 32
)

// trace makes the requests and measures them as a node does.
type trace struct {
	config Config
	random *rand.Rand
	now    seamclock.Instant
	// cumulative holds, by rank, the probability of a key of this or a lower rank.
	cumulative []float64
	// keys holds the key of each rank.
	keys []key
	// replaced is the number of hot keys replaced so far.
	replaced int
	// counts holds the requests of the last second by slot.
	counts []float64
	rates  *seamsketch.SlotRates
	sketch *seamsketch.KeyCounter
}

type key struct {
	name string
	slot seamslot.ID
}

func newTrace(c Config) *trace {
	t := &trace{
		config:     c,
		random:     rand.New(rand.NewPCG(c.Seed, c.Seed)),
		now:        seamclock.Instant{Mono: time.Hour, Wall: time.Hour},
		cumulative: zipf(c.Keys, c.ZipfExponent),
		counts:     make([]float64, c.Slots),
		rates:      seamsketch.NewSlotRates(uint32(c.Slots), rateWindow),
		sketch:     seamsketch.NewKeyCounter(sketchLimit, rateWindow),
	}
	for i := range c.Keys {
		name := fmt.Sprintf("erie-%d-%d", c.Seed, i)
		slot := seamslot.ID{Service: "calendar", Index: seamslot.Hash(name, 0, uint32(c.Slots))}
		t.keys = append(t.keys, key{name: name, slot: slot})
	}
	t.rates.Update(t.now)
	return t
}

// zipf returns the cumulative probabilities of the ranks.
func zipf(keys int, exponent float64) []float64 {
	cumulative := make([]float64, keys)
	sum := 0.0
	for i := range cumulative {
		sum += math.Pow(float64(i+1), -exponent)
		cumulative[i] = sum
	}
	for i := range cumulative {
		cumulative[i] /= sum
	}
	return cumulative
}

// second makes the requests of the next second.
func (t *trace) second() {
	t.now = t.now.Add(time.Second)
	t.shift()
	clear(t.counts)
	for range t.config.Rate {
		k := t.keys[sort.SearchFloat64s(t.cumulative, t.random.Float64())]
		t.counts[k.slot.Index]++
		t.rates.Count(k.slot.Index)
		t.sketch.Count(t.now, k.slot, k.name)
	}
	t.rates.Update(t.now)
}

// shift replaces the hot keys that are due, one by one in a random order of ranks.
func (t *trace) shift() {
	elapsed := t.now.Mono - time.Hour
	due := int(int64(elapsed) * int64(t.config.HotKeys) / int64(t.config.HotSetPeriod))
	for ; t.replaced < due; t.replaced++ {
		hot := t.random.IntN(t.config.HotKeys)
		cold := t.config.HotKeys + t.random.IntN(t.config.Keys-t.config.HotKeys)
		t.keys[hot], t.keys[cold] = t.keys[cold], t.keys[hot]
	}
}

// least returns the smallest imbalance that this second's requests allow.
func (t *trace) least() float64 {
	most := 0.0
	for _, c := range t.counts {
		most = max(most, c)
	}
	mean := float64(t.config.Rate) / float64(t.config.Servers)
	return max(1, most/mean)
}

// hot returns the slots of which one key alone carries half the mean load of a server.
func (t *trace) hot() map[seamslot.ID]bool {
	mean := float64(t.config.Rate) / float64(t.config.Servers)
	slots := map[seamslot.ID]bool{}
	for _, k := range t.sketch.Top(t.now, topKeys) {
		if k.Rate-k.MaxError >= hotShare*mean {
			slots[k.Slot] = true
		}
	}
	return slots
}

// hotShare is the part of a server's mean load that makes a key hot.
const hotShare = 0.5
