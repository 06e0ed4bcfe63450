// Package seamstore reaches the platform's key-value store: compare-and-swap,
// leases and watches.
package seamstore

import (
	"context"
	"fmt"
	"time"
)

// Entry is one key of the store.
type Entry struct {
	Key   string
	Value []byte
	// Revision is the store's revision at which the key was last written.
	Revision int64
}

// Change is one event of a watch.
type Change struct {
	Entry
	// Deleted says that the key was removed at Entry.Revision.
	Deleted bool
}

// Priority orders calls when the node's call budget runs short.
type Priority int

// Priorities, most urgent first.
const (
	// Takeover is for records whose write ends the unavailability of keys.
	Takeover Priority = iota
	// Configuration is for rules and directory reads.
	Configuration
	// Keepalive is for slow renewals.
	Keepalive
)

// Store is the platform's store. Every method is bounded by ctx.
// Errors are *ConflictError, *UnknownError, *UnavailableError or *BudgetError.
type Store interface {
	// Get returns the entry; Revision is 0 if the key does not exist.
	Get(ctx context.Context, p Priority, key string) (Entry, error)
	// List returns all entries whose keys begin with prefix, and the store's revision.
	List(ctx context.Context, p Priority, prefix string) ([]Entry, int64, error)
	// Swap writes value if the key's revision is expect (0: the key does not exist),
	// and returns the new revision.
	Swap(ctx context.Context, p Priority, key string, expect int64, value []byte) (int64, error)
	// Delete removes the key if its revision is expect.
	Delete(ctx context.Context, p Priority, key string, expect int64) error
	// Watch calls f, in order and without gaps, with the changes after revision from
	// of keys that begin with prefix, until ctx ends. It reconnects by itself. Only if
	// the store no longer keeps those changes, it ends with *CompactedError.
	Watch(ctx context.Context, prefix string, from int64, f func([]Change)) error
}

// ConflictError says that the compare failed. Nothing was written.
type ConflictError struct {
	Key    string
	Expect int64
	// Found is the entry that is there now; its Revision is 0 if the key does not exist.
	Found Entry
}

// Error names the key and both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("store key %s has revision %d, not %d", e.Key, e.Found.Revision, e.Expect)
}

// UnknownError says that a write may or may not have taken effect.
type UnknownError struct {
	Key   string
	Cause error
}

// Error names the key and the cause.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("store write of %s has an unknown outcome: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// UnavailableError says that the store could not be reached. Nothing was written.
type UnavailableError struct {
	Key   string
	Cause error
}

// Error names the key and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store is unavailable for %s: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// BudgetError says that the node's own call budget is used up. Nothing was written.
type BudgetError struct {
	Key string
	// After is the time until a call of this priority may be made again.
	RetryAfter time.Duration
}

// Error names the key and the wait.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("store call budget is used up for %s; retry after %s", e.Key, e.RetryAfter)
}
