package seamstandstore

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Faults are the injected faults of the store. The zero value injects none.
type Faults struct {
	// Outage is one of OutageNone, OutageRefuse, OutageDrop and OutageHang.
	Outage string `json:"outage,omitempty"`
	// DelayMillis is the delay of each response and watch event, in milliseconds.
	DelayMillis int `json:"delay,omitempty"`
	// ResponseLoss is the probability that a call takes effect but its response is lost.
	ResponseLoss float64 `json:"lost,omitempty"`
	// WatchCut is the probability that a watch is disconnected instead of sending a batch of events.
	WatchCut float64 `json:"cut,omitempty"`
	// Seed reseeds the random decisions if it is not 0.
	Seed uint64 `json:"seed,omitempty"`
}

// Kinds of outage.
const (
	// OutageNone means that the store is available.
	OutageNone = ""
	// OutageRefuse means that connections are refused and open ones closed.
	OutageRefuse = "refuse"
	// OutageDrop means that each call is dropped without effect or response.
	OutageDrop = "drop"
	// OutageHang means that calls block without effect until the outage ends.
	OutageHang = "hang"
)

// randomSource makes the seeded random decisions of fault injection.
type randomSource struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newRandomSource(seed uint64) *randomSource {
	d := &randomSource{}
	d.reseed(seed)
	return d
}

func (d *randomSource) reseed(seed uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.random = rand.New(rand.NewPCG(seed, seed))
}

func (d *randomSource) occurs(probability float64) bool {
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
