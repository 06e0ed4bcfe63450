// Package seamstoretest provides an in-memory key-value store for tests, with fault injection: outages,
// lost requests and lost responses.
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

// ErrResponseLost is the cause of errors of writes whose request or response was lost.
var ErrResponseLost = errors.New("response was lost")

// WriteFault is a fault injected into one write.
type WriteFault int

// The faults of writes.
const (
	// NoFault writes succeed or fail as usual.
	NoFault WriteFault = iota
	// ResponseLost writes take effect, but the caller receives an UnknownError.
	ResponseLost
	// RequestLost writes do not take effect, and the caller receives an UnknownError.
	RequestLost
)

// MemoryStore is an in-memory implementation of seamstore.Store. The zero value is an empty store.
type MemoryStore struct {
	// InjectFault, if set, returns the fault of each write.
	InjectFault func() WriteFault

	mu       sync.Mutex
	down     bool
	revision int64
	entries  map[string]seamstore.Entry
	log      []seamstore.Change
}

// SetDown starts or ends an outage.
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

func (m *MemoryStore) checkReachable(key string) error {
	if m.down {
		return &seamstore.UnavailableError{Key: key, Cause: ErrDown}
	}
	return nil
}

// Get returns the entry of the key, or the zero Entry if there is none.
func (m *MemoryStore) Get(_ context.Context, _ seamstore.Priority, key string) (seamstore.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entries[key], m.checkReachable(key)
}

// List returns the entries whose keys begin with the prefix, sorted by key, and the store's revision.
func (m *MemoryStore) List(_ context.Context, _ seamstore.Priority, prefix string) ([]seamstore.Entry, int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkReachable(prefix); err != nil {
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

// Swap writes value if the revision of the key is expect, and returns the new revision.
func (m *MemoryStore) Swap(_ context.Context, _ seamstore.Priority, key string, expect int64, value []byte) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkReachable(key); err != nil {
		return 0, err
	}
	fault := NoFault
	if m.InjectFault != nil {
		fault = m.InjectFault()
	}
	if fault == RequestLost {
		return 0, &seamstore.UnknownError{Key: key, Cause: ErrResponseLost}
	}
	found := m.entries[key]
	if found.Revision != expect {
		return 0, &seamstore.ConflictError{Key: key, Expect: expect, Found: found}
	}
	m.write(seamstore.Entry{Key: key, Value: slices.Clone(value)}, false)
	if fault == ResponseLost {
		return 0, &seamstore.UnknownError{Key: key, Cause: ErrResponseLost}
	}
	return m.revision, nil
}

// Delete removes the key if its revision is expect.
func (m *MemoryStore) Delete(_ context.Context, _ seamstore.Priority, key string, expect int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkReachable(key); err != nil {
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

// pollInterval is the interval at which Watch polls the log.
const pollInterval = time.Millisecond

// Watch calls f with the changes after revision from until ctx ends. It reports no changes during an
// outage.
func (m *MemoryStore) Watch(ctx context.Context, prefix string, from int64, f func([]seamstore.Change)) error {
	for {
		if changes := m.changesSince(prefix, from); len(changes) > 0 {
			from = changes[len(changes)-1].Revision
			f(changes)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

func (m *MemoryStore) changesSince(prefix string, from int64) []seamstore.Change {
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
