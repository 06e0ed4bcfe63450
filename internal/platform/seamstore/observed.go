package seamstore

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/observe/seamevent"
)

// Health tells whether the store was reached by the latest call.
type Health struct {
	Reachable bool
	// Since is the time of the last change of Reachable.
	Since time.Time
}

// Observed is a Store that keeps track of whether the store beneath can be reached.
type HealthTracker struct {
	Store
	sink seamevent.Sink

	mu     sync.Mutex
	health Health
}

// Observe wraps a store. Changes of its health are events.
func NewHealthTracker(s Store, sink seamevent.Sink) *HealthTracker {
	return &HealthTracker{Store: s, sink: sink}
}

// Health returns whether the store was reached by the latest call.
func (o *HealthTracker) Health() Health {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.health
}

// Get reads a key.
func (o *HealthTracker) Get(ctx context.Context, p Priority, key string) (Entry, error) {
	e, err := o.Store.Get(ctx, p, key)
	o.note(time.Now(), err)
	return e, err
}

// List reads the keys that begin with prefix.
func (o *HealthTracker) List(ctx context.Context, p Priority, prefix string) ([]Entry, int64, error) {
	entries, revision, err := o.Store.List(ctx, p, prefix)
	o.note(time.Now(), err)
	return entries, revision, err
}

// Swap writes a key.
func (o *HealthTracker) Swap(ctx context.Context, p Priority, key string, expect int64, value []byte) (int64, error) {
	revision, err := o.Store.Swap(ctx, p, key, expect, value)
	o.note(time.Now(), err)
	return revision, err
}

// Delete removes a key.
func (o *HealthTracker) Delete(ctx context.Context, p Priority, key string, expect int64) error {
	err := o.Store.Delete(ctx, p, key, expect)
	o.note(time.Now(), err)
	return err
}

// note takes the end of one call into account; a spent budget says nothing about the store.
func (o *HealthTracker) note(now time.Time, err error) {
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
