package seamtraffic

import (
	"context"
	"strings"
	"time"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/prove/seamcaller"
	"cardamomseam/internal/prove/seamexperiment"
	"cardamomseam/internal/prove/seamfleet"
	"cardamomseam/internal/prove/seamscenario"
	"cardamomseam/internal/rule/seamrule"
	"cardamomseam/internal/stand/seamproxy"
	"cardamomseam/internal/stand/seamstandtarget"
)

const (
	callersNodes = 9
	callersRate  = 300
	callersTime  = 75 * time.Second
	// evenTime is the time for which callers ask from all regions alike at the end.
	evenTime = 30 * time.Second
	// settledTime is the last part of the first load, in which the owners have moved.
	settledTime = 20 * time.Second
	// callersKeys is enough for most slots to be used.
	callersKeys = 200
	// crossedTarget is the largest share of requests that may cross regions: a crossing there and
	// back takes longer than nearTarget.
	crossedTarget = 0.01
	// nearTarget is the users' target for the latency at p99, in milliseconds.
	nearTarget = 16
)

// callers asks a service without homes from one region whose owners stand in another, and then from
// all regions alike.
func callers(ctx context.Context, o seamexperiment.Options) ([]seamexperiment.Result, error) {
	s, stop, err := seamscenario.Start(ctx, seamfleet.Config{
		Nodes: callersNodes, UseProxy: true, Latencies: seamproxy.Reisinger,
		Services: []seamrule.Document{seamscenario.KeyedDocument(nil)},
	}, o)
	if err != nil {
		return nil, err
	}
	defer stop()
	d := callersTime
	if o.Duration > 0 {
		d = o.Duration
	}
	m := seamscenario.RequestMix{BookFraction: 0.4, KeysPerRegion: callersKeys, Regions: []string{otherRegion(ctx, s)}}
	s.Logf("callers ask from %s", m.Regions[0])
	started := time.Now()
	load := s.StartLoad(ctx, rateOr(o, callersRate), m)
	if !seamscenario.Sleep(ctx, d) {
		return nil, ctx.Err()
	}
	load.Stop()
	settled := time.Now().Add(-settledTime)
	before := s.Fleet.Events.Count(seamevent.RangeMoved)
	s.AnyRegion = true
	load = s.StartLoad(ctx, rateOr(o, callersRate), m)
	if !seamscenario.Sleep(ctx, evenTime) {
		return nil, ctx.Err()
	}
	load.Stop()
	explain(s, started)
	r := seamexperiment.Result{}
	w, err := newWays(s, started, settled)
	if err != nil {
		return nil, err
	}
	w.add(&r)
	r.AddAtMost("moves-even", float64(s.Fleet.Events.Count(seamevent.RangeMoved)-before), seamexperiment.Count, 0)
	return s.Finish(ctx, r)
}

// otherRegion returns a region whose nodes own no slot.
func otherRegion(ctx context.Context, s *seamscenario.Scenario) string {
	owned := map[string]int{}
	for _, x := range s.Fleet.Instances {
		status, err := x.Status(ctx)
		if err != nil {
			continue
		}
		for _, c := range status.Cells {
			owned[c.Region] = max(owned[c.Region], c.Owned)
		}
	}
	for _, r := range s.Fleet.Regions() {
		if owned[r] == 0 {
			return r
		}
	}
	return s.Fleet.Regions()[0]
}

// ways divides the requests of a load into those before the owners moved and those after.
type ways struct {
	started time.Time
	// settled is the time from which the owners should have moved.
	settled time.Time
	// regions are those of the nodes by the address of their ingress.
	regions map[string]string
	// ran are the servers that ran requests, by the id of the request. Their names begin with the region's.
	ran map[string]string
	// first and last are the times of the first and the last move of a range; zero without any.
	first, last   time.Time
	moves         int
	before, after way
	// during are the requests between the first move and the last part of the load.
	during way
}

// way holds the requests of a span of time.
type way struct {
	report        seamcaller.Report
	sent, crossed int
}

// newWays divides the requests of the load that ended settledTime after settled. The ledgers of the
// targets tell where each request ran.
func newWays(s *seamscenario.Scenario, started, settled time.Time) (*ways, error) {
	w := &ways{started: started, settled: settled, regions: map[string]string{}, ran: map[string]string{}}
	w.findMoves(s.Fleet.Events.All())
	for _, x := range []*way{&w.before, &w.during, &w.after} {
		x.report = seamcaller.NewReport()
	}
	for _, x := range s.Fleet.Instances {
		w.regions[x.Ingress] = x.Region
	}
	records := s.Records.All()
	evidence, err := s.Fleet.CollectObservations(records)
	if err != nil {
		return nil, err
	}
	for _, x := range evidence.ExecutionLog {
		if x.Kind == seamstandtarget.KindRun {
			w.ran[x.Request] = x.Server
		}
	}
	for _, x := range records {
		if x.Due.Before(settled.Add(settledTime)) {
			w.span(x.Due).count(x, strings.HasPrefix(w.ran[x.ID], w.regions[x.Node]+"-"))
		}
	}
	return w, nil
}

// findMoves finds the moves of ranges during the load.
func (w *ways) findMoves(events []seamevent.Event) {
	for _, e := range events {
		if e.Name != seamevent.RangeMoved || e.Time.Before(w.started) || e.Time.After(w.settled.Add(settledTime)) {
			continue
		}
		if w.moves == 0 {
			w.first = e.Time
		}
		w.last = e.Time
		w.moves++
	}
}

// span returns the span of time in which a request was due.
func (w *ways) span(due time.Time) *way {
	switch {
	case due.After(w.settled):
		return &w.after
	case w.moves == 0 || due.Before(w.first.Add(-time.Second)):
		return &w.before
	}
	return &w.during
}

// count counts a request; near says that it ran in the region in which it was asked for.
func (w *way) count(x seamcaller.Record, near bool) {
	w.sent++
	if x.Outcome != seamcaller.Done {
		return
	}
	if !near {
		w.crossed++
	}
	_ = w.report.Latency.RecordValue(x.End.Sub(x.Due).Microseconds())
}

func (w *way) share() float64 { return float64(w.crossed) / float64(max(w.sent, 1)) }

// add adds the figures of the load from one region.
func (w *ways) add(r *seamexperiment.Result) {
	r.Add("moves", float64(w.moves), seamexperiment.Count)
	r.Add("first-move", w.since(w.first), seamexperiment.Seconds)
	r.Add("last-move", w.since(w.last), seamexperiment.Seconds)
	w.before.add(r, "before")
	w.during.add(r, "during")
	r.Add("longest-during", milliseconds(w.during.report.Quantile(100)), seamexperiment.Milliseconds)
	r.AddAtMost("crossed-after", w.after.share(), seamexperiment.Ratio, crossedTarget)
	r.Add("p50-after", milliseconds(w.after.report.Quantile(50)), seamexperiment.Milliseconds)
	r.AddAtMost("p99-after", milliseconds(w.after.report.Quantile(99)), seamexperiment.Milliseconds, nearTarget)
}

// since returns the time from the start of the load to a move, in seconds; 0 without one.
func (w *ways) since(t time.Time) float64 {
	if t.IsZero() {
		return 0
	}
	return t.Sub(w.started).Seconds()
}

func (w *way) add(r *seamexperiment.Result, name string) {
	r.Add("crossed-"+name, w.share(), seamexperiment.Ratio)
	r.Add("p50-"+name, milliseconds(w.report.Quantile(50)), seamexperiment.Milliseconds)
	r.Add("p99-"+name, milliseconds(w.report.Quantile(99)), seamexperiment.Milliseconds)
}

// explain tells when and where requests were not done.
func explain(s *seamscenario.Scenario, started time.Time) {
	type place struct {
		second       int
		node, reason string
	}
	counts := map[place]int{}
	for _, x := range s.Records.All() {
		if x.Outcome != seamcaller.Done {
			counts[place{second: int(x.Due.Sub(started).Seconds()), node: x.Node, reason: x.Reason}]++
		}
	}
	for p, n := range counts {
		s.Logf("second %d at %s: %d requests not done: %s", p.second, p.node, n, p.reason)
	}
}
