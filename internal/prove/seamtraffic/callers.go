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
	callersNodes    = 9
	callersRate     = 300
	callersDuration = 75 * time.Second
	// evenLoadDuration is the length of the second load, which comes from all regions equally.
	evenLoadDuration = 30 * time.Second
	// settledDuration is the last part of the first load. The owners should have moved before it.
	settledDuration = 20 * time.Second
	// callersKeys is large enough that most slots receive requests.
	callersKeys = 200
	// maxCrossRegionRatio is the largest fraction of requests that may cross regions. A round trip
	// between regions takes longer than latencyObjective.
	maxCrossRegionRatio = 0.01
	// latencyObjective is the users' objective for the p99 latency, in milliseconds.
	latencyObjective = 16
)

// callers calls a keyed service without home regions, first from one region that owns no slot, then
// from all regions equally. It measures latency before, while and after the owners move to the callers.
func callers(ctx context.Context, o seamexperiment.Options) ([]seamexperiment.Result, error) {
	s, stop, err := seamscenario.Start(ctx, seamfleet.Config{
		Nodes: callersNodes, UseProxy: true, Latencies: seamproxy.Reisinger,
		Services: []seamrule.Document{seamscenario.KeyedDocument(nil)},
	}, o)
	if err != nil {
		return nil, err
	}
	defer stop()
	d := callersDuration
	if o.Duration > 0 {
		d = o.Duration
	}
	m := seamscenario.RequestMix{BookFraction: 0.4, KeysPerRegion: callersKeys, Regions: []string{regionWithoutOwners(ctx, s)}}
	s.Logf("callers send from region %s", m.Regions[0])
	started := time.Now()
	load := s.StartLoad(ctx, rateOr(o, callersRate), m)
	if !seamscenario.Sleep(ctx, d) {
		return nil, ctx.Err()
	}
	load.Stop()
	settled := time.Now().Add(-settledDuration)
	before := s.Fleet.Events.Count(seamevent.RangeMoved)
	s.AnyRegion = true
	load = s.StartLoad(ctx, rateOr(o, callersRate), m)
	if !seamscenario.Sleep(ctx, evenLoadDuration) {
		return nil, ctx.Err()
	}
	load.Stop()
	logNotDone(s, started)
	r := seamexperiment.Result{}
	phases, err := newLoadPhases(s, started, settled)
	if err != nil {
		return nil, err
	}
	phases.add(&r)
	r.AddAtMost("moves-even", float64(s.Fleet.Events.Count(seamevent.RangeMoved)-before), seamexperiment.Count, 0)
	return s.Finish(ctx, r)
}

// regionWithoutOwners returns a region whose nodes own no slot, or the first region if there is none.
func regionWithoutOwners(ctx context.Context, s *seamscenario.Scenario) string {
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

// loadPhases groups the requests of a load into those before, during and after the move of the owners.
type loadPhases struct {
	started time.Time
	// settled is the time by which the owners should have moved.
	settled time.Time
	// regions maps the ingress address of a node to its region.
	regions map[string]string
	// executedBy maps a request id to the server that ran it. Names of servers begin with their region.
	executedBy map[string]string
	// firstMove and lastMove are the times of the first and last move of a range, zero if none moved.
	firstMove, lastMove time.Time
	moves               int
	before, after       phase
	// during holds the requests between the first move and the settled part of the load.
	during phase
}

// phase counts the requests of one phase of the load.
type phase struct {
	report            seamcaller.Report
	sent, crossRegion int
}

// newLoadPhases groups the requests of the load that ended settledDuration after settled. The execution
// logs of the targets give the server that ran each request.
func newLoadPhases(s *seamscenario.Scenario, started, settled time.Time) (*loadPhases, error) {
	w := &loadPhases{started: started, settled: settled, regions: map[string]string{}, executedBy: map[string]string{}}
	w.findMoves(s.Fleet.Events.All())
	for _, x := range []*phase{&w.before, &w.during, &w.after} {
		x.report = seamcaller.NewReport()
	}
	for _, x := range s.Fleet.Instances {
		w.regions[x.Ingress] = x.Region
	}
	records := s.Records.All()
	observations, err := s.Fleet.CollectObservations(records)
	if err != nil {
		return nil, err
	}
	for _, x := range observations.ExecutionLog {
		if x.Kind == seamstandtarget.KindRun {
			w.executedBy[x.Request] = x.Server
		}
	}
	for _, x := range records {
		if x.Due.Before(settled.Add(settledDuration)) {
			w.phaseAt(x.Due).count(x, strings.HasPrefix(w.executedBy[x.ID], w.regions[x.Node]+"-"))
		}
	}
	return w, nil
}

// findMoves counts the moves of ranges during the load and keeps the time of the first and the last.
func (w *loadPhases) findMoves(events []seamevent.Event) {
	for _, e := range events {
		if e.Name != seamevent.RangeMoved || e.Time.Before(w.started) || e.Time.After(w.settled.Add(settledDuration)) {
			continue
		}
		if w.moves == 0 {
			w.firstMove = e.Time
		}
		w.lastMove = e.Time
		w.moves++
	}
}

// phaseAt returns the phase of a request that was due at the given time.
func (w *loadPhases) phaseAt(due time.Time) *phase {
	switch {
	case due.After(w.settled):
		return &w.after
	case w.moves == 0 || due.Before(w.firstMove.Add(-time.Second)):
		return &w.before
	}
	return &w.during
}

// count adds a request. sameRegion is true if it ran in the region of the node that received it.
func (w *phase) count(x seamcaller.Record, sameRegion bool) {
	w.sent++
	if x.Outcome != seamcaller.Done {
		return
	}
	if !sameRegion {
		w.crossRegion++
	}
	_ = w.report.Latency.RecordValue(x.End.Sub(x.Due).Microseconds())
}

func (w *phase) crossRegionRatio() float64 { return float64(w.crossRegion) / float64(max(w.sent, 1)) }

// add adds the measurements of the load from one region to r.
func (w *loadPhases) add(r *seamexperiment.Result) {
	r.Add("moves", float64(w.moves), seamexperiment.Count)
	r.Add("first-move", w.secondsUntil(w.firstMove), seamexperiment.Seconds)
	r.Add("last-move", w.secondsUntil(w.lastMove), seamexperiment.Seconds)
	w.before.add(r, "before")
	w.during.add(r, "during")
	r.Add("longest-during", milliseconds(w.during.report.Quantile(100)), seamexperiment.Milliseconds)
	r.AddAtMost("crossed-after", w.after.crossRegionRatio(), seamexperiment.Ratio, maxCrossRegionRatio)
	r.Add("p50-after", milliseconds(w.after.report.Quantile(50)), seamexperiment.Milliseconds)
	r.AddAtMost("p99-after", milliseconds(w.after.report.Quantile(99)), seamexperiment.Milliseconds, latencyObjective)
}

// secondsUntil returns the seconds from the start of the load to a move, or 0 if t is zero.
func (w *loadPhases) secondsUntil(t time.Time) float64 {
	if t.IsZero() {
		return 0
	}
	return t.Sub(w.started).Seconds()
}

func (w *phase) add(r *seamexperiment.Result, name string) {
	r.Add("crossed-"+name, w.crossRegionRatio(), seamexperiment.Ratio)
	r.Add("p50-"+name, milliseconds(w.report.Quantile(50)), seamexperiment.Milliseconds)
	r.Add("p99-"+name, milliseconds(w.report.Quantile(99)), seamexperiment.Milliseconds)
}

// logNotDone logs the requests that were not done, counted by second, node and reason.
func logNotDone(s *seamscenario.Scenario, started time.Time) {
	type group struct {
		second       int
		node, reason string
	}
	counts := map[group]int{}
	for _, x := range s.Records.All() {
		if x.Outcome != seamcaller.Done {
			counts[group{second: int(x.Due.Sub(started).Seconds()), node: x.Node, reason: x.Reason}]++
		}
	}
	for g, n := range counts {
		s.Logf("second %d, node %s: %d requests not done: %s", g.second, g.node, n, g.reason)
	}
}
