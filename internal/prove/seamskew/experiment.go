package seamskew

import (
	"context"
	"time"

	"cardamomseam/internal/prove/seamexperiment"
)

// Experiments lists the experiments of this package.
var Experiments = []seamexperiment.Experiment{
	{
		Name:  "skew",
		Usage: "placement compared with static and bounded-load hashing while the hot keys change (simulation without processes)",
		Run:   runExperiment,
	},
}

// keySeconds is the unit of unavailability: key-seconds without an owner, weighted by request rate.
const keySeconds = "key-s"

// runExperiment runs the simulation. Options.Duration sets the length of the trace, Options.Nodes the number
// of servers, Options.Rate the request rate and Options.Rounds the number of server losses.
func runExperiment(ctx context.Context, o seamexperiment.Options) ([]seamexperiment.Result, error) {
	c := NewConfig(o.Seed)
	if o.Duration > 0 {
		c.Duration = o.Duration
	}
	if o.Nodes > 0 {
		c.Servers = o.Nodes
	}
	if o.Rate > 0 {
		c.Rate = int(o.Rate)
	}
	if o.Rounds > 0 {
		c.Losses = o.Rounds
	}
	started := time.Now()
	r, err := Run(ctx, c)
	if err != nil {
		return nil, err
	}
	x := r.experimentResult()
	x.Started, x.ElapsedSeconds = started, time.Since(started).Seconds()
	return []seamexperiment.Result{x}, nil
}

// experimentResult converts r to the result of an experiment.
func (r Result) experimentResult() seamexperiment.Result {
	x := seamexperiment.Result{Name: "skew", Seed: r.Config.Seed, Size: r.Config.Servers}
	x.Add("least-imbalance", r.MinImbalance, seamexperiment.Ratio)
	for _, p := range r.Policies {
		r.add(&x, p)
	}
	return x
}

// add adds the measurements of one policy. The objectives of the router's own policies are the lowest
// imbalance among the baselines and the churn of bounded loads.
func (r Result) add(x *seamexperiment.Result, p PolicyResult) {
	if p.IsProduct {
		x.AddAtMost(p.Policy+"-imbalance", p.Imbalance, seamexperiment.Ratio, r.lowestBaseline())
		x.AddAtMost(p.Policy+"-churn", p.Churn, seamexperiment.PerMinute, r.boundedChurn())
	} else {
		x.Add(p.Policy+"-imbalance", p.Imbalance, seamexperiment.Ratio)
		x.Add(p.Policy+"-churn", p.Churn, seamexperiment.PerMinute)
	}
	x.Add(p.Policy+"-peak", p.PeakImbalance, seamexperiment.Ratio)
	x.Add(p.Policy+"-changes", float64(p.Changes), seamexperiment.Count)
	x.Add(p.Policy+"-forced", float64(p.ForcedChanges), seamexperiment.Count)
	x.Add(p.Policy+"-unavailable", p.Unavailable, keySeconds)
	x.Add(p.Policy+"-longest", p.LongestGap, seamexperiment.Seconds)
}

// lowestBaseline returns the lowest imbalance among the baselines.
func (r Result) lowestBaseline() float64 {
	lowest := 0.0
	for _, p := range r.Policies {
		if !p.IsProduct && (lowest == 0 || p.Imbalance < lowest) {
			lowest = p.Imbalance
		}
	}
	return lowest
}

// boundedChurn returns the churn of consistent hashing with bounded loads.
func (r Result) boundedChurn() float64 {
	for _, p := range r.Policies {
		if p.Policy == PolicyBounded {
			return p.Churn
		}
	}
	return 0
}
