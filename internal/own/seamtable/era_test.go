package seamtable_test

import (
	"math"
	"testing"

	"cardamomseam/internal/own/seamtable"
)

// TestEpochsAndTokensOfALaterEraAreHigher guards against an assigner whose epoch or tokens lie below those that the store has lost.
func TestEpochsAndTokensOfALaterEraAreHigher(t *testing.T) {
	former := seamtable.NextEpoch(0, 1, math.MaxUint64)
	lost := former
	for range 1000 {
		lost = seamtable.NextEpoch(lost, 1, math.MaxUint64)
	}
	next := seamtable.NextEpoch(former, 2, 0)
	if next <= lost || seamtable.EpochEra(next) != 2 || seamtable.EpochEra(lost) != 1 {
		t.Errorf("epoch %x of era 2 follows %x of era 1", next, lost)
	}
	if later := seamtable.NextEpoch(next, 2, 0); later <= next {
		t.Errorf("epoch %x follows %x", later, next)
	}
	if seamtable.MinFence(2) <= seamtable.MinFence(1)+math.MaxUint32-1 {
		t.Error("tokens of two eras overlap")
	}
}
