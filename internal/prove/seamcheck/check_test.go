package seamcheck_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/prove/seamcaller"
	"cardamomseam/internal/prove/seamcheck"
	"cardamomseam/internal/stand/seamstandtarget"
)

func grantRecord(server string, at, expiresAt int64, slots ...seamstandtarget.HeldSlot) seamstandtarget.ExecutionRecord {
	return seamstandtarget.ExecutionRecord{
		Kind: seamstandtarget.KindGrant, Server: server, Service: "calendar",
		At: at, ExpiresAt: expiresAt, Held: slots, HeldChanged: true,
	}
}

func renewalRecord(server string, at, expiresAt int64) seamstandtarget.ExecutionRecord {
	x := grantRecord(server, at, expiresAt)
	x.HeldChanged = false
	return x
}

func executionRecord(kind, request string) seamstandtarget.ExecutionRecord {
	return seamstandtarget.ExecutionRecord{Kind: kind, Server: "a", Service: "calendar", Request: request}
}

func booking(id string, outcome seamcaller.Outcome) seamcaller.Record {
	return seamcaller.Record{ID: id, Kind: seamcaller.Book, Service: "calendar", Key: "k", Outcome: outcome, Status: 200}
}

func TestCheckAll(t *testing.T) {
	slot := seamstandtarget.HeldSlot{Slot: 1, Epoch: 1}
	next := seamstandtarget.HeldSlot{Slot: 1, Epoch: 2}
	released := seamstandtarget.ExecutionRecord{Kind: seamstandtarget.KindReleased, Server: "a", Service: "calendar", At: 150, Slot: 1}
	tests := []struct {
		name         string
		observations seamcheck.Observations
		want         []string
	}{
		{"one owner after the other", seamcheck.Observations{ExecutionLog: []seamstandtarget.ExecutionRecord{
			grantRecord("a", 100, 200, slot), renewalRecord("a", 150, 250), grantRecord("b", 250, 400, next),
		}}, nil},
		{"two owners at once", seamcheck.Observations{ExecutionLog: []seamstandtarget.ExecutionRecord{
			grantRecord("a", 100, 200, slot), renewalRecord("a", 150, 250), grantRecord("b", 249, 400, next),
		}}, []string{seamcheck.MultipleOwners}},
		{"released before the grant expired", seamcheck.Observations{ExecutionLog: []seamstandtarget.ExecutionRecord{
			grantRecord("a", 100, 300, slot), released, grantRecord("b", 151, 400, next),
		}}, nil},
		{"killed before the grant expired", seamcheck.Observations{
			ExecutionLog: []seamstandtarget.ExecutionRecord{grantRecord("a", 100, 300, slot), grantRecord("b", 200, 400, next)},
			ExitTimes:    map[string]time.Time{"a": time.Unix(0, 180)},
		}, nil},
		{"expired and renewed while another owns the slot", seamcheck.Observations{ExecutionLog: []seamstandtarget.ExecutionRecord{
			grantRecord("a", 100, 200, slot), grantRecord("b", 210, 400, next), renewalRecord("a", 300, 350),
		}}, []string{seamcheck.MultipleOwners}},
		{"executed once", seamcheck.Observations{
			Records:      []seamcaller.Record{booking("r", seamcaller.Done)},
			ExecutionLog: []seamstandtarget.ExecutionRecord{executionRecord(seamstandtarget.KindRun, "r")},
		}, nil},
		{"executed twice", seamcheck.Observations{
			Records:      []seamcaller.Record{booking("r", seamcaller.Unknown)},
			ExecutionLog: []seamstandtarget.ExecutionRecord{executionRecord(seamstandtarget.KindRun, "r"), executionRecord(seamstandtarget.KindRun, "r")},
		}, []string{seamcheck.DuplicateExecution}},
		{"acknowledged but never executed", seamcheck.Observations{
			Records:      []seamcaller.Record{booking("r", seamcaller.Done)},
			ExecutionLog: []seamstandtarget.ExecutionRecord{executionRecord(seamstandtarget.KindRun, "s")},
		}, []string{seamcheck.PhantomAcknowledgement}},
		{"refused but executed", seamcheck.Observations{
			Records:      []seamcaller.Record{booking("r", seamcaller.Refused)},
			ExecutionLog: []seamstandtarget.ExecutionRecord{executionRecord(seamstandtarget.KindRun, "r")},
		}, []string{seamcheck.RefusedExecuted}},
		{"refused and voided", seamcheck.Observations{
			Records:      []seamcaller.Record{booking("r", seamcaller.Refused)},
			ExecutionLog: []seamstandtarget.ExecutionRecord{executionRecord(seamstandtarget.KindRun, "r"), executionRecord(seamstandtarget.KindVoid, "r")},
		}, nil},
		{"acknowledged but lost", seamcheck.Observations{
			Records:        []seamcaller.Record{booking("r", seamcaller.Done), booking("s", seamcaller.Done)},
			StoredBookings: map[seamcheck.Key][]string{{Service: "calendar", Name: "k"}: {"s"}},
		}, []string{seamcheck.LostBooking}},
		{"invalid response", seamcheck.Observations{
			Records: []seamcaller.Record{booking("r", seamcaller.InvalidResponse)},
		}, []string{seamcheck.InvalidResponse}},
		{"invariant violated", seamcheck.Observations{
			InvariantEvents: []seamevent.Event{{Node: "a", Name: seamevent.InvariantBroken}},
		}, []string{seamcheck.InvariantViolated}},
		{"epoch decreased", seamcheck.Observations{
			ExecutionLog: []seamstandtarget.ExecutionRecord{executionRecord(seamstandtarget.KindStaleEpoch, "")},
		}, []string{seamcheck.EpochRegression}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got []string
			for _, v := range seamcheck.CheckAll(test.observations) {
				got = append(got, v.Kind)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
