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

func TestAll(t *testing.T) {
	slot := seamstandtarget.HeldSlot{Slot: 1, Epoch: 1}
	next := seamstandtarget.HeldSlot{Slot: 1, Epoch: 2}
	released := seamstandtarget.ExecutionRecord{Kind: seamstandtarget.KindReleased, Server: "a", Service: "calendar", At: 150, Slot: 1}
	tests := []struct {
		name     string
		evidence seamcheck.Evidence
		want     []string
	}{
		{"one owner after the other", seamcheck.Evidence{Lines: []seamstandtarget.ExecutionRecord{
			orders("a", 100, 200, slot), renewal("a", 150, 250), orders("b", 250, 400, next),
		}}, nil},
		{"two owners at once", seamcheck.Evidence{Lines: []seamstandtarget.ExecutionRecord{
			orders("a", 100, 200, slot), renewal("a", 150, 250), orders("b", 249, 400, next),
		}}, []string{seamcheck.Owners}},
		{"released before the end", seamcheck.Evidence{Lines: []seamstandtarget.ExecutionRecord{
			orders("a", 100, 300, slot), released, orders("b", 151, 400, next),
		}}, nil},
		{"killed before the end", seamcheck.Evidence{
			Lines: []seamstandtarget.ExecutionRecord{orders("a", 100, 300, slot), orders("b", 200, 400, next)},
			Ended: map[string]time.Time{"a": time.Unix(0, 180)},
		}, nil},
		{"lapsed and resumed into another's time", seamcheck.Evidence{Lines: []seamstandtarget.ExecutionRecord{
			orders("a", 100, 200, slot), orders("b", 210, 400, next), renewal("a", 300, 350),
		}}, []string{seamcheck.Owners}},
		{"ran once", seamcheck.Evidence{
			Records: []seamcaller.Record{booking("r", seamcaller.Done)},
			Lines:   []seamstandtarget.ExecutionRecord{line(seamstandtarget.KindRun, "r")},
		}, nil},
		{"ran twice", seamcheck.Evidence{
			Records: []seamcaller.Record{booking("r", seamcaller.Unknown)},
			Lines:   []seamstandtarget.ExecutionRecord{line(seamstandtarget.KindRun, "r"), line(seamstandtarget.KindRun, "r")},
		}, []string{seamcheck.Twice}},
		{"acknowledged and never ran", seamcheck.Evidence{
			Records: []seamcaller.Record{booking("r", seamcaller.Done)},
			Lines:   []seamstandtarget.ExecutionRecord{line(seamstandtarget.KindRun, "s")},
		}, []string{seamcheck.Phantom}},
		{"refused and ran", seamcheck.Evidence{
			Records: []seamcaller.Record{booking("r", seamcaller.Refused)},
			Lines:   []seamstandtarget.ExecutionRecord{line(seamstandtarget.KindRun, "r")},
		}, []string{seamcheck.RefusedRan}},
		{"refused and voided", seamcheck.Evidence{
			Records: []seamcaller.Record{booking("r", seamcaller.Refused)},
			Lines:   []seamstandtarget.ExecutionRecord{line(seamstandtarget.KindRun, "r"), line(seamstandtarget.KindVoid, "r")},
		}, nil},
		{"acknowledged and gone", seamcheck.Evidence{
			Records: []seamcaller.Record{booking("r", seamcaller.Done), booking("s", seamcaller.Done)},
			Present: map[seamcheck.Key][]string{{Service: "calendar", Name: "k"}: {"s"}},
		}, []string{seamcheck.Lost}},
		{"wrong answer", seamcheck.Evidence{
			Records: []seamcaller.Record{booking("r", seamcaller.Wrong)},
		}, []string{seamcheck.Answer}},
		{"invariant", seamcheck.Evidence{
			Broken: []seamevent.Event{{Node: "a", Name: seamevent.InvariantBroken}},
		}, []string{seamcheck.Invariant}},
		{"epoch fell", seamcheck.Evidence{
			Lines: []seamstandtarget.ExecutionRecord{line(seamstandtarget.KindStaleEpoch, "")},
		}, []string{seamcheck.Stale}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got []string
			for _, v := range seamcheck.All(test.evidence) {
				got = append(got, v.Promise)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
