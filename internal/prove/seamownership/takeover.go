// Package seamownership measures how long keys are unavailable after their owner crashes or is
// paused, and while the store is unavailable.
package seamownership

import (
	"context"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/prove/seamcaller"
	"cardamomseam/internal/prove/seamexperiment"
	"cardamomseam/internal/prove/seamfleet"
	"cardamomseam/internal/prove/seamscenario"
	"cardamomseam/internal/rule/seamrule"
)

// Experiments lists the experiments of this package.
var Experiments = []seamexperiment.Experiment{
	{Name: "takeover", Usage: "kill random instances by SIGKILL under load", Run: takeover},
	{Name: "pause", Usage: "suspend an owner, a coordinator and a backup for longer than the lease", Run: pause},
	{Name: "outage", Usage: "store outage of ten lease durations, with a crash and a planned stop during it", Run: outage},
}

const (
	// defaultNodes is the number of nodes in a fleet.
	defaultNodes = 12
	// defaultRate is the number of requests per second.
	defaultRate = 800
	// unavailableObjective is the longest time, in seconds, for which a key may be unavailable.
	unavailableObjective = 2.0
	// measureTimeout is the longest time after a loss to wait until all keys are served again.
	measureTimeout = 6 * time.Second
	// settleDelay is the time for a new instance to join and for standbys to catch up.
	settleDelay = 3 * time.Second
	// defaultLosses is the number of instances that the takeover experiment kills, one after the other.
	defaultLosses = 20
)

func rateOrDefault(o seamexperiment.Options) float64 {
	if o.Rate > 0 {
		return o.Rate
	}
	return defaultRate
}

func roundsOrDefault(o seamexperiment.Options, fallback int) int {
	if o.Rounds > 0 {
		return o.Rounds
	}
	return fallback
}

// keyedServices returns the keyed service as the only service, so that every instance owns keys.
func keyedServices() []seamrule.Document {
	return []seamrule.Document{seamscenario.KeyedDocument(seamfleet.ReisingerRegions)}
}

func keyedMix() seamscenario.RequestMix {
	m := seamscenario.DefaultRequestMix()
	m.EchoFraction = 0
	m.KeysPerRegion = 8
	return m
}

func takeover(ctx context.Context, o seamexperiment.Options) ([]seamexperiment.Result, error) {
	s, stop, err := seamscenario.Start(ctx, seamfleet.Config{Nodes: defaultNodes, Services: keyedServices()}, o)
	if err != nil {
		return nil, err
	}
	defer stop()
	load := s.StartLoad(ctx, rateOrDefault(o), keyedMix())
	if !seamscenario.Sleep(ctx, settleDelay) {
		return nil, ctx.Err()
	}
	downtimes := make([]float64, 0, defaultLosses)
	for n := range roundsOrDefault(o, defaultLosses) {
		downtime, err := killRandom(ctx, s, n)
		if err != nil {
			load.Stop()
			return nil, err
		}
		downtimes = append(downtimes, downtime.Duration.Seconds())
	}
	load.Stop()
	r := seamexperiment.Result{}
	addUnavailability(&r, downtimes)
	return s.Finish(ctx, r)
}

// killRandom kills a random instance, waits until all keys are served again and restarts the instance.
func killRandom(ctx context.Context, s *seamscenario.Scenario, n int) (seamcaller.Downtime, error) {
	x := s.Fleet.Instances[s.Random.IntN(len(s.Fleet.Instances))]
	role := roleOf(ctx, s, x.Name)
	killedAt := time.Now()
	x.Kill()
	downtime, err := waitServed(ctx, s, killedAt)
	if err != nil {
		return downtime, err
	}
	s.Logf("loss %d: %s (%s), longest time until a key was served again %s, key %s", n+1, x.Name, role, downtime.Duration.Round(time.Millisecond), downtime.Key)
	if err := x.Start(); err != nil {
		return downtime, err
	}
	if !seamscenario.Sleep(ctx, settleDelay) {
		return downtime, ctx.Err()
	}
	return downtime, nil
}

// waitServed waits until every key has been served after the time at, for at most measureTimeout. It
// returns the downtime of the key that took longest to be served again.
func waitServed(ctx context.Context, s *seamscenario.Scenario, at time.Time) (seamcaller.Downtime, error) {
	for {
		if !seamscenario.Sleep(ctx, time.Second) {
			return seamcaller.Downtime{}, ctx.Err()
		}
		downtimes := seamcaller.Downtimes(s.Records.All(), at, time.Now())
		if len(downtimes) == 0 {
			return seamcaller.Downtime{}, errors.New("no request got a response after the loss")
		}
		longest := seamcaller.LongestDowntime(downtimes)
		if (longest.Served && time.Since(at) > 2*time.Second) || time.Since(at) > measureTimeout {
			logSlowKey(s, longest, at)
			return longest, nil
		}
	}
}

// maxLoggedRequests is the largest number of requests that logSlowKey logs.
const maxLoggedRequests = 30

// logSlowKey logs the requests of a key that was unavailable for longer than unavailableObjective.
func logSlowKey(s *seamscenario.Scenario, downtime seamcaller.Downtime, at time.Time) {
	if downtime.Duration.Seconds() <= unavailableObjective {
		return
	}
	logged := 0
	for _, x := range s.Records.All() {
		if x.Key != downtime.Key || x.Start.Before(at) || logged == maxLoggedRequests {
			continue
		}
		logged++
		s.Logf("  %s %s at node %s, sent %s after the loss, took %s: %s %d %s", x.Kind, x.Key, x.Node,
			x.Start.Sub(at).Round(time.Millisecond), x.End.Sub(x.Start).Round(time.Millisecond), x.Outcome, x.Status, x.Reason)
	}
}

// Roles of an instance in its cell.
const (
	roleCoordinator = "coordinator"
	roleBackup      = "backup"
	roleMember      = "member"
)

func roleOf(ctx context.Context, s *seamscenario.Scenario, name string) string {
	coordinators, backups, err := s.Fleet.Coordinators(ctx)
	if err != nil {
		return "unknown role"
	}
	for _, c := range coordinators {
		if c == name {
			return roleCoordinator
		}
	}
	for _, b := range backups {
		if b == name {
			return roleBackup
		}
	}
	return roleMember
}

// addUnavailability adds the quantiles of lengths to r. lengths holds the longest downtime of a key
// after each loss, in seconds.
func addUnavailability(r *seamexperiment.Result, lengths []float64) {
	sort.Float64s(lengths)
	r.Add("losses", float64(len(lengths)), seamexperiment.Count)
	r.Add("unavailable-p50", quantile(lengths, 0.5), seamexperiment.Seconds)
	r.Add("unavailable-p99", quantile(lengths, 0.99), seamexperiment.Seconds)
	r.AddAtMost("unavailable-max", quantile(lengths, 1), seamexperiment.Seconds, unavailableObjective)
	series := seamexperiment.Series{Name: "losses", XName: "share of losses", YName: "longest gap s"}
	for n, v := range lengths {
		series.X = append(series.X, float64(n+1)/float64(len(lengths)))
		series.Y = append(series.Y, v)
	}
	r.Series = append(r.Series, series)
}

// quantile returns the quantile q, between 0 and 1, of a sorted list, or 0 if the list is empty.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	n := int(q * float64(len(sorted)))
	return sorted[min(n, len(sorted)-1)]
}
