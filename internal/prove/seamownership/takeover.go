// Package seamownership holds the experiments about owners: takeover, pause and outage.
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

// Experiments are the experiments of this package.
var Experiments = []seamexperiment.Experiment{
	{Name: "takeover", Usage: "lose random instances by SIGKILL under load", Run: takeover},
	{Name: "pause", Usage: "freeze an owner, a coordinator and a backup for longer than the lease", Run: pause},
	{Name: "outage", Usage: "take the store away for ten leases, with a loss and a planned stop inside", Run: outage},
}

const (
	// defaultNodes is the size of the fleets.
	defaultNodes = 12
	// defaultRate is the number of requests a second.
	defaultRate = 800
	// servedAgain is the stated target for the time until keys are served again.
	servedAgain = 2.0
	// window is the time after a loss in which keys must be served again to be measured.
	window = 6 * time.Second
	// settle is the time for a new instance to take part and for standbys to catch up.
	settle = 3 * time.Second
	// losses is the number of losses that the takeover experiment makes.
	losses = 20
)

func rate(o seamexperiment.Options) float64 {
	if o.Rate > 0 {
		return o.Rate
	}
	return defaultRate
}

func rounds(o seamexperiment.Options, otherwise int) int {
	if o.Rounds > 0 {
		return o.Rounds
	}
	return otherwise
}

// keyedOnly gives every instance keys.
func keyedOnly() []seamrule.Document {
	return []seamrule.Document{seamscenario.KeyedDocument(seamfleet.ReisingerRegions)}
}

func mix() seamscenario.RequestMix {
	m := seamscenario.DefaultRequestMix()
	m.EchoFraction = 0
	m.KeysPerRegion = 8
	return m
}

func takeover(ctx context.Context, o seamexperiment.Options) ([]seamexperiment.Result, error) {
	s, stop, err := seamscenario.Start(ctx, seamfleet.Config{Nodes: defaultNodes, Services: keyedOnly()}, o)
	if err != nil {
		return nil, err
	}
	defer stop()
	load := s.StartLoad(ctx, rate(o), mix())
	if !seamscenario.Sleep(ctx, settle) {
		return nil, ctx.Err()
	}
	lengths := make([]float64, 0, losses)
	for n := range rounds(o, losses) {
		g, err := loseOne(ctx, s, n)
		if err != nil {
			load.Stop()
			return nil, err
		}
		lengths = append(lengths, g.Duration.Seconds())
	}
	load.Stop()
	r := seamexperiment.Result{}
	addUnavailable(&r, lengths)
	return s.Finish(ctx, r)
}

// loseOne kills a random instance, waits until all keys are served again and starts it anew.
func loseOne(ctx context.Context, s *seamscenario.Scenario, n int) (seamcaller.Downtime, error) {
	x := s.Fleet.Instances[s.Random.IntN(len(s.Fleet.Instances))]
	role := roleOf(ctx, s, x.Name)
	at := time.Now()
	x.Kill()
	g, err := servedAfter(ctx, s, at)
	if err != nil {
		return g, err
	}
	s.Logf("loss %d: %s (%s), longest gap %s of key %s", n+1, x.Name, role, g.Duration.Round(time.Millisecond), g.Key)
	if err := x.Start(); err != nil {
		return g, err
	}
	if !seamscenario.Sleep(ctx, settle) {
		return g, ctx.Err()
	}
	return g, nil
}

// servedAfter waits until every key was served after a time, or until the window is over.
func servedAfter(ctx context.Context, s *seamscenario.Scenario, at time.Time) (seamcaller.Downtime, error) {
	for {
		if !seamscenario.Sleep(ctx, time.Second) {
			return seamcaller.Downtime{}, ctx.Err()
		}
		gaps := seamcaller.Downtimes(s.Records.All(), at, time.Now())
		if len(gaps) == 0 {
			return seamcaller.Downtime{}, errors.New("no request was answered after the loss")
		}
		g := seamcaller.LongestDowntime(gaps)
		if (g.Served && time.Since(at) > 2*time.Second) || time.Since(at) > window {
			explain(s, g, at)
			return g, nil
		}
	}
}

// explainLimit is the number of requests that explain tells.
const explainLimit = 30

// explain tells what became of the requests of a key that was not served again in time.
func explain(s *seamscenario.Scenario, g seamcaller.Downtime, at time.Time) {
	if g.Duration.Seconds() <= servedAgain {
		return
	}
	told := 0
	for _, x := range s.Records.All() {
		if x.Key != g.Key || x.Start.Before(at) || told == explainLimit {
			continue
		}
		told++
		s.Logf("  %s %s at %s sent after %s took %s: %s %d %s", x.Kind, x.Key, x.Node,
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

// addUnavailable adds the figures of the longest gap of each loss, in seconds.
func addUnavailable(r *seamexperiment.Result, lengths []float64) {
	sort.Float64s(lengths)
	r.Add("losses", float64(len(lengths)), seamexperiment.Count)
	r.Add("unavailable-p50", quantile(lengths, 0.5), seamexperiment.Seconds)
	r.Add("unavailable-p99", quantile(lengths, 0.99), seamexperiment.Seconds)
	r.AddAtMost("unavailable-max", quantile(lengths, 1), seamexperiment.Seconds, servedAgain)
	series := seamexperiment.Series{Name: "losses", XName: "share of losses", YName: "longest gap s"}
	for n, v := range lengths {
		series.X = append(series.X, float64(n+1)/float64(len(lengths)))
		series.Y = append(series.Y, v)
	}
	r.Series = append(r.Series, series)
}

// quantile returns a quantile of a sorted list; q is between 0 and 1.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	n := int(q * float64(len(sorted)))
	return sorted[min(n, len(sorted)-1)]
}
