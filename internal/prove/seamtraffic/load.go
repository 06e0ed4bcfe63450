// Package seamtraffic holds the experiments about requests: load, drain, surge and crossed.
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

// Experiments are the experiments of this package.
var Experiments = []seamexperiment.Experiment{
	{Name: "load", Usage: "latency of one hop through the router beside direct HTTP, open loop", Run: load},
	{Name: "drain", Usage: "stop and start every node as planned under load", Run: drain},
	{Name: "surge", Usage: "offer twice the capacity; goodput, queue time and imbalance", Run: surge},
	{Name: "crossed", Usage: "delay, reorder and cut connections between nodes; check every answer", Run: crossed},
	{Name: "callers", Usage: "call keys from another region than their owners'; latency before and after the owners move", Run: callers},
}

const (
	// loadRate is the number of requests a second at one node.
	loadRate = 6400
	// loadTurns is the number of times that direct and routed load alternate.
	loadTurns = 3
	// loadTime is the length of one turn of each.
	loadTime = 3 * time.Second
	// loadSize is the size of an answer, in bytes.
	loadSize = 512
	// loadService is less than the target can tell, so that it answers at once.
	loadService = time.Nanosecond
	// loadSlots are enough for the target not to queue: the router is measured, not the target.
	loadSlots = 110
	// addedTarget is the stated target for what the router adds to p99, in milliseconds.
	addedTarget = 2.0
)

func load(ctx context.Context, o seamexperiment.Options) ([]seamexperiment.Result, error) {
	s, stop, err := seamscenario.Start(ctx, seamfleet.Config{
		Nodes: 2, NodesWithoutTarget: 1, Regions: []string{"ost"}, NoExecutionLog: true, ServiceTime: loadService, Slots: loadSlots,
		Services: []seamrule.Document{seamscenario.PlainDocument()}, LogLevel: "warn",
	}, o)
	if err != nil {
		return nil, err
	}
	defer stop()
	b := newBeside(s, o)
	if err := b.run(ctx); err != nil {
		return nil, err
	}
	return []seamexperiment.Result{b.result()}, nil
}

// beside alternates the same load directly at the target and through the router.
type beside struct {
	scene *seamscenario.Scenario
	rate  float64
	turn  time.Duration
	// ingress is the bare node, egress the one with the target.
	ingress, egress *seamfleet.Instance

	direct, routed []seamcaller.Report
	cost           nodeCost
}

// nodeCost is what the two nodes used during the routed turns.
type nodeCost struct {
	cpu      time.Duration
	requests int64
	mallocs  float64
	bytes    float64
}

func newBeside(s *seamscenario.Scenario, o seamexperiment.Options) *beside {
	b := &beside{scene: s, rate: loadRate, turn: loadTime, ingress: s.Fleet.Instances[0], egress: s.Fleet.Instances[1]}
	if o.Rate > 0 {
		b.rate = o.Rate
	}
	if o.Duration > 0 {
		b.turn = o.Duration / (2 * loadTurns)
	}
	return b
}

func (b *beside) run(ctx context.Context) error {
	b.send(ctx, b.ingress.Ingress, false, time.Second)
	for n := range loadTurns {
		direct := b.send(ctx, b.egress.TargetAddress, true, b.turn)
		b.direct = append(b.direct, direct)
		before, err := b.usage(ctx)
		if err != nil {
			return err
		}
		routed := b.send(ctx, b.ingress.Ingress, false, b.turn)
		b.routed = append(b.routed, routed)
		after, err := b.usage(ctx)
		if err != nil {
			return err
		}
		b.cost.add(before, after, routed.Sent)
		b.scene.Logf("turn %d: direct p50 %s p99 %s, routed p50 %s p99 %s, routed done %.0f/s, not done %v", n+1,
			direct.Quantile(50), direct.Quantile(99), routed.Quantile(50), routed.Quantile(99), routed.Throughput(), routed.Reasons)
	}
	return ctx.Err()
}

func (b *beside) send(ctx context.Context, address string, direct bool, d time.Duration) seamcaller.Report {
	c, stop := seamcaller.NewClient(func(seamcaller.Request) []string { return []string{address} })
	defer stop()
	c.Direct = direct
	name := fmt.Sprintf("load-%d", time.Now().UnixNano())
	return c.Run(ctx, seamcaller.Load{Rate: b.rate, Duration: d, Next: func(n int) seamcaller.Request {
		return seamcaller.Request{
			ID: fmt.Sprintf("%s-%d", name, n), Kind: seamcaller.Echo, Service: seamscenario.PlainService, Size: loadSize,
		}
	}})
}

// sample is what both nodes used until now.
type sample struct {
	cpu            time.Duration
	mallocs, bytes float64
}

func (b *beside) usage(ctx context.Context) (sample, error) {
	var s sample
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

func (c *nodeCost) add(before, after sample, requests int64) {
	c.cpu += after.cpu - before.cpu
	c.mallocs += after.mallocs - before.mallocs
	c.bytes += after.bytes - before.bytes
	c.requests += requests
}

func (b *beside) result() seamexperiment.Result {
	direct, routed := merge(b.direct), merge(b.routed)
	r := seamexperiment.Result{Size: len(b.scene.Fleet.Instances)}
	r.Add("rate", b.rate, seamexperiment.PerSecond)
	r.Add("direct-p50", milliseconds(direct.Quantile(50)), seamexperiment.Milliseconds)
	r.Add("direct-p99", milliseconds(direct.Quantile(99)), seamexperiment.Milliseconds)
	r.Add("routed-p50", milliseconds(routed.Quantile(50)), seamexperiment.Milliseconds)
	r.Add("routed-p99", milliseconds(routed.Quantile(99)), seamexperiment.Milliseconds)
	r.Add("ratio-p50", ratio(routed.Quantile(50), direct.Quantile(50)), seamexperiment.Ratio)
	r.Add("ratio-p99", ratio(routed.Quantile(99), direct.Quantile(99)), seamexperiment.Ratio)
	r.AddAtMost("added-p99", milliseconds(routed.Quantile(99)-direct.Quantile(99)), seamexperiment.Milliseconds, addedTarget)
	r.Add("routed-done", routed.Throughput(), seamexperiment.PerSecond)
	r.AddAtMost("routed-failed", float64(routed.Sent-routed.Outcomes[seamcaller.Done]), seamexperiment.Count, 0)
	r.AddAtMost("direct-failed", float64(direct.Sent-direct.Outcomes[seamcaller.Done]), seamexperiment.Count, 0)
	r.AddAtMost("skipped", float64(routed.Skipped+direct.Skipped), seamexperiment.Count, 0)
	n := float64(max(b.cost.requests, 1))
	r.Add("cpu-request", float64(b.cost.cpu.Microseconds())/n, seamexperiment.Microseconds)
	r.Add("allocations-request", b.cost.mallocs/n, seamexperiment.Count)
	r.Add("allocated-request", b.cost.bytes/n, seamexperiment.Bytes)
	r.Series = append(r.Series, curve("direct", direct), curve("routed", routed))
	return r
}

// merge adds up the reports of several turns.
func merge(list []seamcaller.Report) seamcaller.Report {
	total := seamcaller.NewReport()
	for _, x := range list {
		total.Add(x)
	}
	return total
}

// curve draws the latency against the quantile.
func curve(name string, r seamcaller.Report) seamexperiment.Series {
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
