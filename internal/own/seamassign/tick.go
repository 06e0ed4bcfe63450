package seamassign

import (
	"cmp"
	"slices"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamtable"
)

// Tick performs the actions that are due: it unassigns the keys of holders whose lease has
// expired, assigns free keys, and plans moves. It does nothing until the store holds a table of this epoch.
func (a *Assigner) Tick(now seamclock.Instant) {
	a.endCollecting(now)
	if a.stored.Epoch != a.epoch {
		return
	}
	a.expirePredecessors(now)
	a.expireHolders(now)
	a.cancelStuckMoves(now)
	a.assignFreeKeys(now)
	a.evacuate(now)
	a.moveExcludedKeys(now)
	a.balance(now)
}

// expirePredecessors removes the predecessors whose leases have all expired, and those that prunePredecessors permits.
func (a *Assigner) expirePredecessors(now seamclock.Instant) {
	if len(a.predecessors) == 0 {
		return
	}
	a.predecessors = slices.DeleteFunc(a.predecessors, func(p predecessor) bool {
		end := a.predecessorLeaseEnd
		if p.lost() {
			end = a.lostLeaseEnd
		}
		return seamclock.MinElapsed(now, end) >= 0
	})
	a.prunePredecessors(now)
}

// expireHolders unassigns the keys of holders whose lease has expired, and forgets holders without keys after their
// lease. A holder that has not accepted this epoch may still use a lease granted by a predecessor. The holders in a table of
// this era got their keys by an assigner that is known, so that those that are lost don't count for them.
func (a *Assigner) expireHolders(now seamclock.Instant) {
	for _, h := range a.holdersWithKeys() {
		if seamclock.MinElapsed(now, a.leaseEndOf(h)) >= 0 {
			a.dropHolder(h)
		}
	}
	for h, known := range a.holders {
		if seamclock.MinElapsed(now, known.leaseEnd) >= 0 && len(a.desiredRanges(h)) == 0 {
			delete(a.holders, h)
			delete(a.desired.Nodes, h)
		}
	}
}

// leaseEndOf returns the latest time at which the holder may still use its keys.
func (a *Assigner) leaseEndOf(h seamtable.Holder) seamclock.Instant {
	known := a.holders[h]
	switch {
	case h == seamtable.LostHolder():
		return a.lostLeaseEnd
	case known == nil:
		return a.predecessorLeaseEnd
	case known.acceptedEpoch:
		return known.leaseEnd
	case seamclock.MinElapsed(known.leaseEnd, a.predecessorLeaseEnd) > 0:
		return known.leaseEnd
	default:
		return a.predecessorLeaseEnd
	}
}

// cancelStuckMoves cancels moves whose source has not released the keys within MoveTimeout.
func (a *Assigner) cancelStuckMoves(now seamclock.Instant) {
	a.moves = slices.DeleteFunc(a.moves, func(m move) bool {
		return !m.waiting && seamclock.MinElapsed(now, m.plannedAt) >= a.cfg.MoveTimeout
	})
}

// candidates returns the holders that may be assigned keys, except the excluded one: those that are ready, have a
// valid lease and are allowed by the placement. Their load includes the planned moves.
func (a *Assigner) candidates(now seamclock.Instant, excluded seamtable.Holder) []seamtable.Candidate {
	var list []seamtable.Candidate
	planned := a.plannedChanges()
	for h, known := range a.holders {
		leased := seamclock.MinElapsed(now, known.leaseEnd) < 0
		if h != excluded && known.state == Ready && leased && a.placement.Allows(known.node) {
			list = append(list, seamtable.Candidate{Holder: h, Load: planned[h].apply(now, known.load)})
		}
	}
	slices.SortFunc(list, func(x, y seamtable.Candidate) int {
		return cmp.Or(cmp.Compare(x.Holder.Target, y.Holder.Target), cmp.Compare(x.Holder.Born, y.Holder.Born))
	})
	return list
}

// assignFreeKeys assigns the keys that have no holder.
func (a *Assigner) assignFreeKeys(now seamclock.Instant) {
	free := a.desired.FreeSpans()
	if len(free) == 0 || !a.startupSettled(now) {
		return
	}
	candidates := a.candidates(now, seamtable.Holder{})
	if len(candidates) == 0 {
		return
	}
	destinations := seamtable.LeastUtilized(candidates, totalRate(a.orphanedLoad), destinationsOf(free, len(candidates)))
	for _, assignment := range seamtable.Distribute(free, destinations, a.orphanedLoad) {
		a.assign(assignment.Span, assignment.Holder, "")
	}
	a.orphanedLoad = nil
	a.dirty = true
}

// destinationsOf returns the number of holders among which free keys are distributed: destinationsPerHolder for each mean
// share of a holder.
func destinationsOf(free []seamtable.Span, holders int) int {
	keys := 0
	for _, s := range free {
		keys += s.Len()
	}
	return destinationsPerHolder * max(1, keys*holders/seamtable.Keys)
}

func totalRate(chunks []seamtable.Chunk) float64 {
	rate := 0.0
	for _, c := range chunks {
		rate += c.Rate
	}
	return rate
}

// startupSettled reports whether free keys may be assigned. The first assignment of a service waits until no target has
// joined for SettleDelay, but at most until SettleTimeout after the start of the epoch, so that targets that start together
// share the keys.
func (a *Assigner) startupSettled(now seamclock.Instant) bool {
	if a.desired.Fence > 0 {
		return true
	}
	return seamclock.MinElapsed(now, a.lastJoin) >= a.cfg.SettleDelay || seamclock.MinElapsed(now, a.startedAt) >= a.cfg.SettleTimeout
}

// destinationsPerHolder is the number of holders among which the keys of one holder that leaves or is lost are distributed,
// if they have room. With all holders of a large service, each would get a few keys in a range of its own.
const destinationsPerHolder = 8

// evacuate plans to move all keys of leaving holders to other holders. The keys of a holder whose node is stopping move
// only if the other holders have the capacity, since its target keeps running.
func (a *Assigner) evacuate(now seamclock.Instant) {
	for h, known := range a.holders {
		if known.state != Leaving && known.state != Stopping || a.isExcluded(known) {
			continue
		}
		spans := a.spansToEvacuate(h)
		if len(spans) == 0 {
			continue
		}
		candidates := a.candidates(now, h)
		if len(candidates) == 0 || known.state == Stopping && !a.hasCapacity(known.load, candidates) {
			continue
		}
		destinations := seamtable.LeastUtilized(candidates, known.load.Rate, destinationsPerHolder)
		for _, assignment := range seamtable.Distribute(spans, destinations, known.load.Chunks) {
			a.planMove(now, seamtable.Move{Span: assignment.Span, From: h, To: assignment.Holder})
		}
	}
}

// spansToEvacuate returns the keys of a holder that are not moving yet.
func (a *Assigner) spansToEvacuate(h seamtable.Holder) []seamtable.Span {
	var spans []seamtable.Span
	for _, r := range a.leasedRanges(h) {
		if !a.isMoving(r.Span) {
			spans = append(spans, r.Span)
		}
	}
	return spans
}

// hasCapacity reports whether the load of the candidates stays within MaxEvacuationLoad of their capacity after they
// have taken over the given load.
func (a *Assigner) hasCapacity(load seamtable.Load, candidates []seamtable.Candidate) bool {
	demand, capacity := load.Rate, 0.0
	for _, c := range candidates {
		demand += c.Load.Rate
		capacity += c.Capacity()
	}
	return demand <= a.cfg.MaxEvacuationLoad*capacity
}

// isMoving reports whether a planned move overlaps the span.
func (a *Assigner) isMoving(s seamtable.Span) bool {
	for i := range a.moves {
		if a.moves[i].Overlaps(s) {
			return true
		}
	}
	return false
}

// planMove adds a move in parts, since each range of the source has its own fencing token.
func (a *Assigner) planMove(now seamclock.Instant, m seamtable.Move) {
	for _, planned := range a.partsOf(now, m) {
		a.moves = append(a.moves, planned)
		a.plannedMoves++
	}
}

// partsOf splits a move at the boundaries of the source's ranges, and returns the parts that do not overlap a planned move.
func (a *Assigner) partsOf(now seamclock.Instant, m seamtable.Move) []move {
	var parts []move
	for _, r := range a.leasedRanges(m.From) {
		if !r.Overlaps(m.Span) {
			continue
		}
		overlap := seamtable.Span{From: max(r.From, m.Span.From), To: min(r.To, m.Span.To)}
		if !a.isMoving(overlap) {
			parts = append(parts, move{Span: overlap, source: m.From, destination: m.To, fence: r.Fence, plannedAt: now, rate: a.spanRate(m.From, overlap)})
		}
	}
	return parts
}
