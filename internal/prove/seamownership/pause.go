package seamownership

import (
	"context"
	"time"

	"cardamomseam/internal/prove/seamexperiment"
	"cardamomseam/internal/prove/seamfleet"
	"cardamomseam/internal/prove/seamscenario"
)

// pauseDuration is longer than any lease in a cell.
const pauseDuration = 4 * time.Second

// pause pauses one instance of each role and resumes it after its leases have expired. The instance then
// has a stale view of the slots that it owns.
func pause(ctx context.Context, o seamexperiment.Options) ([]seamexperiment.Result, error) {
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
	for range roundsOrDefault(o, 1) {
		for _, role := range []string{roleMember, roleCoordinator, roleBackup} {
			if err := pauseInstance(ctx, s, role, &r); err != nil {
				load.Stop()
				return nil, err
			}
		}
	}
	load.Stop()
	return s.Finish(ctx, r)
}

func pauseInstance(ctx context.Context, s *seamscenario.Scenario, role string, r *seamexperiment.Result) error {
	x, err := pickInstance(ctx, s, role)
	if err != nil {
		return err
	}
	pausedAt := time.Now()
	x.Pause()
	downtime, err := waitServed(ctx, s, pausedAt)
	if err != nil {
		return err
	}
	if !seamscenario.Sleep(ctx, pauseDuration-time.Since(pausedAt)) {
		return ctx.Err()
	}
	x.Resume()
	s.Logf("%s %s was paused for %s, longest time until a key was served again %s", role, x.Name, time.Since(pausedAt).Round(time.Millisecond), downtime.Duration.Round(time.Millisecond))
	r.AddAtMost("unavailable-"+role, downtime.Duration.Seconds(), seamexperiment.Seconds, unavailableObjective)
	seamscenario.Sleep(ctx, settleDelay)
	return ctx.Err()
}

// pickInstance returns a random instance with the given role in its cell. For roleMember this is a live
// instance that is neither coordinator nor backup, or any instance if there is none.
func pickInstance(ctx context.Context, s *seamscenario.Scenario, role string) (*seamfleet.Instance, error) {
	coordinators, backups, err := s.Fleet.Coordinators(ctx)
	if err != nil {
		return nil, err
	}
	switch role {
	case roleCoordinator:
		return s.Fleet.Find(coordinators[s.Random.IntN(len(coordinators))])
	case roleBackup:
		return s.Fleet.Find(backups[s.Random.IntN(len(backups))])
	}
	excluded := map[string]bool{}
	for _, name := range append(coordinators, backups...) {
		excluded[name] = true
	}
	var candidates []*seamfleet.Instance
	for _, x := range s.Fleet.Instances {
		if x.Live() && !excluded[x.Name] {
			candidates = append(candidates, x)
		}
	}
	if len(candidates) == 0 {
		candidates = s.Fleet.Instances
	}
	return candidates[s.Random.IntN(len(candidates))], nil
}
