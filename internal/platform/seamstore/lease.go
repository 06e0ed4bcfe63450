package seamstore

import (
	"context"
	"fmt"
	"time"
)

// Lease is the id of a store lease; 0 means none.
type Lease int64

// LeaseManager manages store leases. The store deletes the keys that are attached to a lease when it expires
// or is revoked.
type LeaseManager interface {
	// GrantLease creates a lease of at least ttl and returns the granted duration.
	GrantLease(ctx context.Context, ttl time.Duration) (Lease, time.Duration, error)
	// RenewLease restarts the lease's duration. The error is *LeaseNotFoundError if the lease does not exist.
	RenewLease(ctx context.Context, l Lease) error
	// RevokeLease ends the lease, which deletes its keys.
	RevokeLease(ctx context.Context, l Lease) error
	// SwapLeased is Swap for a key that is attached to a lease. The error is *LeaseNotFoundError
	// if the lease does not exist.
	SwapLeased(ctx context.Context, p Priority, key string, expect int64, value []byte, l Lease) (int64, error)
}

// LeaseStore is a Store with leases, stale reads and lists of changes.
type LeaseStore interface {
	Store
	LeaseManager
	StaleLister
	ChangeLister
	EraReader
}

// EraReader tells the era of a store, which rises when the store comes back from a copy.
type EraReader interface {
	// Era returns the latest era of the responses so far; 0 before the first one, and for a store without eras. The revisions
	// of entries contain their era (JoinEra).
	Era() int64
}

// StaleLister lists keys from possibly stale data.
type StaleLister interface {
	// ListStale returns the entries whose keys start with prefix. The data may be a few seconds old; the call
	// costs a small fraction of a List.
	ListStale(ctx context.Context, prefix string) ([]Entry, error)
}

// LeaseNotFoundError reports that a lease has expired or was revoked.
type LeaseNotFoundError struct {
	Lease Lease
}

// Error gives the lease.
func (e *LeaseNotFoundError) Error() string {
	return fmt.Sprintf("store lease %d has expired or was revoked", e.Lease)
}
