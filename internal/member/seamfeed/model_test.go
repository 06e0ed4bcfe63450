package seamfeed_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/stand/seamstandkv"
)

// A model: nodes are cut off, stopped and started and the store is down or forgets its history, at random. A change that the
// store acknowledged is known within deliveryBound at each node in touch.
func TestChangesReachAllNodesInTouch(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playFaults(t, seed) })
		})
	}
}

func playFaults(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	f := newFleet(t, 3, 20)
	time.Sleep(settleTime)
	storeDisturbedUntil := time.Now()
	written := map[time.Time]int64{}
	for i := range 120 {
		time.Sleep(500 * time.Millisecond)
		if random.IntN(3) == 0 {
			storeDisturbedUntil = f.disturb(random, storeDisturbedUntil)
		}
		e, err := f.store.Get(t.Context(), seamstore.Takeover, "a/routes")
		if err == nil {
			f.store.Put("a/routes", document(random, i))
			written[time.Now()] = e.Revision
		}
		f.checkDelivery(t, written, storeDisturbedUntil)
	}
}

// document returns a short value or, in two of three cases, one that is sent in pieces.
func document(random *rand.Rand, version int) []byte {
	lines := random.IntN(3) * 700
	value := fmt.Appendf(nil, "version %d\n", version)
	for i := range lines {
		value = fmt.Appendf(value, "route %d of %d to service %d\n", i, lines, i*i%7919)
	}
	return value
}

// disturb starts a random fault.
func (f *fleet) disturb(random *rand.Rand, storeDisturbedUntil time.Time) time.Time {
	lasts := time.Duration(1+random.IntN(8)) * time.Second
	nodes := f.all()
	n := nodes[random.IntN(len(nodes))]
	if readers := f.readers(); random.IntN(2) == 0 && len(readers) > 0 {
		n = readers[random.IntN(len(readers))]
	}
	end := time.Now().Add(lasts)
	switch random.IntN(8) {
	case 0, 1:
		n.disturb(end)
		n.storeCut.Store(true)
		time.AfterFunc(lasts, func() { n.storeCut.Store(false) })
	case 2, 3:
		n.disturb(end)
		n.networkCut.Store(true)
		time.AfterFunc(lasts, func() { n.networkCut.Store(false) })
	case 4, 5:
		n.stop()
		f.start(n.peer.Name, n.peer.Domain).disturb(time.Now())
	case 6:
		f.store.Compact()
	case 7:
		f.store.SetFaults(seamstandkv.Faults{Down: true})
		time.AfterFunc(lasts/2, func() { f.store.SetFaults(seamstandkv.Faults{}) })
		storeDisturbedUntil = time.Now().Add(lasts / 2)
	}
	return storeDisturbedUntil
}

func (n *node) disturb(end time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if end.After(n.disturbedUntil) {
		n.disturbedUntil = end
	}
}

// checkDelivery checks the changes that were written deliveryBound ago or earlier.
func (f *fleet) checkDelivery(t *testing.T, written map[time.Time]int64, storeDisturbedUntil time.Time) {
	now := time.Now()
	for at, previous := range written {
		if now.Sub(at) < deliveryBound {
			continue
		}
		delete(written, at)
		for _, n := range f.all() {
			n.mu.Lock()
			disturbedUntil := n.disturbedUntil
			n.mu.Unlock()
			inTouch := at.Sub(disturbedUntil) > recoveryTime && at.Sub(storeDisturbedUntil) > recoveryTime
			if got := n.routesRevision(); inTouch && got <= previous {
				t.Errorf("%s is at revision %d %s after a write over revision %d; its source is %s",
					n.peer.Name, got, now.Sub(at), previous, n.feed.Status().Source)
			}
		}
	}
}
