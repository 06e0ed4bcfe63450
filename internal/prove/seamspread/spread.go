// Package seamspread measures how long a rule change takes to be in force on all nodes, and checks that
// concurrent changes and store faults neither lose nor duplicate changes.
package seamspread

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"sync"
	"time"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/prove/seamexperiment"
	"cardamomseam/internal/prove/seamfleet"
	"cardamomseam/internal/prove/seamscenario"
	"cardamomseam/internal/stand/seamproxy"
)

// Experiments lists the experiments of this package.
var Experiments = []seamexperiment.Experiment{
	{Name: "spread", Usage: "time until a rule change is in force on the last node, with message loss and restarts", Run: spread},
	{Name: "calm", Usage: "time until a rule change is in force on the last node, without faults", Run: calm},
	{Name: "race", Usage: "eight operators change the same document concurrently", Run: race},
	{Name: "flap", Usage: "rule changes during store outages and lost store responses", Run: flap},
}

const (
	spreadNodes   = 60
	spreadChanges = 200
	// spreadLoss is the fraction of messages between nodes that is lost.
	spreadLoss = 0.2
	// restartInterval is the time between two node restarts.
	restartInterval = 2 * time.Second
	// changeInterval is the time between two changes.
	changeInterval = 300 * time.Millisecond
	// inForceObjective is the objective for the longest time until a change is in force on all nodes, with
	// or without faults, in seconds.
	inForceObjective = 6.0
	// calmInForceObjective is the objective for the 99th percentile of that time without faults, in seconds.
	calmInForceObjective = 1.0
	// lastChangeTimeout is the longest time to wait until the last change is in force.
	lastChangeTimeout = 8 * time.Second
)

// spread makes changes while messages are lost and nodes restart.
func spread(ctx context.Context, o seamexperiment.Options) ([]seamexperiment.Result, error) {
	return measure(ctx, o, true)
}

// calm makes changes without message loss and restarts.
func calm(ctx context.Context, o seamexperiment.Options) ([]seamexperiment.Result, error) {
	return measure(ctx, o, false)
}

func measure(ctx context.Context, o seamexperiment.Options, faults bool) ([]seamexperiment.Result, error) {
	s, stop, err := seamscenario.Start(ctx, seamfleet.Config{
		Nodes: spreadNodes, UseProxy: true, Latencies: seamproxy.Lakeshore, Regions: seamfleet.LakeshoreRegions, NoExecutionLog: true,
	}, o)
	if err != nil {
		return nil, err
	}
	defer stop()
	if faults {
		s.Fleet.Network.Inject(seamproxy.Fault{From: "*", To: "*", Link: seamproxy.Link{Loss: spreadLoss}})
	}
	before, err := s.Fleet.Store.CallCounts(ctx)
	if err != nil {
		return nil, err
	}
	d := &changeRun{scenario: s, faults: faults, downtimes: map[string][]downtime{}}
	if err := d.run(ctx, roundsOrDefault(o, spreadChanges)); err != nil {
		return nil, err
	}
	after, err := s.Fleet.Store.CallCounts(ctx)
	if err != nil {
		return nil, err
	}
	r := seamexperiment.Result{}
	d.addMeasurements(&r)
	r.Add("store-calls-change", (sumCalls(after.Calls)-sumCalls(before.Calls))/float64(max(len(d.recorded), 1)), seamexperiment.Count)
	return s.Finish(ctx, r)
}

func roundsOrDefault(o seamexperiment.Options, fallback int) int {
	if o.Rounds > 0 {
		return o.Rounds
	}
	return fallback
}

func sumCalls(kinds map[string]int64) float64 {
	total := int64(0)
	for _, n := range kinds {
		total += n
	}
	return float64(total)
}

// changeRun makes a series of rule changes and measures when they are in force.
type changeRun struct {
	scenario *seamscenario.Scenario
	// faults is true if messages are lost and nodes restart.
	faults   bool
	recorded []change
	failed   int

	mu sync.Mutex
	// downtimes holds the periods in which nodes did not run, by name.
	downtimes map[string][]downtime
}

type change struct {
	revision int64
	// recordedAt is the time of the event by which a node reported that it recorded the change. If
	// there is no such event because the node was killed, it is the time at which the caller received
	// the response.
	recordedAt time.Time
}

type downtime struct {
	from, to time.Time
}

func (d *changeRun) run(ctx context.Context, count int) error {
	restarts, stopRestarts := context.WithCancel(ctx)
	var restarting sync.WaitGroup
	if d.faults {
		restarting.Go(func() { d.restartNodes(restarts) })
	}
	defer restarting.Wait()
	defer stopRestarts()
	stopWatching := d.scenario.WatchRules(ctx)
	defer stopWatching()
	for n := range count {
		d.makeChange(ctx, n)
		if !seamscenario.Sleep(ctx, changeInterval) {
			return ctx.Err()
		}
	}
	if len(d.recorded) > 0 {
		last := d.recorded[len(d.recorded)-1]
		stopRestarts()
		restarting.Wait()
		d.scenario.CheckRevisionApplied(ctx, seamscenario.PlainService, last.revision, lastChangeTimeout)
	}
	return ctx.Err()
}

// makeChange makes change n through one of the nodes in turn, or the next one if that node is down.
func (d *changeRun) makeChange(ctx context.Context, n int) {
	list := d.scenario.Fleet.Instances
	x := list[n%len(list)]
	if !x.Live() {
		x = list[(n+1)%len(list)]
	}
	r, err := x.PutRule(ctx, seamscenario.DocumentVariant(strconv.Itoa(n)))
	if err != nil {
		d.failed++
		d.scenario.Logf("change %d through node %s: %v", n, x.Name, err)
		return
	}
	d.recorded = append(d.recorded, change{revision: r.Revision, recordedAt: time.Now()})
}

// restartNodes kills and restarts one node every restartInterval.
func (d *changeRun) restartNodes(ctx context.Context) {
	for n := 0; seamscenario.Sleep(ctx, restartInterval); n++ {
		x := d.scenario.Fleet.Instances[(n*7+3)%len(d.scenario.Fleet.Instances)]
		from := time.Now()
		x.KillNode()
		if err := x.StartNode(); err != nil {
			d.scenario.Logf("restart node %s: %v", x.Name, err)
			return
		}
		d.mu.Lock()
		d.downtimes[x.Name] = append(d.downtimes[x.Name], downtime{from: from, to: time.Now()})
		d.mu.Unlock()
	}
}

func (d *changeRun) addMeasurements(r *seamexperiment.Result) {
	events := d.scenario.Fleet.Events.All()
	applied := appliedTimes(events)
	recorded := recordedTimes(events)
	var times []float64
	unfinished := 0
	for _, c := range d.recorded {
		if at, ok := recorded[c.revision]; ok {
			c.recordedAt = at
		}
		longest, ok := d.timeToLastNode(c, applied)
		if !ok {
			unfinished++
			continue
		}
		times = append(times, longest.Seconds())
	}
	sort.Float64s(times)
	r.Add("changes", float64(len(d.recorded)), seamexperiment.Count)
	r.Add("changes-failed", float64(d.failed), seamexperiment.Count)
	r.AddAtMost("unfinished", float64(unfinished), seamexperiment.Count, 0)
	r.Add("inforce-p50", quantile(times, 0.5), seamexperiment.Seconds)
	if d.faults {
		r.Add("inforce-p99", quantile(times, 0.99), seamexperiment.Seconds)
	} else {
		r.AddAtMost("inforce-p99", quantile(times, 0.99), seamexperiment.Seconds, calmInForceObjective)
	}
	r.AddAtMost("inforce-max", quantile(times, 1), seamexperiment.Seconds, inForceObjective)
	series := seamexperiment.Series{Name: "changes", XName: "share of changes", YName: "in force s"}
	for n, v := range times {
		series.X = append(series.X, float64(n+1)/float64(len(times)))
		series.Y = append(series.Y, v)
	}
	r.Series = append(r.Series, series)
}

// appliedRevision is a revision and the time at which a node applied it.
type appliedRevision struct {
	appliedAt time.Time
	revision  int64
}

func appliedTimes(events []seamevent.Event) map[string][]appliedRevision {
	applied := map[string][]appliedRevision{}
	for _, e := range events {
		revision, ok := e.Fields["revision"].(float64)
		if e.Name == seamevent.RuleApplied && ok {
			applied[e.Node] = append(applied[e.Node], appliedRevision{appliedAt: e.Time, revision: int64(revision)})
		}
	}
	return applied
}

// recordedTimes returns the time at which each revision was recorded.
func recordedTimes(events []seamevent.Event) map[int64]time.Time {
	recorded := map[int64]time.Time{}
	for _, e := range events {
		revision, ok := e.Fields["revision"].(float64)
		if e.Name == seamevent.RuleRecorded && ok {
			recorded[int64(revision)] = e.Time
		}
	}
	return recorded
}

// timeToLastNode returns the time until the last node applied the change, and false if a node did not.
// Nodes that were down at some time between the two are ignored: they serve no requests before they have the rules of
// their cell.
func (d *changeRun) timeToLastNode(c change, applied map[string][]appliedRevision) (time.Duration, bool) {
	longest := time.Duration(0)
	for _, x := range d.scenario.Fleet.Instances {
		at, ok := firstApplied(applied[x.Name], c)
		if d.wasDown(x.Name, c.recordedAt, at, ok) {
			continue
		}
		if !ok {
			return 0, false
		}
		longest = max(longest, at.Sub(c.recordedAt))
	}
	return longest, true
}

func firstApplied(list []appliedRevision, c change) (time.Time, bool) {
	for _, a := range list {
		if a.revision >= c.revision {
			return a.appliedAt, true
		}
	}
	return time.Time{}, false
}

func (d *changeRun) wasDown(name string, from, to time.Time, applied bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, x := range d.downtimes[name] {
		if x.to.After(from) && (!applied || x.from.Before(to)) {
			return true
		}
	}
	return false
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// writerName returns the name that identifies change n of an operator.
func writerName(operator, n int) string {
	return fmt.Sprintf("operator-%d-%d", operator, n)
}
