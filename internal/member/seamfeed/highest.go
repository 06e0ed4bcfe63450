package seamfeed

import "sync/atomic"

// highest is the highest of the numbers that were recorded. It is safe for concurrent use.
type highest struct {
	number atomic.Uint64
}

// record records a number.
func (h *highest) record(number uint64) {
	for known := h.number.Load(); number > known; known = h.number.Load() {
		if h.number.CompareAndSwap(known, number) {
			return
		}
	}
}

// load returns the highest number; 0 if there is none.
func (h *highest) load() uint64 { return h.number.Load() }
