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
	// outageDuration is ten times the coordinator lease of a cell, which is 1.2 s.
	outageDuration = 12 * time.Second
	// recoveryDelay is the time after the outage for the cells to write to the store again.
	recoveryDelay = 3 * time.Second
)

// outage makes the store unavailable, and during the outage kills one member and gracefully stops another.
func outage(ctx context.Context, o seamexperiment.Options) ([]seamexperiment.Result, error) {
	s, stop, err := seamscenario.Start(ctx, seamfleet.Config{Nodes: defaultNodes, Services: keyedServices()}, o)
	if err != nil {
		return nil, err
	}
	defer stop()
	load := s.StartLoad(ctx, rateOrDefault(o), keyedMix())
	if !seamscenario.Sleep(ctx, settleDelay) {
		return nil, ctx.Err()
	}
	r := seamexperiment.Result{}
	err = runOutage(ctx, s, &r)
	load.Stop()
	if err != nil {
		return nil, err
	}
	return s.Finish(ctx, r)
}

func runOutage(ctx context.Context, s *seamscenario.Scenario, r *seamexperiment.Result) error {
	lost, err := pickInstance(ctx, s, roleMember)
	if err != nil {
		return err
	}
	before, err := s.Fleet.Store.CallCounts(ctx)
	if err != nil {
		return err
	}
	started := time.Now()
	if err := s.Fleet.Store.SetFaults(ctx, seamstandstore.Faults{Outage: seamstandstore.OutageRefuse}); err != nil {
		return err
	}
	s.Logf("store unavailable")
	if !seamscenario.Sleep(ctx, settleDelay) {
		return ctx.Err()
	}
	killedAt := time.Now()
	lost.Kill()
	downtime, err := waitServed(ctx, s, killedAt)
	if err != nil {
		return err
	}
	s.Logf("killed member %s, longest time until a key was served again %s", lost.Name, downtime.Duration.Round(time.Millisecond))
	r.AddAtMost("unavailable-member", downtime.Duration.Seconds(), seamexperiment.Seconds, unavailableObjective)
	if err := stopAsPlanned(ctx, s, lost, r); err != nil {
		return err
	}
	if !seamscenario.Sleep(ctx, outageDuration-time.Since(started)) {
		return ctx.Err()
	}
	if err := s.Fleet.Store.SetFaults(ctx, seamstandstore.Faults{}); err != nil {
		return err
	}
	s.Logf("store available again after %s", time.Since(started).Round(time.Millisecond))
	if err := lost.Start(); err != nil {
		return err
	}
	if !seamscenario.Sleep(ctx, recoveryDelay) {
		return ctx.Err()
	}
	after, err := s.Fleet.Store.CallCounts(ctx)
	if err != nil {
		return err
	}
	r.Add("store-writes", float64(after.Revision-before.Revision), seamexperiment.Count)
	return nil
}

// stopAsPlanned gracefully stops a live instance other than the lost one, counts the requests that the stop
// interrupted and starts the instance again.
func stopAsPlanned(ctx context.Context, s *seamscenario.Scenario, lost *seamfleet.Instance, r *seamexperiment.Result) error {
	x, err := pickInstance(ctx, s, roleMember)
	if err != nil {
		return err
	}
	for x == lost || !x.Live() {
		x = s.Fleet.Instances[s.Random.IntN(len(s.Fleet.Instances))]
	}
	started := time.Now()
	stopErr := x.Stop()
	failed := 0.0
	if stopErr != nil {
		failed = 1
		s.Logf("planned stop of %s: %v", x.Name, stopErr)
	}
	interrupted := len(seamcaller.Interrupted(s.Records.All(), started, time.Now()))
	s.Logf("planned stop of %s took %s and interrupted %d requests", x.Name, time.Since(started).Round(time.Millisecond), interrupted)
	r.AddAtMost("stop-failed", failed, seamexperiment.Count, 0)
	r.AddAtMost("stop-cut", float64(interrupted), seamexperiment.Count, 0)
	return x.Start()
}
