package seamassign

import "time"

// Config holds the time limits and thresholds of an assigner.
type Config struct {
	// Lease is the duration of a lease while the store is reachable, counted from the time at which the node sent the
	// heartbeat.
	Lease time.Duration
	// Margin is a safety margin added to the end of a holder's lease before its keys are reassigned.
	Margin time.Duration
	// MaxClockDrift is the fraction by which another machine's clock may run slow.
	MaxClockDrift float64
	// MaxStoreOutage is how long an assigner keeps granting leases without reaching the store.
	MaxStoreOutage time.Duration
	// LongLeaseDelay is the length of a store outage after which leases may last longer than Lease, up to MaxLongLease.
	// Holders then keep working if the assigner stops too: no successor can be elected without the store.
	LongLeaseDelay time.Duration
	// MaxLongLease is the maximum duration of a lease during a store outage.
	MaxLongLease time.Duration
	// SettleDelay is the time without a new target after which keys are assigned for the first time.
	SettleDelay time.Duration
	// SettleTimeout bounds the wait for further targets before the first assignment.
	SettleTimeout time.Duration
	// BalanceInterval is the time between two checks of the load balance.
	BalanceInterval time.Duration
	// MaxBalanceMoves is the maximum number of concurrent moves planned to balance the load.
	MaxBalanceMoves int
	// MaxEvacuationLoad is the fraction of the other targets' capacity that may be in use after they have
	// taken over the keys of the target of a restarting node.
	MaxEvacuationLoad float64
	// MoveTimeout is the time after which a move is cancelled if its source has not released the keys.
	MoveTimeout time.Duration
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		Lease:             2 * time.Second,
		Margin:            100 * time.Millisecond,
		MaxClockDrift:     0.02,
		MaxStoreOutage:    10 * time.Second,
		LongLeaseDelay:    1200 * time.Millisecond,
		MaxLongLease:      6 * time.Second,
		SettleDelay:       700 * time.Millisecond,
		SettleTimeout:     3 * time.Second,
		BalanceInterval:   150 * time.Millisecond,
		MaxBalanceMoves:   128,
		MaxEvacuationLoad: 0.7,
		MoveTimeout:       6 * time.Second,
	}
}

// MaxRemoteDuration returns an upper bound on the time that passes here while another machine measures d: d, the
// clock drift and Margin.
func (c Config) MaxRemoteDuration(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.MaxClockDrift) + c.Margin
}
