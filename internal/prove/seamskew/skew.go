// Package seamskew compares the placement of slots with baseline policies in a simulation without a
// network. All policies get the same request trace: keys with a Zipf distribution, hot keys that change
// over time, and the loss of a server.
package seamskew

import (
	"context"
	"time"

	"cardamomseam/internal/observe/seammeasure"
	"cardamomseam/internal/own/seamplace"
)

// Config describes the trace and the fleet.
type Config struct {
	// Seed seeds the random trace. The same seed gives the same result.
	Seed uint64 `json:"seed"`
	// Duration is the length of the trace.
	Duration time.Duration `json:"duration"`
	// Servers is the number of servers, in two failure domains of one region.
	Servers int `json:"servers"`
	// Slots is the number of slots.
	Slots int `json:"slots"`
	// Keys is the number of keys.
	Keys int `json:"keys"`
	// Rate is the number of requests per second.
	Rate int `json:"rate"`
	// ZipfExponent is the exponent of the Zipf distribution of the keys.
	ZipfExponent float64 `json:"exponent"`
	// HotKeys is the number of most frequent keys, which other keys replace one by one.
	HotKeys int `json:"hot"`
	// HotSetPeriod is the time in which HotKeys replacements are made.
	HotSetPeriod time.Duration `json:"shift"`
	// PlanInterval is the time between two runs of the policy.
	PlanInterval time.Duration `json:"interval"`
	// Losses is the number of servers that are lost one after the other. Each returns later.
	Losses int `json:"losses"`
}

// NewConfig returns the default configuration with the given seed.
func NewConfig(seed uint64) Config {
	return Config{
		Seed:         seed,
		Duration:     30 * time.Minute,
		Servers:      12,
		Slots:        384,
		Keys:         100_000,
		Rate:         4000,
		ZipfExponent: 0.99,
		HotKeys:      65,
		HotSetPeriod: 5 * time.Minute,
		PlanInterval: 5 * time.Second,
		Losses:       1,
	}
}

// ConfigError reports an invalid value of a field of Config.
type ConfigError struct {
	Field   string
	Allowed string
}

// Error returns the name of the field and the allowed values.
func (e *ConfigError) Error() string {
	return "skew: " + e.Field + " must be " + e.Allowed
}

func (c Config) validate() error {
	rules := []struct {
		ok             bool
		field, allowed string
	}{
		{c.Duration >= sampleSeconds*time.Second, "duration", "at least 10s"},
		{c.Servers >= 2, "servers", "at least 2"},
		{c.Slots >= 1, "slots", "at least 1"},
		{c.HotKeys >= 1 && c.Keys > c.HotKeys, "hot", "at least 1 and less than keys"},
		{c.Rate >= 1, "rate", "at least 1"},
		{c.HotSetPeriod >= time.Second, "shift", "at least 1s"},
		{c.PlanInterval >= time.Second, "interval", "at least 1s"},
		{c.Losses >= 0, "losses", "at least 0"},
	}
	for _, r := range rules {
		if !r.ok {
			return &ConfigError{Field: r.field, Allowed: r.allowed}
		}
	}
	return nil
}

// Result holds the measurements of all policies on the same trace.
type Result struct {
	Config Config `json:"config"`
	// MinImbalance is a lower bound for the imbalance of any policy that assigns whole slots.
	MinImbalance float64 `json:"least"`
	// Policies holds the measurements of each policy, those of the router's placement first.
	Policies []PolicyResult `json:"policies"`
}

// PolicyResult holds the measurements of one policy.
type PolicyResult struct {
	Policy string `json:"policy"`
	// IsProduct is true if the policy is the router's placement and not a baseline.
	IsProduct bool `json:"ours"`
	seammeasure.Report
}

// Run simulates all policies on one trace. The error is a *ConfigError, or that of ctx if it ends before
// the trace.
func Run(ctx context.Context, c Config) (Result, error) {
	if err := c.validate(); err != nil {
		return Result{}, err
	}
	t := newTrace(c)
	fleets := newFleets(c)
	sum := 0.0
	seconds := int(c.Duration / time.Second)
	for s := 1; s <= seconds; s++ {
		if err := ctx.Err(); err != nil {
			return Result{}, err
		}
		t.step()
		sum += t.minImbalance()
		for _, f := range fleets {
			f.step(t)
		}
	}
	r := Result{Config: c, MinImbalance: sum / float64(seconds)}
	for _, f := range fleets {
		r.Policies = append(r.Policies, f.result(t.now))
	}
	return r, nil
}

// newFleets returns a fleet for each policy. The placement weights are those of the examples.
func newFleets(c Config) []*fleet {
	exchange, ateliers := seamplace.DefaultConfig(), seamplace.DefaultConfig()
	exchange.BaseRate, ateliers.BaseRate = seamplace.NodeBaseRate, seamplace.NodeBaseRate
	exchange.Imbalance, exchange.Churn = 4, 2
	ateliers.Unavailable = 4
	return []*fleet{
		newFleet(c, PolicyExchange, seamplace.Plan, exchange),
		newFleet(c, PolicyAteliers, seamplace.Plan, ateliers),
		newFleet(c, PolicyStatic, newStaticHashing(c.Servers), seamplace.Config{}),
		newFleet(c, PolicySticky, newStickyBoundedLoad(c.Servers), seamplace.Config{}),
		newFleet(c, PolicyBounded, newBoundedLoad(c.Servers), seamplace.Config{}),
	}
}

// Names of the policies.
const (
	// PolicyExchange is the router's placement with the weights of the Fieldwork Exchange.
	PolicyExchange = "exchange"
	// PolicyAteliers is the router's placement with the weights of the Ateliertage.
	PolicyAteliers = "ateliers"
	// PolicyStatic hashes each slot to a fixed server.
	PolicyStatic = "static"
	// PolicyBounded is consistent hashing with bounded loads.
	PolicyBounded = "bounded"
	// PolicySticky is PolicyBounded, but a slot stays with its server until that exceeds the bound.
	PolicySticky = "sticky"
)
