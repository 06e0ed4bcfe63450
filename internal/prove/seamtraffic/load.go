// Package seamtraffic measures latency, throughput and failed requests under load: on healthy nodes,
// during rolling restarts, in overload, on faulty connections and with callers in a remote region.
package seamtraffic

import (
	"context"
	"fmt"
	"time"

	"cardamomseam/internal/prove/seamcaller"
	"cardamomseam/internal/prove/seamexperiment"
	"cardamomseam/internal/prove/seamfleet"
	"cardamomseam/internal/prove/seamscenario"
	"cardamomseam/internal/rule/seamrule"
)

// Experiments lists the experiments of this package.
var Experiments = []seamexperiment.Experiment{
	{Name: "load", Usage: "latency of one hop through the router compared with direct HTTP, open loop", Run: load},
	{Name: "drain", Usage: "rolling restart of all nodes by planned stops under load", Run: drain},
	{Name: "surge", Usage: "load of twice the capacity; goodput, latency and imbalance", Run: surge},
	{Name: "crossed", Usage: "delay, reorder and close connections between nodes; check every response", Run: crossed},
	{Name: "callers", Usage: "call keys from a region other than that of their owners; latency before and after the owners move", Run: callers},
}

const (
	// loadRate is the number of requests per second at one node.
	loadRate = 6400
	// loadIterations is the number of pairs of direct and routed load.
	loadIterations = 3
	// loadDuration is the length of each load.
	loadDuration = 3 * time.Second
	// loadResponseBytes is the size of a response, in bytes.
	loadResponseBytes = 512
	// loadServiceTime is below the target's resolution of 1 µs, so that it responds immediately.
	loadServiceTime = time.Nanosecond
	// loadSlots is the concurrency of the target. It is large enough that no request queues at the
	// target, because the router is measured and not the target.
	loadSlots = 110
	// addedLatencyObjective is the largest p99 latency that the router may add, in milliseconds.
	addedLatencyObjective = 2.0
)

func load(ctx context.Context, o seamexperiment.Options) ([]seamexperiment.Result, error) {
	s, stop, err := seamscenario.Start(ctx, seamfleet.Config{
		Nodes: 2, NodesWithoutTarget: 1, Regions: []string{"ost"}, NoExecutionLog: true, ServiceTime: loadServiceTime, TargetConcurrency: loadSlots,
		Services: []seamrule.Document{seamscenario.PlainDocument()}, LogLevel: "warn",
	}, o)
	if err != nil {
		return nil, err
	}
	defer stop()
	b := newComparison(s, o)
	if err := b.run(ctx); err != nil {
		return nil, err
	}
	return []seamexperiment.Result{b.result()}, nil
}

// comparison alternates the same load between the target directly and the router.
type comparison struct {
	scenario *seamscenario.Scenario
	rate     float64
	duration time.Duration
	// ingress is the node without a target, egress the node with the target.
	ingress, egress *seamfleet.Instance

	direct, routed []seamcaller.Report
	cost           nodeCost
}

// nodeCost is the resource usage of both nodes during the routed loads.
type nodeCost struct {
	cpu      time.Duration
	requests int64
	mallocs  float64
	bytes    float64
}

func newComparison(s *seamscenario.Scenario, o seamexperiment.Options) *comparison {
	b := &comparison{scenario: s, rate: loadRate, duration: loadDuration, ingress: s.Fleet.Instances[0], egress: s.Fleet.Instances[1]}
	if o.Rate > 0 {
		b.rate = o.Rate
	}
	if o.Duration > 0 {
		b.duration = o.Duration / (2 * loadIterations)
	}
	return b
}

func (b *comparison) run(ctx context.Context) error {
	b.send(ctx, b.ingress.Ingress, false, time.Second)
	for n := range loadIterations {
		direct := b.send(ctx, b.egress.TargetAddress, true, b.duration)
		b.direct = append(b.direct, direct)
		before, err := b.usage(ctx)
		if err != nil {
			return err
		}
		routed := b.send(ctx, b.ingress.Ingress, false, b.duration)
		b.routed = append(b.routed, routed)
		after, err := b.usage(ctx)
		if err != nil {
			return err
		}
		b.cost.add(before, after, routed.Sent)
		b.scenario.Logf("iteration %d: direct p50 %s p99 %s, routed p50 %s p99 %s, routed done %.0f/s, not done %v", n+1,
			direct.Quantile(50), direct.Quantile(99), routed.Quantile(50), routed.Quantile(99), routed.Throughput(), routed.Reasons)
	}
	return ctx.Err()
}

func (b *comparison) send(ctx context.Context, address string, direct bool, d time.Duration) seamcaller.Report {
	c, stop := seamcaller.NewClient(func(seamcaller.Request) []string { return []string{address} })
	defer stop()
	c.Direct = direct
	name := fmt.Sprintf("load-%d", time.Now().UnixNano())
	return c.Run(ctx, seamcaller.Load{Rate: b.rate, Duration: d, Next: func(n int) seamcaller.Request {
		return seamcaller.Request{
			ID: fmt.Sprintf("%s-%d", name, n), Kind: seamcaller.Echo, Service: seamscenario.PlainService, Size: loadResponseBytes,
		}
	}})
}

// resourceUsage is the total CPU time and memory allocation of both nodes since their start.
type resourceUsage struct {
	cpu            time.Duration
	mallocs, bytes float64
}

func (b *comparison) usage(ctx context.Context) (resourceUsage, error) {
	var s resourceUsage
	for _, x := range []*seamfleet.Instance{b.ingress, b.egress} {
		u, err := x.Node().Usage()
		if err != nil {
			return s, err
		}
		m, err := x.Metrics(ctx)
		if err != nil {
			return s, err
		}
		s.cpu += u.CPU
		s.mallocs += m["go_memstats_mallocs_total"]
		s.bytes += m["go_memstats_alloc_bytes_total"]
	}
	return s, nil
}

func (c *nodeCost) add(before, after resourceUsage, requests int64) {
	c.cpu += after.cpu - before.cpu
	c.mallocs += after.mallocs - before.mallocs
	c.bytes += after.bytes - before.bytes
	c.requests += requests
}

func (b *comparison) result() seamexperiment.Result {
	direct, routed := merge(b.direct), merge(b.routed)
	r := seamexperiment.Result{Size: len(b.scenario.Fleet.Instances)}
	r.Add("rate", b.rate, seamexperiment.PerSecond)
	r.Add("direct-p50", milliseconds(direct.Quantile(50)), seamexperiment.Milliseconds)
	r.Add("direct-p99", milliseconds(direct.Quantile(99)), seamexperiment.Milliseconds)
	r.Add("routed-p50", milliseconds(routed.Quantile(50)), seamexperiment.Milliseconds)
	r.Add("routed-p99", milliseconds(routed.Quantile(99)), seamexperiment.Milliseconds)
	r.Add("ratio-p50", ratio(routed.Quantile(50), direct.Quantile(50)), seamexperiment.Ratio)
	r.Add("ratio-p99", ratio(routed.Quantile(99), direct.Quantile(99)), seamexperiment.Ratio)
	r.AddAtMost("added-p99", milliseconds(routed.Quantile(99)-direct.Quantile(99)), seamexperiment.Milliseconds, addedLatencyObjective)
	r.Add("routed-done", routed.Throughput(), seamexperiment.PerSecond)
	r.AddAtMost("routed-failed", float64(routed.Sent-routed.Outcomes[seamcaller.Done]), seamexperiment.Count, 0)
	r.AddAtMost("direct-failed", float64(direct.Sent-direct.Outcomes[seamcaller.Done]), seamexperiment.Count, 0)
	r.AddAtMost("skipped", float64(routed.Skipped+direct.Skipped), seamexperiment.Count, 0)
	n := float64(max(b.cost.requests, 1))
	r.Add("cpu-request", float64(b.cost.cpu.Microseconds())/n, seamexperiment.Microseconds)
	r.Add("allocations-request", b.cost.mallocs/n, seamexperiment.Count)
	r.Add("allocated-request", b.cost.bytes/n, seamexperiment.Bytes)
	r.Series = append(r.Series, latencyCurve("direct", direct), latencyCurve("routed", routed))
	return r
}

// merge returns the sum of several reports.
func merge(list []seamcaller.Report) seamcaller.Report {
	total := seamcaller.NewReport()
	for _, x := range list {
		total.Add(x)
	}
	return total
}

// latencyCurve returns the latency in milliseconds by percentile.
func latencyCurve(name string, r seamcaller.Report) seamexperiment.Series {
	s := seamexperiment.Series{Name: name, XName: "percentile", YName: "latency ms"}
	for _, q := range []float64{1, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9} {
		s.X = append(s.X, q)
		s.Y = append(s.Y, milliseconds(r.Quantile(q)))
	}
	return s
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func ratio(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
