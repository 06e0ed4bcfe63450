package seamstore

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/observe/seamevent"
)

// Health is the reachability of the store.
type Health struct {
	// Reachable is set if the last call reached the store.
	Reachable bool
	// Since is the time of the last change of Reachable.
	Since time.Time
}

// HealthTracker is a Store that tracks whether the underlying store is reachable.
type HealthTracker struct {
	Store
	sink seamevent.Sink

	mu     sync.Mutex
	health Health
}

// NewHealthTracker wraps a store. It emits an event for each change of the store's health.
func NewHealthTracker(s Store, sink seamevent.Sink) *HealthTracker {
	return &HealthTracker{Store: s, sink: sink}
}

// Health returns the store's health after the last call.
func (o *HealthTracker) Health() Health {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.health
}

// Get implements Store.
func (o *HealthTracker) Get(ctx context.Context, p Priority, key string) (Entry, error) {
	e, err := o.Store.Get(ctx, p, key)
	o.recordResult(time.Now(), err)
	return e, err
}

// List implements Store.
func (o *HealthTracker) List(ctx context.Context, p Priority, prefix string) ([]Entry, int64, error) {
	entries, revision, err := o.Store.List(ctx, p, prefix)
	o.recordResult(time.Now(), err)
	return entries, revision, err
}

// Swap implements Store.
func (o *HealthTracker) Swap(ctx context.Context, p Priority, key string, expect int64, value []byte) (int64, error) {
	revision, err := o.Store.Swap(ctx, p, key, expect, value)
	o.recordResult(time.Now(), err)
	return revision, err
}

// Delete implements Store.
func (o *HealthTracker) Delete(ctx context.Context, p Priority, key string, expect int64) error {
	err := o.Store.Delete(ctx, p, key, expect)
	o.recordResult(time.Now(), err)
	return err
}

// recordResult updates the health after a call. A BudgetError is ignored, since the call was not made.
func (o *HealthTracker) recordResult(now time.Time, err error) {
	var budget *BudgetError
	var conflict *ConflictError
	if errors.As(err, &budget) {
		return
	}
	reachable := err == nil || errors.As(err, &conflict)
	o.mu.Lock()
	changed := o.health.Since.IsZero() || o.health.Reachable != reachable
	first := o.health.Since.IsZero()
	if changed {
		o.health = Health{Reachable: reachable, Since: now}
	}
	o.mu.Unlock()
	switch {
	case changed && !reachable:
		o.sink.Emit(now, seamevent.StoreDown, seamevent.Fields{"error": err.Error()})
	case changed && !first:
		o.sink.Emit(now, seamevent.StoreUp, nil)
	}
}
