// Package seamstore defines the interface of the key-value store (compare-and-swap, leases and watches) and
// implements a client for the etcd v3 JSON gateway.
package seamstore

import (
	"context"
	"fmt"
	"time"
)

// Entry is one key of the store with its value.
type Entry struct {
	Key   string
	Value []byte
	// Revision is the store's revision at which the key was last written.
	Revision int64
}

// Change is one event of a watch.
type Change struct {
	Entry
	// Deleted is set if the key was deleted at Entry.Revision.
	Deleted bool
}

// Priority decides which calls are still allowed when the node's call budget runs low.
type Priority int

// Priorities, most urgent first.
const (
	// Takeover is for writes that make unavailable keys available again.
	Takeover Priority = iota
	// Configuration is for reads of rules and of the directory.
	Configuration
	// Keepalive is for renewals that can be delayed.
	Keepalive
)

// Store is a key-value store. Every method returns when ctx ends. Errors are *ConflictError, *UnknownError,
// *UnavailableError or *BudgetError.
type Store interface {
	// Get returns the entry; Revision is 0 if the key does not exist.
	Get(ctx context.Context, p Priority, key string) (Entry, error)
	// List returns all entries whose keys start with prefix, and the store's revision.
	List(ctx context.Context, p Priority, prefix string) ([]Entry, int64, error)
	// Swap writes value if the key's revision is expect (0: the key does not exist),
	// and returns the new revision.
	Swap(ctx context.Context, p Priority, key string, expect int64, value []byte) (int64, error)
	// Delete removes the key if its revision is expect.
	Delete(ctx context.Context, p Priority, key string, expect int64) error
	// Watch calls f, in order and without gaps, with the changes of keys that start with prefix
	// whose revision is above from, until ctx ends. It reconnects after failures and returns
	// early only if the store has compacted those changes, with *CompactedError.
	Watch(ctx context.Context, prefix string, from int64, f func([]Change)) error
}

// ChangeLister lists changes without waiting for them.
type ChangeLister interface {
	// Changes returns the changes of keys that start with prefix whose revision is above from, and the store's revision. The
	// error is *CompactedError if the store has compacted those changes.
	Changes(ctx context.Context, prefix string, from int64) ([]Change, int64, error)
}

// ConflictError reports that the key has another revision than expected. Nothing was written.
type ConflictError struct {
	Key    string
	Expect int64
	// Found is the current entry; its Revision is 0 if the key does not exist.
	Found Entry
}

// Error gives the key and both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("store key %s has revision %d, not %d", e.Key, e.Found.Revision, e.Expect)
}

// UnknownError reports that a write may or may not have taken effect.
type UnknownError struct {
	Key   string
	Cause error
}

// Error gives the key and the cause.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("store write of %s has an unknown outcome: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// UnavailableError reports that the store could not be reached or could not serve the call. Nothing was written.
type UnavailableError struct {
	Key   string
	Cause error
}

// Error gives the key and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store is unavailable for %s: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// BudgetError reports that the node's own call budget is exhausted. Nothing was written.
type BudgetError struct {
	Key string
	// RetryAfter is the time until a call of this priority is allowed again.
	RetryAfter time.Duration
}

// Error gives the key and the delay.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("store call budget is exhausted for %s; retry after %s", e.Key, e.RetryAfter)
}
