package seambalance

import (
	"math"
	"time"

	"cardamomseam/internal/member/seampeer"
)

const (
	// waitDecay is the time constant with which a reported queueing delay decays.
	waitDecay = 400 * time.Millisecond
	// serviceTimeDecay is the time constant with which a reported service time returns to the median.
	serviceTimeDecay = 10 * time.Second
	// maxClasses is the number of request classes whose service times are tracked for each node.
	maxClasses = 64
	// failureDecay is the time constant with which the failure rate decays.
	failureDecay = 4 * time.Second
	// failureWeight is the weight of one response in the failure rate.
	failureWeight = 0.12
	// nodeTTL is the time after which the state of a node without requests is removed.
	nodeTTL = time.Minute
	// sweepThreshold is the number of nodes from which unused ones are removed.
	sweepThreshold = 512
)

// Result describes how a request to a peer ended.
type Result struct {
	// Reported means that InFlight, Slots, ServiceTime and QueueWait were reported.
	Reported        bool
	InFlight, Slots int
	// ServiceTime and ClassServiceTime are the target's mean service time of all requests and of those of
	// the same class, or 0 if unknown.
	ServiceTime, ClassServiceTime time.Duration
	// Class is the class of the request.
	Class uint32
	// QueueWait is the expected time in the target's queue of a request that arrives now.
	QueueWait time.Duration
	// Limited means that the target limits its requests, so that QueueWait passes as time does.
	Limited bool
	// Unreachable means that the node or its target could not be reached.
	Unreachable bool
	// Failed means that the target ran or rejected the request and did not serve it.
	Failed bool
	// Served means that the target served the request.
	Served bool
}

// node holds what is known of a node from the requests sent to it.
type node struct {
	// ownInFlight is the number of requests from this node, now and at the last report (ownAtReport).
	ownInFlight, ownAtReport int
	inFlight                 int
	slots                    int
	// meanService is the mean service time of all requests in seconds; classService holds that of each class.
	meanService  float64
	classService map[uint32]classTime
	// wait is the reported queueing delay, in seconds.
	wait       float64
	reportedAt time.Time
	// limitedUntil is the time before which the limit of the target permits no further request.
	limitedUntil time.Time
	// failureRate is the share of failed requests, as of failureRateAt.
	failureRate   float64
	failureRateAt time.Time
	lastUsed      time.Time
	health        health
	othersLoad
}

// classTime is the last reported mean service time of a class at a target, in seconds.
type classTime struct {
	mean       float64
	reportedAt time.Time
}

func newNode() *node { return &node{classService: map[uint32]classTime{}} }

// expectedLatency returns the expected latency of a request of the class at the target, in seconds. median is
// the service time assumed for a target without a known one, in seconds.
func (n *node) expectedLatency(now time.Time, slots int, class uint32, median float64) float64 {
	if n == nil {
		return median
	}
	service := median
	if t, known := n.classService[class]; known {
		service = median + (t.mean-median)*decay(now.Sub(t.reportedAt), serviceTimeDecay)
	}
	if n.slots > 0 {
		slots = n.slots
	}
	slots = max(slots, 1)
	weight := decay(now.Sub(n.reportedAt), waitDecay)
	inFlight := max(float64(n.inFlight-n.ownAtReport)*weight, 0) + float64(n.ownInFlight)
	wait := max(n.wait*weight, n.limitedUntil.Sub(now).Seconds())
	if excess := inFlight - float64(slots); excess > 0 {
		wait = max(wait, (excess+1)*n.meanServiceOr(service)/float64(slots))
	}
	utilization := min(inFlight/float64(slots), 1)
	// Some targets slow down when nearly all slots are in use.
	return wait + service*(1+utilization*utilization*utilization/2)
}

// meanServiceOr returns the mean service time of the queued requests, or the fallback if unknown, in seconds.
func (n *node) meanServiceOr(fallback float64) float64 {
	if n.meanService > 0 {
		return n.meanService
	}
	return fallback
}

// successRate returns the share of requests that the target serves.
func (n *node) successRate(now time.Time) float64 {
	if n == nil || n.failureRate == 0 {
		return 1
	}
	return 1 - n.failureRate*decay(now.Sub(n.failureRateAt), failureDecay)
}

func decay(age, timeConstant time.Duration) float64 {
	return math.Exp(-max(age.Seconds(), 0) / timeConstant.Seconds())
}

// report records the result of a request.
func (n *node) report(now time.Time, r Result) {
	if r.Reported {
		n.recordOthers(now, r)
		n.inFlight, n.slots, n.ownAtReport, n.reportedAt = r.InFlight, r.Slots, n.ownInFlight, now
		n.wait, n.limitedUntil = r.QueueWait.Seconds(), time.Time{}
		if r.Limited {
			n.limitedUntil = now.Add(r.QueueWait)
		}
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

// recordClass records the reported service time of the request's class.
func (n *node) recordClass(now time.Time, r Result) {
	if r.ClassServiceTime <= 0 {
		return
	}
	if _, known := n.classService[r.Class]; !known && len(n.classService) >= maxClasses {
		clear(n.classService)
	}
	n.classService[r.Class] = classTime{mean: r.ClassServiceTime.Seconds(), reportedAt: now}
}

// key identifies an incarnation of a node.
type key struct {
	name        string
	incarnation uint64
}

func keyOf(p seampeer.Peer) key {
	return key{p.Name, p.Incarnation}
}

const (
	// initialEjection and maxEjection bound the time for which an unreachable node is ejected. The time doubles
	// with each failure.
	initialEjection = 300 * time.Millisecond
	maxEjection     = 5 * time.Second
)

// health tracks failed attempts to reach a node.
type health struct {
	failures     int
	ejectedUntil time.Time
}

// Report records one attempt to reach the node. It reports whether the node is ejected because of it.
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

// Ejected reports whether the node is ejected at the given time.
func (h *health) Ejected(now time.Time) bool {
	return now.Before(h.ejectedUntil)
}
