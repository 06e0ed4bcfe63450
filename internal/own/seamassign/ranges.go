package seamassign

import "cardamomseam/internal/own/seamtable"

// rangeIndex caches the ranges of each holder in one table, since the assigner of a large service looks them up with each
// heartbeat. The zero value is empty.
type rangeIndex struct {
	byHolder map[seamtable.Holder][]seamtable.Range
}

// of returns the ranges of a holder in the table, which the caller must not modify.
func (x *rangeIndex) of(t seamtable.Table, h seamtable.Holder) []seamtable.Range {
	if x.byHolder == nil {
		x.byHolder = t.RangesByHolder()
	}
	return x.byHolder[h]
}

// reset must be called when the ranges of the table have changed.
func (x *rangeIndex) reset() { x.byHolder = nil }

// storedRanges returns the ranges of a holder in the stored table.
func (a *Assigner) storedRanges(h seamtable.Holder) []seamtable.Range {
	return a.storedIndex.of(a.stored, h)
}

// desiredRanges returns the ranges of a holder in the desired table.
func (a *Assigner) desiredRanges(h seamtable.Holder) []seamtable.Range {
	return a.desiredIndex.of(a.desired, h)
}

// setStored records the table in the store.
func (a *Assigner) setStored(t seamtable.Table, revision int64) {
	a.stored, a.revision = t, revision
	a.storedIndex.reset()
}

func (a *Assigner) assign(s seamtable.Span, h seamtable.Holder, handover string) {
	a.desired.Fence = max(a.desired.Fence, seamtable.MinFence(a.era))
	a.desired.Assign(s, h, handover)
	a.desiredIndex.reset()
}

func (a *Assigner) unassign(s seamtable.Span) {
	a.desired.Unassign(s)
	a.desiredIndex.reset()
}

// unassignHolder takes all keys from a holder and reports whether it had any.
func (a *Assigner) unassignHolder(h seamtable.Holder) bool {
	if len(a.desiredRanges(h)) == 0 {
		return false
	}
	a.desired.UnassignHolder(h)
	a.desiredIndex.reset()
	return true
}

// leasedRanges returns the ranges that belong to the holder both in the stored and in the desired table.
func (a *Assigner) leasedRanges(h seamtable.Holder) []seamtable.Range {
	var list []seamtable.Range
	desired := a.desiredRanges(h)
	for _, stored := range a.storedRanges(h) {
		for len(desired) > 0 && desired[0].To < stored.From {
			desired = desired[1:]
		}
		for _, d := range desired {
			if d.From > stored.To {
				break
			}
			if d.Fence != stored.Fence {
				continue
			}
			common := stored
			common.Span = seamtable.Span{From: max(stored.From, d.From), To: min(stored.To, d.To)}
			list = append(list, common)
		}
	}
	return list
}

// holdersWithKeys returns each holder of keys in the desired table once.
func (a *Assigner) holdersWithKeys() []seamtable.Holder {
	var list []seamtable.Holder
	seen := map[seamtable.Holder]bool{}
	for _, r := range a.desired.Ranges {
		if !seen[r.Holder] {
			seen[r.Holder] = true
			list = append(list, r.Holder)
		}
	}
	return list
}

// countKeys returns the number of keys in the ranges.
func countKeys(ranges []seamtable.Range) int {
	n := 0
	for _, r := range ranges {
		n += r.Len()
	}
	return n
}
