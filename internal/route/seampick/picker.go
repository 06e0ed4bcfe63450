package seampick

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"cardamomseam/internal/member/seampeer"
)

// Config holds the settings of a picker. Zero fields take the defaults.
type Config struct {
	// Margin is the load, in shares of the slots, by which the own failure
	// domain must exceed the rest of the region before the rest is chosen.
	Margin float64
	// Cross is the load of the own region from which another region is chosen.
	CrossRegionLoad float64
	// Draw returns a random number in [0, n).
	RandomInt func(n int) int
}

const (
	defaultMargin = 0.05
	defaultCross  = 1.5
)

// Picker chooses among candidates. It is safe for concurrent use.
type Picker struct {
	cfg  Config
	self seampeer.Peer

	mu    sync.Mutex
	nodes map[key]*node

	ejections *metrics.Counter
	crossings *metrics.Counter
}

// New returns a picker for the node self.
func New(cfg Config, self seampeer.Peer, set *metrics.Set) *Picker {
	if cfg.Margin <= 0 {
		cfg.Margin = defaultMargin
	}
	if cfg.CrossRegionLoad <= 0 {
		cfg.CrossRegionLoad = defaultCross
	}
	if cfg.RandomInt == nil {
		cfg.RandomInt = rand.IntN
	}
	return &Picker{
		cfg:       cfg,
		self:      self,
		nodes:     map[key]*node{},
		ejections: set.NewCounter("cardamomseam_pick_ejections_total"),
		crossings: set.NewCounter("cardamomseam_pick_crossings_total"),
	}
}

// Pick chooses among the candidates that satisfy targets, are not draining and
// are not skipped. It reports whether there is one.
func (p *Picker) Pick(now time.Time, all []Candidate, targets LabelMatcher, skip func(seampeer.Peer) bool) (Candidate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var healthy, ejected sample
	for i := range all {
		c := &all[i]
		if !eligible(c, targets, skip) {
			continue
		}
		n := p.nodes[keyOf(c.Peer)]
		pool := &healthy
		if n != nil && n.health.ejected(now) {
			pool = &ejected
		}
		pool.add(distanceOf(p.self, c.Peer), choice{c, n.load(now, *c)}, p.cfg.RandomInt)
	}
	if p.belowFloor(healthy.seen, ejected.seen) {
		healthy = ejected
	}
	best := p.nearest(&healthy)
	if best.candidate == nil {
		return Candidate{}, false
	}
	return *best.candidate, true
}

// Anchor chooses the candidate in the region with the highest hash of the id,
// so that duplicates of a request meet at one node.
func (p *Picker) PickByHash(id, region string, all []Candidate, targets LabelMatcher, skip func(seampeer.Peer) bool) (Candidate, bool) {
	var best *Candidate
	var highest uint64
	for i := range all {
		c := &all[i]
		if c.Peer.Region != region || !eligible(c, targets, skip) {
			continue
		}
		h := xxhash.Sum64String(id + "\x00" + c.Peer.String())
		if best == nil || h > highest {
			best, highest = c, h
		}
	}
	if best == nil {
		return Candidate{}, false
	}
	return *best, true
}

func eligible(c *Candidate, targets LabelMatcher, skip func(seampeer.Peer) bool) bool {
	if c.Draining || skip != nil && skip(c.Peer) {
		return false
	}
	return targets == nil || targets.Matches(c.Labels)
}

// belowFloor reports whether an ejected node must be chosen now, so that the
// share of nodes without requests stays below the floor.
func (p *Picker) belowFloor(healthy, ejected int) bool {
	all := healthy + ejected
	if ejected == 0 || float64(ejected) <= ejectFloor*float64(all) {
		return healthy == 0
	}
	return p.cfg.RandomInt(all) < ejected
}

// nearest weighs distance against load: the own failure domain unless the rest
// of the region is clearly less loaded, another region only when the own is full.
func (p *Picker) nearest(s *sample) choice {
	best := s.best(sameDomain, p.cfg.RandomInt)
	if rest := s.best(sameRegion, p.cfg.RandomInt); rest.better(best, p.cfg.Margin) {
		best = rest
	}
	far := s.best(otherRegion, p.cfg.RandomInt)
	if best.candidate != nil && (best.load < p.cfg.CrossRegionLoad || !far.better(best, 0)) {
		return best
	}
	if far.candidate != nil {
		p.crossings.Inc()
		return far
	}
	return best
}

// Sent counts a request on its way to the peer.
func (p *Picker) Sent(now time.Time, peer seampeer.Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.nodes[keyOf(peer)]
	if n == nil {
		p.sweep(now)
		n = new(node)
		p.nodes[keyOf(peer)] = n
	}
	n.own++
	n.used = now
}

// Result is how a request to a peer ended.
type Result struct {
	// Known says that InFlight and Slots were reported.
	Reported        bool
	InFlight, Slots int
	// Failed says that the node or its target failed, rather than refused.
	Failed bool
}

// Ended takes the end of a request counted by Sent into account and reports
// whether the peer is ejected because of it.
func (p *Picker) Ended(now time.Time, peer seampeer.Peer, r Result) (ejected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.nodes[keyOf(peer)]
	if n == nil {
		return false
	}
	n.own--
	if r.Reported {
		n.reported, n.slots, n.ownThen, n.at = r.InFlight, r.Slots, n.own, now
	}
	ejected = n.health.report(now, !r.Failed)
	if ejected {
		p.ejections.Inc()
	}
	return ejected
}

func (p *Picker) sweep(now time.Time) {
	if len(p.nodes) < sweepSize {
		return
	}
	for k, n := range p.nodes {
		if n.own == 0 && now.Sub(n.used) > nodeLife {
			delete(p.nodes, k)
		}
	}
}
