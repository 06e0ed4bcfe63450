package seambalance

import (
	"math"
	"time"

	"cardamomseam/internal/member/seampeer"
)

const (
	// waitLife is the time constant with which a reported wait is forgotten.
	waitDecay = 400 * time.Millisecond
	// workLife is the time constant with which the reported time of a request returns to the usual one.
	serviceTimeDecay = 10 * time.Second
	// classLimit is the number of classes of requests whose times are kept of a node.
	maxClasses = 64
	// goodLife is the time constant with which failures are forgotten.
	failureDecay = 4 * time.Second
	// goodWeight is the weight of one answer in the share of good ones.
	failureWeight = 0.12
	// nodeLife is the time after which a node that takes no requests is forgotten.
	nodeTTL = time.Minute
	// sweepSize is the number of nodes from which old ones are looked for.
	sweepThreshold = 512
)

// Result is how a request to a peer ended.
type Result struct {
	// Known says that InFlight, Slots, Service and Wait were reported.
	Reported           bool
	InFlight, Slots int
	// Service is the mean time that the target takes for a request, and Work that for one of the same
	// class, or 0 if it is not known.
	ServiceTime, ClassServiceTime time.Duration
	// Class is that of the request.
	Class uint32
	// Wait is the time for which a request would wait there for its turn.
	QueueWait time.Duration
	// Unreachable says that the node, or the target behind it, could not be reached.
	Unreachable bool
	// Failed says that the target ran or rejected the request and did not serve it.
	Failed bool
	// Served says that the target served the request.
	Served bool
}

// node is what is known of a node from requests sent to it.
type node struct {
	// own is the number of requests that this node has there, and ownThen at the last report.
	ownInFlight, ownAtReport int
	inFlight     int
	slots        int
	// service is the mean time of all requests, in seconds, and work that of each class.
	meanService float64
	classService    map[uint32]classTime
	// wait is in seconds.
	wait     float64
	reportedAt time.Time
	// bad is the share of requests that failed, at the time judged.
	failureRate    float64
	failureRateAt time.Time
	lastUsed   time.Time
	health health
}

// work is the mean time of the requests of a class at a target, in seconds, as reported at a time.
type classTime struct {
	mean     float64
	reportedAt time.Time
}

func newNode() *node { return &node{classService: map[uint32]classTime{}} }

// expected returns the time in seconds until the target would have answered a request of a class. usual is
// the time of one at a target of which it is not known, in seconds.
func (n *node) expectedLatency(now time.Time, slots int, class uint32, median float64) float64 {
	if n == nil {
		return median
	}
	service := median
	if w, known := n.classService[class]; known {
		service = median + (w.mean-median)*decay(now.Sub(w.reportedAt), serviceTimeDecay)
	}
	if n.slots > 0 {
		slots = n.slots
	}
	slots = max(slots, 1)
	fresh := decay(now.Sub(n.reportedAt), waitDecay)
	inFlight := max(float64(n.inFlight-n.ownAtReport)*fresh, 0) + float64(n.ownInFlight)
	wait := n.wait * fresh
	if excess := inFlight - float64(slots); excess > 0 {
		wait = max(wait, (excess+1)*n.meanServiceOr(service)/float64(slots))
	}
	utilization := min(inFlight/float64(slots), 1)
	// Some targets slow down when they are nearly full.
	return wait + service*(1+utilization*utilization*utilization/2)
}

// turn returns the mean time of the requests that are before one that takes so long, in seconds.
func (n *node) meanServiceOr(fallback float64) float64 {
	if n.meanService > 0 {
		return n.meanService
	}
	return fallback
}

// goodness returns the share of requests that the target serves.
func (n *node) successRate(now time.Time) float64 {
	if n == nil {
		return 1
	}
	return 1 - n.failureRate*decay(now.Sub(n.failureRateAt), failureDecay)
}

func decay(age, timeConstant time.Duration) float64 {
	return math.Exp(-max(age.Seconds(), 0) / timeConstant.Seconds())
}

// report takes the end of a request into account.
func (n *node) report(now time.Time, r Result) {
	if r.Reported {
		n.inFlight, n.slots, n.ownAtReport, n.reportedAt = r.InFlight, r.Slots, n.ownInFlight, now
		n.wait = r.QueueWait.Seconds()
		if r.ServiceTime > 0 {
			n.meanService = r.ServiceTime.Seconds()
		}
		n.recordClass(now, r)
	}
	if !r.Failed && !r.Served {
		return
	}
	rate := n.failureRate * decay(now.Sub(n.failureRateAt), failureDecay)
	sample := 0.0
	if r.Failed {
		sample = 1
	}
	n.failureRate, n.failureRateAt = rate+(sample-rate)*failureWeight, now
}

// learn takes the reported time of the requests of a class.
func (n *node) recordClass(now time.Time, r Result) {
	if r.ClassServiceTime <= 0 {
		return
	}
	if _, known := n.classService[r.Class]; !known && len(n.classService) >= maxClasses {
		clear(n.classService)
	}
	n.classService[r.Class] = classTime{mean: r.ClassServiceTime.Seconds(), reportedAt: now}
}

// key identifies a run of a node.
type key struct {
	name        string
	incarnation uint64
}

func keyOf(p seampeer.Peer) key {
	return key{p.Name, p.Incarnation}
}

const (
	// ejectFirst and ejectLast bound the time for which a node that can't be reached is not
	// chosen, which doubles.
	initialEjection = 300 * time.Millisecond
	maxEjection  = 5 * time.Second
)

// health is the record of a node that can't be reached.
type health struct {
	failures int
	ejectedUntil    time.Time
}

// Report takes one attempt to reach the node into account and reports whether it is ejected now.
func (h *health) Report(now time.Time, reached bool) (ejected bool) {
	if reached {
		h.failures, h.ejectedUntil = 0, time.Time{}
		return false
	}
	if now.Before(h.ejectedUntil) {
		return false
	}
	h.ejectedUntil = now.Add(min(initialEjection<<min(h.failures, 8), maxEjection))
	h.failures++
	return true
}

// Ejected reports whether the node is not to be chosen.
func (h *health) Ejected(now time.Time) bool {
	return now.Before(h.ejectedUntil)
}
