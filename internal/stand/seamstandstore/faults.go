package seamstandstore

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Faults configures the faults that the store injects. The zero value injects none.
type Faults struct {
	// Outage is one of OutageNone, OutageRefuse, OutageDrop and OutageHang.
	Outage string `json:"outage,omitempty"`
	// DelayMillis is the delay of each response and watch event, in milliseconds.
	DelayMillis int `json:"delay,omitempty"`
	// ResponseLoss is the probability that a call takes effect but its response is lost.
	ResponseLoss float64 `json:"lost,omitempty"`
	// WatchCut is the probability that a watch is disconnected instead of sending a batch of events.
	WatchCut float64 `json:"cut,omitempty"`
	// Seed restarts the random decisions from this seed if it is not 0.
	Seed uint64 `json:"seed,omitempty"`
}

// Kinds of outage.
const (
	// OutageNone means that the store is available.
	OutageNone = ""
	// OutageRefuse means that new connections are refused and open connections are closed.
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
	r := &randomSource{}
	r.reseed(seed)
	return r
}

func (r *randomSource) reseed(seed uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.random = rand.New(rand.NewPCG(seed, seed))
}

// occurs randomly decides whether an event with the given probability occurs.
func (r *randomSource) occurs(probability float64) bool {
	if probability <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64() < probability
}

func (f Faults) delay() time.Duration {
	return time.Duration(f.DelayMillis) * time.Millisecond
}
