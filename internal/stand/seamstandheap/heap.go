// Package seamstandheap measures how much memory a function takes. Tests use it where a faulty far end sends bytes without end.
package seamstandheap

import (
	"runtime"
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// sampleInterval is the time between two measurements.
	sampleInterval = time.Millisecond
	// collectInterval is the time between two garbage collections, after which Size.Kept is measured.
	collectInterval = 20 * time.Millisecond
)

// NodeMemory is the memory limit of a small node, in bytes.
const NodeMemory = 284 << 20

const (
	// MaxKept is the memory that one kind of connection of a small node may keep, in bytes.
	MaxKept = NodeMemory / 16
	// MaxHeap is the size to which one kind of connection may let its heap grow, with what is not collected yet, in bytes.
	MaxHeap = NodeMemory / 4
)

// Size is the size of a heap, in bytes.
type Size struct {
	// Kept is what is in use, and All also counts what is not collected yet.
	Kept, All int64
}

// Exceeds reports whether a size is above MaxKept or MaxHeap beyond that of a calm run.
func (s Size) Exceeds(calm Size) bool {
	return s.Kept > MaxKept+calm.Kept || s.All > MaxHeap+calm.All
}

// Peak returns the largest sizes of the heap while f runs, beyond those before it.
func Peak(f func()) Size {
	runtime.GC()
	before, peak := current(), Size{}
	var ended atomic.Bool
	var sampling sync.WaitGroup
	sampling.Go(func() {
		collected := time.Now()
		for ; !ended.Load(); time.Sleep(sampleInterval) {
			now := current()
			peak = Size{max(peak.Kept, now.Kept-before.Kept), max(peak.All, now.All-before.All)}
			if time.Since(collected) > collectInterval {
				runtime.GC()
				collected = time.Now()
			}
		}
	})
	f()
	ended.Store(true)
	sampling.Wait()
	return peak
}

func current() Size {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return Size{Kept: int64(sample[0].Value.Uint64()), All: int64(sample[1].Value.Uint64())}
}
