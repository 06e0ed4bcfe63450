package seamtraffic

import (
	"context"
	"strings"
	"time"

	"cardamomseam/internal/prove/seamcaller"
	"cardamomseam/internal/prove/seamexperiment"
	"cardamomseam/internal/prove/seamfleet"
	"cardamomseam/internal/prove/seamscenario"
	"cardamomseam/internal/stand/seamstandtarget"
)

const (
	drainNodes = 9
	drainRate  = 600
	// lastRequestObjective is the largest time, in seconds, for which a stopping node may receive new requests.
	lastRequestObjective = 3.0
	// rejoinDelay is the time between the restart of a node and the stop of the next one.
	rejoinDelay = 2 * time.Second
	// drainServiceTime is long enough that requests are in flight when a node stops.
	drainServiceTime = 20 * time.Millisecond
)

// drain does a rolling restart: it stops each node as planned and starts it again under load.
func drain(ctx context.Context, o seamexperiment.Options) ([]seamexperiment.Result, error) {
	s, stop, err := seamscenario.Start(ctx, seamfleet.Config{Nodes: drainNodes, ServiceTime: drainServiceTime, Jitter: 0.5}, o)
	if err != nil {
		return nil, err
	}
	defer stop()
	load := s.StartLoad(ctx, rateOr(o, drainRate), seamscenario.DefaultRequestMix())
	if !seamscenario.Sleep(ctx, rejoinDelay) {
		return nil, ctx.Err()
	}
	started := time.Now()
	d := &rollingRestart{scenario: s}
	nodes := s.Fleet.Instances
	if o.Rounds > 0 {
		nodes = nodes[:min(o.Rounds, len(nodes))]
	}
	for _, x := range nodes {
		if err := d.restart(ctx, x); err != nil {
			load.Stop()
			return nil, err
		}
	}
	report := load.Stop()
	r := seamexperiment.Result{}
	d.add(&r)
	interrupted := seamcaller.Interrupted(s.Records.All(), started, time.Now())
	for n, x := range interrupted {
		if n < maxLoggedRequests {
			s.Logf("interrupted request: %s %s at node %s: %s %s", x.Kind, x.ID, x.Node, x.Outcome, x.Reason)
		}
	}
	logRefusals(s, d.stops)
	r.AddAtMost("cut", float64(len(interrupted)), seamexperiment.Count, 0)
	r.Add("latency-p99", milliseconds(report.Quantile(99)), seamexperiment.Milliseconds)
	return s.Finish(ctx, r)
}

// logRefusals logs how many requests were refused during each stop and in the rejoinDelay after it.
func logRefusals(s *seamscenario.Scenario, stops []plannedStop) {
	records := s.Records.All()
	for _, p := range stops {
		during, after := map[string]int{}, map[string]int{}
		for _, x := range records {
			switch {
			case x.Outcome != seamcaller.Refused || x.Start.Before(p.from):
			case x.Start.Before(p.to):
				during[x.Reason]++
			case x.Start.Before(p.to.Add(rejoinDelay)):
				after[x.Reason]++
			}
		}
		s.Logf("node %s: requests refused while it stopped: %v; after its restart: %v", p.instance.Name, during, after)
	}
}

// maxLoggedRequests is the largest number of interrupted requests that are logged individually.
const maxLoggedRequests = 10

func rateOr(o seamexperiment.Options, fallback float64) float64 {
	if o.Rate > 0 {
		return o.Rate
	}
	return fallback
}

// rollingRestart restarts nodes one after the other and records each stop.
type rollingRestart struct {
	scenario *seamscenario.Scenario
	stops    []plannedStop
}

// plannedStop records the planned stop of a node.
type plannedStop struct {
	instance *seamfleet.Instance
	from, to time.Time
	failed   bool
}

func (d *rollingRestart) restart(ctx context.Context, x *seamfleet.Instance) error {
	p := plannedStop{instance: x, from: time.Now()}
	if err := x.StopNode(); err != nil {
		p.failed = true
		d.scenario.Logf("stop node %s: %v", x.Name, err)
	}
	p.to = time.Now()
	d.stops = append(d.stops, p)
	d.scenario.Logf("stopped node %s in %s", x.Name, p.to.Sub(p.from).Round(time.Millisecond))
	if err := x.StartNode(); err != nil {
		return err
	}
	if !seamscenario.Sleep(ctx, rejoinDelay) {
		return ctx.Err()
	}
	return nil
}

func (d *rollingRestart) add(r *seamexperiment.Result) {
	e, err := d.scenario.Fleet.CollectObservations(nil)
	if err != nil {
		r.Failure = err.Error()
		return
	}
	failed, longest, last := 0, time.Duration(0), time.Duration(0)
	for _, p := range d.stops {
		if p.failed {
			failed++
		}
		longest = max(longest, p.to.Sub(p.from))
		last = max(last, p.lastRequestStart(e.ExecutionLog))
	}
	r.Add("stops", float64(len(d.stops)), seamexperiment.Count)
	r.AddAtMost("stops-failed", float64(failed), seamexperiment.Count, 0)
	r.Add("stop-longest", longest.Seconds(), seamexperiment.Seconds)
	r.AddAtMost("last-work", last.Seconds(), seamexperiment.Seconds, lastRequestObjective)
}

// lastRequestStart returns the time from the stop signal until the target started its last request.
func (p plannedStop) lastRequestStart(lines []seamstandtarget.ExecutionRecord) time.Duration {
	last := p.from
	for _, x := range lines {
		at := time.Unix(0, x.At)
		if x.Kind == seamstandtarget.KindRun && strings.HasPrefix(x.Server, p.instance.Name+"-") && at.After(last) && at.Before(p.to) {
			last = at
		}
	}
	return last.Sub(p.from)
}
