// Package seamtable defines the ownership table, which assigns the keys of a service to targets, and plans the
// assignment of free keys and the moves that balance the load. A key in this package is the index of a slot
// (seamslot.ID.Index).
package seamtable

import (
	"fmt"
	"maps"
	"slices"
	"sort"

	"cardamomseam/internal/member/seampeer"
)

// Keys is the number of keys of a service, numbered from 0.
const Keys = 1 << 16

// LastKey is the highest key.
const LastKey = Keys - 1

// Holder identifies one incarnation of a target.
type Holder struct {
	// Target is the id of the target.
	Target string
	// Born is the start time of this incarnation, in milliseconds since the Unix epoch.
	// A target that restarts with the same id holds none of its earlier keys.
	Born int64
	// Address is the ip:port at which the target accepts requests.
	Address string
}

// Supersedes reports whether h is a later incarnation at the address of o, which means that o has exited.
func (h Holder) Supersedes(o Holder) bool {
	return h.Address != "" && h.Address == o.Address && h.Born > o.Born
}

// Zero reports whether h identifies no target.
func (h Holder) Zero() bool { return h.Target == "" }

// String returns the id of the target and its start time.
func (h Holder) String() string { return fmt.Sprintf("%s@%d", h.Target, h.Born) }

// Span is an inclusive range of keys.
type Span struct {
	From, To uint32
}

// Len returns the number of keys.
func (s Span) Len() int { return int(s.To) - int(s.From) + 1 }

// Contains reports whether the key lies in the span.
func (s Span) Contains(key uint32) bool { return key >= s.From && key <= s.To }

// Overlaps reports whether the spans share a key.
func (s Span) Overlaps(o Span) bool { return s.From <= o.To && o.From <= s.To }

// Range is a span of keys assigned to one holder.
type Range struct {
	Span
	Holder Holder
	// Fence is the fencing token of the assignment.
	Fence uint64
	// Handover is the state that the previous holder returned when it released the keys, or empty.
	Handover string
}

// Node returns the node of the holder of a range; false if it is not known.
func (t Table) Node(r Range) (seampeer.Peer, bool) {
	node, ok := t.Nodes[r.Holder]
	return node, ok
}

// Table is the assignment of the keys of one service.
type Table struct {
	Service string
	// Epoch is the epoch of the assigner that wrote the table.
	Epoch uint64
	// Era is the era of the store in which the table was written; 0 if unknown.
	Era int64
	// Fence is the highest fencing token issued so far.
	Fence uint64
	// Ranges are sorted by key and do not overlap.
	Ranges []Range
	// Assigners are those whose leases may still be in force: the one that wrote the table, and earlier ones that it has
	// not removed yet.
	Assigners []Assigner
	// Nodes maps each holder to its node.
	Nodes map[Holder]seampeer.Peer
}

// Assigner identifies one incarnation of a node as the assigner of one epoch.
type Assigner struct {
	Name        string
	Incarnation uint64
	Epoch       uint64
}

// Covers reports whether a resignation of a also applies to b: both are the same incarnation of the same node, and
// the epoch of b is not later.
func (a Assigner) Covers(b Assigner) bool {
	return a.Name == b.Name && a.Incarnation == b.Incarnation && a.Epoch >= b.Epoch
}

// Clone returns a copy that shares no slice or map with t.
func (t Table) Clone() Table {
	t.Ranges = slices.Clone(t.Ranges)
	t.Nodes = maps.Clone(t.Nodes)
	t.Assigners = slices.Clone(t.Assigners)
	return t
}

// Find returns the range that contains the key.
func (t Table) Find(key uint32) (Range, bool) {
	i := sort.Search(len(t.Ranges), func(i int) bool { return t.Ranges[i].To >= key })
	if i == len(t.Ranges) || !t.Ranges[i].Contains(key) {
		return Range{}, false
	}
	return t.Ranges[i], true
}

// RangesByHolder returns the ranges of each holder, in the order of their keys.
func (t Table) RangesByHolder() map[Holder][]Range {
	ranges := map[Holder][]Range{}
	for _, r := range t.Ranges {
		ranges[r.Holder] = append(ranges[r.Holder], r)
	}
	return ranges
}

// FreeSpans returns the spans of keys that are assigned to no holder.
func (t Table) FreeSpans() []Span {
	var free []Span
	next := uint32(0)
	for _, r := range t.Ranges {
		if r.From > next {
			free = append(free, Span{next, r.From - 1})
		}
		next = r.To + 1
	}
	if next <= LastKey {
		free = append(free, Span{next, LastKey})
	}
	return free
}

// Unassign removes the span from the ranges that overlap it. The parts of these
// ranges outside the span keep their holders and fencing tokens.
func (t *Table) Unassign(s Span) {
	kept := make([]Range, 0, len(t.Ranges)+1)
	for _, r := range t.Ranges {
		if !r.Overlaps(s) {
			kept = append(kept, r)
			continue
		}
		if r.From < s.From {
			left := r
			left.To = s.From - 1
			kept = append(kept, left)
		}
		if r.To > s.To {
			right := r
			right.From = s.To + 1
			kept = append(kept, right)
		}
	}
	t.Ranges = kept
}

// UnassignHolder removes all ranges of the holder.
func (t *Table) UnassignHolder(h Holder) {
	t.Ranges = slices.DeleteFunc(t.Ranges, func(r Range) bool { return r.Holder == h })
}

// Assign assigns a span to the holder under a new fencing token. The span must be free.
func (t *Table) Assign(s Span, h Holder, handover string) Range {
	t.Fence++
	r := Range{Span: s, Holder: h, Fence: t.Fence, Handover: handover}
	t.insert(r)
	return r
}

// Claim assigns a span to the holder under the fencing token that it already has. The span must be free.
func (t *Table) Claim(r Range) {
	t.Fence = max(t.Fence, r.Fence)
	t.insert(r)
}

func (t *Table) insert(r Range) {
	i, _ := slices.BinarySearchFunc(t.Ranges, r.From, func(r Range, from uint32) int { return int(r.From) - int(from) })
	t.Ranges = slices.Insert(t.Ranges, i, r)
}

// OverlapError reports that two ranges of a table overlap or are out of order. If First and Second are equal, that
// range is itself invalid.
type OverlapError struct {
	First, Second Range
}

// Error returns a message with the keys of both ranges.
func (e *OverlapError) Error() string {
	return fmt.Sprintf("ranges %d-%d and %d-%d overlap or are out of order", e.First.From, e.First.To, e.Second.From, e.Second.To)
}

// Validate returns *OverlapError if ranges overlap, are out of order, or contain no key or keys above LastKey.
func (t Table) Validate() error {
	for i, r := range t.Ranges {
		if r.From > r.To || r.To > LastKey {
			return &OverlapError{First: r, Second: r}
		}
		if i > 0 && r.From <= t.Ranges[i-1].To {
			return &OverlapError{First: t.Ranges[i-1], Second: r}
		}
	}
	return nil
}
