// Package seamstandkv is a key-value store in memory with leases and watches, whose faults tests
// can choose. It stands in for the store of the deployment.
package seamstandkv

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/platform/seamwait"
)

// errDown is why calls fail while the store is down.
var errDown = errors.New("the store is down")

// Faults are what goes wrong. Zero means nothing.
type Faults struct {
	// Down refuses every call.
	Down bool
	// Lose carries out every write and answers none.
	LoseResponses bool
	// Silent gives no changes to watches.
	SuppressWatches bool
}

// entry is a key with its lease.
type entry struct {
	seamstore.Entry
	lease seamstore.Lease
}

// lease is a right that ends unless it is renewed.
type lease struct {
	ttl   time.Duration
	until time.Time
}

// Store is the store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	faults   Faults
	revision int64
	// kept is the oldest revision whose changes are known still.
	kept    int64
	entries map[string]entry
	leases  map[seamstore.Lease]lease
	history []seamstore.Change
	changed chan struct{}
	calls   int
	// glanced is what Glance returns next for a prefix.
	glanced map[string][]seamstore.Entry
}

var _ seamstore.LeaseStore = (*Store)(nil)

// New returns an empty store and a function that ends its leases' clock.
func New() (*Store, func()) {
	s := &Store{
		entries: map[string]entry{},
		leases:  map[seamstore.Lease]lease{},
		changed: make(chan struct{}),
		glanced: map[string][]seamstore.Entry{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	go seamwait.Every(ctx, expireInterval, s.expire)
	return s, cancel
}

// expireInterval is the time between looks for leases that have ended.
const expireInterval = 10 * time.Millisecond

func (s *Store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLocked(id)
		}
	}
}

// Fail sets what goes wrong from now on.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.signal()
}

// Forget drops the history of changes.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.kept = nil, s.revision
	s.signal()
}

// Revoke ends all leases at once.
func (s *Store) RevokeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLocked(id)
	}
}

// Calls returns the number of calls.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a key as an operator does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(key, value, 0)
}

// enter counts a call and fails it if the store is down. mu is held afterwards.
func (s *Store) enter(key string) error {
	s.mu.Lock()
	s.calls++
	if s.faults.Down {
		return &seamstore.UnavailableError{Key: key, Cause: errDown}
	}
	return nil
}

// Get implements seamstore.Store.
func (s *Store) Get(_ context.Context, _ seamstore.Priority, key string) (seamstore.Entry, error) {
	defer s.mu.Unlock()
	if err := s.enter(key); err != nil {
		return seamstore.Entry{}, err
	}
	e := s.entries[key].Entry
	e.Key = key
	return e, nil
}

// List implements seamstore.Store.
func (s *Store) List(_ context.Context, _ seamstore.Priority, prefix string) ([]seamstore.Entry, int64, error) {
	defer s.mu.Unlock()
	if err := s.enter(prefix); err != nil {
		return nil, 0, err
	}
	return s.list(prefix), s.revision, nil
}

// list returns the entries below a prefix. mu is held.
func (s *Store) list(prefix string) []seamstore.Entry {
	var list []seamstore.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			list = append(list, e.Entry)
		}
	}
	slices.SortFunc(list, func(a, b seamstore.Entry) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// Glance implements seamstore.Glances. It returns what there was when it was called last.
func (s *Store) ListStale(_ context.Context, prefix string) ([]seamstore.Entry, error) {
	defer s.mu.Unlock()
	if err := s.enter(prefix); err != nil {
		return nil, err
	}
	list := s.glanced[prefix]
	s.glanced[prefix] = s.list(prefix)
	return list, nil
}

// Swap implements seamstore.Store.
func (s *Store) Swap(ctx context.Context, p seamstore.Priority, key string, expect int64, value []byte) (int64, error) {
	return s.SwapLeased(ctx, p, key, expect, value, 0)
}

// SwapLeased implements seamstore.Leases.
func (s *Store) SwapLeased(_ context.Context, _ seamstore.Priority, key string, expect int64, value []byte, l seamstore.Lease) (int64, error) {
	defer s.mu.Unlock()
	if err := s.enter(key); err != nil {
		return 0, err
	}
	if err := s.expectLocked(key, expect); err != nil {
		return 0, err
	}
	if _, ok := s.leases[l]; l != 0 && !ok {
		return 0, &seamstore.LeaseNotFoundError{Lease: l}
	}
	s.putLocked(key, value, l)
	if s.faults.LoseResponses {
		return 0, &seamstore.UnknownError{Key: key, Cause: errDown}
	}
	return s.revision, nil
}

func (s *Store) expectLocked(key string, expect int64) error {
	found := s.entries[key].Entry
	found.Key = key
	if found.Revision != expect {
		return &seamstore.ConflictError{Key: key, Expect: expect, Found: found}
	}
	return nil
}

// Delete implements seamstore.Store.
func (s *Store) Delete(_ context.Context, _ seamstore.Priority, key string, expect int64) error {
	defer s.mu.Unlock()
	if err := s.enter(key); err != nil {
		return err
	}
	if err := s.expectLocked(key, expect); err != nil {
		return err
	}
	s.deleteLocked(key)
	return nil
}

func (s *Store) putLocked(key string, value []byte, l seamstore.Lease) {
	s.revision++
	e := entry{Entry: seamstore.Entry{Key: key, Value: value, Revision: s.revision}, lease: l}
	s.entries[key] = e
	s.history = append(s.history, seamstore.Change{Entry: e.Entry})
	s.signal()
}

func (s *Store) deleteLocked(key string) {
	s.revision++
	delete(s.entries, key)
	s.history = append(s.history, seamstore.Change{Entry: seamstore.Entry{Key: key, Revision: s.revision}, Deleted: true})
	s.signal()
}

// signal wakes the watches. mu is held.
func (s *Store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Begin implements seamstore.Leases.
func (s *Store) GrantLease(_ context.Context, ttl time.Duration) (seamstore.Lease, time.Duration, error) {
	defer s.mu.Unlock()
	if err := s.enter("lease"); err != nil {
		return 0, 0, err
	}
	id := seamstore.Lease(s.calls)
	s.leases[id] = lease{ttl, time.Now().Add(ttl)}
	return id, ttl, nil
}

// Renew implements seamstore.Leases.
func (s *Store) RenewLease(_ context.Context, id seamstore.Lease) error {
	defer s.mu.Unlock()
	if err := s.enter("lease"); err != nil {
		return err
	}
	l, ok := s.leases[id]
	if !ok {
		return &seamstore.LeaseNotFoundError{Lease: id}
	}
	s.leases[id] = lease{l.ttl, time.Now().Add(l.ttl)}
	return nil
}

// End implements seamstore.Leases.
func (s *Store) RevokeLease(_ context.Context, id seamstore.Lease) error {
	defer s.mu.Unlock()
	if err := s.enter("lease"); err != nil {
		return err
	}
	s.endLocked(id)
	return nil
}

func (s *Store) endLocked(id seamstore.Lease) {
	delete(s.leases, id)
	for key, e := range s.entries {
		if id != 0 && e.lease == id {
			s.deleteLocked(key)
		}
	}
}

// Watch implements seamstore.Store.
func (s *Store) Watch(ctx context.Context, prefix string, from int64, f func([]seamstore.Change)) error {
	for {
		s.mu.Lock()
		changed := s.changed
		if from < s.kept {
			kept := s.kept
			s.mu.Unlock()
			return &seamstore.CompactedError{Prefix: prefix, From: from, Compacted: kept}
		}
		var news []seamstore.Change
		if !s.faults.Down && !s.faults.SuppressWatches {
			for _, c := range s.history {
				if c.Revision > from && strings.HasPrefix(c.Key, prefix) {
					news = append(news, c)
				}
			}
			from = s.revision
		}
		s.mu.Unlock()
		if len(news) > 0 {
			f(news)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
