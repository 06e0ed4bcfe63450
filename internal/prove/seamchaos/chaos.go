// Package seamchaos holds the long randomised run: real processes in three regions behind
// the fault proxy, one or two faults at a time, and every promise checked.
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
	{Name: "chaos", Usage: "random losses, pauses, partitions, outages, races and planned stops, every promise checked", Run: Run},
}

const (
	defaultNodes    = 12
	defaultRate     = 300
	defaultDuration = 60 * time.Second
	// quiet is the time before the first fault.
	warmUp = 3 * time.Second
	// healed is the time after the last fault before the final checks.
	recoveryDelay = 8 * time.Second
	// stepLeast and stepSpread bound the time between two faults.
	minFaultInterval   = 300 * time.Millisecond
	faultIntervalRange = 1200 * time.Millisecond
	// faultLimit is the number of faults at once.
	maxConcurrentFaults = 2
	// lastForce bounds the time in which the last recorded change must be in force at the end.
	rolloutTimeout = 10 * time.Second
)

// Run makes a randomised run.
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
	watching := s.WatchRules(ctx)
	if !seamscenario.Sleep(ctx, warmUp) {
		return nil, ctx.Err()
	}
	c.injectFaults(ctx, durationOf(o))
	c.wait()
	if err := s.Fleet.Store.SetFaults(ctx, seamstandstore.Faults{}); err != nil {
		return nil, err
	}
	s.Logf("all faults are over")
	seamscenario.Sleep(ctx, recoveryDelay)
	if c.revision > 0 {
		s.CheckRevisionApplied(ctx, seamscenario.PlainService, c.revision, rolloutTimeout)
	}
	load.Stop()
	watching()
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

// run is one randomised run.
type chaosRun struct {
	scenario *seamscenario.Scenario

	mu sync.Mutex
	// active is the number of faults at present.
	activeFaults int
	// busy holds the instances that a fault concerns.
	acquired map[string]bool
	faultLog []faultRecord
	// revision is the highest recorded revision of the plain service's rules.
	revision    int64
	faultCounts map[string]int
	faults      sync.WaitGroup
}

// entry is one fault that an instance suffered.
type faultRecord struct {
	kind     string
	instance string
	from, to time.Time
}

func newChaosRun(s *seamscenario.Scenario) *chaosRun {
	return &chaosRun{scenario: s, acquired: map[string]bool{}, faultCounts: map[string]int{}}
}

// disturb starts faults until the time is over.
func (c *chaosRun) injectFaults(ctx context.Context, d time.Duration) {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		step := minFaultInterval + time.Duration(c.scenario.Random.Int64N(int64(faultIntervalRange)))
		if !seamscenario.Sleep(ctx, step) {
			return
		}
		k := faultKinds[c.scenario.Random.IntN(len(faultKinds))]
		c.startFault(ctx, k)
	}
}

// begin starts a fault, if there are not too many already.
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
	act := k.prepare(c)
	c.faults.Go(func() {
		act(ctx)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.activeFaults--
	})
}

func (c *chaosRun) wait() { c.faults.Wait() }

// take chooses an instance that no other fault concerns, or nil.
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

// release ends the concern of a fault with an instance.
func (c *chaosRun) releaseInstance(k string, x *seamfleet.Instance, from time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.acquired, x.Name)
	c.faultLog = append(c.faultLog, faultRecord{kind: k, instance: x.Name, from: from, to: time.Now()})
}

func (c *chaosRun) logElapsed(from time.Time, format string, values ...any) {
	c.scenario.Logf("%s after %s", fmt.Sprintf(format, values...), time.Since(from).Round(time.Millisecond))
}

const (
	// toleranceBefore and toleranceAfter bound the time round a loss in which a fault of
	// another instance makes it a loss of two at once.
	overlapBefore = 5 * time.Second
	overlapAfter  = 5 * time.Second
)

// tolerated reports whether a lost booking was lost with two instances at once: that of the
// owner that acknowledged it and, as far as the faults tell, that of its standby.
func (c *chaosRun) isTolerated(v seamcheck.Violation) bool {
	if v.Kind != seamcheck.LostWrite {
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
