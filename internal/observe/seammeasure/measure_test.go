package seammeasure_test

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/observe/seammeasure"
	"cardamomseam/internal/own/seamslot"
)

func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

func id(index uint32) seamslot.ID { return seamslot.ID{Service: "calendar", Index: index} }

func TestImbalance(t *testing.T) {
	tests := []struct {
		name  string
		loads []seammeasure.Load
		want  float64
	}{
		{"none", nil, 0},
		{"idle", []seammeasure.Load{{Rate: 0}, {Rate: 0}}, 0},
		{"equal", []seammeasure.Load{{Rate: 5}, {Rate: 5}}, 1},
		{"one does all", []seammeasure.Load{{Rate: 9}, {}, {}}, 3},
		{"equal for the capacity", []seammeasure.Load{{Capacity: 1, Rate: 5}, {Capacity: 2, Rate: 10}}, 1},
		{"small one is busy", []seammeasure.Load{{Capacity: 1, Rate: 6}, {Capacity: 3, Rate: 6}}, 2},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			if got := seammeasure.Imbalance(x.loads); math.Abs(got-x.want) > 1e-9 {
				t.Fatalf("got %v, want %v", got, x.want)
			}
		})
	}
}

func TestMeterReport(t *testing.T) {
	m := seammeasure.NewMeter(1000)
	m.SetSlotRate(at(0), id(1), 30)
	m.SetSlotRate(at(0), id(2), 10)
	m.SetSlotRate(at(0), id(3), 0)
	for i, server := range []string{"a", "a", "b"} {
		m.OwnerAssigned(at(0), id(uint32(i+1)), server, 1)
	}
	m.Sample(at(10*time.Second), []seammeasure.Load{{Server: "a", Firm: "x", Rate: 40}, {Server: "b", Firm: "y", Rate: 0}})
	m.Sample(at(20*time.Second), []seammeasure.Load{{Server: "a", Firm: "x", Rate: 10}, {Server: "b", Firm: "y", Rate: 10}})
	m.OwnerReleased(at(20*time.Second), id(1), "a")
	m.OwnerAssigned(at(20*time.Second+200*time.Millisecond), id(1), "b", 2)
	m.OwnerAssigned(at(21*time.Second), id(1), "a", 1) // late: an older epoch
	m.ServerLost(at(30*time.Second), "a")
	m.OwnerAssigned(at(31*time.Second), id(2), "b", 2)
	m.OwnerReleased(at(31*time.Second), id(3), "b")
	got := m.Report(at(60 * time.Second))
	want := seammeasure.Report{
		Seconds: 60, Imbalance: 1.5, PeakImbalance: 2, FirmImbalance: 1.5,
		Changes: 2, ForcedChanges: 1, Churn: 2,
		Unavailable: 0.2*750 + 1*250, LongestGap: 1,
	}
	if d := cmp.Diff(want, got, cmpopts.EquateApprox(0, 1e-9)); d != "" {
		t.Fatal(d)
	}
}

func TestVacantSlotCountsUntilReport(t *testing.T) {
	m := seammeasure.NewMeter(0)
	m.OwnerAssigned(at(0), id(1), "a", 1)
	m.OwnerAssigned(at(0), id(2), "b", 1)
	m.ServerLost(at(10*time.Second), "a")
	m.ServerLost(at(12*time.Second), "a")
	r := m.Report(at(15 * time.Second))
	if r.Unavailable != 5 || r.LongestGap != 5 || r.Changes != 0 {
		t.Fatalf("report is %+v", r)
	}
}

func TestObserveEvents(t *testing.T) {
	m := seammeasure.NewMeter(0)
	events := []seamevent.Event{
		{Time: at(0), Node: "a", Name: seamevent.SlotGranted, Fields: seamevent.Fields{"slot": "calendar/1", "epoch": uint64(1)}},
		{Time: at(0), Node: "a", Name: seamevent.SlotGranted, Fields: seamevent.Fields{"slot": "calendar/2", "epoch": 1.0}},
		{Time: at(1 * time.Second), Node: "a", Name: seamevent.SlotReleased, Fields: seamevent.Fields{"slot": "calendar/1", "epoch": uint64(1)}},
		{Time: at(2 * time.Second), Node: "b", Name: seamevent.SlotGranted, Fields: seamevent.Fields{"slot": "calendar/1", "epoch": uint64(2)}},
		{Time: at(3 * time.Second), Node: "c", Name: seamevent.CellMemberLost, Fields: seamevent.Fields{"member": "a"}},
		{Time: at(3 * time.Second), Node: "c", Name: seamevent.SlotGranted, Fields: seamevent.Fields{"slot": "bad"}},
		{Time: at(4 * time.Second), Node: "c", Name: seamevent.SlotGranted, Fields: seamevent.Fields{"slot": "calendar/2", "epoch": uint64(2)}},
		{Time: at(5 * time.Second), Node: "c", Name: seamevent.SlotsExpired, Fields: seamevent.Fields{"slots": 1}},
		{Time: at(6 * time.Second), Node: "c", Name: seamevent.SlotGranted, Fields: seamevent.Fields{"slot": "calendar/2", "epoch": uint64(3)}},
	}
	for _, e := range events {
		m.ObserveEvent(e)
	}
	r := m.Report(at(6 * time.Second))
	want := seammeasure.Report{Seconds: 6, Changes: 2, ForcedChanges: 1, Churn: 20, Unavailable: 3, LongestGap: 1}
	if d := cmp.Diff(want, r); d != "" {
		t.Fatal(d)
	}
}
