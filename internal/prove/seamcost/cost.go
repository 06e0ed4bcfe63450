// Package seamcost measures how the resource usage of the control plane grows with the number of
// nodes: network traffic, CPU, memory, sessions and store calls.
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

// Experiments lists the experiments of this package.
var Experiments = []seamexperiment.Experiment{
	{Name: "cost", Usage: "control traffic, CPU, memory, sessions and store calls of fleets of 6 to 96 nodes", Run: cost},
}

// sizes lists the measured fleet sizes, in nodes.
var sizes = []int{6, 12, 24, 48, 96}

const (
	// settleDelay is the time between the start and the first measurement. It is longer than the minute
	// after which the idle sessions of the first requests are closed.
	settleDelay = 75 * time.Second
	// measureDuration is the length of each measurement.
	measureDuration = 10 * time.Second
	// loadPerNode is the number of requests per second and node in the measurement under load.
	loadPerNode = 20
	// cpuObjective, in percent of a core, memoryObjective, in bytes, and trafficObjective, in bytes per
	// second, are the largest allowed resource usage of an idle node.
	cpuObjective     = 3.0
	memoryObjective  = 32 << 20
	trafficObjective = 4 << 10
)

func cost(ctx context.Context, o seamexperiment.Options) ([]seamexperiment.Result, error) {
	fleetSizes := sizes
	if o.Nodes > 0 {
		fleetSizes = []int{o.Nodes}
	}
	var results []seamexperiment.Result
	for _, size := range fleetSizes {
		started := time.Now()
		r, err := measureFleet(ctx, o, size)
		r.Size, r.Started, r.ElapsedSeconds = size, started, time.Since(started).Seconds()
		results = append(results, r)
		if err != nil {
			return results, err
		}
	}
	if len(results) > 1 {
		addLinearFit(results)
	}
	return results, nil
}

func measureFleet(ctx context.Context, o seamexperiment.Options, size int) (seamexperiment.Result, error) {
	o.Nodes = size
	r := seamexperiment.Result{}
	s, stop, err := seamscenario.Start(ctx, seamfleet.Config{Nodes: size, NoExecutionLog: true, LogLevel: "warn"}, o)
	if err != nil {
		return r, err
	}
	defer stop()
	if !seamscenario.Sleep(ctx, settleDelay) {
		return r, ctx.Err()
	}
	d := measureDuration
	if o.Duration > 0 {
		d = o.Duration
	}
	idle, err := measureFor(ctx, s, d)
	if err != nil {
		return r, err
	}
	idle.add(&r, "idle", true)
	load := s.StartLoad(ctx, float64(size)*loadPerNode, seamscenario.DefaultRequestMix())
	loaded, err := measureFor(ctx, s, d)
	report := load.Stop()
	if err != nil {
		return r, err
	}
	loaded.add(&r, "load", false)
	r.Add("load-done", report.Throughput(), seamexperiment.PerSecond)
	r.Add("load-failed", float64(report.Sent-report.Outcomes[seamcaller.Done]), seamexperiment.Count)
	return r, nil
}

// Roles of nodes in their cell. Every node is an ingress; nodes with a target are also an egress.
const (
	roleCoordinator = "coordinator"
	roleBackup      = "backup"
	roleMember      = "member"
)

// nodeUsage is the resource usage of one node: rates per second, and the current memory, sessions and
// goroutines. cpu is in percent of a core. bytesSent and bytesReceived count datagrams, and sessionBytes
// counts the traffic of sessions in both directions.
type nodeUsage struct {
	bytesSent, bytesReceived    float64
	sessionBytes                float64
	cpu, memory, heap           float64
	sessions, goroutines        float64
	storeSucceeded, storeFailed float64
}

// measurement is the resource usage of all nodes by role.
type measurement struct {
	byRole map[string][]nodeUsage
	// calls is the number of store calls per second of all nodes, by kind. writes is the number of store
	// revisions per second.
	calls  map[string]float64
	writes float64
}

// counters holds the resource usage and the metrics of one node at one time.
type counters struct {
	usage   seamfleet.Usage
	metrics map[string]float64
}

func measureFor(ctx context.Context, s *seamscenario.Scenario, d time.Duration) (measurement, error) {
	o := measurement{byRole: map[string][]nodeUsage{}, calls: map[string]float64{}}
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
		o.byRole[role] = append(o.byRole[role], ratesBetween(before[name], x, seconds))
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
		roles[x.Name] = roleMember
	}
	for _, name := range backups {
		roles[name] = roleBackup
	}
	for _, name := range coordinators {
		roles[name] = roleCoordinator
	}
	return roles, nil
}

func readAll(ctx context.Context, s *seamscenario.Scenario) (map[string]counters, error) {
	all := map[string]counters{}
	for _, x := range s.Fleet.Instances {
		u, err := x.Node().Usage()
		if err != nil {
			return nil, err
		}
		m, err := x.Metrics(ctx)
		if err != nil {
			return nil, err
		}
		all[x.Name] = counters{usage: u, metrics: m}
	}
	return all, nil
}

func ratesBetween(before, after counters, seconds float64) nodeUsage {
	rate := func(prefix string, substrings ...string) float64 {
		return (seamfleet.SumMetrics(after.metrics, prefix, substrings...) - seamfleet.SumMetrics(before.metrics, prefix, substrings...)) / seconds
	}
	return nodeUsage{
		bytesSent:      rate("cardamomseam_datagram_bytes_total", `way="sent"`),
		bytesReceived:  rate("cardamomseam_datagram_bytes_total", `way="received"`),
		sessionBytes:   rate("cardamomseam_session_bytes_total"),
		cpu:            (after.usage.CPU - before.usage.CPU).Seconds() / seconds * 100,
		memory:         float64(after.usage.Memory),
		heap:           after.metrics["go_memstats_heap_inuse_bytes"],
		sessions:       seamfleet.SumMetrics(after.metrics, "cardamomseam_sessions"),
		goroutines:     after.metrics["go_goroutines"],
		storeSucceeded: rate("cardamomseam_store_calls_total", `result="done"`),
		storeFailed:    rate("cardamomseam_store_calls_total", `result="failed"`),
	}
}

// add adds the mean usage of each role and the store calls to r. With withObjectives it also adds the
// highest usage of any node, which must meet the objectives.
func (o measurement) add(r *seamexperiment.Result, phase string, withObjectives bool) {
	var highest nodeUsage // highest.bytesSent is the highest sum of all traffic of a node
	for _, role := range []string{roleCoordinator, roleBackup, roleMember} {
		list := o.byRole[role]
		if len(list) == 0 {
			continue
		}
		average := mean(list)
		name := func(quantity string) string { return fmt.Sprintf("%s-%s-%s", phase, role, quantity) }
		r.Add(name("nodes"), float64(len(list)), seamexperiment.Count)
		r.Add(name("sent"), average.bytesSent, seamexperiment.BytesPerSecond)
		r.Add(name("received"), average.bytesReceived, seamexperiment.BytesPerSecond)
		r.Add(name("session"), average.sessionBytes, seamexperiment.BytesPerSecond)
		r.Add(name("core"), average.cpu, seamexperiment.Percent)
		r.Add(name("memory"), average.memory, seamexperiment.Bytes)
		r.Add(name("heap"), average.heap, seamexperiment.Bytes)
		r.Add(name("sessions"), average.sessions, seamexperiment.Count)
		r.Add(name("store"), average.storeSucceeded+average.storeFailed, seamexperiment.PerSecond)
		for _, x := range list {
			highest.cpu = max(highest.cpu, x.cpu)
			highest.memory = max(highest.memory, x.memory)
			highest.bytesSent = max(highest.bytesSent, x.bytesSent+x.bytesReceived+x.sessionBytes)
		}
	}
	total := 0.0
	for kind, n := range o.calls {
		r.Add(phase+"-store-"+kind, n, seamexperiment.PerSecond)
		total += n
	}
	r.Add(phase+"-store-calls", total, seamexperiment.PerSecond)
	r.Add(phase+"-store-writes", o.writes, seamexperiment.PerSecond)
	if withObjectives {
		r.AddAtMost(phase+"-core-max", highest.cpu, seamexperiment.Percent, cpuObjective)
		r.AddAtMost(phase+"-memory-max", highest.memory, seamexperiment.Bytes, memoryObjective)
		r.AddAtMost(phase+"-bytes-max", highest.bytesSent, seamexperiment.BytesPerSecond, trafficObjective)
	}
}

func mean(list []nodeUsage) nodeUsage {
	var m nodeUsage
	n := float64(len(list))
	for _, x := range list {
		m.bytesSent += x.bytesSent / n
		m.bytesReceived += x.bytesReceived / n
		m.sessionBytes += x.sessionBytes / n
		m.cpu += x.cpu / n
		m.memory += x.memory / n
		m.heap += x.heap / n
		m.sessions += x.sessions / n
		m.goroutines += x.goroutines / n
		m.storeSucceeded += x.storeSucceeded / n
		m.storeFailed += x.storeFailed / n
	}
	return m
}

// addLinearFit adds linear regressions over the fleet size to the last result: for each measurement that
// all results have, the value at size 0 and the slope per node.
func addLinearFit(results []seamexperiment.Result) {
	last := &results[len(results)-1]
	for _, m := range append([]seamexperiment.Measurement(nil), last.Measurements...) {
		var x, y []float64
		for _, r := range results {
			for _, other := range r.Measurements {
				if other.Name == m.Name {
					x = append(x, float64(r.Size))
					y = append(y, other.Value)
				}
			}
		}
		if len(x) != len(results) {
			continue
		}
		base, slope := stat.LinearRegression(x, y, nil, false)
		last.Add("base-"+m.Name, base, m.Unit)
		last.Add("slope-"+m.Name, slope, m.Unit+"/node")
	}
}
