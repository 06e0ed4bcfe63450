package seamstandstore

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Faults are the faults that the store shows. The zero value is a healthy store.
type Faults struct {
	// Outage is one of OutageNone, OutageRefuse, OutageDrop and OutageHang.
	Outage string `json:"outage,omitempty"`
	// Delay is the time by which each answer is held back, in milliseconds.
	DelayMillis int `json:"delay,omitempty"`
	// Lost is the probability that a call takes effect and its answer is lost.
	ResponseLoss float64 `json:"lost,omitempty"`
	// Cut is the probability, for each event, that a watch is cut instead of sending it.
	WatchCut float64 `json:"cut,omitempty"`
	// Seed restarts the sequence of random decisions if it is not 0.
	Seed uint64 `json:"seed,omitempty"`
}

// Kinds of outage.
const (
	// OutageNone means that the store answers.
	OutageNone = ""
	// OutageRefuse means that connections are refused and open ones closed.
	OutageRefuse = "refuse"
	// OutageDrop means that each call is dropped without an effect or an answer.
	OutageDrop = "drop"
	// OutageHang means that calls wait without an effect until the outage ends.
	OutageHang = "hang"
)

// dice draws the random decisions of the faults.
type dice struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newDice(seed uint64) *dice {
	d := &dice{}
	d.reseed(seed)
	return d
}

func (d *dice) reseed(seed uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.random = rand.New(rand.NewPCG(seed, seed))
}

func (d *dice) roll(probability float64) bool {
	if probability <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.Float64() < probability
}

func (f Faults) delay() time.Duration {
	return time.Duration(f.DelayMillis) * time.Millisecond
}
