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
	chaosNodes = 12
	chaosRate  = 300
	chaosTime  = 60 * time.Second
	// quiet is the time before the first fault.
	quiet = 3 * time.Second
	// healed is the time after the last fault before the final checks.
	healed = 8 * time.Second
	// stepLeast and stepSpread bound the time between two faults.
	stepLeast  = 300 * time.Millisecond
	stepSpread = 1200 * time.Millisecond
	// faultLimit is the number of faults at once.
	faultLimit = 2
	// lastForce bounds the time in which the last recorded change must be in force at the end.
	lastForce = 10 * time.Second
)

// Run makes a randomised run.
func Run(ctx context.Context, o seamexperiment.Options) ([]seamexperiment.Result, error) {
	s, stop, err := seamscenario.Start(ctx, seamfleet.Config{Nodes: chaosNodes, UseProxy: true, Latencies: seamproxy.Reisinger}, o)
	if err != nil {
		return nil, err
	}
	defer stop()
	c := newRun(s)
	s.SetTolerated(c.tolerated)
	m := seamscenario.DefaultRequestMix()
	m.MaxEchoBytes = 32 << 10
	load := s.StartLoad(ctx, rateOr(o), m)
	watching := s.WatchRules(ctx)
	if !seamscenario.Sleep(ctx, quiet) {
		return nil, ctx.Err()
	}
	c.disturb(ctx, lengthOr(o))
	c.wait()
	if err := s.Fleet.Store.SetFaults(ctx, seamstandstore.Faults{}); err != nil {
		return nil, err
	}
	s.Logf("all faults are over")
	seamscenario.Sleep(ctx, healed)
	if c.revision > 0 {
		s.CheckRevisionApplied(ctx, seamscenario.PlainService, c.revision, lastForce)
	}
	load.Stop()
	watching()
	r := seamexperiment.Result{}
	c.add(&r)
	return s.Finish(ctx, r)
}

func rateOr(o seamexperiment.Options) float64 {
	if o.Rate > 0 {
		return o.Rate
	}
	return chaosRate
}

func lengthOr(o seamexperiment.Options) time.Duration {
	if o.Duration > 0 {
		return o.Duration
	}
	return chaosTime
}

// run is one randomised run.
type run struct {
	scene *seamscenario.Scenario

	mu sync.Mutex
	// active is the number of faults at present.
	active int
	// busy holds the instances that a fault concerns.
	busy map[string]bool
	log  []entry
	// revision is the highest recorded revision of the plain service's rules.
	revision int64
	counts   map[string]int
	running  sync.WaitGroup
}

// entry is one fault that an instance suffered.
type entry struct {
	kind     string
	instance string
	from, to time.Time
}

func newRun(s *seamscenario.Scenario) *run {
	return &run{scene: s, busy: map[string]bool{}, counts: map[string]int{}}
}

// disturb starts faults until the time is over.
func (c *run) disturb(ctx context.Context, d time.Duration) {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		step := stepLeast + time.Duration(c.scene.Random.Int64N(int64(stepSpread)))
		if !seamscenario.Sleep(ctx, step) {
			return
		}
		k := kinds[c.scene.Random.IntN(len(kinds))]
		c.begin(ctx, k)
	}
}

// begin starts a fault, if there are not too many already.
func (c *run) begin(ctx context.Context, k kind) {
	c.mu.Lock()
	full := c.active >= faultLimit
	if !full {
		c.active++
		c.counts[k.name]++
	}
	c.mu.Unlock()
	if full {
		return
	}
	act := k.plan(c)
	c.running.Go(func() {
		act(ctx)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.active--
	})
}

func (c *run) wait() { c.running.Wait() }

// take chooses an instance that no other fault concerns, or nil.
func (c *run) take() *seamfleet.Instance {
	list := c.scene.Fleet.Instances
	n := c.scene.Random.IntN(len(list))
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := range list {
		x := list[(n+k)%len(list)]
		if !c.busy[x.Name] {
			c.busy[x.Name] = true
			return x
		}
	}
	return nil
}

// release ends the concern of a fault with an instance.
func (c *run) release(k string, x *seamfleet.Instance, from time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.busy, x.Name)
	c.log = append(c.log, entry{kind: k, instance: x.Name, from: from, to: time.Now()})
}

func (c *run) say(from time.Time, format string, values ...any) {
	c.scene.Logf("%s after %s", fmt.Sprintf(format, values...), time.Since(from).Round(time.Millisecond))
}

const (
	// toleranceBefore and toleranceAfter bound the time round a loss in which a fault of
	// another instance makes it a loss of two at once.
	toleranceBefore = 5 * time.Second
	toleranceAfter  = 5 * time.Second
)

// tolerated reports whether a lost booking was lost with two instances at once: that of the
// owner that acknowledged it and, as far as the faults tell, that of its standby.
func (c *run) tolerated(v seamcheck.Violation) bool {
	if v.Kind != seamcheck.LostWrite {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, loss := range c.log {
		if loss.kind != killName || !strings.Contains(v.Detail, "acknowledged by "+loss.instance) || loss.to.Before(v.At) {
			continue
		}
		for _, other := range c.log {
			if other.instance == loss.instance || other.kind == stopName || other.kind == leaveName {
				continue
			}
			if other.from.Before(loss.from.Add(toleranceAfter)) && other.to.After(loss.from.Add(-toleranceBefore)) {
				return true
			}
		}
	}
	return false
}

func (c *run) add(r *seamexperiment.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range kinds {
		r.Add("faults-"+k.name, float64(c.counts[k.name]), seamexperiment.Count)
	}
}
