package seambalance

import (
	"math"
	"time"

	"cardamomseam/internal/member/seampeer"
)

const (
	// waitLife is the time constant with which a reported wait is forgotten.
	waitLife = 400 * time.Millisecond
	// workLife is the time constant with which the reported time of a request returns to the usual one.
	workLife = 10 * time.Second
	// classLimit is the number of classes of requests whose times are kept of a node.
	classLimit = 64
	// goodLife is the time constant with which failures are forgotten.
	goodLife = 4 * time.Second
	// goodWeight is the weight of one answer in the share of good ones.
	goodWeight = 0.12
	// nodeLife is the time after which a node that takes no requests is forgotten.
	nodeLife = time.Minute
	// sweepSize is the number of nodes from which old ones are looked for.
	sweepSize = 512
)

// Result is how a request to a peer ended.
type Result struct {
	// Known says that InFlight, Slots, Service and Wait were reported.
	Reported        bool
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
	own, ownThen int
	inFlight     int
	slots        int
	// service is the mean time of all requests, in seconds, and work that of each class.
	service float64
	work    map[uint32]work
	// wait is in seconds.
	wait     float64
	reported time.Time
	// bad is the share of requests that failed, at the time judged.
	bad    float64
	judged time.Time
	used   time.Time
	health health
}

// work is the mean time of the requests of a class at a target, in seconds, as reported at a time.
type work struct {
	mean     float64
	reported time.Time
}

func newNode() *node { return &node{work: map[uint32]work{}} }

// expected returns the time in seconds until the target would have answered a request of a class. usual is
// the time of one at a target of which it is not known, in seconds.
func (n *node) expected(now time.Time, slots int, class uint32, usual float64) float64 {
	if n == nil {
		return usual
	}
	took := usual
	if w, known := n.work[class]; known {
		took = usual + (w.mean-usual)*decay(now.Sub(w.reported), workLife)
	}
	if n.slots > 0 {
		slots = n.slots
	}
	slots = max(slots, 1)
	fresh := decay(now.Sub(n.reported), waitLife)
	inFlight := max(float64(n.inFlight-n.ownThen)*fresh, 0) + float64(n.own)
	wait := n.wait * fresh
	if over := inFlight - float64(slots); over > 0 {
		wait = max(wait, (over+1)*n.turn(took)/float64(slots))
	}
	use := min(inFlight/float64(slots), 1)
	// Some targets slow down when they are nearly full.
	return wait + took*(1+use*use*use/2)
}

// turn returns the mean time of the requests that are before one that takes so long, in seconds.
func (n *node) turn(took float64) float64 {
	if n.service > 0 {
		return n.service
	}
	return took
}

// goodness returns the share of requests that the target serves.
func (n *node) goodness(now time.Time) float64 {
	if n == nil {
		return 1
	}
	return 1 - n.bad*decay(now.Sub(n.judged), goodLife)
}

func decay(age, life time.Duration) float64 {
	return math.Exp(-max(age.Seconds(), 0) / life.Seconds())
}

// report takes the end of a request into account.
func (n *node) report(now time.Time, r Result) {
	if r.Reported {
		n.inFlight, n.slots, n.ownThen, n.reported = r.InFlight, r.Slots, n.own, now
		n.wait = r.QueueWait.Seconds()
		if r.ServiceTime > 0 {
			n.service = r.ServiceTime.Seconds()
		}
		n.learn(now, r)
	}
	if !r.Failed && !r.Served {
		return
	}
	bad := n.bad * decay(now.Sub(n.judged), goodLife)
	sample := 0.0
	if r.Failed {
		sample = 1
	}
	n.bad, n.judged = bad+(sample-bad)*goodWeight, now
}

// learn takes the reported time of the requests of a class.
func (n *node) learn(now time.Time, r Result) {
	if r.ClassServiceTime <= 0 {
		return
	}
	if _, known := n.work[r.Class]; !known && len(n.work) >= classLimit {
		clear(n.work)
	}
	n.work[r.Class] = work{mean: r.ClassServiceTime.Seconds(), reported: now}
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
	ejectFirst = 300 * time.Millisecond
	ejectLast  = 5 * time.Second
)

// health is the record of a node that can't be reached.
type health struct {
	failures int
	until    time.Time
}

// Report takes one attempt to reach the node into account and reports whether it is ejected now.
func (h *health) Report(now time.Time, reached bool) (ejected bool) {
	if reached {
		h.failures, h.until = 0, time.Time{}
		return false
	}
	if now.Before(h.until) {
		return false
	}
	h.until = now.Add(min(ejectFirst<<min(h.failures, 8), ejectLast))
	h.failures++
	return true
}

// Ejected reports whether the node is not to be chosen.
func (h *health) Ejected(now time.Time) bool {
	return now.Before(h.until)
}
