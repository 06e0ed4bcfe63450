// Package seamskew compares the placement of slots with baselines on one trace of
// requests: Zipf keys, a hot set that changes, and the loss of a server. It replays the
// trace through the functions that decide; there is no network.
package seamskew

import (
	"context"
	"time"

	"cardamomseam/internal/observe/seammeasure"
	"cardamomseam/internal/own/seamplace"
)

// Config describes the trace and the fleet.
type Config struct {
	// Seed makes the trace; the same seed gives the same result.
	Seed uint64 `json:"seed"`
	// Duration is the length of the trace.
	Duration time.Duration `json:"duration"`
	// Servers is the number of servers, in two failure domains of one region.
	Servers int `json:"servers"`
	// Slots is the number of slots.
	Slots int `json:"slots"`
	// Keys is the number of keys.
	Keys int `json:"keys"`
	// Rate is the number of requests a second.
	Rate int `json:"rate"`
	// Exponent is that of the Zipf law.
	ZipfExponent float64 `json:"exponent"`
	// Hot is the number of hottest keys that are replaced by others, one by one.
	HotKeys int `json:"hot"`
	// Shift is the time in which all hot keys are replaced once.
	HotSetPeriod time.Duration `json:"shift"`
	// Interval is the time between two plans.
	PlanInterval time.Duration `json:"interval"`
	// Losses is the number of servers lost, one after the other; each comes back.
	Losses int `json:"losses"`
}

// NewConfig returns the defaults with a seed.
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

// ConfigError says that a field of Config has a value that makes no trace.
type ConfigError struct {
	Field   string
	Allowed string
}

// Error names the field and what is allowed.
func (e *ConfigError) Error() string {
	return "skew: " + e.Field + " must be " + e.Allowed
}

func (c Config) check() error {
	rules := []struct {
		ok             bool
		field, allowed string
	}{
		{c.Duration >= sampleLength*time.Second, "duration", "at least 10s"},
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

// Result is what the policies did on the same trace.
type Result struct {
	Config Config `json:"config"`
	// Least is the smallest imbalance that any owner of whole slots could have reached.
	MinImbalance float64 `json:"least"`
	// Policies hold the measures of each policy, ours first.
	Policies []PolicyResult `json:"policies"`
}

// Outcome is what one policy did.
type PolicyResult struct {
	Policy string `json:"policy"`
	// Ours says that the policy is that of the product and not a baseline.
	IsProduct bool `json:"ours"`
	seammeasure.Report
}

// Run replays the trace. The error is *ConfigError, or ctx's if it ends before the trace.
func Run(ctx context.Context, c Config) (Result, error) {
	if err := c.check(); err != nil {
		return Result{}, err
	}
	t := newTrace(c)
	fleets := newFleets(c)
	least := 0.0
	seconds := int(c.Duration / time.Second)
	for s := 1; s <= seconds; s++ {
		if err := ctx.Err(); err != nil {
			return Result{}, err
		}
		t.second()
		least += t.least()
		for _, f := range fleets {
			f.second(t)
		}
	}
	r := Result{Config: c, MinImbalance: least / float64(seconds)}
	for _, f := range fleets {
		r.Policies = append(r.Policies, f.outcome(t.now))
	}
	return r, nil
}

// newFleets returns a fleet for each policy; the weights are those of the examples.
func newFleets(c Config) []*fleet {
	exchange, ateliers := seamplace.DefaultConfig(), seamplace.DefaultConfig()
	exchange.BaseRate, ateliers.BaseRate = seamplace.NodeBaseRate, seamplace.NodeBaseRate
	exchange.Imbalance, exchange.Churn = 4, 2
	ateliers.Unavailable = 4
	return []*fleet{
		newFleet(c, PolicyExchange, seamplace.Plan, exchange),
		newFleet(c, PolicyAteliers, seamplace.Plan, ateliers),
		newFleet(c, PolicyStatic, newStatic(c.Servers), seamplace.Config{}),
		newFleet(c, PolicySticky, newSticky(c.Servers), seamplace.Config{}),
		newFleet(c, PolicyBounded, newBounded(c.Servers), seamplace.Config{}),
	}
}

// Names of the policies.
const (
	// Exchange is the product's placement with the weights of the Fieldwork Exchange.
	PolicyExchange = "exchange"
	// Ateliers is the product's placement with the weights of the Ateliertage.
	PolicyAteliers = "ateliers"
	// Static hashes each slot to one server for good.
	PolicyStatic = "static"
	// Bounded is consistent hashing with bounded loads.
	PolicyBounded = "bounded"
	// Sticky is the same, but a slot stays until its server exceeds the bound.
	PolicySticky = "sticky"
)
