package seamownership

import (
	"context"
	"time"

	"cardamomseam/internal/prove/seamcaller"
	"cardamomseam/internal/prove/seamexperiment"
	"cardamomseam/internal/prove/seamfleet"
	"cardamomseam/internal/prove/seamscenario"
	"cardamomseam/internal/stand/seamstandstore"
)

const (
	// outageTime is ten times the lease of 1.2 s.
	outageTime = 12 * time.Second
	// healTime is the time after the outage in which the cells write again.
	healTime = 3 * time.Second
)

// outage takes the store away, loses a member and stops another as planned while it is gone.
func outage(ctx context.Context, o seamexperiment.Options) ([]seamexperiment.Result, error) {
	s, stop, err := seamscenario.Start(ctx, seamfleet.Config{Nodes: defaultNodes, Services: keyedOnly()}, o)
	if err != nil {
		return nil, err
	}
	defer stop()
	load := s.StartLoad(ctx, rate(o), mix())
	if !seamscenario.Sleep(ctx, settle) {
		return nil, ctx.Err()
	}
	r := seamexperiment.Result{}
	err = during(ctx, s, &r)
	load.Stop()
	if err != nil {
		return nil, err
	}
	return s.Finish(ctx, r)
}

func during(ctx context.Context, s *seamscenario.Scenario, r *seamexperiment.Result) error {
	lost, err := pick(ctx, s, roleMember)
	if err != nil {
		return err
	}
	before, err := s.Fleet.Store.CallCounts(ctx)
	if err != nil {
		return err
	}
	began := time.Now()
	if err := s.Fleet.Store.SetFaults(ctx, seamstandstore.Faults{Outage: seamstandstore.OutageRefuse}); err != nil {
		return err
	}
	s.Logf("the store is down")
	if !seamscenario.Sleep(ctx, settle) {
		return ctx.Err()
	}
	at := time.Now()
	lost.Kill()
	g, err := servedAfter(ctx, s, at)
	if err != nil {
		return err
	}
	s.Logf("lost member %s, longest gap %s", lost.Name, g.Duration.Round(time.Millisecond))
	r.AddAtMost("unavailable-member", g.Duration.Seconds(), seamexperiment.Seconds, servedAgain)
	if err := plannedStop(ctx, s, lost, r); err != nil {
		return err
	}
	if !seamscenario.Sleep(ctx, outageTime-time.Since(began)) {
		return ctx.Err()
	}
	if err := s.Fleet.Store.SetFaults(ctx, seamstandstore.Faults{}); err != nil {
		return err
	}
	s.Logf("the store is back after %s", time.Since(began).Round(time.Millisecond))
	if err := lost.Start(); err != nil {
		return err
	}
	if !seamscenario.Sleep(ctx, healTime) {
		return ctx.Err()
	}
	after, err := s.Fleet.Store.CallCounts(ctx)
	if err != nil {
		return err
	}
	r.Add("store-writes", float64(after.Revision-before.Revision), seamexperiment.Count)
	return nil
}

// plannedStop stops an instance other than the lost one and counts what it cut.
func plannedStop(ctx context.Context, s *seamscenario.Scenario, lost *seamfleet.Instance, r *seamexperiment.Result) error {
	x, err := pick(ctx, s, roleMember)
	if err != nil {
		return err
	}
	for x == lost || !x.Live() {
		x = s.Fleet.Instances[s.Random.IntN(len(s.Fleet.Instances))]
	}
	began := time.Now()
	stopped := x.Stop()
	failed := 0.0
	if stopped != nil {
		failed = 1
		s.Logf("planned stop of %s: %v", x.Name, stopped)
	}
	cut := len(seamcaller.Interrupted(s.Records.All(), began, time.Now()))
	s.Logf("stopped %s as planned in %s, cut %d", x.Name, time.Since(began).Round(time.Millisecond), cut)
	r.AddAtMost("stop-failed", failed, seamexperiment.Count, 0)
	r.AddAtMost("stop-cut", float64(cut), seamexperiment.Count, 0)
	return x.Start()
}
