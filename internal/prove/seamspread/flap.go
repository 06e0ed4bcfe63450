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
	flapNodes = 9
	flapTime  = 60 * time.Second
	flapPause = 250 * time.Millisecond
	// flapStep is the mean time between two changes of the store's faults.
	flapStep = 1500 * time.Millisecond
)

// flap changes the store's faults at random while an operator changes a document.
func flap(ctx context.Context, o seamexperiment.Options) ([]seamexperiment.Result, error) {
	s, stop, err := seamscenario.Start(ctx, seamfleet.Config{
		Nodes: flapNodes, UseProxy: true, Latencies: seamproxy.Lakeshore, Regions: seamfleet.LakeshoreRegions, NoExecutionLog: true,
	}, o)
	if err != nil {
		return nil, err
	}
	defer stop()
	d := flapTime
	if o.Duration > 0 {
		d = o.Duration
	}
	watching := s.WatchRules(ctx)
	t := &tally{}
	faults, err := flapping(ctx, s, d, t)
	watching()
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

func flapping(ctx context.Context, s *seamscenario.Scenario, d time.Duration, t *tally) (faults int, err error) {
	end := time.Now().Add(d)
	next := time.Now()
	for n := 0; time.Now().Before(end); n++ {
		if time.Now().After(next) {
			if err := s.Fleet.Store.SetFaults(ctx, RandomFault(s)); err != nil {
				return faults, err
			}
			faults++
			next = time.Now().Add(flapStep/2 + time.Duration(s.Random.Int64N(int64(flapStep))))
		}
		x := s.Fleet.Instances[s.Random.IntN(len(s.Fleet.Instances))]
		writer := writerName(0, n)
		page, err := x.Rule(ctx, seamscenario.PlainService)
		if err == nil {
			r, err := x.PutRuleAtRevision(ctx, seamscenario.DocumentVariant(writer), page.Revision, writer)
			t.note(writer, r.Revision, err)
		}
		if !seamscenario.Sleep(ctx, flapPause) {
			return faults, ctx.Err()
		}
	}
	return faults, s.Fleet.Store.SetFaults(ctx, seamstandstore.Faults{})
}

// RandomFault returns one of the store's faults, or none.
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
