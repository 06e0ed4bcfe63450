package seamtable

import (
	"cmp"
	"slices"
)

const (
	// defaultService is the time of a request at a target that has not run any, in seconds.
	defaultService = 0.1
	// spareFloor is the least part of its slots that a target is taken to have
	// free, so that each target can be given keys.
	spareFloor = 0.05
	// calm is the use of a target below which no keys are moved away from it.
	calm = 0.55
	// gap is the difference in use between two targets from which keys are moved.
	gap = 0.2
	// leastGain is the part of the difference that a move must remove.
	leastGain = 0.15
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
func (c Candidate) cost() float64 {
	service := c.Load.ServiceTime
	if service <= 0 {
		service = defaultService
	}
	return service / float64(max(c.Load.Slots, 1))
}

// Capacity is the number of requests a second that the target can take.
func (c Candidate) Capacity() float64 { return 1 / c.cost() }

// use is the part of the target's slots that its keys take.
func (c Candidate) use() float64 { return c.Load.Rate * c.cost() }

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
	pieces := weigh(spans, rates)
	total := 0.0
	for _, p := range pieces {
		total += p.Rate
	}
	var parts []Assignment
	quotas := quotas(candidates, total)
	i, left := 0, quotas[0]
	for _, p := range pieces {
		for p.Rate > 0 {
			if left <= 0 && i < len(candidates)-1 {
				i++
				left = quotas[i]
				continue
			}
			head, rest, more := p.cut(left, i == len(candidates)-1)
			parts = appendPart(parts, Assignment{head.Span, candidates[i].Holder})
			left -= head.Rate
			if !more {
				break
			}
			p = rest
		}
	}
	return parts
}

// quotas divides the total load by the free slots of the candidates.
func quotas(candidates []Candidate, total float64) []float64 {
	spare := make([]float64, len(candidates))
	sum := 0.0
	for i, c := range candidates {
		spare[i] = max(1-c.use(), spareFloor) / c.cost()
		sum += spare[i]
	}
	for i := range spare {
		spare[i] *= total / sum
	}
	return spare
}

// cut splits off the head of a chunk that carries about the given load, at least one key.
func (c Chunk) cut(load float64, whole bool) (head, rest Chunk, more bool) {
	keys := c.Len()
	n := int(float64(keys)*load/c.Rate + 0.5)
	n = max(n, 1)
	if whole || n >= keys {
		return c, Chunk{}, false
	}
	part := c.Rate * float64(n) / float64(keys)
	head = Chunk{Span{c.From, c.From + uint32(n) - 1}, part}
	rest = Chunk{Span{c.From + uint32(n), c.To}, c.Rate - part}
	return head, rest, true
}

// appendPart adds a part, joined to the last one if it continues it.
func appendPart(parts []Assignment, p Assignment) []Assignment {
	if n := len(parts); n > 0 && parts[n-1].Holder == p.Holder && parts[n-1].To+1 == p.From {
		parts[n-1].To = p.To
		return parts
	}
	return append(parts, p)
}

// keyFloor is the load that each key counts for at least, in requests a second.
const keyFloor = 1e-4

// weigh splits the spans at the borders of the known chunks and gives each piece its load.
func weigh(spans []Span, rates []Chunk) []Chunk {
	rates = slices.Clone(rates)
	slices.SortFunc(rates, func(a, b Chunk) int { return cmp.Compare(a.From, b.From) })
	var pieces []Chunk
	for _, s := range spans {
		next := s.From
		for _, c := range rates {
			if !c.Overlaps(s) || c.To < next {
				continue
			}
			if c.From > next {
				pieces = append(pieces, floorChunk(Span{next, c.From - 1}, 0))
			}
			inside := Span{max(c.From, next), min(c.To, s.To)}
			pieces = append(pieces, floorChunk(inside, c.Rate*float64(inside.Len())/float64(c.Len())))
			next = inside.To + 1
		}
		if next <= s.To {
			pieces = append(pieces, floorChunk(Span{next, s.To}, 0))
		}
	}
	return pieces
}

func floorChunk(s Span, rate float64) Chunk {
	return Chunk{s, rate + keyFloor*float64(s.Len())}
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
	work := make([]*side, 0, len(candidates))
	for _, c := range candidates {
		work = append(work, &side{Candidate: c, used: c.use(), chunks: slices.Clone(c.Load.Chunks)})
	}
	var moves []Move
	for len(moves) < limit {
		m, ok := bestMove(work)
		if !ok {
			break
		}
		moves = append(moves, m)
	}
	return moves
}

// side is a candidate with the moves planned so far.
type side struct {
	Candidate
	used   float64
	chunks []Chunk
}

// bestMove takes keys from the busiest candidate to the least busy one.
func bestMove(work []*side) (Move, bool) {
	if len(work) < 2 {
		return Move{}, false
	}
	from := slices.MaxFunc(work, func(a, b *side) int { return cmp.Compare(a.used, b.used) })
	to := slices.MinFunc(work, func(a, b *side) int { return cmp.Compare(a.used, b.used) })
	if from.used < calm || from.used-to.used < gap {
		return Move{}, false
	}
	r, ok := bestRun(from, to)
	if !ok {
		return Move{}, false
	}
	from.chunks = slices.Delete(from.chunks, r.first, r.last+1)
	from.used -= r.Rate * from.cost()
	to.used += r.Rate * to.cost()
	return Move{Span: r.Span, From: from.Holder, To: to.Holder}, true
}

// run is a number of neighbouring chunks.
type run struct {
	Chunk
	first, last int
	// left is the use of the busier of both sides after the move, above that of the other before it.
	left float64
}

// price is what is left of the difference after the move, and the cost of moving so many keys.
func (r run) price(difference float64) float64 {
	return r.left/difference + keyPrice*float64(r.Len())/Keys
}

// keyPrice is the cost of moving all keys, in parts of the difference in use between two targets.
const keyPrice = 3.0

// bestRun returns the run of chunks whose move brings the two sides closest together.
func bestRun(from, to *side) (run, bool) {
	difference := from.used - to.used
	best, lowest, found := run{}, 1-leastGain, false
	for i := range from.chunks {
		r := run{Chunk: Chunk{Span: from.chunks[i].Span}, first: i}
		for j := i; j < len(from.chunks); j++ {
			c := from.chunks[j]
			if j > i && c.From != r.To+1 {
				break
			}
			r.To, r.Rate, r.last = c.To, r.Rate+c.Rate, j
			r.left = max(from.used-r.Rate*from.cost(), to.used+r.Rate*to.cost()) - to.used
			if p := r.price(difference); p < lowest {
				best, lowest, found = r, p, true
			}
		}
	}
	return best, found
}
