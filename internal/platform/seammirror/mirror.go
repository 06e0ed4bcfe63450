// Package seammirror keeps a copy of the store's keys below a prefix: it lists them
// once, follows the changes, and lists again when changes were missed.
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
	// backoffFirst and backoffLast bound the wait after a failed call.
	backoffFirst = 100 * time.Millisecond
	backoffLast  = 1 * time.Second
)

// Store is what a mirror reads.
type Store interface {
	List(ctx context.Context, p seamstore.Priority, prefix string) ([]seamstore.Entry, int64, error)
	Watch(ctx context.Context, prefix string, from int64, f func([]seamstore.Change)) error
}

// Reader takes the changes of a mirror. Calls do not overlap.
type Handler interface {
	// Put takes a key that was written, or that is found to be there.
	Put(now time.Time, e seamstore.Entry)
	// Delete takes a key that was removed, or that is found to be gone. lately says that the
	// copy was out of date until now, so that the time of the removal is not known.
	Delete(now time.Time, key string, lately bool)
	// Fresh is called each time after all keys were listed.
	Synced(now time.Time)
}

// Mirror is the copy. It is safe for concurrent use.
type Mirror struct {
	store  Store
	prefix string
	reader Handler
	sink   seamevent.Sink

	mu sync.Mutex
	// known holds the revision of each key; deleted ones keep the revision of their removal
	// until the next listing.
	known map[string]version
}

// version is what is known of a key.
type version struct {
	revision int64
	deleted  bool
}

// New returns a mirror that hands what it reads to the reader.
func New(store Store, prefix string, reader Handler, sink seamevent.Sink) *Mirror {
	return &Mirror{store: store, prefix: prefix, reader: reader, sink: sink, known: map[string]version{}}
}

// Run keeps the copy until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil; {
		revision, err := m.list(ctx)
		if err != nil {
			attempt++
			m.report("list", err)
			seamwait.For(ctx, pause(attempt))
			continue
		}
		attempt = 0
		m.follow(ctx, revision)
	}
}

func pause(attempt int) time.Duration {
	bound := min(backoffFirst<<min(attempt-1, 8), backoffLast)
	return bound/2 + rand.N(bound/2)
}

func (m *Mirror) report(call string, err error) {
	m.sink.Emit(time.Now(), seamevent.StoreCallFailed, seamevent.Fields{"call": call, "prefix": m.prefix, "error": err.Error()})
}

// follow watches until changes were missed.
func (m *Mirror) follow(ctx context.Context, revision int64) {
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
	found := make(map[string]bool, len(entries))
	for _, e := range entries {
		found[e.Key] = true
		m.put(now, e)
	}
	for key, v := range m.known {
		if found[key] || v.revision > revision {
			continue
		}
		delete(m.known, key)
		if !v.deleted {
			m.reader.Delete(now, key, true)
		}
	}
	m.reader.Synced(now)
	return revision, nil
}

func (m *Mirror) put(now time.Time, e seamstore.Entry) {
	if e.Revision <= m.known[e.Key].revision {
		return
	}
	m.known[e.Key] = version{revision: e.Revision}
	m.reader.Put(now, e)
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
		m.reader.Delete(now, c.Key, false)
	}
}
