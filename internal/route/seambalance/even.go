package seambalance

import (
	"math"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seampick"
)

// Policy is a way of choosing among the candidates.
type Policy string

const (
	// Utility picks the candidate with the highest utility by the last reports.
	Utility Policy = "utility"
	// Even forecasts the load of each candidate from the last reports and adds noise in proportion to the errors of its
	// forecasts, so that nodes with the same reports spread their requests.
	Even Policy = "even"
)

const (
	// fillCost is subtracted from the utility in proportion to the share of slots in use. For a request of 1.5 kB it is lower
	// than the difference of the network costs of the same and of another region, so that no request leaves the domain or the
	// region for a target that is only emptier.
	fillCost = 0.015
	// waitCost is subtracted from the utility for an expected wait as long as the objective, or as the deadline once the
	// objective has passed. A wait of less than a tenth of the objective outweighs the network cost of another domain or region
	// for a request of 1.5 kB.
	waitCost = 1
	// promptUtility is the utility above which targets count as equally prompt. Without it all nodes would prefer the
	// fastest targets and overload them.
	promptUtility = 0.9
	// noiseFactor scales the noise by the error of the forecasts, and noiseTrust is the part of it that full trust in them
	// removes. Less noise makes nodes with the same old reports choose the same target; more lengthens waits when reports are recent.
	noiseFactor = 0.3
	noiseTrust  = 0.7
	// averageWeight is the weight of the service's average fill in the long-term load of a target. The rest is that of the
	// target's own long-term load.
	averageWeight = 0.8
	// priorError and priorErrors are the squared error assumed before any forecast was compared, and its weight.
	priorError, priorErrors = 0.1, 2
	// priorTrust and priorTrustWeight are the trust in forecasts before any was compared, and its weight.
	priorTrust, priorTrustWeight = 0.7, 0.5
	// medianTTL is the time for which the median service time of a service is kept.
	medianTTL = 100 * time.Millisecond
	// maxMedians bounds the kept medians, since each keeps its list of candidates in memory.
	maxMedians = 128
	// rankSample is the number of picks of which one is ranked for the metrics, since ranking scores all candidates again.
	rankSample = 64
)

// even is the state of the policy Even.
type even struct {
	medians map[medianKey]cachedMedian
	picks   int
	trust   float64
	noise   float64
	ranks   [len(rankBounds) + 1]*metrics.Counter
}

type medianKey struct {
	first *seampick.Candidate
	class uint32
}

type cachedMedian struct {
	seconds float64
	at      time.Time
}

// rankBounds are the highest ranks of the buckets of the metric; the best candidate by the forecasts alone has rank 1.
var rankBounds = [...]int{1, 3, 10}

// newEven returns the state and registers its metrics, which are read under the lock of the Balancer.
func newEven(set *metrics.Set, mu *sync.Mutex) *even {
	e := &even{medians: map[medianKey]cachedMedian{}}
	for i, name := range [...]string{"1", "2-3", "4-10", "above"} {
		e.ranks[i] = set.NewCounter(`cardamomseam_choice_rank_total{rank="` + name + `"}`)
	}
	read := func(value *float64) func() float64 {
		return func() float64 {
			mu.Lock()
			defer mu.Unlock()
			return *value
		}
	}
	set.NewGauge("cardamomseam_choice_trust", read(&e.trust))
	set.NewGauge("cardamomseam_choice_noise", read(&e.noise))
	return e
}

// draws are the logarithms of numbers with exponential distribution, by which equal targets are picked in proportion to their
// speed. They are a table because two logarithms for each candidate would dominate the cost of a pick.
var draws = func() (t [1024]float64) {
	for i := range t {
		t[i] = math.Log(-math.Log(1 - (float64(i)+0.5)/float64(len(t))))
	}
	return t
}()

// drawsPerRandom is the number of draws from one random number of 53 bits; each takes 10 of them.
const drawsPerRandom = 4

// view is what the scores of all candidates of one pick have in common. Times are in seconds.
type view struct {
	now                         time.Time
	seconds                     float64
	query                       Query
	objective, deadline, median float64
	// waitScale is the time to which waits are compared: the objective, or the deadline once the objective has passed.
	waitScale float64
	// average is the mean fill of the targets by the requests of other nodes.
	average float64
	// trust, from 0 to 1, is the share of a forecast deviation from the average that is observed later.
	trust float64
	// noise is the scale of the random part of a fill.
	noise float64
}

// pickEven picks by the policy Even among the candidates that are not skipped.
func (b *Balancer) pickEven(now time.Time, all []seampick.Candidate, q Query, skipped []bool) int {
	nodes := b.findNodes(all)
	v := b.newView(now, all, nodes, q)
	best, highest, random := -1, math.Inf(-1), 0.0
	for i := range all {
		if i%drawsPerRandom == 0 {
			random = b.cfg.Random()
		}
		random *= float64(len(draws))
		draw := draws[int(random)]
		random -= math.Floor(random)
		if skipped[i] {
			continue
		}
		if u := b.score(&v, &all[i], nodes[i], draw); u > highest {
			best, highest = i, u
		}
	}
	e := b.even
	e.trust, e.noise = v.trust, v.noise
	if e.picks++; e.picks%rankSample == 0 && best >= 0 {
		b.countRank(v, all, nodes, skipped, best)
	}
	return best
}

// newView returns the view of the candidates.
func (b *Balancer) newView(now time.Time, all []seampick.Candidate, nodes []*node, q Query) view {
	others, slots := 0.0, 0.0
	sum := forecastErrors{samples: priorErrors, squared: priorErrors * priorError, variance: priorTrustWeight, covariance: priorTrustWeight * priorTrust}
	for _, n := range nodes {
		if n == nil || n.slots == 0 {
			continue
		}
		others += n.others
		slots += float64(n.slots)
		sum.add(n.errors)
	}
	v := view{now: now, seconds: secondsOf(now), query: q, objective: secondsOr(q.Objective, defaultObjective), deadline: secondsOr(q.Deadline, defaultDeadline)}
	switch {
	case v.objective > 0:
		v.waitScale = v.objective
	case v.deadline > 0:
		v.waitScale = v.deadline
	default:
		v.waitScale = defaultDeadline
	}
	v.median = b.cachedMedian(now, all, nodes, q.Class)
	if slots > 0 {
		v.average = others / slots
	}
	v.trust = min(max(sum.covariance/sum.variance, 0), 1)
	rms := math.Sqrt(sum.squared / sum.samples)
	v.noise = noiseFactor * rms * math.Sqrt(rms) * (1 - noiseTrust*v.trust)
	return v
}

// score returns the utility of the candidate by its forecast load, with noise in proportion to draw. It stores the average of
// the service in n, with which the next report is compared.
func (b *Balancer) score(v *view, candidate *seampick.Candidate, n *node, draw float64) float64 {
	rtt, cost := b.networkCost(&candidate.Peer, v.query)
	slots, service, mean := float64(max(candidate.Slots, 1)), v.median, v.median
	load, wait := v.average*slots, 0.0
	if n != nil {
		service = n.classServiceTime(v.seconds, v.query.Class, v.median)
		mean = n.meanServiceOr(service)
		if n.slots > 0 {
			slots = float64(n.slots)
		}
		n.average = v.average
		load, wait = n.forecast(v.seconds, slots, v.trust), n.statedWait(v.now)
	}
	fill := (load + 1) / slots
	if draw != 0 {
		// The quotient is within 0.1 of the logarithm of service/median up to a factor of three.
		fill += v.noise * (draw + 2*(service-v.median)/(service+v.median))
	}
	wait = max(wait, (fill-1)*mean)
	latency := rtt + wait + service
	u := n.successRate(v.now)*v.promptness(latency) - cost
	u -= fillCost*min(max(fill, -1), 1) + waitCost*wait/v.waitScale
	if n != nil && !n.health.ejectedUntil.IsZero() && n.health.Ejected(v.now) {
		u -= unreachablePenalty
	}
	return u
}

// promptness returns the utility of a response after the latency, in seconds, at most promptUtility.
func (v *view) promptness(latency float64) float64 {
	// Within half of the objective the probability of a prompt response is at least 0.91.
	if latency*2 < v.objective {
		return promptUtility
	}
	prompt := completionProbability(latency, v.objective)
	late := max(completionProbability(latency, v.deadline)-prompt, 0)
	return min(prompt+lateUtility*late, promptUtility)
}

// cachedMedian returns the median service time. It is cached because finding it takes longer than a pick.
func (b *Balancer) cachedMedian(now time.Time, all []seampick.Candidate, nodes []*node, class uint32) float64 {
	if len(all) == 0 {
		return defaultServiceTime
	}
	k := medianKey{&all[0], class}
	known, ok := b.even.medians[k]
	if age := now.Sub(known.at); ok && age >= 0 && age < medianTTL {
		return known.seconds
	}
	if !ok && len(b.even.medians) >= maxMedians {
		clear(b.even.medians)
	}
	known = cachedMedian{b.medianServiceTime(nodes, class), now}
	b.even.medians[k] = known
	return known.seconds
}

// countRank counts the rank of the picked candidate by the scores without noise.
func (b *Balancer) countRank(v view, all []seampick.Candidate, nodes []*node, skipped []bool, picked int) {
	u, rank := b.score(&v, &all[picked], nodes[picked], 0), 1
	for i := range all {
		if !skipped[i] && b.score(&v, &all[i], nodes[i], 0) > u {
			rank++
		}
	}
	bucket := 0
	for bucket < len(rankBounds) && rank > rankBounds[bucket] {
		bucket++
	}
	b.even.ranks[bucket].Inc()
}

// skippedCandidates reports for each candidate whether it must not be picked. It runs without the lock, since skip is the caller's.
func skippedCandidates(all []seampick.Candidate, skip func(seampeer.Peer) bool, buffer []bool) []bool {
	for i := range all {
		buffer = append(buffer, all[i].Draining || skip != nil && skip(all[i].Peer))
	}
	return buffer
}
