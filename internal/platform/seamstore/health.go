package seamstore

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/observe/seamevent"
)

// Health describes whether the store is reachable, and since when.
type Health struct {
	// Reachable is set if the last call reached the store.
	Reachable bool
	// Since is the end of the call that last changed Reachable. It is zero before the first call.
	Since time.Time
}

// HealthTracker is a Store that tracks from the results of its calls whether the underlying store is reachable.
// Watches are not tracked.
type HealthTracker struct {
	Store
	sink seamevent.Sink

	mu     sync.Mutex
	health Health
}

// NewHealthTracker wraps a store. The tracker emits an event for each change of the store's health, but none if the
// first call succeeds.
func NewHealthTracker(s Store, sink seamevent.Sink) *HealthTracker {
	return &HealthTracker{Store: s, sink: sink}
}

// Health returns the store's health after the last call.
func (t *HealthTracker) Health() Health {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.health
}

// Get implements Store.
func (t *HealthTracker) Get(ctx context.Context, p Priority, key string) (Entry, error) {
	e, err := t.Store.Get(ctx, p, key)
	t.recordResult(time.Now(), err)
	return e, err
}

// List implements Store.
func (t *HealthTracker) List(ctx context.Context, p Priority, prefix string) ([]Entry, int64, error) {
	entries, revision, err := t.Store.List(ctx, p, prefix)
	t.recordResult(time.Now(), err)
	return entries, revision, err
}

// Swap implements Store.
func (t *HealthTracker) Swap(ctx context.Context, p Priority, key string, expect int64, value []byte) (int64, error) {
	revision, err := t.Store.Swap(ctx, p, key, expect, value)
	t.recordResult(time.Now(), err)
	return revision, err
}

// Delete implements Store.
func (t *HealthTracker) Delete(ctx context.Context, p Priority, key string, expect int64) error {
	err := t.Store.Delete(ctx, p, key, expect)
	t.recordResult(time.Now(), err)
	return err
}

// recordResult updates the health after a call. A BudgetError is ignored, since the call was not made. A ConflictError
// shows that the store is reachable.
func (t *HealthTracker) recordResult(now time.Time, err error) {
	var budget *BudgetError
	var conflict *ConflictError
	if errors.As(err, &budget) {
		return
	}
	reachable := err == nil || errors.As(err, &conflict)
	t.mu.Lock()
	changed := t.health.Since.IsZero() || t.health.Reachable != reachable
	first := t.health.Since.IsZero()
	if changed {
		t.health = Health{Reachable: reachable, Since: now}
	}
	t.mu.Unlock()
	switch {
	case changed && !reachable:
		t.sink.Emit(now, seamevent.StoreDown, seamevent.Fields{"error": err.Error()})
	case changed && !first:
		t.sink.Emit(now, seamevent.StoreUp, nil)
	}
}
