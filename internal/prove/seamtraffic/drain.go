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
	// lastWork is the stated target for the time until a leaving node gets no new work, in seconds.
	lastWork = 3.0
	// rejoin is the time that a restarted node has before the next one stops.
	rejoin = 2 * time.Second
	// slowService makes requests long enough to be in flight when a node stops.
	slowService = 20 * time.Millisecond
)

// drain stops each node as planned and starts it again, one after the other.
func drain(ctx context.Context, o seamexperiment.Options) ([]seamexperiment.Result, error) {
	s, stop, err := seamscenario.Start(ctx, seamfleet.Config{Nodes: drainNodes, ServiceTime: slowService, Jitter: 0.5}, o)
	if err != nil {
		return nil, err
	}
	defer stop()
	load := s.StartLoad(ctx, rateOr(o, drainRate), seamscenario.DefaultRequestMix())
	if !seamscenario.Sleep(ctx, rejoin) {
		return nil, ctx.Err()
	}
	began := time.Now()
	d := &rolling{scene: s}
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
	cut := seamcaller.Interrupted(s.Records.All(), began, time.Now())
	for n, x := range cut {
		if n < sayLimit {
			s.Logf("cut: %s %s at %s: %s %s", x.Kind, x.ID, x.Node, x.Outcome, x.Reason)
		}
	}
	refusals(s, d.stops)
	r.AddAtMost("cut", float64(len(cut)), seamexperiment.Count, 0)
	r.Add("latency-p99", milliseconds(report.Quantile(99)), seamexperiment.Milliseconds)
	return s.Finish(ctx, r)
}

// refusals tells how many requests were refused during each stop and after it.
func refusals(s *seamscenario.Scenario, stops []plannedStop) {
	records := s.Records.All()
	for _, p := range stops {
		during, after := map[string]int{}, map[string]int{}
		for _, x := range records {
			switch {
			case x.Outcome != seamcaller.Refused || x.Start.Before(p.from):
			case x.Start.Before(p.to):
				during[x.Reason]++
			case x.Start.Before(p.to.Add(rejoin)):
				after[x.Reason]++
			}
		}
		s.Logf("%s: refused while it stopped %v, after its restart %v", p.instance.Name, during, after)
	}
}

// sayLimit is the number of failed requests that are told one by one.
const sayLimit = 10

func rateOr(o seamexperiment.Options, otherwise float64) float64 {
	if o.Rate > 0 {
		return o.Rate
	}
	return otherwise
}

// rolling is a rolling restart.
type rolling struct {
	scene *seamscenario.Scenario
	stops []plannedStop
}

// plannedStop is one planned stop of a node.
type plannedStop struct {
	instance *seamfleet.Instance
	from, to time.Time
	failed   bool
}

func (d *rolling) restart(ctx context.Context, x *seamfleet.Instance) error {
	p := plannedStop{instance: x, from: time.Now()}
	if err := x.StopNode(); err != nil {
		p.failed = true
		d.scene.Logf("%s: %v", x.Name, err)
	}
	p.to = time.Now()
	d.stops = append(d.stops, p)
	d.scene.Logf("stopped %s in %s", x.Name, p.to.Sub(p.from).Round(time.Millisecond))
	if err := x.StartNode(); err != nil {
		return err
	}
	if !seamscenario.Sleep(ctx, rejoin) {
		return ctx.Err()
	}
	return nil
}

func (d *rolling) add(r *seamexperiment.Result) {
	e, err := d.scene.Fleet.CollectObservations(nil)
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
		last = max(last, p.lastRun(e.ExecutionLog))
	}
	r.Add("stops", float64(len(d.stops)), seamexperiment.Count)
	r.AddAtMost("stops-failed", float64(failed), seamexperiment.Count, 0)
	r.Add("stop-longest", longest.Seconds(), seamexperiment.Seconds)
	r.AddAtMost("last-work", last.Seconds(), seamexperiment.Seconds, lastWork)
}

// lastRun returns the time from the order to stop until the last request began at the target.
func (p plannedStop) lastRun(lines []seamstandtarget.ExecutionRecord) time.Duration {
	last := p.from
	for _, x := range lines {
		at := time.Unix(0, x.At)
		if x.Kind == seamstandtarget.KindRun && strings.HasPrefix(x.Server, p.instance.Name+"-") && at.After(last) && at.Before(p.to) {
			last = at
		}
	}
	return last.Sub(p.from)
}
