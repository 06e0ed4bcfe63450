package seamassign

import (
	"slices"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamtable"
)

// A table that was written in an earlier era of the store than that of the assigner may be older than what its holders do:
// the store has lost what was written after it. Its owners are not used. The holders claim the ranges that they hold, and
// the assigner assigns the others once the leases of all assigners of the earlier era have expired.

// ofEarlierEra reports whether a table was written in an earlier era of the store than that of the assigner.
func (a *Assigner) ofEarlierEra(t seamtable.Table) bool {
	return t.Era != 0 && t.Era < a.era
}

// withoutOwners returns a table whose holders and assigners are not known. The unknown holder loses its keys like any other whose
// lease has expired.
func withoutOwners(t seamtable.Table) seamtable.Table {
	all := seamtable.Span{To: seamtable.LastKey}
	t.Ranges, t.Nodes = []seamtable.Range{{Span: all, Holder: seamtable.LostHolder()}}, nil
	t.Assigners = []seamtable.Assigner{seamtable.LostAssigner()}
	return t
}

// hasLostAssigner reports whether leases of an assigner that nobody knows may still be valid, so that a key without a
// holder in the table may be held.
func (a *Assigner) hasLostAssigner() bool {
	return slices.ContainsFunc(a.predecessors, predecessor.lost)
}

// endCollecting permits the first write SettleDelay after the start of the epoch, when the holders have had time for
// their claims. Requests find the owners in the table, so a table without them is written only if nobody claims them.
func (a *Assigner) endCollecting(now seamclock.Instant) {
	if seamclock.MinElapsed(now, a.startedAt) >= a.cfg.SettleDelay {
		a.collecting = false
	}
}

// adoptClaims assigns to a holder the ranges that it claims. Its lease on them was valid when the era began, so no other
// holder can have got them since. If two claims overlap all the same, the higher fencing token wins.
func (a *Assigner) adoptClaims(now seamclock.Instant, h seamtable.Holder, claims []Claim) {
	if len(claims) > 0 && a.desired.Fence == 0 && len(a.desired.Ranges) == 0 {
		// The store had no table, since the copy is older than the first one.
		a.adoptTable(now, withoutOwners(a.desired))
		a.dirty = true
	}
	if !a.hasLostAssigner() {
		return
	}
	for _, c := range claims {
		if a.ownsSpan(h, c.released()) || a.fenceAbove(c) {
			continue
		}
		a.unassign(c.Span)
		a.desired.Claim(seamtable.Range{Span: c.Span, Holder: h, Fence: c.Fence})
		a.dirty = true
	}
}

// released returns the span and the token of a claim as those of a release.
func (c Claim) released() Released { return Released{Span: c.Span, Fence: c.Fence} }

// fenceAbove reports whether a range that overlaps a claim has the same fencing token or a higher one.
func (a *Assigner) fenceAbove(c Claim) bool {
	return slices.ContainsFunc(a.desired.Ranges, func(r seamtable.Range) bool { return r.Overlaps(c.Span) && r.Fence >= c.Fence })
}

// claimsPending reports whether a holder must not get a list of its ranges yet, since that would lack those that it claims:
// it has not accepted the epoch, or its claims are not in the store.
func (a *Assigner) claimsPending(h seamtable.Holder, known *holder) bool {
	if !a.hasLostAssigner() {
		return false
	}
	return !known.acceptedEpoch || countKeys(a.leasedRanges(h)) != countKeys(a.desiredRanges(h))
}
