package seamstore

import (
	"context"
	"fmt"
	"time"
)

// Lease identifies a lease at the store; 0 is none.
type Lease int64

// Leases are rights of a process in the store: keys that are bound to a lease
// vanish when it is not renewed.
type LeaseManager interface {
	// Begin starts a lease of at least the duration, and returns the duration that applies.
	GrantLease(ctx context.Context, ttl time.Duration) (Lease, time.Duration, error)
	// Renew starts the lease's duration anew. The error is *LeaseError if the lease has ended.
	RenewLease(ctx context.Context, l Lease) error
	// End ends the lease, which removes its keys.
	RevokeLease(ctx context.Context, l Lease) error
	// SwapLeased is Swap for a key that is bound to a lease. The error is *LeaseError
	// if the lease has ended.
	SwapLeased(ctx context.Context, p Priority, key string, expect int64, value []byte, l Lease) (int64, error)
}

// Shared is a store with leases.
type LeaseStore interface {
	Store
	LeaseManager
	StaleLister
}

// Glances are readings that may be out of date.
type StaleLister interface {
	// Glance returns the entries whose keys begin with prefix as they were up to a few seconds ago, at a small
	// part of the price of List.
	ListStale(ctx context.Context, prefix string) ([]Entry, error)
}

// LeaseError says that a lease has ended.
type LeaseNotFoundError struct {
	Lease Lease
}

// Error names the lease.
func (e *LeaseNotFoundError) Error() string {
	return fmt.Sprintf("store lease %d has ended", e.Lease)
}
