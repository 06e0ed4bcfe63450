package seamownership

import (
	"context"
	"time"

	"cardamomseam/internal/prove/seamexperiment"
	"cardamomseam/internal/prove/seamfleet"
	"cardamomseam/internal/prove/seamscenario"
)

// pauseTime is longer than any lease of a cell.
const pauseTime = 4 * time.Second

// pause freezes one instance of each role and lets it go on, still believing what it believed.
func pause(ctx context.Context, o seamexperiment.Options) ([]seamexperiment.Result, error) {
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
	for range rounds(o, 1) {
		for _, role := range []string{roleMember, roleCoordinator, roleBackup} {
			if err := freeze(ctx, s, role, &r); err != nil {
				load.Stop()
				return nil, err
			}
		}
	}
	load.Stop()
	return s.Finish(ctx, r)
}

func freeze(ctx context.Context, s *seamscenario.Scenario, role string, r *seamexperiment.Result) error {
	x, err := pick(ctx, s, role)
	if err != nil {
		return err
	}
	at := time.Now()
	x.Pause()
	g, err := servedAfter(ctx, s, at)
	if err != nil {
		return err
	}
	if !seamscenario.Sleep(ctx, pauseTime-time.Since(at)) {
		return ctx.Err()
	}
	x.Resume()
	s.Logf("%s %s was frozen for %s, longest gap %s", role, x.Name, time.Since(at).Round(time.Millisecond), g.Duration.Round(time.Millisecond))
	r.AddAtMost("unavailable-"+role, g.Duration.Seconds(), seamexperiment.Seconds, servedAgain)
	seamscenario.Sleep(ctx, settle)
	return ctx.Err()
}

// pick returns a random live instance of the keyed service with a role in its cell.
func pick(ctx context.Context, s *seamscenario.Scenario, role string) (*seamfleet.Instance, error) {
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
	taken := map[string]bool{}
	for _, name := range append(coordinators, backups...) {
		taken[name] = true
	}
	var list []*seamfleet.Instance
	for _, x := range s.Fleet.Instances {
		if x.Live() && !taken[x.Name] {
			list = append(list, x)
		}
	}
	if len(list) == 0 {
		list = s.Fleet.Instances
	}
	return list[s.Random.IntN(len(list))], nil
}
