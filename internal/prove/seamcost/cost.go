// Package seamcost measures what the control of fleets of several sizes costs.
package seamcost

import (
	"context"
	"fmt"
	"time"

	"gonum.org/v1/gonum/stat"

	"cardamomseam/internal/prove/seamcaller"
	"cardamomseam/internal/prove/seamexperiment"
	"cardamomseam/internal/prove/seamfleet"
	"cardamomseam/internal/prove/seamscenario"
)

// Experiments are the experiments of this package.
var Experiments = []seamexperiment.Experiment{
	{Name: "cost", Usage: "control bytes, processor time, memory, sessions and store calls of fleets of 6 to 96 nodes", Run: cost},
}

// sizes are the sizes of the fleets.
var sizes = []int{6, 12, 24, 48, 96}

const (
	// calm is the time after the start before anything is measured: the sessions that the first
	// requests opened are closed when they have not been used for a minute.
	calm = 75 * time.Second
	// span is the time of each measurement.
	span = 10 * time.Second
	// loadPerNode is the number of requests a second for each node of the measurement under load.
	loadPerNode = 20
	// coreTarget, memoryTarget and bytesTarget are the stated targets of a node's control.
	coreTarget   = 3.0
	memoryTarget = 32 << 20
	bytesTarget  = 4 << 10
)

func cost(ctx context.Context, o seamexperiment.Options) ([]seamexperiment.Result, error) {
	list := sizes
	if o.Nodes > 0 {
		list = []int{o.Nodes}
	}
	var results []seamexperiment.Result
	for _, size := range list {
		started := time.Now()
		r, err := measure(ctx, o, size)
		r.Size, r.Started, r.ElapsedSeconds = size, started, time.Since(started).Seconds()
		results = append(results, r)
		if err != nil {
			return results, err
		}
	}
	if len(results) > 1 {
		fit(results)
	}
	return results, nil
}

func measure(ctx context.Context, o seamexperiment.Options, size int) (seamexperiment.Result, error) {
	o.Nodes = size
	r := seamexperiment.Result{}
	s, stop, err := seamscenario.Start(ctx, seamfleet.Config{Nodes: size, NoExecutionLog: true, LogLevel: "warn"}, o)
	if err != nil {
		return r, err
	}
	defer stop()
	if !seamscenario.Sleep(ctx, calm) {
		return r, ctx.Err()
	}
	d := span
	if o.Duration > 0 {
		d = o.Duration
	}
	idle, err := observe(ctx, s, d)
	if err != nil {
		return r, err
	}
	idle.add(&r, "idle", true)
	load := s.StartLoad(ctx, float64(size)*loadPerNode, seamscenario.DefaultRequestMix())
	loaded, err := observe(ctx, s, d)
	report := load.Stop()
	if err != nil {
		return r, err
	}
	loaded.add(&r, "load", false)
	r.Add("load-done", report.Throughput(), seamexperiment.PerSecond)
	r.Add("load-failed", float64(report.Sent-report.Outcomes[seamcaller.Done]), seamexperiment.Count)
	return r, nil
}

// Roles of nodes. Every node is an ingress; the nodes beside targets are egresses too.
const (
	coordinator = "coordinator"
	backup      = "backup"
	member      = "member"
)

// rates is what one node used a second.
type rates struct {
	sent, received        float64
	session               float64
	core, memory, heap    float64
	sessions, goroutines  float64
	storeDone, storeFails float64
}

// observation is what the nodes of each role used.
type observation struct {
	byRole map[string][]rates
	// calls is the number of store calls a second of the whole fleet, by kind; writes that of changes.
	calls  map[string]float64
	writes float64
}

// reading is the state of the counters of one node.
type reading struct {
	usage   seamfleet.Usage
	metrics map[string]float64
}

func observe(ctx context.Context, s *seamscenario.Scenario, d time.Duration) (observation, error) {
	o := observation{byRole: map[string][]rates{}, calls: map[string]float64{}}
	roles, err := rolesOf(ctx, s)
	if err != nil {
		return o, err
	}
	countsBefore, err := s.Fleet.Store.CallCounts(ctx)
	if err != nil {
		return o, err
	}
	before, err := readAll(ctx, s)
	if err != nil {
		return o, err
	}
	started := time.Now()
	if !seamscenario.Sleep(ctx, d) {
		return o, ctx.Err()
	}
	after, err := readAll(ctx, s)
	if err != nil {
		return o, err
	}
	seconds := time.Since(started).Seconds()
	countsAfter, err := s.Fleet.Store.CallCounts(ctx)
	if err != nil {
		return o, err
	}
	for name, x := range after {
		role := roles[name]
		o.byRole[role] = append(o.byRole[role], difference(before[name], x, seconds))
	}
	for kind, n := range countsAfter.Calls {
		o.calls[kind] = float64(n-countsBefore.Calls[kind]) / seconds
	}
	o.writes = float64(countsAfter.Revision-countsBefore.Revision) / seconds
	return o, nil
}

func rolesOf(ctx context.Context, s *seamscenario.Scenario) (map[string]string, error) {
	coordinators, backups, err := s.Fleet.Coordinators(ctx)
	if err != nil {
		return nil, err
	}
	roles := map[string]string{}
	for _, x := range s.Fleet.Instances {
		roles[x.Name] = member
	}
	for _, name := range backups {
		roles[name] = backup
	}
	for _, name := range coordinators {
		roles[name] = coordinator
	}
	return roles, nil
}

func readAll(ctx context.Context, s *seamscenario.Scenario) (map[string]reading, error) {
	all := map[string]reading{}
	for _, x := range s.Fleet.Instances {
		u, err := x.Node().Usage()
		if err != nil {
			return nil, err
		}
		m, err := x.Metrics(ctx)
		if err != nil {
			return nil, err
		}
		all[x.Name] = reading{usage: u, metrics: m}
	}
	return all, nil
}

func difference(before, after reading, seconds float64) rates {
	rate := func(prefix string, parts ...string) float64 {
		return (seamfleet.SumMetrics(after.metrics, prefix, parts...) - seamfleet.SumMetrics(before.metrics, prefix, parts...)) / seconds
	}
	return rates{
		sent:       rate("cardamomseam_datagram_bytes_total", `way="sent"`),
		received:   rate("cardamomseam_datagram_bytes_total", `way="received"`),
		session:    rate("cardamomseam_session_bytes_total"),
		core:       (after.usage.CPU - before.usage.CPU).Seconds() / seconds * 100,
		memory:     float64(after.usage.Memory),
		heap:       after.metrics["go_memstats_heap_inuse_bytes"],
		sessions:   seamfleet.SumMetrics(after.metrics, "cardamomseam_sessions"),
		goroutines: after.metrics["go_goroutines"],
		storeDone:  rate("cardamomseam_store_calls_total", `result="done"`),
		storeFails: rate("cardamomseam_store_calls_total", `result="failed"`),
	}
}

// add adds the means of each role; targets are judged on the dearest node of the idle fleet.
func (o observation) add(r *seamexperiment.Result, phase string, judged bool) {
	var dearest rates
	for _, role := range []string{coordinator, backup, member} {
		list := o.byRole[role]
		if len(list) == 0 {
			continue
		}
		m := mean(list)
		name := func(what string) string { return fmt.Sprintf("%s-%s-%s", phase, role, what) }
		r.Add(name("nodes"), float64(len(list)), seamexperiment.Count)
		r.Add(name("sent"), m.sent, seamexperiment.BytesPerSecond)
		r.Add(name("received"), m.received, seamexperiment.BytesPerSecond)
		r.Add(name("session"), m.session, seamexperiment.BytesPerSecond)
		r.Add(name("core"), m.core, seamexperiment.Percent)
		r.Add(name("memory"), m.memory, seamexperiment.Bytes)
		r.Add(name("heap"), m.heap, seamexperiment.Bytes)
		r.Add(name("sessions"), m.sessions, seamexperiment.Count)
		r.Add(name("store"), m.storeDone+m.storeFails, seamexperiment.PerSecond)
		for _, x := range list {
			dearest.core = max(dearest.core, x.core)
			dearest.memory = max(dearest.memory, x.memory)
			dearest.sent = max(dearest.sent, x.sent+x.received+x.session)
		}
	}
	total := 0.0
	for kind, n := range o.calls {
		r.Add(phase+"-store-"+kind, n, seamexperiment.PerSecond)
		total += n
	}
	r.Add(phase+"-store-calls", total, seamexperiment.PerSecond)
	r.Add(phase+"-store-writes", o.writes, seamexperiment.PerSecond)
	if judged {
		r.AddAtMost(phase+"-core-max", dearest.core, seamexperiment.Percent, coreTarget)
		r.AddAtMost(phase+"-memory-max", dearest.memory, seamexperiment.Bytes, memoryTarget)
		r.AddAtMost(phase+"-bytes-max", dearest.sent, seamexperiment.BytesPerSecond, bytesTarget)
	}
}

func mean(list []rates) rates {
	var m rates
	n := float64(len(list))
	for _, x := range list {
		m.sent += x.sent / n
		m.received += x.received / n
		m.session += x.session / n
		m.core += x.core / n
		m.memory += x.memory / n
		m.heap += x.heap / n
		m.sessions += x.sessions / n
		m.goroutines += x.goroutines / n
		m.storeDone += x.storeDone / n
		m.storeFails += x.storeFails / n
	}
	return m
}

// fit adds to the last result, for each figure of all sizes, the slope a node and the value at size 0.
func fit(results []seamexperiment.Result) {
	last := &results[len(results)-1]
	for _, f := range append([]seamexperiment.Measurement(nil), last.Measurements...) {
		var x, y []float64
		for _, r := range results {
			for _, g := range r.Measurements {
				if g.Name == f.Name {
					x = append(x, float64(r.Size))
					y = append(y, g.Value)
				}
			}
		}
		if len(x) != len(results) {
			continue
		}
		base, slope := stat.LinearRegression(x, y, nil, false)
		last.Add("base-"+f.Name, base, f.Unit)
		last.Add("slope-"+f.Name, slope, f.Unit+"/node")
	}
}
