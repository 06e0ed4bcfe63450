package seampick

// choice is a candidate and its load.
type choice struct {
	candidate *Candidate
	load      float64
}

// better reports whether c is less loaded than o by more than the margin.
func (c choice) better(o choice, margin float64) bool {
	if c.candidate == nil {
		return false
	}
	return o.candidate == nil || c.load+margin < o.load
}

// reservoir samples two random choices for each distance (reservoir sampling).
type reservoir struct {
	seen  int
	count [numDistances]int
	kept  [numDistances][2]choice
}

// add offers a choice. Each offered choice is kept with equal probability.
func (r *reservoir) add(d distance, c choice, randomInt func(int) int) {
	r.seen++
	n := r.count[d]
	r.count[d]++
	if n < len(r.kept[d]) {
		r.kept[d][n] = c
		return
	}
	if i := randomInt(n + 1); i < len(r.kept[d]) {
		r.kept[d][i] = c
	}
}

// best returns the less loaded of the two choices of a distance, or a random one
// if their loads are equal.
func (r *reservoir) best(d distance, randomInt func(int) int) choice {
	a, b := r.kept[d][0], r.kept[d][1]
	if b.candidate != nil && randomInt(len(r.kept[d])) == 1 {
		a, b = b, a
	}
	if b.better(a, 0) {
		return b
	}
	return a
}
