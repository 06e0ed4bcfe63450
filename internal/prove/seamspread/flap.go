package seamspread

import (
	"context"
	"time"

	"cardamomseam/internal/prove/seamexperiment"
	"cardamomseam/internal/prove/seamfleet"
	"cardamomseam/internal/prove/seamscenario"
	"cardamomseam/internal/stand/seamproxy"
	"cardamomseam/internal/stand/seamstandstore"
)

const (
	flapNodes          = 9
	flapDuration       = 60 * time.Second
	flapChangeInterval = 250 * time.Millisecond
	// flapFaultInterval is the mean time between two changes of the injected store faults.
	flapFaultInterval = 1500 * time.Millisecond
)

// flap injects random faults into the store while an operator changes a rule document.
func flap(ctx context.Context, o seamexperiment.Options) ([]seamexperiment.Result, error) {
	s, stop, err := seamscenario.Start(ctx, seamfleet.Config{
		Nodes: flapNodes, UseProxy: true, Latencies: seamproxy.Lakeshore, Regions: seamfleet.LakeshoreRegions, NoExecutionLog: true,
	}, o)
	if err != nil {
		return nil, err
	}
	defer stop()
	d := flapDuration
	if o.Duration > 0 {
		d = o.Duration
	}
	stopWatching := s.WatchRules(ctx)
	t := &changeOutcomes{}
	faults, err := changeUnderFaults(ctx, s, d, t)
	stopWatching()
	if err != nil {
		return nil, err
	}
	r := seamexperiment.Result{}
	r.Add("faults", float64(faults), seamexperiment.Count)
	t.add(&r)
	if err := checkHistories(ctx, s, t, &r); err != nil {
		return nil, err
	}
	return s.Finish(ctx, r)
}

func changeUnderFaults(ctx context.Context, s *seamscenario.Scenario, d time.Duration, t *changeOutcomes) (faults int, err error) {
	end := time.Now().Add(d)
	next := time.Now()
	for n := 0; time.Now().Before(end); n++ {
		if time.Now().After(next) {
			if err := s.Fleet.Store.SetFaults(ctx, RandomFault(s)); err != nil {
				return faults, err
			}
			faults++
			next = time.Now().Add(flapFaultInterval/2 + time.Duration(s.Random.Int64N(int64(flapFaultInterval))))
		}
		x := s.Fleet.Instances[s.Random.IntN(len(s.Fleet.Instances))]
		writer := writerName(0, n)
		current, err := x.Rule(ctx, seamscenario.PlainService)
		if err == nil {
			r, err := x.PutRuleAtRevision(ctx, seamscenario.DocumentVariant(writer), current.Revision, writer)
			t.record(writer, r.Revision, err)
		}
		if !seamscenario.Sleep(ctx, flapChangeInterval) {
			return faults, ctx.Err()
		}
	}
	return faults, s.Fleet.Store.SetFaults(ctx, seamstandstore.Faults{})
}

// RandomFault returns a random store fault, or no fault.
func RandomFault(s *seamscenario.Scenario) seamstandstore.Faults {
	list := []seamstandstore.Faults{
		{},
		{},
		{Outage: seamstandstore.OutageRefuse},
		{Outage: seamstandstore.OutageDrop},
		{Outage: seamstandstore.OutageHang},
		{DelayMillis: 300},
		{ResponseLoss: 0.5, WatchCut: 0.3},
	}
	return list[s.Random.IntN(len(list))]
}
