// Package seamstoretest holds a store in memory for the tests of the rules,
// with outages and lost answers on demand.
package seamstoretest

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/platform/seamstore"
)

// ErrDown is the cause of errors during an outage.
var ErrDown = errors.New("store is down")

// ErrLost is the cause of errors whose answer was lost.
var ErrResponseLost = errors.New("answer was lost")

// Fate is what happens to one write.
type WriteFault int

// Fates of writes.
const (
	// Answered writes succeed or fail as usual.
	NoFault WriteFault = iota
	// AnswerLost writes take effect, and the caller does not learn of it.
	ResponseLost
	// RequestLost writes do not take effect, and the caller does not learn of it.
	RequestLost
)

// Memory is a store in memory. Its zero value is empty.
type MemoryStore struct {
	// Decide, if set, decides the fate of each write.
	InjectFault func() WriteFault

	mu       sync.Mutex
	down     bool
	revision int64
	entries  map[string]seamstore.Entry
	log      []seamstore.Change
}

// SetDown begins or ends an outage.
func (m *MemoryStore) SetDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

// Revision returns the revision of the last write.
func (m *MemoryStore) Revision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

func (m *MemoryStore) reachable(key string) error {
	if m.down {
		return &seamstore.UnavailableError{Key: key, Cause: ErrDown}
	}
	return nil
}

// Get returns the entry.
func (m *MemoryStore) Get(_ context.Context, _ seamstore.Priority, key string) (seamstore.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entries[key], m.reachable(key)
}

// List returns the entries in order of key.
func (m *MemoryStore) List(_ context.Context, _ seamstore.Priority, prefix string) ([]seamstore.Entry, int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.reachable(prefix); err != nil {
		return nil, 0, err
	}
	var entries []seamstore.Entry
	for _, key := range slices.Sorted(maps.Keys(m.entries)) {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, m.entries[key])
		}
	}
	return entries, m.revision, nil
}

// Swap writes value if the revision is expect.
func (m *MemoryStore) Swap(_ context.Context, _ seamstore.Priority, key string, expect int64, value []byte) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.reachable(key); err != nil {
		return 0, err
	}
	fate := NoFault
	if m.InjectFault != nil {
		fate = m.InjectFault()
	}
	if fate == RequestLost {
		return 0, &seamstore.UnknownError{Key: key, Cause: ErrResponseLost}
	}
	found := m.entries[key]
	if found.Revision != expect {
		return 0, &seamstore.ConflictError{Key: key, Expect: expect, Found: found}
	}
	m.write(seamstore.Entry{Key: key, Value: slices.Clone(value)}, false)
	if fate == ResponseLost {
		return 0, &seamstore.UnknownError{Key: key, Cause: ErrResponseLost}
	}
	return m.revision, nil
}

// Delete removes the key if its revision is expect.
func (m *MemoryStore) Delete(_ context.Context, _ seamstore.Priority, key string, expect int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.reachable(key); err != nil {
		return err
	}
	found := m.entries[key]
	if found.Revision != expect {
		return &seamstore.ConflictError{Key: key, Expect: expect, Found: found}
	}
	m.write(seamstore.Entry{Key: key}, true)
	return nil
}

func (m *MemoryStore) write(e seamstore.Entry, deleted bool) {
	if m.entries == nil {
		m.entries = map[string]seamstore.Entry{}
	}
	m.revision++
	e.Revision = m.revision
	m.entries[e.Key] = e
	if deleted {
		delete(m.entries, e.Key)
	}
	m.log = append(m.log, seamstore.Change{Entry: e, Deleted: deleted})
}

// watchInterval is the time between two looks at the log.
const watchInterval = time.Millisecond

// Watch calls f with the changes until ctx ends.
func (m *MemoryStore) Watch(ctx context.Context, prefix string, from int64, f func([]seamstore.Change)) error {
	for {
		if changes := m.since(prefix, from); len(changes) > 0 {
			from = changes[len(changes)-1].Revision
			f(changes)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(watchInterval):
		}
	}
}

func (m *MemoryStore) since(prefix string, from int64) []seamstore.Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil
	}
	var changes []seamstore.Change
	for _, c := range m.log {
		if c.Revision > from && strings.HasPrefix(c.Key, prefix) {
			changes = append(changes, c)
		}
	}
	return changes
}
