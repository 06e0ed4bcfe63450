package seamtable

import (
	"cmp"
	"slices"
)

const (
	// defaultService is the time of a request at a target that has not run any, in seconds.
	defaultServiceTime = 0.1
	// spareFloor is the least part of its slots that a target is taken to have
	// free, so that each target can be given keys.
	minSpareFraction = 0.05
	// calm is the use of a target below which no keys are moved away from it.
	minBalanceUtilization = 0.55
	// gap is the difference in use between two targets from which keys are moved.
	minUtilizationGap = 0.2
	// leastGain is the part of the difference that a move must remove.
	minMoveGain = 0.15
)

// Load is the use of the keys at one holder.
type Load struct {
	// Busy is the mean number of requests that run or wait.
	Concurrency float64
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Service is the mean time that the target takes for a request, in seconds.
	ServiceTime float64
	// Rate is the number of requests that arrive in a second.
	Rate float64
	// Chunks split the keys of the holder into runs of about the same load.
	Chunks []Chunk
}

// Chunk is a run of keys with its share of the load.
type Chunk struct {
	Span
	// Rate is the number of requests in a second.
	Rate float64
}

// Candidate is a holder that may be given keys.
type Candidate struct {
	Holder Holder
	Load   Load
}

// cost is the part of the target's slots that one request a second takes.
func (c Candidate) slotsPerRate() float64 {
	serviceTime := c.Load.ServiceTime
	if serviceTime <= 0 {
		serviceTime = defaultServiceTime
	}
	return serviceTime / float64(max(c.Load.Slots, 1))
}

// Capacity is the number of requests a second that the target can take.
func (c Candidate) Capacity() float64 { return 1 / c.slotsPerRate() }

// use is the part of the target's slots that its keys take.
func (c Candidate) utilization() float64 { return c.Load.Rate * c.slotsPerRate() }

// Part is a span that goes to a holder.
type Assignment struct {
	Span
	Holder Holder
}

// Fill divides the spans among the candidates: a candidate gets the more load
// the more of its slots are free. rates tells the load of the spans as far as
// it is known; keys without a known load count alike.
func Distribute(spans []Span, candidates []Candidate, rates []Chunk) []Assignment {
	if len(candidates) == 0 {
		return nil
	}
	candidates = slices.Clone(candidates)
	slices.SortFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.Holder.Target, b.Holder.Target) })
	chunks := splitByRate(spans, rates)
	total := 0.0
	for _, p := range chunks {
		total += p.Rate
	}
	var assignments []Assignment
	shares := loadShares(candidates, total)
	i, quota := 0, shares[0]
	for _, p := range chunks {
		for p.Rate > 0 {
			if quota <= 0 && i < len(candidates)-1 {
				i++
				quota = shares[i]
				continue
			}
			head, rest, more := p.split(quota, i == len(candidates)-1)
			assignments = appendAssignment(assignments, Assignment{head.Span, candidates[i].Holder})
			quota -= head.Rate
			if !more {
				break
			}
			p = rest
		}
	}
	return assignments
}

// quotas divides the total load by the free slots of the candidates.
func loadShares(candidates []Candidate, total float64) []float64 {
	shares := make([]float64, len(candidates))
	sum := 0.0
	for i, c := range candidates {
		shares[i] = max(1-c.utilization(), minSpareFraction) / c.slotsPerRate()
		sum += shares[i]
	}
	for i := range shares {
		shares[i] *= total / sum
	}
	return shares
}

// cut splits off the head of a chunk that carries about the given load, at least one key.
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

// appendPart adds a part, joined to the last one if it continues it.
func appendAssignment(parts []Assignment, p Assignment) []Assignment {
	if n := len(parts); n > 0 && parts[n-1].Holder == p.Holder && parts[n-1].To+1 == p.From {
		parts[n-1].To = p.To
		return parts
	}
	return append(parts, p)
}

// keyFloor is the load that each key counts for at least, in requests a second.
const minKeyRate = 1e-4

// weigh splits the spans at the borders of the known chunks and gives each piece its load.
func splitByRate(spans []Span, rates []Chunk) []Chunk {
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
				chunks = append(chunks, chunkWithMinRate(Span{next, c.From - 1}, 0))
			}
			inside := Span{max(c.From, next), min(c.To, s.To)}
			chunks = append(chunks, chunkWithMinRate(inside, c.Rate*float64(inside.Len())/float64(c.Len())))
			next = inside.To + 1
		}
		if next <= s.To {
			chunks = append(chunks, chunkWithMinRate(Span{next, s.To}, 0))
		}
	}
	return chunks
}

func chunkWithMinRate(s Span, rate float64) Chunk {
	return Chunk{s, rate + minKeyRate*float64(s.Len())}
}

// Move takes a span from one holder to another.
type Move struct {
	Span
	From, To Holder
}

// Balance returns at most limit moves that bring the use of the candidates'
// slots closer together. It answers a load in which a few neighbouring keys draw
// a large part of the requests: it cuts such keys out of their range and spreads
// them over the targets with free slots. A target that is not busy keeps its keys.
func Balance(candidates []Candidate, limit int) []Move {
	planned := make([]*plannedCandidate, 0, len(candidates))
	for _, c := range candidates {
		planned = append(planned, &plannedCandidate{Candidate: c, plannedUtilization: c.utilization(), chunks: slices.Clone(c.Load.Chunks)})
	}
	var moves []Move
	for len(moves) < limit {
		m, ok := bestMove(planned)
		if !ok {
			break
		}
		moves = append(moves, m)
	}
	return moves
}

// side is a candidate with the moves planned so far.
type plannedCandidate struct {
	Candidate
	plannedUtilization float64
	chunks             []Chunk
}

// bestMove takes keys from the busiest candidate to the least busy one.
func bestMove(planned []*plannedCandidate) (Move, bool) {
	if len(planned) < 2 {
		return Move{}, false
	}
	from := slices.MaxFunc(planned, func(a, b *plannedCandidate) int { return cmp.Compare(a.plannedUtilization, b.plannedUtilization) })
	to := slices.MinFunc(planned, func(a, b *plannedCandidate) int { return cmp.Compare(a.plannedUtilization, b.plannedUtilization) })
	if from.plannedUtilization < minBalanceUtilization || from.plannedUtilization-to.plannedUtilization < minUtilizationGap {
		return Move{}, false
	}
	r, ok := bestRun(from, to)
	if !ok {
		return Move{}, false
	}
	from.chunks = slices.Delete(from.chunks, r.first, r.last+1)
	from.plannedUtilization -= r.Rate * from.slotsPerRate()
	to.plannedUtilization += r.Rate * to.slotsPerRate()
	return Move{Span: r.Span, From: from.Holder, To: to.Holder}, true
}

// run is a number of neighbouring chunks.
type chunkRun struct {
	Chunk
	first, last int
	// left is the use of the busier of both sides after the move, above that of the other before it.
	remainingGap float64
}

// price is what is left of the difference after the move, and the cost of moving so many keys.
func (r chunkRun) cost(gap float64) float64 {
	return r.remainingGap/gap + moveCost*float64(r.Len())/Keys
}

// keyPrice is the cost of moving all keys, in parts of the difference in use between two targets.
const moveCost = 3.0

// bestRun returns the run of chunks whose move brings the two sides closest together.
func bestRun(from, to *plannedCandidate) (chunkRun, bool) {
	gap := from.plannedUtilization - to.plannedUtilization
	best, lowest, found := chunkRun{}, 1-minMoveGain, false
	for i := range from.chunks {
		r := chunkRun{Chunk: Chunk{Span: from.chunks[i].Span}, first: i}
		for j := i; j < len(from.chunks); j++ {
			c := from.chunks[j]
			if j > i && c.From != r.To+1 {
				break
			}
			r.To, r.Rate, r.last = c.To, r.Rate+c.Rate, j
			r.remainingGap = max(from.plannedUtilization-r.Rate*from.slotsPerRate(), to.plannedUtilization+r.Rate*to.slotsPerRate()) - to.plannedUtilization
			if p := r.cost(gap); p < lowest {
				best, lowest, found = r, p, true
			}
		}
	}
	return best, found
}
