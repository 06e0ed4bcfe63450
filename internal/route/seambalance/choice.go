// Package seambalance chooses the node to which a request without a key goes. For each target it
// estimates what the answer would be worth: whether it comes within the objective, whether
// the target answers well, and what it costs to send the request there.
//
// It answers three loads: targets of different speed behind equal numbers of slots, targets that
// slow down or fail a part of their requests, and a failure domain with more requests than its
// target can take.
package seambalance

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seampick"
)

// Config weighs the choice. Zero fields take the defaults.
type Config struct {
	// Kilobyte is what a kilobyte costs that is sent to another failure domain, as a part of the worth
	// of a prompt answer.
	CostPerKilobyte float64
	// Region is the factor on Kilobyte for another region.
	CrossRegionFactor float64
	// Draw returns a random number in [0, 1).
	Random func() float64
}

const (
	defaultKilobyte = 0.05
	defaultRegion   = 1.25
	// headBytes is the size of a request and its answer besides the body of the request, in bytes.
	headBytes = 1500
	// lateWorth is what an answer after the objective is worth, as a part of a prompt one.
	lateWorth = 0.2
	// steepness is the exponent of the curve that gives the chance of a prompt answer.
	steepness = 3.5
	// domainTime, regionTime and farTime are the times to another node and back, in seconds: in the
	// own failure domain, in the own region, and in another region.
	domainTime = 0.001
	regionTime = 0.002
	farTime    = 0.026
	// defaultWork is the time of a request, in seconds, as long as it is known of no target of the service.
	defaultWork = 0.1
	// usualObjective and usualDeadline stand in where a request states none, in seconds.
	usualObjective = 0.5
	usualDeadline  = 2.0
	// noise is the largest random addition to a worth, so that equal targets share the load.
	noise = 0.01
)

// Query is what is known of a request.
type Query struct {
	// Class groups requests of alike work.
	Class uint32
	// Bytes is the size of the body.
	Bytes int64
	// Objective and Deadline are the times left, or 0.
	Objective, Deadline time.Duration
}

// Chooser chooses among candidates. It is safe for concurrent use.
type Balancer struct {
	cfg  Config
	self seampeer.Peer

	mu    sync.Mutex
	nodes map[key]*node

	ejections *metrics.Counter
	crossings *metrics.Counter
}

// New returns a chooser for the node self.
func New(cfg Config, self seampeer.Peer, set *metrics.Set) *Balancer {
	if cfg.CostPerKilobyte == 0 {
		cfg.CostPerKilobyte = defaultKilobyte
	}
	if cfg.CrossRegionFactor == 0 {
		cfg.CrossRegionFactor = defaultRegion
	}
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	return &Balancer{
		cfg:       cfg,
		self:      self,
		nodes:     map[key]*node{},
		ejections: set.NewCounter("cardamomseam_choice_ejections_total"),
		crossings: set.NewCounter("cardamomseam_choice_crossings_total"),
	}
}

// Pick returns the candidate at which the request is worth most, among those that are not
// leaving and not skipped. Nodes that can't be reached are chosen only if there is no other.
func (c *Balancer) Pick(now time.Time, all []seampick.Candidate, q Query, skip func(seampeer.Peer) bool) (seampick.Candidate, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	usual := c.usualWork(all, q.Class)
	var best seampick.Candidate
	highest, found := math.Inf(-1), false
	for _, candidate := range all {
		if candidate.Draining || skip != nil && skip(candidate.Peer) {
			continue
		}
		w := c.worth(now, candidate, usual, q) + c.cfg.Random()*noise
		if w > highest {
			best, highest, found = candidate, w, true
		}
	}
	if found && best.Peer.Domain != c.self.Domain {
		c.crossings.Inc()
	}
	return best, found
}

// unreachable is what a node that can't be reached is worth less.
const unreachable = 100

// usualWork returns the time of a request of a class, in seconds, that is expected of a target of which
// it is not known: the median of the known ones, so that a target that joined gets its share, and a
// single slow target does not count.
func (c *Balancer) usualWork(all []seampick.Candidate, class uint32) float64 {
	var known []float64
	for _, candidate := range all {
		if n := c.nodes[keyOf(candidate.Peer)]; n != nil && n.work[class].mean > 0 {
			known = append(known, n.work[class].mean)
		}
	}
	if len(known) == 0 {
		return defaultWork
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}

// worth estimates what the answer of a candidate is worth, less the cost of the way. A target of
// which it is not known takes the usual time, in seconds.
func (c *Balancer) worth(now time.Time, candidate seampick.Candidate, usual float64, q Query) float64 {
	n := c.nodes[keyOf(candidate.Peer)]
	way, cost := c.way(candidate.Peer, q)
	took := way + n.expected(now, candidate.Slots, q.Class, usual)
	prompt := chance(took, left(q.Objective, usualObjective))
	late := max(chance(took, left(q.Deadline, usualDeadline))-prompt, 0)
	w := n.goodness(now)*(prompt+lateWorth*late) - cost
	if n != nil && n.health.Ejected(now) {
		w -= unreachable
	}
	return w
}

// way returns the time to a peer and back, in seconds, and the cost of a request.
func (c *Balancer) way(p seampeer.Peer, q Query) (took, cost float64) {
	kilobytes := float64(headBytes+max(q.Bytes, 0)) / 1000
	switch {
	case p.Same(c.self):
		return 0, 0
	case p.Domain == c.self.Domain:
		return domainTime, 0
	case p.Region == c.self.Region:
		return regionTime, kilobytes * c.cfg.CostPerKilobyte
	default:
		return farTime, kilobytes * c.cfg.CostPerKilobyte * c.cfg.CrossRegionFactor
	}
}

// chance returns the chance that a request that takes so long on the mean ends in time, both in seconds.
func chance(mean, limit float64) float64 {
	if limit <= 0 {
		return 0
	}
	return 1 / (1 + math.Pow(mean/limit, steepness))
}

func left(d time.Duration, otherwise float64) float64 {
	if d == 0 {
		return otherwise
	}
	return d.Seconds()
}

// Sent counts a request on its way to the peer.
func (c *Balancer) Sent(now time.Time, peer seampeer.Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nodes[keyOf(peer)]
	if n == nil {
		c.sweep(now)
		n = newNode()
		c.nodes[keyOf(peer)] = n
	}
	n.own++
	n.used = now
}

// Ended takes the end of a request counted by Sent into account and reports whether the
// peer is not chosen for a while because of it.
func (c *Balancer) Ended(now time.Time, peer seampeer.Peer, r Result) (ejected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nodes[keyOf(peer)]
	if n == nil {
		return false
	}
	n.own--
	n.report(now, r)
	ejected = n.health.Report(now, !r.Unreachable)
	if ejected {
		c.ejections.Inc()
	}
	return ejected
}

func (c *Balancer) sweep(now time.Time) {
	if len(c.nodes) < sweepSize {
		return
	}
	for k, n := range c.nodes {
		if n.own == 0 && now.Sub(n.used) > nodeLife {
			delete(c.nodes, k)
		}
	}
}
