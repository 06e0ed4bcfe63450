package seampick

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"cardamomseam/internal/member/seampeer"
)

// Config holds the settings of a Picker. Zero fields take the defaults.
type Config struct {
	// Margin is the load, as a fraction of the slots, by which the local failure
	// domain must exceed the rest of the region before the rest is picked.
	Margin float64
	// CrossRegionLoad is the load of the local region from which another region is picked.
	CrossRegionLoad float64
	// RandomInt returns a random number in [0, n).
	RandomInt func(n int) int
}

const (
	defaultMargin          = 0.05
	defaultCrossRegionLoad = 1.5
)

// Picker picks a node for each request. It is safe for concurrent use.
type Picker struct {
	cfg  Config
	self seampeer.Peer

	mu    sync.Mutex
	nodes map[key]*node

	ejections *metrics.Counter
	crossings *metrics.Counter
}

// New returns a Picker for the node self.
func New(cfg Config, self seampeer.Peer, set *metrics.Set) *Picker {
	if cfg.Margin <= 0 {
		cfg.Margin = defaultMargin
	}
	if cfg.CrossRegionLoad <= 0 {
		cfg.CrossRegionLoad = defaultCrossRegionLoad
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

// Pick picks one of the candidates that match targets and are neither draining
// nor skipped. It reports whether there is one.
func (p *Picker) Pick(now time.Time, all []Candidate, targets LabelMatcher, skip func(seampeer.Peer) bool) (Candidate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var healthy, ejected reservoir
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
	if p.mustPickEjected(healthy.seen, ejected.seen) {
		healthy = ejected
	}
	best := p.pickByDistance(&healthy)
	if best.candidate == nil {
		return Candidate{}, false
	}
	return *best.candidate, true
}

// PickByHash picks a candidate in the region by rendezvous hashing of the id, so
// that duplicates of a request reach the same node.
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

// mustPickEjected reports whether an ejected node must be picked now. If more than
// maxEjectedShare of the nodes are ejected, they get their share of the requests, so that
// no more than maxEjectedShare of the nodes are left without requests.
func (p *Picker) mustPickEjected(healthy, ejected int) bool {
	all := healthy + ejected
	if ejected == 0 || float64(ejected) <= maxEjectedShare*float64(all) {
		return healthy == 0
	}
	return p.cfg.RandomInt(all) < ejected
}

// pickByDistance weighs distance against load. It picks the local failure domain
// unless the rest of the region is clearly less loaded, and another region only
// if the local one is full.
func (p *Picker) pickByDistance(r *reservoir) choice {
	best := r.best(sameDomain, p.cfg.RandomInt)
	if rest := r.best(sameRegion, p.cfg.RandomInt); rest.better(best, p.cfg.Margin) {
		best = rest
	}
	far := r.best(otherRegion, p.cfg.RandomInt)
	if best.candidate != nil && (best.load < p.cfg.CrossRegionLoad || !far.better(best, 0)) {
		return best
	}
	if far.candidate != nil {
		p.crossings.Inc()
		return far
	}
	return best
}

// Sent counts a request that is sent to the peer.
func (p *Picker) Sent(now time.Time, peer seampeer.Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.nodes[keyOf(peer)]
	if n == nil {
		p.sweep(now)
		n = new(node)
		p.nodes[keyOf(peer)] = n
	}
	n.ownInFlight++
	n.lastUsed = now
}

// Result describes how a request to a peer ended.
type Result struct {
	// Reported means that InFlight and Slots were reported.
	Reported        bool
	InFlight, Slots int
	// Failed means that the node or its target failed; a refusal is not a failure.
	Failed bool
}

// Ended records the result of a request counted by Sent. It reports whether the
// peer is ejected because of it.
func (p *Picker) Ended(now time.Time, peer seampeer.Peer, r Result) (ejected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.nodes[keyOf(peer)]
	if n == nil {
		return false
	}
	n.ownInFlight--
	if r.Reported {
		n.reportedInFlight, n.slots, n.ownAtReport, n.reportedAt = r.InFlight, r.Slots, n.ownInFlight, now
	}
	ejected = n.health.report(now, !r.Failed)
	if ejected {
		p.ejections.Inc()
	}
	return ejected
}

func (p *Picker) sweep(now time.Time) {
	if len(p.nodes) < sweepThreshold {
		return
	}
	for k, n := range p.nodes {
		if n.ownInFlight == 0 && now.Sub(n.lastUsed) > nodeTTL {
			delete(p.nodes, k)
		}
	}
}
