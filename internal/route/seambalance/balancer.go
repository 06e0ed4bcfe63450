// Package seambalance is the load balancer for requests without a key. For each candidate it estimates
// the utility of sending the request there, from the expected latency against the latency objective,
// the target's failure rate and the network cost, and it picks the candidate with the highest.
//
// It handles three cases: targets of different speed with the same number of slots, targets that slow
// down or fail some of their requests, and a failure domain with more load than its target can serve.
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

// Config holds the weights of a Balancer. Zero fields take the defaults.
type Config struct {
	// Policy is the way of choosing; empty means Utility.
	Policy Policy
	// CostPerKilobyte is the cost of sending a kilobyte to another failure domain, as a fraction of the
	// utility of a response within the objective.
	CostPerKilobyte float64
	// CrossRegionFactor multiplies CostPerKilobyte for another region.
	CrossRegionFactor float64
	// Random returns a random number in [0, 1).
	Random func() float64
}

const (
	defaultCostPerKilobyte   = 0.05
	defaultCrossRegionFactor = 1.25
	// overheadBytes is the size of a request and its response without the request body, in bytes.
	overheadBytes = 1500
	// lateUtility is the utility of a response after the objective; one within it has a utility of 1.
	lateUtility = 0.2
	// sameDomainRTT, sameRegionRTT and crossRegionRTT are the assumed round-trip times to a node in the same
	// failure domain, in the same region and in another region, in seconds.
	sameDomainRTT  = 0.001
	sameRegionRTT  = 0.002
	crossRegionRTT = 0.026
	// defaultServiceTime is assumed, in seconds, while no target of the service has a known service time.
	defaultServiceTime = 0.1
	// defaultObjective and defaultDeadline apply to requests that set none, in seconds.
	defaultObjective = 0.5
	defaultDeadline  = 2.0
	// maxJitter is the largest random amount added to a utility, so that equal targets share the load.
	maxJitter = 0.01
)

// Query describes the request to be balanced.
type Query struct {
	// Class groups requests that take a similar amount of work.
	Class uint32
	// Bytes is the size of the request body.
	Bytes int64
	// Objective and Deadline are the times left until each, or 0 if the request sets none.
	Objective, Deadline time.Duration
}

// Balancer picks a node for each request. It is safe for concurrent use.
type Balancer struct {
	cfg  Config
	self seampeer.Peer

	mu    sync.Mutex
	nodes map[key]*node
	// lookups holds the states of the candidates in each list passed to Pick, by the list's first element.
	lookups map[*seampick.Candidate][]*node
	// times is a buffer of Pick.
	times []float64
	// even is nil unless the policy is Even.
	even *even

	ejections *metrics.Counter
	crossings *metrics.Counter
}

// New returns a Balancer for the node self.
func New(cfg Config, self seampeer.Peer, set *metrics.Set) *Balancer {
	if cfg.CostPerKilobyte == 0 {
		cfg.CostPerKilobyte = defaultCostPerKilobyte
	}
	if cfg.CrossRegionFactor == 0 {
		cfg.CrossRegionFactor = defaultCrossRegionFactor
	}
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	b := &Balancer{
		cfg:       cfg,
		self:      self,
		nodes:     map[key]*node{},
		lookups:   map[*seampick.Candidate][]*node{},
		ejections: set.NewCounter("cardamomseam_choice_ejections_total"),
		crossings: set.NewCounter("cardamomseam_choice_crossings_total"),
	}
	if cfg.Policy == Even {
		b.even = newEven(set, &b.mu)
	}
	return b
}

// Pick returns the candidate that the policy prefers among those that are neither draining nor skipped.
// Unreachable nodes are picked only if there is no other. The elements of all must not change afterwards.
func (b *Balancer) Pick(now time.Time, all []seampick.Candidate, q Query, skip func(seampeer.Peer) bool) (seampick.Candidate, bool) {
	var buffer [128]bool
	var skipped []bool
	if b.even != nil {
		skipped = skippedCandidates(all, skip, buffer[:0])
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var best int
	if b.even != nil {
		best = b.pickEven(now, all, q, skipped)
	} else {
		best = b.pickByUtility(now, all, q, skip)
	}
	if best < 0 {
		return seampick.Candidate{}, false
	}
	if all[best].Peer.Domain != b.self.Domain {
		b.crossings.Inc()
	}
	return all[best], true
}

// pickByUtility returns the index of the candidate with the highest utility, -1 if there is none.
func (b *Balancer) pickByUtility(now time.Time, all []seampick.Candidate, q Query, skip func(seampeer.Peer) bool) int {
	nodes := b.findNodes(all)
	median := b.medianServiceTime(nodes, q.Class)
	best, highest := -1, math.Inf(-1)
	for i := range all {
		candidate := &all[i]
		if candidate.Draining || skip != nil && skip(candidate.Peer) {
			continue
		}
		u := b.utility(now, candidate, nodes[i], median, q) + b.cfg.Random()*maxJitter
		if u > highest {
			best, highest = i, u
		}
	}
	return best
}

// maxLookups is the number of lists of candidates whose states are kept.
const maxLookups = 16

// findNodes returns the state of each candidate, nil if there is none.
func (b *Balancer) findNodes(all []seampick.Candidate) []*node {
	if len(all) == 0 {
		return nil
	}
	if nodes, ok := b.lookups[&all[0]]; ok && len(nodes) == len(all) {
		return nodes
	}
	nodes := make([]*node, len(all))
	for i := range all {
		nodes[i] = b.nodes[keyOf(all[i].Peer)]
	}
	if len(b.lookups) >= maxLookups {
		clear(b.lookups)
	}
	b.lookups[&all[0]] = nodes
	return nodes
}

// unreachablePenalty is subtracted from the utility of an unreachable node.
const unreachablePenalty = 100

// medianServiceTime returns the median of the known service times of the class, in seconds. It is assumed for
// targets without a known time, so that a new target gets its share and one slow target has no influence.
func (b *Balancer) medianServiceTime(nodes []*node, class uint32) float64 {
	b.times = b.times[:0]
	for _, n := range nodes {
		if n == nil {
			continue
		}
		if t := n.classService[class]; t.mean > 0 {
			b.times = append(b.times, t.mean)
		}
	}
	if len(b.times) == 0 {
		return defaultServiceTime
	}
	slices.Sort(b.times)
	return b.times[(len(b.times)-1)/2]
}

// utility estimates the utility of sending the request to the candidate, less the network cost. n is the candidate's
// state, which may be nil. median is the service time assumed for a target without a known one, in seconds.
func (b *Balancer) utility(now time.Time, candidate *seampick.Candidate, n *node, median float64, q Query) float64 {
	rtt, cost := b.networkCost(&candidate.Peer, q)
	latency := rtt + n.expectedLatency(now, candidate.Slots, q.Class, median)
	prompt := completionProbability(latency, secondsOr(q.Objective, defaultObjective))
	late := max(completionProbability(latency, secondsOr(q.Deadline, defaultDeadline))-prompt, 0)
	u := n.successRate(now)*(prompt+lateUtility*late) - cost
	if n != nil && n.health.Ejected(now) {
		u -= unreachablePenalty
	}
	return u
}

// networkCost returns the round-trip time to a peer, in seconds, and the cost of sending the request.
func (b *Balancer) networkCost(p *seampeer.Peer, q Query) (rtt, cost float64) {
	kilobytes := float64(overheadBytes+max(q.Bytes, 0)) / 1000
	switch {
	case p.Domain == b.self.Domain && p.Same(b.self):
		return 0, 0
	case p.Domain == b.self.Domain:
		return sameDomainRTT, 0
	case p.Region == b.self.Region:
		return sameRegionRTT, kilobytes * b.cfg.CostPerKilobyte
	default:
		return crossRegionRTT, kilobytes * b.cfg.CostPerKilobyte * b.cfg.CrossRegionFactor
	}
}

// completionProbability returns the probability that a request with the given mean latency completes within
// the limit, both in seconds.
func completionProbability(mean, limit float64) float64 {
	if limit <= 0 {
		return 0
	}
	x := mean / limit
	// The exponent 3.5 sets how steeply the probability falls around the limit. It is written out since math.Pow takes
	// much longer, and this runs for each candidate.
	return 1 / (1 + x*x*x*math.Sqrt(x))
}

func secondsOr(d time.Duration, fallback float64) float64 {
	if d == 0 {
		return fallback
	}
	return d.Seconds()
}

// Sent counts a request that is sent to the peer.
func (b *Balancer) Sent(now time.Time, peer seampeer.Peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.nodes[keyOf(peer)]
	if n == nil {
		b.sweep(now)
		n = newNode()
		b.nodes[keyOf(peer)] = n
		clear(b.lookups)
	}
	n.ownInFlight++
	n.lastUsed = now
}

// Ended records the result of a request counted by Sent. It reports whether the peer is ejected because of it.
func (b *Balancer) Ended(now time.Time, peer seampeer.Peer, r Result) (ejected bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.nodes[keyOf(peer)]
	if n == nil {
		return false
	}
	n.ownInFlight--
	n.report(now, r)
	ejected = n.health.Report(now, !r.Unreachable)
	if ejected {
		b.ejections.Inc()
	}
	return ejected
}

func (b *Balancer) sweep(now time.Time) {
	if len(b.nodes) < sweepThreshold {
		return
	}
	for k, n := range b.nodes {
		if n.ownInFlight == 0 && now.Sub(n.lastUsed) > nodeTTL {
			delete(b.nodes, k)
			clear(b.lookups)
		}
	}
}
