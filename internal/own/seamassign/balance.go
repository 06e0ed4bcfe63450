package seamassign

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamtable"
)

// balance plans moves that even out the load, once per BalanceInterval and only if no table write is pending. Moves that
// wait for long-running requests do not hold up others.
func (a *Assigner) balance(now seamclock.Instant) {
	if seamclock.MinElapsed(now, a.lastBalanceCheck) < a.cfg.BalanceInterval || a.dirty || a.writing {
		return
	}
	a.lastBalanceCheck = now
	a.arrivals = slices.DeleteFunc(a.arrivals, func(r arrival) bool { return seamclock.MinElapsed(now, r.at) >= arrivalTTL })
	candidates := a.candidates(now, seamtable.Holder{})
	if a.shareWithNewHolder(now, candidates) {
		return
	}
	for _, m := range seamtable.Balance(candidates, a.cfg.MaxBalanceMoves-len(a.moves)) {
		a.planMove(now, m)
	}
}

// plannedChange is the difference between the reported load of a holder and its load after the planned moves.
type plannedChange struct {
	// leaving are the moves away from the holder, whose chunks are left out.
	leaving []*move
	// added is the rate of the moves to the holder.
	added float64
	// arrived are the completed moves to it, which count by what its reports do not show yet.
	arrived []*arrival
}

// plannedChanges returns the changes of all holders that have any.
func (a *Assigner) plannedChanges() map[seamtable.Holder]*plannedChange {
	changes := map[seamtable.Holder]*plannedChange{}
	of := func(h seamtable.Holder) *plannedChange {
		if changes[h] == nil {
			changes[h] = &plannedChange{}
		}
		return changes[h]
	}
	for i := range a.moves {
		m := &a.moves[i]
		source := of(m.source)
		source.leaving = append(source.leaving, m)
		of(m.destination).added += m.rate
	}
	for i := range a.arrivals {
		r := &a.arrivals[i]
		holder := of(r.holder)
		holder.arrived = append(holder.arrived, r)
	}
	return changes
}

// apply returns the load after the changes; c may be nil.
func (c *plannedChange) apply(now seamclock.Instant, load seamtable.Load) seamtable.Load {
	if c == nil {
		return load
	}
	for _, m := range c.leaving {
		load.Rate -= m.rate
	}
	load.Rate = max(load.Rate, 0) + c.added
	if len(c.leaving) > 0 {
		load.Chunks = slices.DeleteFunc(slices.Clone(load.Chunks), func(chunk seamtable.Chunk) bool {
			return slices.ContainsFunc(c.leaving, func(m *move) bool { return chunk.Overlaps(m.Span) })
		})
	}
	for _, r := range c.arrived {
		load.Rate += r.rate * r.unreported(now)
	}
	return load
}

// arrival is a completed move.
type arrival struct {
	holder seamtable.Holder
	rate   float64
	at     seamclock.Instant
}

const (
	// reportDelay is the time constant with which the reported load of a holder follows its requests.
	reportDelay = time.Second
	// arrivalTTL is the time after which a completed move no longer counts.
	arrivalTTL = 3 * reportDelay
)

// unreported returns the fraction of the rate that the holder's reports do not contain yet.
func (r *arrival) unreported(now seamclock.Instant) float64 {
	return math.Exp(-seamclock.MinElapsed(now, r.at).Seconds() / reportDelay.Seconds())
}

// spanRate returns the request rate of a span, as last reported by its holder.
func (a *Assigner) spanRate(h seamtable.Holder, s seamtable.Span) float64 {
	known := a.holders[h]
	if known == nil {
		return 0
	}
	rate := 0.0
	for _, c := range known.load.Chunks {
		if c.Overlaps(s) {
			common := min(c.To, s.To) - max(c.From, s.From) + 1
			rate += c.Rate * float64(common) / float64(c.Len())
		}
	}
	return rate
}

// newHolderDelay is the time between the first heartbeat of a holder and the first move of keys to it.
const newHolderDelay = 300 * time.Millisecond

// shareWithNewHolder plans to move half of the load of the busiest holder to one without keys. It reports whether there
// is such a pair.
func (a *Assigner) shareWithNewHolder(now seamclock.Instant, candidates []seamtable.Candidate) bool {
	for _, c := range candidates {
		due := seamclock.MinElapsed(now, a.holders[c.Holder].firstSeen) >= newHolderDelay
		if !due || c.Load.MaxRate > 0 || len(a.desiredRanges(c.Holder)) > 0 || a.isDestination(c.Holder) {
			continue
		}
		busiest, ok := a.busiest(candidates)
		if !ok {
			return false
		}
		for _, s := range secondHalf(busiest, a.leasedRanges(busiest.Holder)) {
			a.planMove(now, seamtable.Move{Span: s, From: busiest.Holder, To: c.Holder})
		}
		return true
	}
	return false
}

// isDestination reports whether a planned move gives keys to the holder.
func (a *Assigner) isDestination(h seamtable.Holder) bool {
	return slices.ContainsFunc(a.moves, func(m move) bool { return m.destination == h })
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

// secondHalf returns the spans of the highest keys that together receive about half of the holder's requests. If the
// holder reported fewer than two chunks, it returns the second half of the widest range.
func secondHalf(c seamtable.Candidate, ranges []seamtable.Range) []seamtable.Span {
	if n := len(c.Load.Chunks); n > 1 {
		sum, rate := 0.0, 0.0
		for _, chunk := range c.Load.Chunks {
			sum += chunk.Rate
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
	var merged []seamtable.Span
	for _, s := range spans {
		if n := len(merged); n > 0 && merged[n-1].To+1 == s.From {
			merged[n-1].To = s.To
			continue
		}
		merged = append(merged, s)
	}
	return merged
}
