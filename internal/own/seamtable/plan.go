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
	Busy float64
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Service is the mean time that the target takes for a request, in seconds.
	Service float64
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
	service := c.Load.Service
	if service <= 0 {
		service = defaultService
	}
	return service / float64(max(c.Load.Slots, 1))
}

// use is the part of the target's slots that its keys take.
func (c Candidate) use() float64 { return c.Load.Rate * c.cost() }

// Part is a span that goes to a holder.
type Part struct {
	Span
	Holder Holder
}

// Fill divides the spans among the candidates: a candidate gets the more load
// the more of its slots are free. rates tells the load of the spans as far as
// it is known; keys without a known load count alike.
func Fill(spans []Span, candidates []Candidate, rates []Chunk) []Part {
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
	var parts []Part
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
			parts = appendPart(parts, Part{head.Span, candidates[i].Holder})
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
func appendPart(parts []Part, p Part) []Part {
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
			if !c.Meets(s) || c.To < next {
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
	work := make([]*bench, 0, len(candidates))
	for _, c := range candidates {
		work = append(work, &bench{Candidate: c, use: c.use(), chunks: slices.Clone(c.Load.Chunks)})
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

// bench is a candidate with the moves planned so far.
type bench struct {
	Candidate
	use    float64
	chunks []Chunk
}

func bestMove(work []*bench) (Move, bool) {
	if len(work) < 2 {
		return Move{}, false
	}
	from := slices.MaxFunc(work, func(a, b *bench) int { return cmp.Compare(a.use, b.use) })
	to := slices.MinFunc(work, func(a, b *bench) int { return cmp.Compare(a.use, b.use) })
	difference := from.use - to.use
	if from.use < calm || difference < gap {
		return Move{}, false
	}
	best, bestLeft := -1, difference*(1-leastGain)
	for i, c := range from.chunks {
		left := max(from.use-c.Rate*from.cost(), to.use+c.Rate*to.cost()) - to.use
		if left < bestLeft {
			best, bestLeft = i, left
		}
	}
	if best < 0 {
		return Move{}, false
	}
	c := from.chunks[best]
	from.chunks = slices.Delete(from.chunks, best, best+1)
	from.use -= c.Rate * from.cost()
	to.use += c.Rate * to.cost()
	return Move{Span: c.Span, From: from.Holder, To: to.Holder}, true
}
