// Package seamchaos is a randomized fault-injection experiment. It runs real processes in three
// regions behind the fault proxy, injects one or two faults at a time and checks every guarantee.
package seamchaos

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"cardamomseam/internal/prove/seamcheck"
	"cardamomseam/internal/prove/seamexperiment"
	"cardamomseam/internal/prove/seamfleet"
	"cardamomseam/internal/prove/seamscenario"
	"cardamomseam/internal/stand/seamproxy"
	"cardamomseam/internal/stand/seamstandstore"
)

// Experiments are the experiments of this package.
var Experiments = []seamexperiment.Experiment{
	{Name: "chaos", Usage: "random kills, pauses, partitions, store outages, rule races and planned stops; checks every guarantee", Run: Run},
}

const (
	defaultNodes    = 12
	defaultRate     = 300
	defaultDuration = 60 * time.Second
	// warmUp is the time under load before the first fault.
	warmUp = 3 * time.Second
	// recoveryDelay is the time between the last fault and the final checks.
	recoveryDelay = 8 * time.Second
	// minFaultInterval and faultIntervalRange bound the random time between two faults.
	minFaultInterval   = 300 * time.Millisecond
	faultIntervalRange = 1200 * time.Millisecond
	// maxConcurrentFaults is the maximum number of faults at a time.
	maxConcurrentFaults = 2
	// rolloutTimeout bounds the time until the last recorded rule change must be in force on
	// every live node at the end.
	rolloutTimeout = 10 * time.Second
)

// Run injects random faults into a fleet under load and checks the guarantees afterwards.
func Run(ctx context.Context, o seamexperiment.Options) ([]seamexperiment.Result, error) {
	s, stop, err := seamscenario.Start(ctx, seamfleet.Config{Nodes: defaultNodes, UseProxy: true, Latencies: seamproxy.Reisinger}, o)
	if err != nil {
		return nil, err
	}
	defer stop()
	c := newChaosRun(s)
	s.SetTolerated(c.isTolerated)
	m := seamscenario.DefaultRequestMix()
	m.MaxEchoBytes = 32 << 10
	load := s.StartLoad(ctx, rateOf(o), m)
	stopWatch := s.WatchRules(ctx)
	if !seamscenario.Sleep(ctx, warmUp) {
		return nil, ctx.Err()
	}
	c.injectFaults(ctx, durationOf(o))
	c.wait()
	if err := s.Fleet.Store.SetFaults(ctx, seamstandstore.Faults{}); err != nil {
		return nil, err
	}
	s.Logf("all faults have ended")
	seamscenario.Sleep(ctx, recoveryDelay)
	if c.revision > 0 {
		s.CheckRevisionApplied(ctx, seamscenario.PlainService, c.revision, rolloutTimeout)
	}
	load.Stop()
	stopWatch()
	r := seamexperiment.Result{}
	c.addFaultCounts(&r)
	return s.Finish(ctx, r)
}

func rateOf(o seamexperiment.Options) float64 {
	if o.Rate > 0 {
		return o.Rate
	}
	return defaultRate
}

func durationOf(o seamexperiment.Options) time.Duration {
	if o.Duration > 0 {
		return o.Duration
	}
	return defaultDuration
}

// chaosRun is the state of one randomized run.
type chaosRun struct {
	scenario *seamscenario.Scenario

	mu sync.Mutex
	// activeFaults is the number of faults in progress.
	activeFaults int
	// acquired holds the names of the instances that are reserved by a fault in progress.
	acquired map[string]bool
	faultLog []faultRecord
	// revision is the highest recorded revision of the plain service's rule document.
	revision    int64
	faultCounts map[string]int
	faults      sync.WaitGroup
}

// faultRecord is one fault that affected an instance.
type faultRecord struct {
	kind     string
	instance string
	from, to time.Time
}

func newChaosRun(s *seamscenario.Scenario) *chaosRun {
	return &chaosRun{scenario: s, acquired: map[string]bool{}, faultCounts: map[string]int{}}
}

// injectFaults starts random faults until d has passed.
func (c *chaosRun) injectFaults(ctx context.Context, d time.Duration) {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		delay := minFaultInterval + time.Duration(c.scenario.Random.Int64N(int64(faultIntervalRange)))
		if !seamscenario.Sleep(ctx, delay) {
			return
		}
		k := faultKinds[c.scenario.Random.IntN(len(faultKinds))]
		c.startFault(ctx, k)
	}
}

// startFault starts a fault unless maxConcurrentFaults are in progress.
func (c *chaosRun) startFault(ctx context.Context, k faultKind) {
	c.mu.Lock()
	full := c.activeFaults >= maxConcurrentFaults
	if !full {
		c.activeFaults++
		c.faultCounts[k.name]++
	}
	c.mu.Unlock()
	if full {
		return
	}
	inject := k.prepare(c)
	c.faults.Go(func() {
		inject(ctx)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.activeFaults--
	})
}

func (c *chaosRun) wait() { c.faults.Wait() }

// acquireInstance reserves a random instance that no other fault uses. It returns nil if there
// is none.
func (c *chaosRun) acquireInstance() *seamfleet.Instance {
	list := c.scenario.Fleet.Instances
	n := c.scenario.Random.IntN(len(list))
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := range list {
		x := list[(n+k)%len(list)]
		if !c.acquired[x.Name] {
			c.acquired[x.Name] = true
			return x
		}
	}
	return nil
}

// releaseInstance makes an instance available to other faults and records the fault.
func (c *chaosRun) releaseInstance(kind string, x *seamfleet.Instance, from time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.acquired, x.Name)
	c.faultLog = append(c.faultLog, faultRecord{kind: kind, instance: x.Name, from: from, to: time.Now()})
}

func (c *chaosRun) logElapsed(from time.Time, format string, values ...any) {
	c.scenario.Logf("%s after %s", fmt.Sprintf(format, values...), time.Since(from).Round(time.Millisecond))
}

const (
	// overlapBefore and overlapAfter bound the time before and after the kill of an instance in
	// which a fault of another instance counts as simultaneous.
	overlapBefore = 5 * time.Second
	overlapAfter  = 5 * time.Second
)

// isTolerated reports whether v is the loss of a booking whose acknowledging instance was killed
// about when another instance had a fault other than a planned stop. The other instance may have been
// the standby of the booking's slot; the fault log does not show which instance that was.
func (c *chaosRun) isTolerated(v seamcheck.Violation) bool {
	if v.Kind != seamcheck.LostBooking {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, loss := range c.faultLog {
		if loss.kind != killName || !strings.Contains(v.Detail, "acknowledged by "+loss.instance) || loss.to.Before(v.At) {
			continue
		}
		for _, other := range c.faultLog {
			if other.instance == loss.instance || other.kind == stopName || other.kind == leaveName {
				continue
			}
			if other.from.Before(loss.from.Add(overlapAfter)) && other.to.After(loss.from.Add(-overlapBefore)) {
				return true
			}
		}
	}
	return false
}

func (c *chaosRun) addFaultCounts(r *seamexperiment.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range faultKinds {
		r.Add("faults-"+k.name, float64(c.faultCounts[k.name]), seamexperiment.Count)
	}
}
