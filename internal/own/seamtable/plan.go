package seamtable

import (
	"cmp"
	"slices"
)

const (
	// defaultServiceTime is the assumed service time of a target that has not served any requests, in seconds.
	defaultServiceTime = 0.1
	// minSpareFraction is the minimum fraction of its MaxConcurrency that a target is assumed
	// to have free, so that every target can be given keys.
	minSpareFraction = 0.05
	// minBalanceUtilization is the utilization of a target below which no keys are moved away from it.
	minBalanceUtilization = 0.55
	// minUtilizationGap is the minimum difference in utilization between two targets at which keys are moved.
	minUtilizationGap = 0.2
	// minMoveGain is the minimum fraction of the utilization gap between two targets that a move must close, after
	// deduction of the cost of moving the keys.
	minMoveGain = 0.15
)

// Load is the measured load of one holder.
type Load struct {
	// Concurrency is the mean number of requests that run or are queued.
	Concurrency float64
	// MaxConcurrency is the maximum number of requests that the target runs concurrently.
	MaxConcurrency int
	// ServiceTime is the target's mean service time of a request, in seconds.
	ServiceTime float64
	// Rate is the arrival rate, in requests per second.
	Rate float64
	// MaxRate is the number of requests per second that the target accepts; 0 if it states no limit.
	MaxRate float64
	// Chunks divide the keys of the holder into spans of about equal load.
	Chunks []Chunk
}

// Chunk is a span of keys with its request rate.
type Chunk struct {
	Span
	// Rate is the request rate, in requests per second.
	Rate float64
}

// Candidate is a holder that can be given keys.
type Candidate struct {
	Holder Holder
	Load   Load
}

// Capacity returns the number of requests per second that the target can serve.
func (l Load) Capacity() float64 {
	serviceTime := l.ServiceTime
	if serviceTime <= 0 {
		serviceTime = defaultServiceTime
	}
	capacity := float64(max(l.MaxConcurrency, 1)) / serviceTime
	if l.MaxRate > 0 {
		return min(capacity, l.MaxRate)
	}
	return capacity
}

// utilizationPerRate is the fraction of the target's capacity that one request per second occupies.
func (c Candidate) utilizationPerRate() float64 { return 1 / c.Capacity() }

// Capacity returns the number of requests per second that the target can serve.
func (c Candidate) Capacity() float64 { return c.Load.Capacity() }

// utilization is the fraction of the target's capacity that the requests for its keys occupy.
func (c Candidate) utilization() float64 { return c.Load.Rate * c.utilizationPerRate() }

// Assignment is a span that is assigned to a holder.
type Assignment struct {
	Span
	Holder Holder
}

// Distribute divides the spans among the candidates so that each gets a part of their load in proportion to its free
// capacity. rates gives the known load; keys without a known load have equal weight.
func Distribute(spans []Span, candidates []Candidate, rates []Chunk) []Assignment {
	if len(candidates) == 0 {
		return nil
	}
	candidates = slices.Clone(candidates)
	slices.SortFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.Holder.Target, b.Holder.Target) })
	chunks := splitAtChunks(spans, rates)
	total := 0.0
	for _, c := range chunks {
		total += c.Rate
	}
	var assignments []Assignment
	shares := loadShares(candidates, total)
	i, quota := 0, shares[0]
	for _, c := range chunks {
		for c.Rate > 0 {
			if quota <= 0 && i < len(candidates)-1 {
				i++
				quota = shares[i]
				continue
			}
			head, rest, more := c.split(quota, i == len(candidates)-1)
			assignments = appendAssignment(assignments, Assignment{head.Span, candidates[i].Holder})
			quota -= head.Rate
			if !more {
				break
			}
			c = rest
		}
	}
	return assignments
}

// LeastUtilized returns the given number of candidates with the lowest utilization, or more if those have no room for the
// additional rate of requests.
func LeastUtilized(candidates []Candidate, rate float64, number int) []Candidate {
	candidates = slices.Clone(candidates)
	slices.SortStableFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.utilization(), b.utilization()) })
	room := 0.0
	for i, c := range candidates {
		if i >= number && room >= rate {
			return candidates[:i]
		}
		room += max(1-c.utilization(), 0) * c.Capacity()
	}
	return candidates
}

// loadShares divides the total load among the candidates in proportion to their free capacity.
func loadShares(candidates []Candidate, total float64) []float64 {
	shares := make([]float64, len(candidates))
	sum := 0.0
	for i, c := range candidates {
		shares[i] = max(1-c.utilization(), minSpareFraction) / c.utilizationPerRate()
		sum += shares[i]
	}
	for i := range shares {
		shares[i] *= total / sum
	}
	return shares
}

// split splits off the head of a chunk that carries about the given load, but has at least one key. If last is set, or if
// no key remains, head is the whole chunk and more is false.
func (c Chunk) split(load float64, last bool) (head, rest Chunk, more bool) {
	keys := c.Len()
	n := int(float64(keys)*load/c.Rate + 0.5)
	n = max(n, 1)
	if last || n >= keys {
		return c, Chunk{}, false
	}
	rate := c.Rate * float64(n) / float64(keys)
	head = Chunk{Span{c.From, c.From + uint32(n) - 1}, rate}
	rest = Chunk{Span{c.From + uint32(n), c.To}, c.Rate - rate}
	return head, rest, true
}

// appendAssignment appends an assignment, merged with the last one if both are adjacent and have the same holder.
func appendAssignment(assignments []Assignment, a Assignment) []Assignment {
	if n := len(assignments); n > 0 && assignments[n-1].Holder == a.Holder && assignments[n-1].To+1 == a.From {
		assignments[n-1].To = a.To
		return assignments
	}
	return append(assignments, a)
}

// baseKeyRate is added to the load of each key, in requests per second, so that keys without a known load count too.
const baseKeyRate = 1e-4

// splitAtChunks splits the spans at the boundaries of the known chunks and returns the pieces with their load.
func splitAtChunks(spans []Span, rates []Chunk) []Chunk {
	rates = slices.Clone(rates)
	slices.SortFunc(rates, func(a, b Chunk) int { return cmp.Compare(a.From, b.From) })
	var chunks []Chunk
	for _, s := range spans {
		next := s.From
		for _, c := range rates {
			if !c.Overlaps(s) || c.To < next {
				continue
			}
			if c.From > next {
				chunks = append(chunks, chunkWithBaseRate(Span{next, c.From - 1}, 0))
			}
			inside := Span{max(c.From, next), min(c.To, s.To)}
			chunks = append(chunks, chunkWithBaseRate(inside, c.Rate*float64(inside.Len())/float64(c.Len())))
			next = inside.To + 1
		}
		if next <= s.To {
			chunks = append(chunks, chunkWithBaseRate(Span{next, s.To}, 0))
		}
	}
	return chunks
}

func chunkWithBaseRate(s Span, rate float64) Chunk {
	return Chunk{s, rate + baseKeyRate*float64(s.Len())}
}

// Move transfers a span from one holder to another.
type Move struct {
	Span
	From, To Holder
}

// Balance returns at most limit moves that even out the utilization of the
// candidates. It is designed for hot spots, where a few adjacent keys receive a
// large part of the requests, possibly more than many targets can serve: it cuts such keys out of their range and
// spreads them over all targets with spare capacity at once. A target with low utilization keeps its keys.
func Balance(candidates []Candidate, limit int) []Move {
	planned := make([]*plannedCandidate, 0, len(candidates))
	demand, capacity := 0.0, 0.0
	for _, c := range candidates {
		planned = append(planned, &plannedCandidate{Candidate: c, plannedUtilization: c.utilization(), chunks: slices.Clone(c.Load.Chunks)})
		demand += c.Load.Rate
		capacity += c.Capacity()
	}
	if len(planned) < 2 {
		return nil
	}
	fillLevel := demand/capacity + fillTolerance
	var moves []Move
	for len(moves) < limit {
		m, ok := nextMove(planned, fillLevel)
		if !ok {
			break
		}
		moves = append(moves, m)
	}
	return moves
}

// plannedCandidate is a candidate after the moves planned so far.
type plannedCandidate struct {
	Candidate
	plannedUtilization float64
	chunks             []Chunk
	// exhausted means that no further move from it helps.
	exhausted bool
}

// fillTolerance is how far a destination may be filled above the utilization that all targets would have if the load were
// spread evenly.
const fillTolerance = 0.05

// nextMove returns the best move from the busiest candidate to the least busy one, and applies it to both.
func nextMove(planned []*plannedCandidate, fillLevel float64) (Move, bool) {
	to := slices.MinFunc(planned, func(a, b *plannedCandidate) int { return cmp.Compare(a.plannedUtilization, b.plannedUtilization) })
	for {
		from := busiestSource(planned)
		if from == nil || from.plannedUtilization < minBalanceUtilization || from.plannedUtilization-to.plannedUtilization < minUtilizationGap {
			return Move{}, false
		}
		r, ok := bestRun(from, to, fillLevel)
		if !ok {
			r, ok = hottestChunk(from, to)
		}
		if !ok {
			from.exhausted = true
			continue
		}
		from.chunks = slices.Delete(from.chunks, r.first, r.last+1)
		from.plannedUtilization -= r.Rate * from.utilizationPerRate()
		to.plannedUtilization += r.Rate * to.utilizationPerRate()
		return Move{Span: r.Span, From: from.Holder, To: to.Holder}, true
	}
}

// busiestSource returns the busiest candidate that is not exhausted; nil if all are.
func busiestSource(planned []*plannedCandidate) *plannedCandidate {
	var busiest *plannedCandidate
	for _, c := range planned {
		if !c.exhausted && (busiest == nil || c.plannedUtilization > busiest.plannedUtilization) {
			busiest = c
		}
	}
	return busiest
}

// chunkRun is a sequence of adjacent chunks.
type chunkRun struct {
	Chunk
	first, last int
	// remainingGap is the higher utilization of the two candidates after the move, minus the utilization of the
	// destination before the move.
	remainingGap float64
}

// cost returns the fraction of the gap that remains after the move, plus the cost of moving the keys.
func (r chunkRun) cost(gap float64) float64 {
	return r.remainingGap/gap + keysCost(r.Span)
}

// moveCost is the cost of moving all keys of a service, as a multiple of the utilization gap between two targets.
const moveCost = 3.0

func keysCost(s Span) float64 { return moveCost * float64(s.Len()) / Keys }

// bestRun returns the run of adjacent chunks whose move has the lowest cost. A run fills the destination at most to the
// fill level: the utilization of a source that is further above it counts as if both were to meet there.
func bestRun(from, to *plannedCandidate, fillLevel float64) (chunkRun, bool) {
	source := min(from.plannedUtilization, 2*fillLevel-to.plannedUtilization)
	gap := source - to.plannedUtilization
	if gap <= 0 {
		return chunkRun{}, false
	}
	best, lowest, found := chunkRun{}, 1-minMoveGain, false
	for i := range from.chunks {
		r := chunkRun{Chunk: Chunk{Span: from.chunks[i].Span}, first: i}
		for j := i; j < len(from.chunks); j++ {
			c := from.chunks[j]
			if j > i && c.From != r.To+1 {
				break
			}
			r.To, r.Rate, r.last = c.To, r.Rate+c.Rate, j
			added := r.Rate * to.utilizationPerRate()
			if added >= gap || added >= 1 {
				break
			}
			r.remainingGap = max(source-r.Rate*from.utilizationPerRate()-to.plannedUtilization, added)
			if cost := r.cost(gap); cost < lowest {
				best, lowest, found = r, cost, true
			}
		}
	}
	return best, found
}

// hottestChunk returns the chunk with the most requests for each key whose move leaves the destination clearly less busy
// than the source. It is used where each chunk alone would fill the destination above the fill level. A chunk that would
// overload it, such as a single hot key, stays: its requests wait while it moves, and an overloaded target seems slower than it
// is, so that the key would move on and on.
func hottestChunk(from, to *plannedCandidate) (chunkRun, bool) {
	best, found := chunkRun{}, false
	for i, c := range from.chunks {
		after := to.plannedUtilization + c.Rate*to.utilizationPerRate()
		gain := from.plannedUtilization - after
		if gain < minUtilizationGap || c.Rate*from.utilizationPerRate() < minMoveGain+keysCost(c.Span) {
			continue
		}
		if c.Rate*to.utilizationPerRate() >= 1 {
			continue
		}
		if !found || c.Rate/float64(c.Len()) > best.Rate/float64(best.Len()) {
			best, found = chunkRun{Chunk: c, first: i, last: i}, true
		}
	}
	return best, found
}
