// Package seammirror keeps a local copy of the store's keys under a prefix. The copy takes lists and changes from any
// source, in any order, and never goes back to an older revision of a key.
package seammirror

import (
	"sync"
	"time"

	"cardamomseam/internal/platform/seamstore"
)

// Handler receives the changes of a mirror. Calls are not concurrent.
type Handler interface {
	// Put is called for a key that was written or that a list found.
	Put(now time.Time, e seamstore.Entry)
	// Delete is called for a key that was deleted. timeUnknown is set if a list found the key missing,
	// so that the time of the deletion is unknown.
	Delete(now time.Time, key string, timeUnknown bool)
}

// Mirror is a local copy of the store's keys under a prefix. It is safe for concurrent use.
type Mirror struct {
	handler Handler

	mu sync.Mutex
	// known holds the latest change of each key. A deleted key keeps the revision of its deletion
	// until the next list.
	known map[string]seamstore.Change
}

// New returns an empty mirror that reports changes to handler.
func New(handler Handler) *Mirror {
	return &Mirror{handler: handler, known: map[string]seamstore.Change{}}
}

// Replace takes a complete list of the keys as of a revision, and returns the changes that were new. Keys that are known at
// a later revision are kept. A key that is missing counts as deleted at the list's revision.
func (m *Mirror) Replace(now time.Time, entries []seamstore.Entry, revision int64) []seamstore.Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	var changes []seamstore.Change
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
		if m.put(now, e) {
			changes = append(changes, seamstore.Change{Entry: e})
		}
	}
	for key, c := range m.known {
		if listed[key] || c.Revision > revision {
			continue
		}
		delete(m.known, key)
		if !c.Deleted {
			changes = append(changes, seamstore.Change{Entry: seamstore.Entry{Key: key, Revision: revision}, Deleted: true})
			m.handler.Delete(now, key, true)
		}
	}
	return changes
}

// Apply takes changes and returns those that were new.
func (m *Mirror) Apply(now time.Time, changes []seamstore.Change) []seamstore.Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	applied := make([]seamstore.Change, 0, len(changes))
	for _, c := range changes {
		if c.Deleted && m.remove(now, c) || !c.Deleted && m.put(now, c.Entry) {
			applied = append(applied, c)
		}
	}
	return applied
}

// Revision returns the revision of the latest known change of a key; 0 if none is known.
func (m *Mirror) Revision(key string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.known[key].Revision
}

// Entries returns the entries of the copy, in no particular order.
func (m *Mirror) Entries() []seamstore.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	entries := make([]seamstore.Entry, 0, len(m.known))
	for _, c := range m.known {
		if !c.Deleted {
			entries = append(entries, c.Entry)
		}
	}
	return entries
}

// put applies a written key and reports whether it was new. The caller holds mu.
func (m *Mirror) put(now time.Time, e seamstore.Entry) bool {
	if e.Revision <= m.known[e.Key].Revision {
		return false
	}
	m.known[e.Key] = seamstore.Change{Entry: e}
	m.handler.Put(now, e)
	return true
}

// remove applies the deletion of a key and reports whether it was new. The caller holds mu.
func (m *Mirror) remove(now time.Time, c seamstore.Change) bool {
	if c.Revision <= m.known[c.Key].Revision {
		return false
	}
	m.known[c.Key] = c
	m.handler.Delete(now, c.Key, false)
	return true
}
