package seamassign

import (
	"cmp"
	"slices"
	"time"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamtable"
)

// maxArrivalsPerHolder is the number of ranges that a holder takes over at a time from holders that the placement does not
// allow. Each costs its node a release, a write of the table and a grant, of which a small machine handles some tens a second.
const maxArrivalsPerHolder = 8

// arrivalTime is the time after which a range that a holder was asked to release no longer counts as arriving. Its release then
// waits for running requests and costs its destination nothing.
const arrivalTime = time.Second

// SetPlacement restricts the holders that may have keys. The others are not assigned any, and lose theirs with handover as
// long as there is a holder that is allowed and ready.
func (a *Assigner) SetPlacement(p seamtable.Placement) { a.placement = p }

// Misplaced returns the number of keys of holders that the placement does not allow.
func (a *Assigner) Misplaced() int {
	n := 0
	for h, known := range a.holders {
		if a.isExcluded(known) {
			n += countKeys(a.desiredRanges(h))
		}
	}
	return n
}

// isExcluded reports whether the holder must lose its keys because of the placement. A leaving holder loses them anyway; a
// stopping one would keep them if the others lack capacity.
func (a *Assigner) isExcluded(known *holder) bool {
	return (known.state == Ready || known.state == Stopping) && !a.placement.Allows(known.node)
}

// returnsKeys reports whether keys that a holder has released go back to it if there is no other holder for them. The state that
// it handed over would be lost otherwise.
func (a *Assigner) returnsKeys(h seamtable.Holder) bool {
	known := a.holders[h]
	return known != nil && known.state == Ready
}

// moveExcludedKeys plans to move all keys of the holders that the placement does not allow. It plans them together, so that the keys
// of a whole failure domain are divided among all others in proportion to their free capacity and into few ranges.
func (a *Assigner) moveExcludedKeys(now seamclock.Instant) {
	a.cancelObsoleteMoves()
	a.redirectMoves(now)
	sources, spans, chunks := a.excludedKeys()
	if len(spans) > 0 {
		a.planExcludedMoves(now, sources, spans, chunks)
	}
	a.startMoves(now)
}

// cancelObsoleteMoves cancels the moves that wait although the placement allows their source again, or whose destination takes
// no keys any more.
func (a *Assigner) cancelObsoleteMoves() {
	a.moves = slices.DeleteFunc(a.moves, func(m move) bool {
		known := a.holders[m.source]
		return m.waiting && (known == nil || !a.isExcluded(known) || !a.acceptsKeys(m.destination))
	})
}

// redirectMoves gives planned moves to holders that are no longer allowed the candidate with the most free capacity as their
// destination. Their sources may already be releasing the keys.
func (a *Assigner) redirectMoves(now seamclock.Instant) {
	for i := range a.moves {
		m := &a.moves[i]
		if known := a.holders[m.destination]; known == nil || known.state != Ready || a.placement.Allows(known.node) {
			continue
		}
		if candidates := a.candidates(now, m.source); len(candidates) > 0 {
			m.destination = seamtable.LeastUtilized(candidates, m.rate, 1)[0].Holder
		}
	}
}

// excludedKeys returns the holders that the placement does not allow, in order, with their keys that are not moving yet and
// the known load of these.
func (a *Assigner) excludedKeys() (sources []seamtable.Holder, spans []seamtable.Span, chunks []seamtable.Chunk) {
	for h, known := range a.holders {
		if !a.isExcluded(known) {
			continue
		}
		if left := a.spansToEvacuate(h); len(left) > 0 {
			sources = append(sources, h)
			spans = append(spans, left...)
			chunks = append(chunks, known.load.Chunks...)
		}
	}
	slices.SortFunc(sources, func(x, y seamtable.Holder) int {
		return cmp.Or(cmp.Compare(x.Target, y.Target), cmp.Compare(x.Born, y.Born))
	})
	slices.SortFunc(spans, func(x, y seamtable.Span) int { return cmp.Compare(x.From, y.From) })
	return sources, spans, chunks
}

// planExcludedMoves plans moves of the spans, which the sources hold, to the candidates.
func (a *Assigner) planExcludedMoves(now seamclock.Instant, sources []seamtable.Holder, spans []seamtable.Span, chunks []seamtable.Chunk) {
	candidates := a.candidates(now, seamtable.Holder{})
	if len(candidates) == 0 {
		return
	}
	number := max(destinationsPerHolder, destinationsOf(spans, len(candidates)))
	destinations := seamtable.LeastUtilized(candidates, totalRate(chunks), number)
	for _, assignment := range seamtable.Distribute(spans, destinations, chunks) {
		for _, h := range sources {
			for _, m := range a.partsOf(now, seamtable.Move{Span: assignment.Span, From: h, To: assignment.Holder}) {
				m.waiting = true
				a.moves = append(a.moves, m)
			}
		}
	}
}

// startMoves asks for the keys of moves that wait, as far as their destinations take over fewer than maxArrivalsPerHolder
// ranges. The busiest keys come first: most requests wait for them.
func (a *Assigner) startMoves(now seamclock.Instant) {
	arriving := map[seamtable.Holder]int{}
	var waiting []*move
	for i := range a.moves {
		if m := &a.moves[i]; m.waiting {
			waiting = append(waiting, m)
		} else if seamclock.MinElapsed(now, m.plannedAt) < arrivalTime {
			arriving[m.destination]++
		}
	}
	slices.SortStableFunc(waiting, func(x, y *move) int { return cmp.Compare(y.rate, x.rate) })
	for _, m := range waiting {
		if arriving[m.destination] < maxArrivalsPerHolder {
			m.waiting, m.plannedAt = false, now
			arriving[m.destination]++
			a.plannedMoves++
		}
	}
}
