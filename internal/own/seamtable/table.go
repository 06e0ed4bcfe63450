// Package seamtable holds the assignment of the keys of a service to targets,
// and plans how to fill and to balance it.
package seamtable

import (
	"fmt"
	"maps"
	"slices"
	"sort"

	"cardamomseam/internal/member/seampeer"
)

// Keys is the number of keys of a service. Keys are numbered from 0.
const Keys = 1 << 16

// LastKey is the highest key.
const LastKey = Keys - 1

// Holder identifies one life of a target.
type Holder struct {
	// Target is the id of the target.
	Target string
	// Born is the start of this life, in milliseconds since the Unix epoch. A
	// target that restarts under its id holds nothing of its former life.
	Born int64
	// Address is the ip:port at which the target takes requests.
	Address string
}

// Succeeds reports whether h is a later life at the address of o, so that o has ended.
func (h Holder) Supersedes(o Holder) bool {
	return h.Address != "" && h.Address == o.Address && h.Born > o.Born
}

// Zero reports whether h names no target.
func (h Holder) Zero() bool { return h.Target == "" }

// String returns the id and the start of the life.
func (h Holder) String() string { return fmt.Sprintf("%s@%d", h.Target, h.Born) }

// Span is a run of keys, both ends included.
type Span struct {
	From, To uint32
}

// Len returns the number of keys.
func (s Span) Len() int { return int(s.To) - int(s.From) + 1 }

// Has reports whether the key lies in the span.
func (s Span) Contains(key uint32) bool { return key >= s.From && key <= s.To }

// Meets reports whether the spans share a key.
func (s Span) Overlaps(o Span) bool { return s.From <= o.To && o.From <= s.To }

// Range is a span of keys with one holder.
type Range struct {
	Span
	Holder Holder
	// Fence is the fencing token of the assignment.
	Fence uint64
	// Handover is what the last holder gave back with the keys; empty if it gave nothing.
	Handover string
}

// Node returns the node beside the holder of a range.
func (t Table) Node(r Range) (seampeer.Peer, bool) {
	p, ok := t.Nodes[r.Holder]
	return p, ok
}

// Table is the assignment of the keys of one service.
type Table struct {
	Service string
	// Epoch is that of the assigner that wrote the table.
	Epoch uint64
	// Fence is the highest fencing token given so far.
	Fence uint64
	// Ranges are in the order of their keys and do not overlap.
	Ranges []Range
	// Assigners may still promise keys to holders: the one that wrote the table, and earlier ones. One that
	// gave the office up is not among them.
	Assigners []Assigner
	// Nodes are the nodes beside the holders.
	Nodes map[Holder]seampeer.Peer
}

// Assigner identifies one run of the node that assigns keys, in one epoch.
type Assigner struct {
	Name        string
	Incarnation uint64
	Epoch       uint64
}

// Covers reports whether a word of a, that it promises nothing any more, holds for b too: b is the same run
// of the same node in the same epoch or an earlier one.
func (a Assigner) Covers(b Assigner) bool {
	return a.Name == b.Name && a.Incarnation == b.Incarnation && a.Epoch >= b.Epoch
}

// Clone returns a copy that shares nothing with t.
func (t Table) Clone() Table {
	t.Ranges = slices.Clone(t.Ranges)
	t.Nodes = maps.Clone(t.Nodes)
	t.Assigners = slices.Clone(t.Assigners)
	return t
}

// Find returns the range that holds the key.
func (t Table) Find(key uint32) (Range, bool) {
	i := sort.Search(len(t.Ranges), func(i int) bool { return t.Ranges[i].To >= key })
	if i == len(t.Ranges) || !t.Ranges[i].Contains(key) {
		return Range{}, false
	}
	return t.Ranges[i], true
}

// Of returns the ranges of the holder.
func (t Table) RangesOf(h Holder) []Range {
	var own []Range
	for _, r := range t.Ranges {
		if r.Holder == h {
			own = append(own, r)
		}
	}
	return own
}

// Free returns the spans that no holder has.
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

// Drop takes the span away from whoever holds it. Parts of ranges outside the
// span stay with their holders under the same fence.
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

// DropHolder takes all keys away from the holder and returns them.
func (t *Table) UnassignHolder(h Holder) []Span {
	var dropped []Span
	t.Ranges = slices.DeleteFunc(t.Ranges, func(r Range) bool {
		if r.Holder == h {
			dropped = append(dropped, r.Span)
			return true
		}
		return false
	})
	return dropped
}

// Give assigns a free span to the holder under a new fence.
func (t *Table) Assign(s Span, h Holder, handover string) Range {
	t.Fence++
	r := Range{Span: s, Holder: h, Fence: t.Fence, Handover: handover}
	i, _ := slices.BinarySearchFunc(t.Ranges, s.From, func(r Range, from uint32) int { return int(r.From) - int(from) })
	t.Ranges = slices.Insert(t.Ranges, i, r)
	return r
}

// OverlapError says that two ranges of a table share keys.
type OverlapError struct {
	First, Second Range
}

// Error names both ranges.
func (e *OverlapError) Error() string {
	return fmt.Sprintf("ranges %d-%d and %d-%d overlap or are out of order", e.First.From, e.First.To, e.Second.From, e.Second.To)
}

// Check returns *OverlapError if the ranges overlap or are out of order.
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
