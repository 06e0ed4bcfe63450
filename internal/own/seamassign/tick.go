package seamassign

import (
	"cmp"
	"slices"
	"time"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamtable"
)

// Tick does what has become due: it takes keys from holders whose right is over,
// assigns free keys, and plans moves.
func (a *Assigner) Tick(now seamclock.Instant) {
	if a.durable.Epoch != a.epoch {
		return
	}
	a.outlast(now)
	a.expire(now)
	a.unstick(now)
	a.fill(now)
	a.evacuate(now)
	a.balance(now)
}

// outlast forgets the predecessors none of whose promises can be in force.
func (a *Assigner) outlast(now seamclock.Instant) {
	if len(a.predecessors) == 0 {
		return
	}
	if seamclock.MinElapsed(now, a.foreign) >= 0 {
		a.predecessors = nil
	}
	a.succeeded(now)
}

// expire takes the keys of holders whose right is over. A holder that has not
// accepted this epoch may still act on a promise of the last assigner.
func (a *Assigner) expire(now seamclock.Instant) {
	for _, h := range a.owners() {
		if seamclock.MinElapsed(now, a.rightOf(h)) >= 0 {
			a.drop(h)
		}
	}
	for h, known := range a.holders {
		if seamclock.MinElapsed(now, known.right) >= 0 && len(a.next.RangesOf(h)) == 0 {
			delete(a.holders, h)
			delete(a.next.Nodes, h)
		}
	}
}

// owners returns the holders that the wanted table names, each once.
func (a *Assigner) owners() []seamtable.Holder {
	var list []seamtable.Holder
	for _, r := range a.next.Ranges {
		if !slices.Contains(list, r.Holder) {
			list = append(list, r.Holder)
		}
	}
	return list
}

// rightOf returns the latest time at which the holder may use its keys.
func (a *Assigner) rightOf(h seamtable.Holder) seamclock.Instant {
	known := a.holders[h]
	switch {
	case known == nil:
		return a.foreign
	case known.attached:
		return known.right
	case seamclock.MinElapsed(known.right, a.foreign) > 0:
		return known.right
	default:
		return a.foreign
	}
}

// unstick gives up planned moves that no holder confirmed.
func (a *Assigner) unstick(now seamclock.Instant) {
	a.moves = slices.DeleteFunc(a.moves, func(m move) bool {
		return seamclock.MinElapsed(now, m.since) >= a.cfg.MoveTimeout
	})
}

// candidates returns the holders that take keys, without one.
func (a *Assigner) candidates(now seamclock.Instant, without seamtable.Holder) []seamtable.Candidate {
	var list []seamtable.Candidate
	for h, known := range a.holders {
		fresh := seamclock.MinElapsed(now, known.right) < 0
		if h != without && known.state == Ready && fresh {
			list = append(list, seamtable.Candidate{Holder: h, Load: a.planned(h, known.load)})
		}
	}
	slices.SortFunc(list, func(x, y seamtable.Candidate) int { return cmp.Compare(x.Holder.String(), y.Holder.String()) })
	return list
}

// planned returns the load of a holder with the moves that are under way.
func (a *Assigner) planned(h seamtable.Holder, load seamtable.Load) seamtable.Load {
	for _, m := range a.moves {
		rate := a.rateOf(m)
		switch h {
		case m.giver:
			load.Rate = max(load.Rate-rate, 0)
		case m.taker:
			load.Rate += rate
		}
	}
	return load
}

// rateOf returns the load of the keys that a move takes.
func (a *Assigner) rateOf(m move) float64 {
	from := a.holders[m.giver]
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

// fill assigns the keys that nobody holds.
func (a *Assigner) fill(now seamclock.Instant) {
	free := a.next.FreeSpans()
	candidates := a.candidates(now, seamtable.Holder{})
	if len(free) == 0 || len(candidates) == 0 || !a.settled(now) {
		return
	}
	for _, p := range seamtable.Distribute(free, candidates, a.lost) {
		a.next.Assign(p.Span, p.Holder, "")
	}
	a.lost = nil
	a.changed = true
}

// settled reports whether the targets that start together have been seen.
func (a *Assigner) settled(now seamclock.Instant) bool {
	if a.next.Fence > 0 {
		return true
	}
	return seamclock.MinElapsed(now, a.joined) >= a.cfg.SettleDelay || seamclock.MinElapsed(now, a.began) >= a.cfg.SettleTimeout
}

// evacuate plans the moves of all keys of holders that leave.
func (a *Assigner) evacuate(now seamclock.Instant) {
	for h, known := range a.holders {
		if known.state != Leaving && known.state != Stopping {
			continue
		}
		candidates := a.candidates(now, h)
		if len(candidates) == 0 || known.state == Stopping && !a.room(known.load, candidates) {
			continue
		}
		a.evacuateHolder(now, h, candidates)
	}
}

// room reports whether the candidates have room for the keys of a holder.
func (a *Assigner) room(load seamtable.Load, candidates []seamtable.Candidate) bool {
	demand, capacity := load.Rate, 0.0
	for _, c := range candidates {
		demand += c.Load.Rate
		capacity += c.Capacity()
	}
	return demand <= a.cfg.MaxEvacuationLoad*capacity
}

func (a *Assigner) evacuateHolder(now seamclock.Instant, h seamtable.Holder, candidates []seamtable.Candidate) {
	var spans []seamtable.Span
	for _, r := range a.promised(h) {
		if !a.moving(r.Span) {
			spans = append(spans, r.Span)
		}
	}
	if len(spans) == 0 {
		return
	}
	for _, p := range seamtable.Distribute(spans, candidates, a.holders[h].load.Chunks) {
		a.plan(now, seamtable.Move{Span: p.Span, From: h, To: p.Holder})
	}
}

// moving reports whether a planned move takes some of the keys.
func (a *Assigner) moving(s seamtable.Span) bool {
	return slices.ContainsFunc(a.moves, func(m move) bool { return m.Overlaps(s) })
}

// plan adds a move, one for each range that it touches.
func (a *Assigner) plan(now seamclock.Instant, m seamtable.Move) {
	for _, r := range a.promised(m.From) {
		if !r.Overlaps(m.Span) {
			continue
		}
		part := seamtable.Span{From: max(r.From, m.Span.From), To: min(r.To, m.Span.To)}
		if !a.moving(part) {
			a.moves = append(a.moves, move{Span: part, giver: m.From, taker: m.To, fence: r.Fence, since: now})
			a.plans++
		}
	}
}

// balance plans moves that spread the load.
func (a *Assigner) balance(now seamclock.Instant) {
	if seamclock.MinElapsed(now, a.balanced) < a.cfg.BalanceInterval || len(a.moves) > 0 || a.changed || a.writing {
		return
	}
	a.balanced = now
	candidates := a.candidates(now, seamtable.Holder{})
	if a.shareWithNew(now, candidates) {
		return
	}
	for _, m := range seamtable.Balance(candidates, a.cfg.MaxBalanceMoves) {
		a.plan(now, m)
	}
}

// newcomerTime is the time after which a holder without keys gets some.
const newcomerTime = 300 * time.Millisecond

// shareWithNew gives a holder without keys a part of those of the busiest one.
func (a *Assigner) shareWithNew(now seamclock.Instant, candidates []seamtable.Candidate) bool {
	for _, c := range candidates {
		old := seamclock.MinElapsed(now, a.holders[c.Holder].first) >= newcomerTime
		if !old || len(a.next.RangesOf(c.Holder)) > 0 {
			continue
		}
		from, ok := a.busiest(candidates)
		if !ok {
			return false
		}
		for _, s := range half(from, a.promised(from.Holder)) {
			a.plan(now, seamtable.Move{Span: s, From: from.Holder, To: c.Holder})
		}
		return true
	}
	return false
}

// busiest returns the candidate with the most requests among those that can give keys away.
func (a *Assigner) busiest(candidates []seamtable.Candidate) (seamtable.Candidate, bool) {
	var best seamtable.Candidate
	found := false
	for _, c := range candidates {
		if len(a.promised(c.Holder)) == 0 {
			continue
		}
		if !found || c.Load.Rate > best.Load.Rate {
			best, found = c, true
		}
	}
	return best, found
}

// half returns the second half of the holder's load: chunks as far as they are
// known, and otherwise the second half of its widest range.
func half(c seamtable.Candidate, ranges []seamtable.Range) []seamtable.Span {
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
		return join(spans)
	}
	widest := slices.MaxFunc(ranges, func(x, y seamtable.Range) int { return cmp.Compare(x.Len(), y.Len()) })
	middle := widest.From + uint32(widest.Len()/2)
	return []seamtable.Span{{From: middle, To: widest.To}}
}

// join joins neighbouring spans.
func join(spans []seamtable.Span) []seamtable.Span {
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
