package seamassign

import (
	"cmp"
	"slices"
	"time"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamtable"
)

// Tick performs the actions that are due: it takes keys from holders whose lease has
// expired, assigns free keys, and plans moves.
func (a *Assigner) Tick(now seamclock.Instant) {
	if a.stored.Epoch != a.epoch {
		return
	}
	a.expirePredecessors(now)
	a.expireHolders(now)
	a.cancelStuckMoves(now)
	a.assignFreeKeys(now)
	a.evacuate(now)
	a.balance(now)
}

// expirePredecessors removes the predecessors whose leases have all expired.
func (a *Assigner) expirePredecessors(now seamclock.Instant) {
	if len(a.predecessors) == 0 {
		return
	}
	if seamclock.MinElapsed(now, a.predecessorLeaseEnd) >= 0 {
		a.predecessors = nil
	}
	a.prunePredecessors(now)
}

// expireHolders takes the keys of holders whose lease has expired. A holder that has
// not accepted this epoch may still use a lease granted by a predecessor.
func (a *Assigner) expireHolders(now seamclock.Instant) {
	for _, h := range a.owners() {
		if seamclock.MinElapsed(now, a.leaseEndOf(h)) >= 0 {
			a.dropHolder(h)
		}
	}
	for h, known := range a.holders {
		if seamclock.MinElapsed(now, known.leaseEnd) >= 0 && len(a.desired.RangesOf(h)) == 0 {
			delete(a.holders, h)
			delete(a.desired.Nodes, h)
		}
	}
}

// owners returns the distinct holders in the desired table.
func (a *Assigner) owners() []seamtable.Holder {
	var list []seamtable.Holder
	for _, r := range a.desired.Ranges {
		if !slices.Contains(list, r.Holder) {
			list = append(list, r.Holder)
		}
	}
	return list
}

// leaseEndOf returns the latest time at which the holder may still use its keys.
func (a *Assigner) leaseEndOf(h seamtable.Holder) seamclock.Instant {
	known := a.holders[h]
	switch {
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

// cancelStuckMoves cancels planned moves that were not confirmed in time.
func (a *Assigner) cancelStuckMoves(now seamclock.Instant) {
	a.moves = slices.DeleteFunc(a.moves, func(m move) bool {
		return seamclock.MinElapsed(now, m.plannedAt) >= a.cfg.MoveTimeout
	})
}

// candidates returns the holders that accept keys, except the excluded one.
func (a *Assigner) candidates(now seamclock.Instant, excluded seamtable.Holder) []seamtable.Candidate {
	var list []seamtable.Candidate
	for h, known := range a.holders {
		leased := seamclock.MinElapsed(now, known.leaseEnd) < 0
		if h != excluded && known.state == Ready && leased {
			list = append(list, seamtable.Candidate{Holder: h, Load: a.plannedLoad(h, known.load)})
		}
	}
	slices.SortFunc(list, func(x, y seamtable.Candidate) int { return cmp.Compare(x.Holder.String(), y.Holder.String()) })
	return list
}

// plannedLoad returns the load that a holder will have after the planned moves.
func (a *Assigner) plannedLoad(h seamtable.Holder, load seamtable.Load) seamtable.Load {
	for _, m := range a.moves {
		rate := a.moveRate(m)
		switch h {
		case m.source:
			load.Rate = max(load.Rate-rate, 0)
		case m.destination:
			load.Rate += rate
		}
	}
	return load
}

// moveRate returns the request rate of the keys that a move transfers.
func (a *Assigner) moveRate(m move) float64 {
	from := a.holders[m.source]
	if from == nil {
		return 0
	}
	rate := 0.0
	for _, c := range from.load.Chunks {
		if c.From >= m.From && c.To <= m.To {
			rate += c.Rate
		}
	}
	return rate
}

// assignFreeKeys assigns the keys that have no holder.
func (a *Assigner) assignFreeKeys(now seamclock.Instant) {
	free := a.desired.FreeSpans()
	candidates := a.candidates(now, seamtable.Holder{})
	if len(free) == 0 || len(candidates) == 0 || !a.startupSettled(now) {
		return
	}
	for _, assignment := range seamtable.Distribute(free, candidates, a.orphanedLoad) {
		a.desired.Assign(assignment.Span, assignment.Holder, "")
	}
	a.orphanedLoad = nil
	a.dirty = true
}

// startupSettled reports whether the assigner no longer waits for targets that start together.
func (a *Assigner) startupSettled(now seamclock.Instant) bool {
	if a.desired.Fence > 0 {
		return true
	}
	return seamclock.MinElapsed(now, a.lastJoin) >= a.cfg.SettleDelay || seamclock.MinElapsed(now, a.startedAt) >= a.cfg.SettleTimeout
}

// evacuate plans to move all keys away from holders that leave or whose node stops.
func (a *Assigner) evacuate(now seamclock.Instant) {
	for h, known := range a.holders {
		if known.state != Leaving && known.state != Stopping {
			continue
		}
		candidates := a.candidates(now, h)
		if len(candidates) == 0 || known.state == Stopping && !a.hasCapacity(known.load, candidates) {
			continue
		}
		a.evacuateHolder(now, h, candidates)
	}
}

// hasCapacity reports whether the candidates can take over the load of a holder.
func (a *Assigner) hasCapacity(load seamtable.Load, candidates []seamtable.Candidate) bool {
	demand, capacity := load.Rate, 0.0
	for _, c := range candidates {
		demand += c.Load.Rate
		capacity += c.Capacity()
	}
	return demand <= a.cfg.MaxEvacuationLoad*capacity
}

func (a *Assigner) evacuateHolder(now seamclock.Instant, h seamtable.Holder, candidates []seamtable.Candidate) {
	var spans []seamtable.Span
	for _, r := range a.leasedRanges(h) {
		if !a.isMoving(r.Span) {
			spans = append(spans, r.Span)
		}
	}
	if len(spans) == 0 {
		return
	}
	for _, assignment := range seamtable.Distribute(spans, candidates, a.holders[h].load.Chunks) {
		a.planMove(now, seamtable.Move{Span: assignment.Span, From: h, To: assignment.Holder})
	}
}

// isMoving reports whether a planned move includes some of the keys.
func (a *Assigner) isMoving(s seamtable.Span) bool {
	return slices.ContainsFunc(a.moves, func(m move) bool { return m.Overlaps(s) })
}

// planMove adds a planned move for each range that the move overlaps.
func (a *Assigner) planMove(now seamclock.Instant, m seamtable.Move) {
	for _, r := range a.leasedRanges(m.From) {
		if !r.Overlaps(m.Span) {
			continue
		}
		part := seamtable.Span{From: max(r.From, m.Span.From), To: min(r.To, m.Span.To)}
		if !a.isMoving(part) {
			a.moves = append(a.moves, move{Span: part, source: m.From, destination: m.To, fence: r.Fence, plannedAt: now})
			a.plannedMoves++
		}
	}
}

// balance plans moves that even out the load.
func (a *Assigner) balance(now seamclock.Instant) {
	if seamclock.MinElapsed(now, a.lastBalanceCheck) < a.cfg.BalanceInterval || len(a.moves) > 0 || a.dirty || a.writing {
		return
	}
	a.lastBalanceCheck = now
	candidates := a.candidates(now, seamtable.Holder{})
	if a.shareWithNewHolder(now, candidates) {
		return
	}
	for _, m := range seamtable.Balance(candidates, a.cfg.MaxBalanceMoves) {
		a.planMove(now, m)
	}
}

// newHolderDelay is the time after which a holder without keys is given some.
const newHolderDelay = 300 * time.Millisecond

// shareWithNewHolder plans to give a holder without keys half of the load of the busiest one.
func (a *Assigner) shareWithNewHolder(now seamclock.Instant, candidates []seamtable.Candidate) bool {
	for _, c := range candidates {
		due := seamclock.MinElapsed(now, a.holders[c.Holder].firstSeen) >= newHolderDelay
		if !due || len(a.desired.RangesOf(c.Holder)) > 0 {
			continue
		}
		from, ok := a.busiest(candidates)
		if !ok {
			return false
		}
		for _, s := range secondHalf(from, a.leasedRanges(from.Holder)) {
			a.planMove(now, seamtable.Move{Span: s, From: from.Holder, To: c.Holder})
		}
		return true
	}
	return false
}

// busiest returns the candidate with the highest request rate among those that have keys.
func (a *Assigner) busiest(candidates []seamtable.Candidate) (seamtable.Candidate, bool) {
	var best seamtable.Candidate
	found := false
	for _, c := range candidates {
		if len(a.leasedRanges(c.Holder)) == 0 {
			continue
		}
		if !found || c.Load.Rate > best.Load.Rate {
			best, found = c, true
		}
	}
	return best, found
}

// secondHalf returns the spans that carry the second half of the holder's load. If its
// chunks are not known, it returns the second half of the widest range.
func secondHalf(c seamtable.Candidate, ranges []seamtable.Range) []seamtable.Span {
	if n := len(c.Load.Chunks); n > 1 {
		sum, rate := 0.0, 0.0
		for _, k := range c.Load.Chunks {
			sum += k.Rate
		}
		var spans []seamtable.Span
		for i := n - 1; i > 0 && rate < sum/2; i-- {
			rate += c.Load.Chunks[i].Rate
			spans = append(spans, c.Load.Chunks[i].Span)
		}
		return mergeAdjacent(spans)
	}
	widest := slices.MaxFunc(ranges, func(x, y seamtable.Range) int { return cmp.Compare(x.Len(), y.Len()) })
	middle := widest.From + uint32(widest.Len()/2)
	return []seamtable.Span{{From: middle, To: widest.To}}
}

// mergeAdjacent sorts the spans and merges adjacent ones.
func mergeAdjacent(spans []seamtable.Span) []seamtable.Span {
	slices.SortFunc(spans, func(x, y seamtable.Span) int { return cmp.Compare(x.From, y.From) })
	var joined []seamtable.Span
	for _, s := range spans {
		if n := len(joined); n > 0 && joined[n-1].To+1 == s.From {
			joined[n-1].To = s.To
			continue
		}
		joined = append(joined, s)
	}
	return joined
}
