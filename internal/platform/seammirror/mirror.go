// Package seammirror keeps a local copy of the store's keys under a prefix. It lists the keys once, watches for
// changes, and lists again when changes were missed.
package seammirror

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/platform/seamwait"
)

const (
	// backoffInitial and backoffMax bound the delay after a failed list.
	backoffInitial = 100 * time.Millisecond
	backoffMax     = 1 * time.Second
)

// Store is the part of seamstore.Store that a mirror uses.
type Store interface {
	List(ctx context.Context, p seamstore.Priority, prefix string) ([]seamstore.Entry, int64, error)
	Watch(ctx context.Context, prefix string, from int64, f func([]seamstore.Change)) error
}

// Handler receives the changes of a mirror. Calls are not concurrent.
type Handler interface {
	// Put is called for a key that was written or that a list found.
	Put(now time.Time, e seamstore.Entry)
	// Delete is called for a key that was deleted. timeUnknown is set if a list found the key missing,
	// so that the time of the deletion is unknown.
	Delete(now time.Time, key string, timeUnknown bool)
	// Synced is called after each complete list.
	Synced(now time.Time)
}

// Mirror is a local copy of the store's keys under a prefix. It is safe for concurrent use.
type Mirror struct {
	store   Store
	prefix  string
	handler Handler
	sink    seamevent.Sink

	mu sync.Mutex
	// known holds the revision of each key. A deleted key keeps the revision of its deletion
	// until the next list.
	known map[string]version
}

// version is the last known revision of a key.
type version struct {
	revision int64
	deleted  bool
}

// New returns a mirror that reports changes to handler.
func New(store Store, prefix string, handler Handler, sink seamevent.Sink) *Mirror {
	return &Mirror{store: store, prefix: prefix, handler: handler, sink: sink, known: map[string]version{}}
}

// Run keeps the copy up to date until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil; {
		revision, err := m.list(ctx)
		if err != nil {
			attempt++
			m.report("list", err)
			seamwait.For(ctx, backoff(attempt))
			continue
		}
		attempt = 0
		m.watch(ctx, revision)
	}
}

func backoff(attempt int) time.Duration {
	bound := min(backoffInitial<<min(attempt-1, 8), backoffMax)
	return bound/2 + rand.N(bound/2)
}

func (m *Mirror) report(call string, err error) {
	m.sink.Emit(time.Now(), seamevent.StoreCallFailed, seamevent.Fields{"call": call, "prefix": m.prefix, "error": err.Error()})
}

// watch reports changes until ctx ends or changes were missed.
func (m *Mirror) watch(ctx context.Context, revision int64) {
	err := m.store.Watch(ctx, m.prefix, revision, func(changes []seamstore.Change) { m.apply(time.Now(), changes) })
	var compacted *seamstore.CompactedError
	if errors.As(err, &compacted) {
		m.report("watch", err)
	}
}

func (m *Mirror) list(ctx context.Context) (int64, error) {
	entries, revision, err := m.store.List(ctx, seamstore.Configuration, m.prefix)
	if err != nil {
		return 0, err
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
		m.put(now, e)
	}
	for key, v := range m.known {
		if listed[key] || v.revision > revision {
			continue
		}
		delete(m.known, key)
		if !v.deleted {
			m.handler.Delete(now, key, true)
		}
	}
	m.handler.Synced(now)
	return revision, nil
}

func (m *Mirror) put(now time.Time, e seamstore.Entry) {
	if e.Revision <= m.known[e.Key].revision {
		return
	}
	m.known[e.Key] = version{revision: e.Revision}
	m.handler.Put(now, e)
}

func (m *Mirror) apply(now time.Time, changes []seamstore.Change) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range changes {
		if !c.Deleted {
			m.put(now, c.Entry)
			continue
		}
		if c.Revision <= m.known[c.Key].revision {
			continue
		}
		m.known[c.Key] = version{revision: c.Revision, deleted: true}
		m.handler.Delete(now, c.Key, false)
	}
}
