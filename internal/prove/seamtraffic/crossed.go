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
	// crossedJitter delays the pieces of connections and the datagrams.
	crossedJitter = 15 * time.Millisecond
	crossedLoss   = 0.02
	// crossedSize is the largest answer, in bytes.
	crossedMaxBytes = 128 << 10
	// severPause is the time between two cuts.
	faultInterval = 150 * time.Millisecond
	// heldTime is the time for which a link now and then passes nothing.
	blockedDuration = 300 * time.Millisecond
	// heldPart is the part of faults that hold a link instead of severing its connections.
	blockedFraction = 0.2
)

// crossed disturbs the connections between nodes while callers check every answer.
func crossed(ctx context.Context, o seamexperiment.Options) ([]seamexperiment.Result, error) {
	s, stop, err := seamscenario.Open(ctx, seamfleet.Config{Nodes: crossedNodes, Proxied: true, Latencies: seamproxy.Reisinger}, o)
	if err != nil {
		return nil, err
	}
	defer stop()
	d := crossedDuration
	if o.For > 0 {
		d = o.For
	}
	s.Anywhere = true
	m := seamscenario.DefaultMix()
	m.Echo, m.Size = 0.4, crossedMaxBytes
	removeFault := s.Fleet.Network.Inject(seamproxy.Fault{From: "*", To: "*", Link: seamproxy.Link{Jitter: crossedJitter, Loss: crossedLoss}})
	load := s.Start(ctx, rateOr(o, crossedRate), m)
	severed, blocked := injectFaults(ctx, s, d)
	removeFault()
	report := load.Stop()
	s.Say("%d connections severed, %d links held, outcomes %v", severed, blocked, report.Outcomes)
	r := seamexperiment.Result{}
	r.Add("severed", float64(severed), seamexperiment.Count)
	r.Add("held", float64(blocked), seamexperiment.Count)
	r.Add("latency-p99", milliseconds(report.Quantile(99)), seamexperiment.Milliseconds)
	return s.Finish(ctx, r)
}

// disturb severs connections and holds links between random pairs of nodes for a time.
func injectFaults(ctx context.Context, s *seamscenario.Scene, d time.Duration) (severed, blocked int) {
	end := time.Now().Add(d)
	for time.Now().Before(end) && seamscenario.Wait(ctx, faultInterval) {
		a, b := randomPair(s)
		if s.Random.Float64() >= blockedFraction {
			severed += s.Fleet.Proxy.Sever(a, b)
			continue
		}
		removeFault := s.Fleet.Network.Partition(a, b)
		time.AfterFunc(blockedDuration, removeFault)
		blocked++
	}
	return severed, blocked
}

// pair returns the names of two different nodes.
func randomPair(s *seamscenario.Scene) (a, b string) {
	list := s.Fleet.Instances
	first := s.Random.IntN(len(list))
	second := (first + 1 + s.Random.IntN(len(list)-1)) % len(list)
	return list[first].Name, list[second].Name
}
