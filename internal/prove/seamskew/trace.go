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
	// rateWindow is the time constant of the averaged request rates that the policies use.
	rateWindow = 10 * time.Second
	// sketchCapacity is the number of keys that the sketch counts.
	sketchCapacity = 128
	// topKeys is the number of keys, most requested first, that are checked for being hot.
	topKeys = 32
)

// trace generates the requests and measures their rates as a node does.
type trace struct {
	config Config
	random *rand.Rand
	now    seamclock.Instant
	// cumulative holds the cumulative distribution of the key ranks.
	cumulative []float64
	// keys holds the keys by rank.
	keys []key
	// replaced is the number of hot keys replaced so far.
	replaced int
	// counts holds the number of requests in the last second by slot.
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
		sketch:     seamsketch.NewKeyCounter(sketchCapacity, rateWindow),
	}
	for i := range c.Keys {
		name := fmt.Sprintf("erie-%d-%d", c.Seed, i)
		slot := seamslot.ID{Service: "calendar", Index: seamslot.Hash(name, 0, uint32(c.Slots))}
		t.keys = append(t.keys, key{name: name, slot: slot})
	}
	t.rates.Update(t.now)
	return t
}

// zipf returns the cumulative Zipf distribution of the ranks.
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

// step generates the requests of the next second.
func (t *trace) step() {
	t.now = t.now.Add(time.Second)
	t.replaceHotKeys()
	clear(t.counts)
	for range t.config.Rate {
		k := t.keys[sort.SearchFloat64s(t.cumulative, t.random.Float64())]
		t.counts[k.slot.Index]++
		t.rates.Count(k.slot.Index)
		t.sketch.Count(t.now, k.slot, k.name)
	}
	t.rates.Update(t.now)
}

// replaceHotKeys swaps a random hot key with a random other key for each replacement that is due.
func (t *trace) replaceHotKeys() {
	elapsed := t.now.Mono - time.Hour // newTrace starts the clock at one hour
	due := int(int64(elapsed) * int64(t.config.HotKeys) / int64(t.config.HotSetPeriod))
	for ; t.replaced < due; t.replaced++ {
		hot := t.random.IntN(t.config.HotKeys)
		cold := t.config.HotKeys + t.random.IntN(t.config.Keys-t.config.HotKeys)
		t.keys[hot], t.keys[cold] = t.keys[cold], t.keys[hot]
	}
}

// minImbalance returns a lower bound for the imbalance in the last second: the load of the busiest slot
// over the mean load of a server, and at least 1.
func (t *trace) minImbalance() float64 {
	highest := 0.0
	for _, count := range t.counts {
		highest = max(highest, count)
	}
	meanLoad := float64(t.config.Rate) / float64(t.config.Servers)
	return max(1, highest/meanLoad)
}

// hotSlots returns the slots that contain a hot key: one whose rate, after subtracting the largest
// possible error of the sketch, is at least hotKeyShare of the mean load of a server.
func (t *trace) hotSlots() map[seamslot.ID]bool {
	meanLoad := float64(t.config.Rate) / float64(t.config.Servers)
	slots := map[seamslot.ID]bool{}
	for _, k := range t.sketch.Top(t.now, topKeys) {
		if k.Rate-k.MaxError >= hotKeyShare*meanLoad {
			slots[k.Slot] = true
		}
	}
	return slots
}

// hotKeyShare is the smallest rate of a hot key, as a fraction of the mean load of a server.
const hotKeyShare = 0.5
