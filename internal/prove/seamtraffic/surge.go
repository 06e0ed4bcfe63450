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
	"cardamomseam/internal/stand/seamstandtarget"
)

const (
	surgeNodes       = 6
	surgeSlots       = 8
	surgeServiceTime = 40 * time.Millisecond
	surgeJitter      = 0.2
	surgeDuration    = 5 * time.Second
	// surgeDeadline is the deadline of each request.
	surgeDeadline = time.Second
	// surgeFactor is the overload as a multiple of the capacity.
	surgeFactor = 2
	// steadyFactor is the load, as a multiple of the capacity, at which the imbalance is measured.
	steadyFactor = 0.5
	// goodputObjective is the smallest goodput in overload, as a fraction of the capacity.
	goodputObjective = 0.9
	// imbalanceObjective is the largest imbalance between equal targets.
	imbalanceObjective = 1.1
)

// surge applies half the capacity to measure the imbalance, and then twice the capacity.
func surge(ctx context.Context, o seamexperiment.Options) ([]seamexperiment.Result, error) {
	s, stop, err := seamscenario.Start(ctx, seamfleet.Config{
		Nodes: surgeNodes, Regions: []string{"ost"}, TargetConcurrency: surgeSlots, ServiceTime: surgeServiceTime, Jitter: surgeJitter,
		Services: []seamrule.Document{seamscenario.PlainDocument()},
	}, o)
	if err != nil {
		return nil, err
	}
	defer stop()
	capacity := float64(len(s.Fleet.Instances)) * surgeSlots / surgeServiceTime.Seconds()
	d := surgeDuration
	if o.Duration > 0 {
		d = o.Duration / 2
	}
	steady := applyLoad(ctx, s, "steady", steadyFactor*capacity, d)
	steadyEnd := time.Now()
	overload := applyLoad(ctx, s, "surge", surgeFactor*capacity, d)
	e, err := s.Fleet.CollectObservations(s.Records.All())
	if err != nil {
		return nil, err
	}
	r := seamexperiment.Result{}
	r.Add("capacity", capacity, seamexperiment.PerSecond)
	r.AddAtMost("steady-imbalance", imbalance(e.ExecutionLog, time.Time{}, steadyEnd), seamexperiment.Ratio, imbalanceObjective)
	r.AddAtMost("steady-failed", float64(steady.Sent-steady.Outcomes[seamcaller.Done]), seamexperiment.Count, 0)
	r.Add("steady-p99", milliseconds(steady.Quantile(99)), seamexperiment.Milliseconds)
	done := overload.Throughput()
	r.Add("surge-done", done, seamexperiment.PerSecond)
	r.AddAtLeast("goodput", done/capacity, seamexperiment.Ratio, goodputObjective)
	r.Add("surge-imbalance", imbalance(e.ExecutionLog, steadyEnd, time.Now()), seamexperiment.Ratio)
	r.Add("surge-refused", float64(overload.Outcomes[seamcaller.Refused]), seamexperiment.Count)
	r.AddAtMost("surge-unknown", float64(overload.Outcomes[seamcaller.Unknown]), seamexperiment.Count, 0)
	r.AddAtMost("surge-p99", milliseconds(overload.Quantile(99)), seamexperiment.Milliseconds, float64(surgeDeadline.Milliseconds()))
	r.Add("refusal-p99", refusalLatency(s.Records.All()), seamexperiment.Milliseconds)
	return s.Finish(ctx, r)
}

func applyLoad(ctx context.Context, s *seamscenario.Scenario, name string, rate float64, d time.Duration) seamcaller.Report {
	report := s.Client.Run(ctx, seamcaller.Load{Rate: rate, Duration: d, Records: s.Records, Next: func(n int) seamcaller.Request {
		return seamcaller.Request{
			ID: fmt.Sprintf("%s-%d", name, n), Kind: seamcaller.Echo, Service: seamscenario.PlainService, Size: loadResponseBytes,
			Deadline: surgeDeadline, Caller: fmt.Sprintf("caller-%d", n%20),
		}
	}})
	s.Logf("%s: %.0f requests/s sent, %.0f/s done, p99 %s, outcomes %v", name, rate, report.Throughput(), report.Quantile(99), report.Outcomes)
	return report
}

// imbalance returns the largest number of executions at one target divided by the mean.
func imbalance(lines []seamstandtarget.ExecutionRecord, from, to time.Time) float64 {
	counts := map[string]float64{}
	total, largest := 0.0, 0.0
	for _, x := range lines {
		at := time.Unix(0, x.At)
		if x.Kind != seamstandtarget.KindRun || at.Before(from) || at.After(to) {
			continue
		}
		counts[x.Server]++
		total++
		largest = max(largest, counts[x.Server])
	}
	if total == 0 {
		return 0
	}
	return largest / (total / float64(len(counts)))
}

// refusalLatency returns the p99 latency of refused requests, in milliseconds.
func refusalLatency(records []seamcaller.Record) float64 {
	r := seamcaller.NewReport()
	for _, x := range records {
		if x.Outcome == seamcaller.Refused {
			_ = r.Latency.RecordValue(x.End.Sub(x.Start).Microseconds())
		}
	}
	return milliseconds(r.Quantile(99))
}
