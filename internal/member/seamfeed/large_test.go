package seamfeed_test

import (
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

const (
	// maxStoreValue is the size of the largest value that the store accepts, in bytes.
	maxStoreValue = 1 << 20
	// slowLink is the capacity of a link of 10 Mbit/s, in bytes per second.
	slowLink = 10_000_000 / 8
)

// routesOf returns a document of about size bytes. Documents of different versions differ in few places.
func routesOf(version, size int) []byte {
	value := fmt.Appendf(nil, "version %d\n", version)
	for i := 0; len(value) < size; i++ {
		edited := 0
		if i%1000 == version%1000 {
			edited = version
		}
		value = fmt.Appendf(value, "route %d for host h%d.example and path /%x/ edited %d\n", i, i%89, i*2654435761, edited)
	}
	return value[:size]
}

// subscribers returns the nodes that follow a reader.
func (f *fleet) subscribers() []*node {
	var subscribers []*node
	for _, n := range f.all() {
		if n.feed.Subscribed() {
			subscribers = append(subscribers, n)
		}
	}
	return subscribers
}

// cutSubscribersOff waits until the nodes have found their sources and cuts those that follow a reader off from the store.
func (f *fleet) cutSubscribersOff() {
	time.Sleep(settleTime)
	for _, n := range f.subscribers() {
		n.storeCut.Store(true)
	}
}

func TestValuesOfEachSizeReachSubscribers(t *testing.T) {
	for _, bound := range []int{1, 16 << 10, 256 << 10, maxStoreValue} {
		for _, size := range []int{bound - 1, bound, min(bound+1, maxStoreValue)} {
			t.Run(fmt.Sprintf("%d bytes", size), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, 1, 4)
					f.cutSubscribersOff()
					want := routesOf(1, size)
					f.store.Put("a/routes", want)
					time.Sleep(deliveryBound)
					for _, n := range f.all() {
						n.mu.Lock()
						got := n.copy["a/routes"].Value
						n.mu.Unlock()
						if len(got) != len(want) || string(got) != string(want) {
							t.Errorf("%s has %d bytes after %v, want %d", n.peer.Name, len(got), deliveryBound, len(want))
						}
					}
				})
			})
		}
	}
}

func TestLargeValueArrivesOverSlowLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 9)
		f.cutSubscribersOff()
		for _, n := range f.all() {
			n.bytesPerSecond.Store(slowLink / 8) // a reader's link is shared by the seven nodes that it serves
		}
		f.store.Put("a/routes", routesOf(1, maxStoreValue))
		time.Sleep(deliveryBound)
		f.expectEverywhere(t)
	})
}

func TestStormOfLargeVersionsSendsFewBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const versions, gap, size = 25, 80 * time.Millisecond, 400 << 10
		f := newFleet(t, 1, 9)
		f.cutSubscribersOff()
		f.store.Put("a/routes", routesOf(0, size))
		time.Sleep(deliveryBound)
		before := map[string]int64{}
		for _, n := range f.all() {
			n.bytesPerSecond.Store(slowLink / 8)
			before[n.peer.Name] = n.received.Load()
		}
		for i := range versions {
			f.store.Put("a/routes", routesOf(i+1, size))
			time.Sleep(gap)
		}
		time.Sleep(deliveryBound)
		f.expectEverywhere(t)
		for _, n := range f.subscribers() {
			if got := n.received.Load() - before[n.peer.Name]; got > size {
				t.Errorf("%s received %d bytes for %d versions of %d bytes that differ in a few", n.peer.Name, got, versions, size)
			}
		}
	})
}

func TestTransferResumesWhereItWasCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 4)
		f.cutSubscribersOff()
		n, other := f.subscribers()[0], f.subscribers()[1]
		f.store.Put("a/routes", routesOf(1, maxStoreValue))
		time.Sleep(deliveryBound)
		whole := other.received.Load()
		n.bytesPerSecond.Store(whole / 4)
		f.store.Put("a/routes", append([]byte("other"), routesOf(7, maxStoreValue-5)...))
		for range 4 {
			time.Sleep(time.Second)
			n.networkCut.Store(true)
			time.Sleep(3 * time.Second)
			n.networkCut.Store(false)
		}
		time.Sleep(5 * deliveryBound)
		f.expectEverywhere(t)
		if got := n.received.Load(); got > 3*whole {
			t.Errorf("received %d bytes in a transfer that was cut four times; without a cut it takes %d", got, whole)
		}
	})
}

func TestOvertakenVersionsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const versions = 50
		f := newFleet(t, 1, 3)
		time.Sleep(settleTime)
		f.store.Put("a/routes", routesOf(0, maxStoreValue))
		time.Sleep(deliveryBound)
		f.store.Compact()
		before := heapBytes()
		for i := range versions {
			f.store.Put("a/routes", routesOf(i+1, maxStoreValue))
			f.store.Compact()
			time.Sleep(time.Second)
		}
		f.expectEverywhere(t)
		if got := heapBytes() - before; got > versions*maxStoreValue/2 {
			t.Errorf("three nodes keep %d bytes more after %d versions of %d bytes", got, versions, maxStoreValue)
		}
	})
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// A node that starts anew gets the value in pieces as well, and a node that already has a version gets a list that names it.
func TestRestartedNodeGetsLargeValue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 5)
		time.Sleep(settleTime)
		f.store.Put("a/routes", routesOf(1, maxStoreValue))
		time.Sleep(deliveryBound)
		n := f.subscribers()[0]
		n.stop()
		restarted := f.start(n.peer.Name, n.peer.Domain)
		restarted.storeCut.Store(true)
		for _, reader := range f.readers() {
			if reader != restarted {
				restarted.learn(reader)
			}
		}
		time.Sleep(settleTime)
		e, err := f.store.Get(t.Context(), 0, "a/routes")
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(e.Revision, restarted.routesRevision()); d != "" {
			t.Errorf("a node that can't read the store: %s", d)
		}
	})
}

// learn tells the node of another one.
func (n *node) learn(other *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := nodePrefix + other.peer.Domain + "/" + other.peer.Name
	n.known = append(n.known, key)
}
