package seambalance

import (
	"math"
	"time"
)

const (
	// othersDecay is the time constant of the long-term load of a target by other nodes.
	othersDecay = 10 * time.Second
	// errorDecay is the time constant with which the errors of forecasts are forgotten.
	errorDecay = 20 * time.Second
)

// clockStart is the origin of the times in seconds, which are cheaper to subtract for each candidate than times.
var clockStart = time.Now()

func secondsOf(t time.Time) float64 { return t.Sub(clockStart).Seconds() }

// othersLoad is what reports say about the requests of other nodes at a target, and how well they could be forecast.
type othersLoad struct {
	// others is the long-term number of requests of other nodes, as of othersAt.
	others   float64
	othersAt time.Time
	errors   forecastErrors
	// average is the mean fill of the service's targets by other nodes, as of the last pick.
	average float64
	// reported is the time of the last report, in seconds from clockStart.
	reported float64
	// refused means that the target did not serve the request with which the last report came.
	refused bool
	// lastTime is the service time of lastClass, the class that was looked up last, if lookedUp is set. It saves the costly
	// look-up in the map.
	lastTime float64
	// lastAt is the time at which lastTime was reported, in seconds from clockStart.
	lastAt    float64
	lastClass uint32
	lookedUp  bool
}

// forecastErrors compare forecasts with the reports that followed. Deviations are those from the service's average, as shares
// of the slots.
type forecastErrors struct {
	// samples is the number of comparisons, and squared the sum of the squared errors.
	samples, squared float64
	// variance is the sum of the squared forecast deviations, and covariance that of their products with the reported ones. The
	// quotient is 1 if reports stay true, 0 if they say nothing, and negative if nodes herd onto targets that were idle.
	variance, covariance float64
}

func (f *forecastErrors) add(o forecastErrors) {
	f.samples += o.samples
	f.squared += o.squared
	f.variance += o.variance
	f.covariance += o.covariance
}

// recordOthers compares the report with the forecast and updates the long-term load. It is called before the report is recorded.
func (n *node) recordOthers(now time.Time, r Result) {
	n.refused, n.lookedUp = !r.Served, false
	seconds := secondsOf(now)
	defer func() { n.reported = seconds }()
	load := float64(max(r.InFlight-n.ownInFlight, 0))
	if n.othersAt.IsZero() {
		n.others, n.othersAt = load, now
		return
	}
	slots := float64(max(r.Slots, 1))
	expected, found := n.extrapolate(seconds)/slots-n.average, load/slots-n.average
	keep := decay(now.Sub(n.othersAt), errorDecay)
	n.errors = forecastErrors{
		samples:    n.errors.samples*keep + 1,
		squared:    n.errors.squared*keep + (expected-found)*(expected-found),
		variance:   n.errors.variance*keep + expected*expected,
		covariance: n.errors.covariance*keep + expected*found,
	}
	n.others += (load - n.others) * (1 - decay(now.Sub(n.othersAt), othersDecay))
	n.othersAt = now
}

// forecast returns the expected number of requests at the target, including this node's.
func (n *node) forecast(now, slots, trust float64) float64 {
	if n.othersAt.IsZero() {
		return n.average*slots + float64(n.ownInFlight)
	}
	longTerm := n.others + (n.average*slots-n.others)*averageWeight
	return longTerm + (n.extrapolate(now)-longTerm)*trust + float64(n.ownInFlight)
}

// extrapolate returns the expected number of other nodes' requests at the target. Those of the last report end within about the
// time of a request, while as many arrive as in the long term.
func (n *node) extrapolate(now float64) float64 {
	keep := quickExp((now - n.reported) / (n.meanServiceOr(defaultServiceTime) + n.wait))
	return float64(max(n.inFlight-n.ownAtReport, 0))*keep + n.others*(1-keep)
}

// statedWait returns the time for which the target itself says that a request would wait, in seconds: by its limit, or when it
// refused the last one.
func (n *node) statedWait(now time.Time) float64 {
	wait := 0.0
	if !n.limitedUntil.IsZero() {
		wait = max(n.limitedUntil.Sub(now).Seconds(), 0)
	}
	if n.refused && n.wait > 0 {
		wait = max(wait, n.wait*decay(now.Sub(n.reportedAt), waitDecay))
	}
	return wait
}

// classServiceTime returns the expected service time of a request of the class, in seconds.
func (n *node) classServiceTime(now float64, class uint32, median float64) float64 {
	if !n.lookedUp || n.lastClass != class {
		t := n.classService[class]
		n.lastTime, n.lastAt, n.lastClass, n.lookedUp = t.mean, secondsOf(t.reportedAt), class, true
	}
	if n.lastTime > 0 {
		return median + (n.lastTime-median)*quickExp((now-n.lastAt)/serviceTimeDecay.Seconds())
	}
	return median
}

const (
	// expSteps is the number of entries of exps per unit; the relative error of quickExp is at most 0.8 %.
	expSteps = 64
	// expLimit is the argument from which quickExp returns 0.
	expLimit = 12
)

// exps holds exp(-x) for the middle of each step. Calls of math.Exp for each candidate would dominate the cost of a pick.
var exps = func() (t [expLimit * expSteps]float64) {
	for i := range t {
		t[i] = math.Exp(-(float64(i) + 0.5) / expSteps)
	}
	return t
}()

// quickExp returns about exp(-x), and 1 for a negative x.
func quickExp(x float64) float64 {
	if x <= 0 {
		return 1
	}
	if !(x < expLimit) {
		return 0
	}
	return exps[int(x*expSteps)]
}
