package seampick

// choice is a candidate with its load.
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

// sample keeps two random choices of each distance.
type reservoir struct {
	seen  int
	count [numDistances]int
	kept  [numDistances][2]choice
}

// add offers a choice; each of those offered is kept with equal probability.
func (s *reservoir) add(d distance, c choice, randomInt func(int) int) {
	s.seen++
	n := s.count[d]
	s.count[d]++
	if n < len(s.kept[d]) {
		s.kept[d][n] = c
		return
	}
	if i := randomInt(n + 1); i < len(s.kept[d]) {
		s.kept[d][i] = c
	}
}

// best returns the less loaded of the two choices of a distance, or either if
// they are equal.
func (s *reservoir) best(d distance, randomInt func(int) int) choice {
	a, b := s.kept[d][0], s.kept[d][1]
	if b.candidate != nil && randomInt(len(s.kept[d])) == 1 {
		a, b = b, a
	}
	if b.better(a, 0) {
		return b
	}
	return a
}
