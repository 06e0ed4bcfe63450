package seamtable_test

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamtable"
)

func holder(name string) seamtable.Holder {
	return seamtable.Holder{Target: name, Born: 1000, Address: name}
}

func span(from, to uint32) seamtable.Span { return seamtable.Span{From: from, To: to} }

func TestDropKeepsWhatLiesOutside(t *testing.T) {
	var table seamtable.Table
	table.Assign(span(0, 99), holder("a"), "")
	table.Assign(span(100, 199), holder("b"), "")
	table.Unassign(span(50, 149))
	want := []seamtable.Range{
		{Span: span(0, 49), Holder: holder("a"), Fence: 1},
		{Span: span(150, 199), Holder: holder("b"), Fence: 2},
	}
	if d := cmp.Diff(want, table.Ranges); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff([]seamtable.Span{span(50, 149), span(200, seamtable.LastKey)}, table.FreeSpans()); d != "" {
		t.Error(d)
	}
}

func TestFindReturnsTheRangeOfAKey(t *testing.T) {
	var table seamtable.Table
	table.Assign(span(10, 19), holder("a"), "")
	table.Assign(span(30, 39), holder("b"), "")
	for key, want := range map[uint32]string{9: "", 10: "a", 19: "a", 20: "", 30: "b", 39: "b", 40: ""} {
		r, ok := table.Find(key)
		if ok != (want != "") || r.Holder.Target != want {
			t.Errorf("key %d: got %v (%t), want %q", key, r, ok, want)
		}
	}
}

func TestEachAssignmentHasAHigherFence(t *testing.T) {
	var table seamtable.Table
	first := table.Assign(span(0, 9), holder("a"), "")
	table.Unassign(span(0, 9))
	second := table.Assign(span(0, 9), holder("a"), "state")
	if second.Fence <= first.Fence {
		t.Errorf("fences %d and %d", first.Fence, second.Fence)
	}
}

func TestTableSurvivesTheStore(t *testing.T) {
	table := seamtable.Table{
		Service:   "calendar",
		Epoch:     7,
		Assigners: []seamtable.Assigner{{Name: "n1", Incarnation: 3}, {Name: "n2", Incarnation: 1}},
		Nodes:     map[seamtable.Holder]seampeer.Peer{},
	}
	table.Assign(span(0, 9), holder("a"), "state")
	table.Assign(span(10, 19), holder("b"), "")
	table.Assign(span(20, 29), holder("a"), "")
	table.Nodes[holder("a")] = seampeer.Peer{Name: "n1", Incarnation: 3, Address: "10.0.0.1:1", Region: "ost", Domain: "ost-1"}
	table.Nodes[holder("b")] = seampeer.Peer{Name: "n2", Incarnation: 4, Address: "10.0.0.2:1", Region: "west", Domain: "west-1"}
	value, err := seamtable.Encode(table)
	if err != nil {
		t.Fatal(err)
	}
	got, err := seamtable.Decode(value)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(table, got); d != "" {
		t.Error(d)
	}
}

func TestOverlappingTableIsRefused(t *testing.T) {
	table := seamtable.Table{Ranges: []seamtable.Range{{Span: span(0, 9)}, {Span: span(9, 19)}}}
	value, err := seamtable.Encode(table)
	if err != nil {
		t.Fatal(err)
	}
	var overlap *seamtable.OverlapError
	if _, err := seamtable.Decode(value); !errors.As(err, &overlap) {
		t.Errorf("got %v", err)
	}
}

func TestLaterLifeAtTheAddressSucceeds(t *testing.T) {
	old := seamtable.Holder{Target: "a", Born: 1000, Address: "10.0.0.1:80"}
	for _, tt := range []struct {
		name string
		h    seamtable.Holder
		want bool
	}{
		{"same life", old, false},
		{"later life of the id", seamtable.Holder{Target: "a", Born: 2000, Address: "10.0.0.1:80"}, true},
		{"another id", seamtable.Holder{Target: "b", Born: 2000, Address: "10.0.0.1:80"}, true},
		{"earlier life", seamtable.Holder{Target: "a", Born: 500, Address: "10.0.0.1:80"}, false},
		{"another address", seamtable.Holder{Target: "b", Born: 2000, Address: "10.0.0.2:80"}, false},
		{"no address", seamtable.Holder{Target: "b", Born: 2000}, false},
	} {
		if got := tt.h.Supersedes(old); got != tt.want {
			t.Errorf("%s: got %t", tt.name, got)
		}
	}
}
