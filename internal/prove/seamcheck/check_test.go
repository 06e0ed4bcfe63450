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

func orders(server string, at, until int64, slots ...seamstandtarget.HeldSlot) seamstandtarget.ExecutionRecord {
	return seamstandtarget.ExecutionRecord{
		Kind: seamstandtarget.KindGrant, Server: server, Service: "calendar",
		At: at, ExpiresAt: until, Held: slots, HeldChanged: true,
	}
}

func renewal(server string, at, until int64) seamstandtarget.ExecutionRecord {
	x := orders(server, at, until)
	x.HeldChanged = false
	return x
}

func line(kind, request string) seamstandtarget.ExecutionRecord {
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
		name     string
		evidence seamcheck.Observations
		want     []string
	}{
		{"one owner after the other", seamcheck.Observations{ExecutionLog: []seamstandtarget.ExecutionRecord{
			orders("a", 100, 200, slot), renewal("a", 150, 250), orders("b", 250, 400, next),
		}}, nil},
		{"two owners at once", seamcheck.Observations{ExecutionLog: []seamstandtarget.ExecutionRecord{
			orders("a", 100, 200, slot), renewal("a", 150, 250), orders("b", 249, 400, next),
		}}, []string{seamcheck.MultipleOwners}},
		{"released before the end", seamcheck.Observations{ExecutionLog: []seamstandtarget.ExecutionRecord{
			orders("a", 100, 300, slot), released, orders("b", 151, 400, next),
		}}, nil},
		{"killed before the end", seamcheck.Observations{
			ExecutionLog: []seamstandtarget.ExecutionRecord{orders("a", 100, 300, slot), orders("b", 200, 400, next)},
			ExitTimes:    map[string]time.Time{"a": time.Unix(0, 180)},
		}, nil},
		{"lapsed and resumed into another's time", seamcheck.Observations{ExecutionLog: []seamstandtarget.ExecutionRecord{
			orders("a", 100, 200, slot), orders("b", 210, 400, next), renewal("a", 300, 350),
		}}, []string{seamcheck.MultipleOwners}},
		{"ran once", seamcheck.Observations{
			Records:      []seamcaller.Record{booking("r", seamcaller.Done)},
			ExecutionLog: []seamstandtarget.ExecutionRecord{line(seamstandtarget.KindRun, "r")},
		}, nil},
		{"ran twice", seamcheck.Observations{
			Records:      []seamcaller.Record{booking("r", seamcaller.Unknown)},
			ExecutionLog: []seamstandtarget.ExecutionRecord{line(seamstandtarget.KindRun, "r"), line(seamstandtarget.KindRun, "r")},
		}, []string{seamcheck.DuplicateExecution}},
		{"acknowledged and never ran", seamcheck.Observations{
			Records:      []seamcaller.Record{booking("r", seamcaller.Done)},
			ExecutionLog: []seamstandtarget.ExecutionRecord{line(seamstandtarget.KindRun, "s")},
		}, []string{seamcheck.PhantomAcknowledgement}},
		{"refused and ran", seamcheck.Observations{
			Records:      []seamcaller.Record{booking("r", seamcaller.Refused)},
			ExecutionLog: []seamstandtarget.ExecutionRecord{line(seamstandtarget.KindRun, "r")},
		}, []string{seamcheck.RefusedExecuted}},
		{"refused and voided", seamcheck.Observations{
			Records:      []seamcaller.Record{booking("r", seamcaller.Refused)},
			ExecutionLog: []seamstandtarget.ExecutionRecord{line(seamstandtarget.KindRun, "r"), line(seamstandtarget.KindVoid, "r")},
		}, nil},
		{"acknowledged and gone", seamcheck.Observations{
			Records:        []seamcaller.Record{booking("r", seamcaller.Done), booking("s", seamcaller.Done)},
			StoredBookings: map[seamcheck.Key][]string{{Service: "calendar", Name: "k"}: {"s"}},
		}, []string{seamcheck.LostWrite}},
		{"wrong answer", seamcheck.Observations{
			Records: []seamcaller.Record{booking("r", seamcaller.InvalidResponse)},
		}, []string{seamcheck.InvalidResponse}},
		{"invariant", seamcheck.Observations{
			InvariantEvents: []seamevent.Event{{Node: "a", Name: seamevent.InvariantBroken}},
		}, []string{seamcheck.InvariantViolated}},
		{"epoch fell", seamcheck.Observations{
			ExecutionLog: []seamstandtarget.ExecutionRecord{line(seamstandtarget.KindStaleEpoch, "")},
		}, []string{seamcheck.EpochRegression}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got []string
			for _, v := range seamcheck.CheckAll(test.evidence) {
				got = append(got, v.Kind)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
