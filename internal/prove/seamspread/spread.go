// Package seamspread holds the experiments about rules: spread, race and flap.
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

// Experiments are the experiments of this package.
var Experiments = []seamexperiment.Experiment{
	{Name: "spread", Usage: "time until a change of the rules is in force on the last node, under loss and restarts", Run: spread},
	{Name: "calm", Usage: "time until a change of the rules is in force on the last node, without faults", Run: calm},
	{Name: "race", Usage: "eight operators change the same document at once", Run: race},
	{Name: "flap", Usage: "change rules through outages and lost answers of the store", Run: flap},
}

const (
	spreadNodes   = 60
	spreadChanges = 200
	// spreadLoss is the part of messages between nodes that is lost.
	spreadLoss = 0.2
	// restartPeriod is the time between two restarts of a node.
	restartPeriod = 2 * time.Second
	// changePause is the time between two changes.
	changePause = 300 * time.Millisecond
	// inForce is the stated target under faults, in seconds.
	inForce = 6.0
	// inForceCalm is the stated target at p99 without faults, in seconds.
	inForceCalm = 1.0
	// lastWait is the time after the last change in which it must be in force.
	lastWait = 8 * time.Second
)

// spread records changes while messages are lost and nodes restart.
func spread(ctx context.Context, o seamexperiment.Options) ([]seamexperiment.Result, error) {
	return measure(ctx, o, true)
}

// calm records changes while nothing is lost and nothing restarts.
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
	d := &spreading{scene: s, faults: faults, downs: map[string][]down{}}
	if err := d.run(ctx, changes(o, spreadChanges)); err != nil {
		return nil, err
	}
	after, err := s.Fleet.Store.CallCounts(ctx)
	if err != nil {
		return nil, err
	}
	r := seamexperiment.Result{}
	d.add(&r)
	r.Add("store-calls-change", (calls(after.Calls)-calls(before.Calls))/float64(max(len(d.recorded), 1)), seamexperiment.Count)
	return s.Finish(ctx, r)
}

func changes(o seamexperiment.Options, otherwise int) int {
	if o.Rounds > 0 {
		return o.Rounds
	}
	return otherwise
}

func calls(kinds map[string]int64) float64 {
	total := int64(0)
	for _, n := range kinds {
		total += n
	}
	return float64(total)
}

// spreading is one run of changes.
type spreading struct {
	scene *seamscenario.Scenario
	// faults says that messages are lost and nodes restart.
	faults   bool
	recorded []change
	failed   int

	mu sync.Mutex
	// downs are the times for which nodes did not run.
	downs map[string][]down
}

type change struct {
	revision int64
	// at is when the recording node said so, or when the caller heard of it if that node was killed since.
	at time.Time
}

type down struct {
	from, to time.Time
}

func (d *spreading) run(ctx context.Context, count int) error {
	restarts, stopRestarts := context.WithCancel(ctx)
	var restarting sync.WaitGroup
	if d.faults {
		restarting.Go(func() { d.restart(restarts) })
	}
	defer restarting.Wait()
	defer stopRestarts()
	watching := d.scene.WatchRules(ctx)
	defer watching()
	for n := range count {
		d.record(ctx, n)
		if !seamscenario.Sleep(ctx, changePause) {
			return ctx.Err()
		}
	}
	if len(d.recorded) > 0 {
		last := d.recorded[len(d.recorded)-1]
		stopRestarts()
		restarting.Wait()
		d.scene.CheckRevisionApplied(ctx, seamscenario.PlainService, last.revision, lastWait)
	}
	return ctx.Err()
}

// record makes one change through a random node.
func (d *spreading) record(ctx context.Context, n int) {
	list := d.scene.Fleet.Instances
	x := list[n%len(list)]
	if !x.Live() {
		x = list[(n+1)%len(list)]
	}
	r, err := x.PutRule(ctx, seamscenario.DocumentVariant(strconv.Itoa(n)))
	if err != nil {
		d.failed++
		d.scene.Logf("change %d through %s: %v", n, x.Name, err)
		return
	}
	d.recorded = append(d.recorded, change{revision: r.Revision, at: time.Now()})
}

// restart kills and starts a node each restartPeriod.
func (d *spreading) restart(ctx context.Context) {
	for n := 0; seamscenario.Sleep(ctx, restartPeriod); n++ {
		x := d.scene.Fleet.Instances[(n*7+3)%len(d.scene.Fleet.Instances)]
		from := time.Now()
		x.KillNode()
		if err := x.StartNode(); err != nil {
			d.scene.Logf("restart of %s: %v", x.Name, err)
			return
		}
		d.mu.Lock()
		d.downs[x.Name] = append(d.downs[x.Name], down{from: from, to: time.Now()})
		d.mu.Unlock()
	}
}

func (d *spreading) add(r *seamexperiment.Result) {
	events := d.scene.Fleet.Events.All()
	applied := appliedTimes(events)
	recorded := recordedTimes(events)
	var times []float64
	unfinished := 0
	for _, c := range d.recorded {
		if at, ok := recorded[c.revision]; ok {
			c.at = at
		}
		longest, ok := d.last(c, applied)
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
		r.AddAtMost("inforce-p99", quantile(times, 0.99), seamexperiment.Seconds, inForceCalm)
	}
	r.AddAtMost("inforce-max", quantile(times, 1), seamexperiment.Seconds, inForce)
	series := seamexperiment.Series{Name: "changes", XName: "share of changes", YName: "in force s"}
	for n, v := range times {
		series.X = append(series.X, float64(n+1)/float64(len(times)))
		series.Y = append(series.Y, v)
	}
	r.Series = append(r.Series, series)
}

// application is one node's step to a revision.
type application struct {
	at       time.Time
	revision int64
}

func appliedTimes(events []seamevent.Event) map[string][]application {
	applied := map[string][]application{}
	for _, e := range events {
		revision, ok := e.Fields["revision"].(float64)
		if e.Name == seamevent.RuleApplied && ok {
			applied[e.Node] = append(applied[e.Node], application{at: e.Time, revision: int64(revision)})
		}
	}
	return applied
}

// recordedTimes returns when each revision was recorded.
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

// last returns the time until the last node had the change. Nodes that were down in between
// are left out: they serve nothing before they have the rules of their cell.
func (d *spreading) last(c change, applied map[string][]application) (time.Duration, bool) {
	longest := time.Duration(0)
	for _, x := range d.scene.Fleet.Instances {
		at, ok := firstWith(applied[x.Name], c)
		if d.wasDown(x.Name, c.at, at, ok) {
			continue
		}
		if !ok {
			return 0, false
		}
		longest = max(longest, at.Sub(c.at))
	}
	return longest, true
}

func firstWith(list []application, c change) (time.Time, bool) {
	for _, a := range list {
		if a.revision >= c.revision {
			return a.at, true
		}
	}
	return time.Time{}, false
}

func (d *spreading) wasDown(name string, from, to time.Time, applied bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, x := range d.downs[name] {
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

// writerName identifies one change of one operator.
func writerName(operator, n int) string {
	return fmt.Sprintf("operator-%d-%d", operator, n)
}
