package seamassign

import (
	"slices"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamtable"
)

// predecessor is an earlier assigner, some of whose leases may still be valid.
type predecessor struct {
	seamtable.Assigner
	// resigned reports that it grants no more leases, and that those it granted expire before leaseEnd.
	resigned bool
	leaseEnd seamclock.Instant
}

// lost reports whether the assigner is not known.
func (p predecessor) lost() bool { return p.Assigner == seamtable.LostAssigner() }

// Predecessors returns the earlier assigners that are not known to have resigned, or whose leases may outlast one of
// Config.Lease granted now.
func (a *Assigner) Predecessors() []seamtable.Assigner {
	list := make([]seamtable.Assigner, 0, len(a.predecessors)+1)
	for _, p := range a.predecessors {
		list = append(list, p.Assigner)
	}
	return list
}

// PredecessorResigned records that an assigner grants no more leases, and that those it granted expire before leaseEnd.
func (a *Assigner) PredecessorResigned(now seamclock.Instant, resigned seamtable.Assigner, leaseEnd seamclock.Instant) {
	for i := range a.predecessors {
		if p := &a.predecessors[i]; resigned.Covers(p.Assigner) {
			p.resigned, p.leaseEnd = true, leaseEnd
		}
	}
	a.prunePredecessors(now)
}

// prunePredecessors removes the resigned predecessors whose leases end no later than one of Config.Lease granted now:
// every successor waits that long anyway. Once all that are known have resigned, their lease ends bound the time
// that this assigner waits before it reassigns the keys of holders that have not accepted its epoch.
func (a *Assigner) prunePredecessors(now seamclock.Instant) {
	end := now.Add(a.cfg.MaxRemoteDuration(a.cfg.Lease))
	a.predecessors = slices.DeleteFunc(a.predecessors, func(p predecessor) bool {
		return p.resigned && seamclock.MaxElapsed(p.leaseEnd, end) <= 0
	})
	if assigners := append(a.Predecessors(), a.self); !slices.Equal(assigners, a.desired.Assigners) {
		// The table is written without them: a successor that found them there would wait for their leases again.
		a.desired.Assigners = assigners
		a.dirty = true
	}
	for _, p := range a.predecessors {
		if p.lost() {
			continue
		}
		if !p.resigned {
			return
		}
		end = seamclock.Later(end, p.leaseEnd)
	}
	if seamclock.MinElapsed(a.predecessorLeaseEnd, end) > 0 {
		a.predecessorLeaseEnd = end
	}
}
