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
	crossedNodes    = 9
	crossedRate     = 1000
	crossedDuration = 100 * time.Second
	// crossedJitter is the jitter of the delay of stream chunks and datagrams between nodes.
	crossedJitter = 15 * time.Millisecond
	crossedLoss   = 0.02
	// crossedMaxBytes is the size of the largest response, in bytes.
	crossedMaxBytes = 128 << 10
	// faultInterval is the time between two injected faults.
	faultInterval = 150 * time.Millisecond
	// blockedDuration is the time for which a blocked link passes no data.
	blockedDuration = 300 * time.Millisecond
	// blockedFraction is the fraction of faults that block a link. The others close its connections.
	blockedFraction = 0.2
)

// crossed delays stream chunks and datagrams between nodes, drops datagrams, blocks links and closes
// connections, while callers check that each response belongs to its request.
func crossed(ctx context.Context, o seamexperiment.Options) ([]seamexperiment.Result, error) {
	s, stop, err := seamscenario.Start(ctx, seamfleet.Config{Nodes: crossedNodes, UseProxy: true, Latencies: seamproxy.Reisinger}, o)
	if err != nil {
		return nil, err
	}
	defer stop()
	duration := crossedDuration
	if o.Duration > 0 {
		duration = o.Duration
	}
	s.AnyRegion = true
	m := seamscenario.DefaultRequestMix()
	m.EchoFraction, m.MaxEchoBytes = 0.4, crossedMaxBytes
	removeFault := s.Fleet.Network.Inject(seamproxy.Fault{From: "*", To: "*", Link: seamproxy.Link{Jitter: crossedJitter, Loss: crossedLoss}})
	load := s.StartLoad(ctx, rateOr(o, crossedRate), m)
	closed, blocked := injectFaults(ctx, s, duration)
	removeFault()
	report := load.Stop()
	s.Logf("%d connections closed, %d links blocked, outcomes %v", closed, blocked, report.Outcomes)
	r := seamexperiment.Result{}
	r.Add("severed", float64(closed), seamexperiment.Count)
	r.Add("held", float64(blocked), seamexperiment.Count)
	r.Add("latency-p99", milliseconds(report.Quantile(99)), seamexperiment.Milliseconds)
	return s.Finish(ctx, r)
}

// injectFaults closes connections and blocks links between random pairs of nodes for the duration d.
func injectFaults(ctx context.Context, s *seamscenario.Scenario, d time.Duration) (closed, blocked int) {
	end := time.Now().Add(d)
	for time.Now().Before(end) && seamscenario.Sleep(ctx, faultInterval) {
		a, b := randomPair(s)
		if s.Random.Float64() >= blockedFraction {
			closed += s.Fleet.Proxy.Sever(a, b)
			continue
		}
		removeFault := s.Fleet.Network.Partition(a, b)
		time.AfterFunc(blockedDuration, removeFault)
		blocked++
	}
	return closed, blocked
}

// randomPair returns the names of two different random nodes.
func randomPair(s *seamscenario.Scenario) (a, b string) {
	list := s.Fleet.Instances
	first := s.Random.IntN(len(list))
	second := (first + 1 + s.Random.IntN(len(list)-1)) % len(list)
	return list[first].Name, list[second].Name
}
