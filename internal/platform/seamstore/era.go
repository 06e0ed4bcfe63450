package seamstore

import (
	"fmt"
	"sync/atomic"
)

// revisionBits is the number of low bits of an Entry's revision that hold the revision of the store; the bits above hold its era.
const revisionBits = 40

// JoinEra returns the number by which a revision of a store that comes back from copies is compared: one of a later era is
// later than all revisions of the eras before. Revision 0, which means that a key does not exist, has no era.
func JoinEra(era, revision int64) int64 {
	if revision == 0 {
		return 0
	}
	return era<<revisionBits | revision
}

// SplitEra returns the era and the revision that JoinEra joined.
func SplitEra(joined int64) (era, revision int64) {
	return joined >> revisionBits, joined & (1<<revisionBits - 1)
}

// EraTracker keeps the latest era of a store. It is safe for concurrent use.
type EraTracker struct {
	latest atomic.Int64
}

// Latest returns the latest era; 0 before the first response.
func (t *EraTracker) Latest() int64 { return t.latest.Load() }

// Observe records the era of a response and returns the latest one before. It returns *StaleEraError if that is later, so
// that the response must be dropped.
func (t *EraTracker) Observe(era int64) (before int64, err error) {
	for {
		before = t.latest.Load()
		if era < before {
			return before, &StaleEraError{Era: era, Latest: before}
		}
		if era == before || t.latest.CompareAndSwap(before, era) {
			return before, nil
		}
	}
}

// StaleEraError reports a response from before the store came back from a copy.
type StaleEraError struct {
	Era, Latest int64
}

// Error gives both eras.
func (e *StaleEraError) Error() string {
	return fmt.Sprintf("response of the store's era %d came after one of era %d", e.Era, e.Latest)
}

// EraChangedError reports that the store came back from a copy while a call was on its way.
type EraChangedError struct {
	From, To int64
}

// Error gives both eras.
func (e *EraChangedError) Error() string {
	return fmt.Sprintf("the store's era changed from %d to %d during the call", e.From, e.To)
}
