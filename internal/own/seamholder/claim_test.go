package seamholder_test

import (
	"testing"
	"time"

	"cardamomseam/internal/own/seamassign"
	"cardamomseam/internal/own/seamtable"
)

// TestClaimsNeedALeaseThatWasValidWhenTheEraBegan guards against a holder that claims keys which may have been given to another
// one in what the store lost.
func TestClaimsNeedALeaseThatWasValidWhenTheEraBegan(t *testing.T) {
	const start = afterInheritedGrants
	epochOf := func(era int64) uint64 { return seamtable.NextEpoch(0, era, 0) }
	for _, tt := range []struct {
		name string
		// learned is when the node learns of eras 2, 3 and so on, after the lease began.
		learned []time.Duration
		epoch   uint64
		want    int
	}{
		{"lease valid", []time.Duration{time.Second}, epochOf(2), 1},
		{"lease expired", []time.Duration{3 * time.Second}, epochOf(2), 0},
		{"lease expired before the second copy", []time.Duration{time.Second, 3 * time.Second}, epochOf(3), 0},
		{"lease valid at both copies", []time.Duration{time.Second, 1500 * time.Millisecond}, epochOf(3), 1},
		{"assigner of the same era", nil, epochOf(1) + 1<<16, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := leased(start)
			for i, learned := range tt.learned {
				h.ObserveEra(at(start+learned), int64(i)+2)
			}
			h.ObserveEpoch(at(start+4*time.Second), tt.epoch)
			if got := len(h.Heartbeat(at(start + 4*time.Second)).Claims); got != tt.want {
				t.Errorf("got %d claims, want %d", got, tt.want)
			}
		})
	}
}

// TestClaimsEndWithTheListOfTheNewAssigner guards against claims to keys that the assigner has given away since.
func TestClaimsEndWithTheListOfTheNewAssigner(t *testing.T) {
	h := leased(afterInheritedGrants)
	now := at(afterInheritedGrants + time.Second)
	h.ObserveEpoch(now, seamtable.NextEpoch(0, 2, 0))
	if got := len(h.Heartbeat(now).Claims); got != 1 {
		t.Fatalf("got %d claims before the list", got)
	}
	h.HandleReply(now, now, seamassign.Reply{Epoch: seamtable.NextEpoch(0, 2, 0), Lease: time.Second, Revision: 9, Changed: true, Ranges: ranges(span(0, 9), 3)})
	if got := len(h.Heartbeat(now).Claims); got != 0 {
		t.Errorf("got %d claims after the list", got)
	}
}
