package seamtraffic

import (
	"context"
	"time"

	"cardamomseam/internal/prove/seamexperiment"
	"cardamomseam/internal/prove/seamfleet"
	"cardamomseam/internal/prove/seamscenario"
	"cardamomseam/internal/stand/seamproxy"
)

const (
	crossedNodes = 9
	crossedRate  = 1000
	crossedTime  = 100 * time.Second
	// crossedJitter delays the pieces of connections and the datagrams.
	crossedJitter = 15 * time.Millisecond
	crossedLoss   = 0.02
	// crossedSize is the largest answer, in bytes.
	crossedSize = 128 << 10
	// severPause is the time between two cuts.
	severPause = 150 * time.Millisecond
	// heldTime is the time for which a link now and then passes nothing.
	heldTime = 300 * time.Millisecond
	// heldPart is the part of faults that hold a link instead of severing its connections.
	heldPart = 0.2
)

// crossed disturbs the connections between nodes while callers check every answer.
func crossed(ctx context.Context, o seamexperiment.Options) ([]seamexperiment.Result, error) {
	s, stop, err := seamscenario.Start(ctx, seamfleet.Config{Nodes: crossedNodes, UseProxy: true, Latencies: seamproxy.Reisinger}, o)
	if err != nil {
		return nil, err
	}
	defer stop()
	d := crossedTime
	if o.Duration > 0 {
		d = o.Duration
	}
	s.AnyRegion = true
	m := seamscenario.DefaultRequestMix()
	m.EchoFraction, m.MaxEchoBytes = 0.4, crossedSize
	heal := s.Fleet.Network.Inject(seamproxy.Fault{From: "*", To: "*", Link: seamproxy.Link{Jitter: crossedJitter, Loss: crossedLoss}})
	load := s.StartLoad(ctx, rateOr(o, crossedRate), m)
	severed, held := disturb(ctx, s, d)
	heal()
	report := load.Stop()
	s.Logf("%d connections severed, %d links held, outcomes %v", severed, held, report.Outcomes)
	r := seamexperiment.Result{}
	r.Add("severed", float64(severed), seamexperiment.Count)
	r.Add("held", float64(held), seamexperiment.Count)
	r.Add("latency-p99", milliseconds(report.Quantile(99)), seamexperiment.Milliseconds)
	return s.Finish(ctx, r)
}

// disturb severs connections and holds links between random pairs of nodes for a time.
func disturb(ctx context.Context, s *seamscenario.Scenario, d time.Duration) (severed, held int) {
	end := time.Now().Add(d)
	for time.Now().Before(end) && seamscenario.Sleep(ctx, severPause) {
		a, b := pair(s)
		if s.Random.Float64() >= heldPart {
			severed += s.Fleet.Proxy.Sever(a, b)
			continue
		}
		heal := s.Fleet.Network.Partition(a, b)
		time.AfterFunc(heldTime, heal)
		held++
	}
	return severed, held
}

// pair returns the names of two different nodes.
func pair(s *seamscenario.Scenario) (a, b string) {
	list := s.Fleet.Instances
	first := s.Random.IntN(len(list))
	second := (first + 1 + s.Random.IntN(len(list)-1)) % len(list)
	return list[first].Name, list[second].Name
}
