// Package seamstandkv is an in-memory key-value store with leases, watches and fault injection.
// Tests use it instead of a deployment's store.
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

// errDown is the cause of every injected failure.
var errDown = errors.New("the store is down")

// Faults selects the faults to inject. The zero value injects none.
type Faults struct {
	// Down makes every call fail as unavailable. Watches stay open but deliver nothing until it is
	// reset.
	Down bool
	// LoseResponses makes swaps take effect but return an unknown outcome, as if the response were lost.
	LoseResponses bool
	// SuppressWatches withholds changes from watches until it is reset.
	SuppressWatches bool
}

// entry is a stored entry and the lease that it is attached to, 0 for none.
type entry struct {
	seamstore.Entry
	lease seamstore.Lease
}

// lease holds the TTL and expiry time of a lease. When it expires or is revoked, its keys are deleted.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Store is an in-memory implementation of seamstore.LeaseStore. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	faults   Faults
	revision int64
	// era is the era of the store, which revision contains; 0 before the first Restore.
	era int64
	// compacted is the revision up to which the change history is discarded.
	compacted int64
	entries   map[string]entry
	leases    map[seamstore.Lease]lease
	history   []seamstore.Change
	// changed is closed and replaced when watches must check for changes.
	changed chan struct{}
	// calls counts the calls, and provides the lease IDs.
	calls int
	// staleLists holds the entries that the next ListStale of each prefix returns.
	staleLists map[string][]seamstore.Entry
}

var _ seamstore.LeaseStore = (*Store)(nil)

// New returns an empty store and a function that stops the expiry of its leases.
func New() (*Store, func()) {
	s := &Store{
		entries:    map[string]entry{},
		leases:     map[seamstore.Lease]lease{},
		changed:    make(chan struct{}),
		staleLists: map[string][]seamstore.Entry{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	go seamwait.Every(ctx, expiryCheckInterval, s.expireLeases)
	return s, cancel
}

// expireInterval is the time between checks for expired leases.
const expiryCheckInterval = 10 * time.Millisecond

func (s *Store) expireLeases(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			s.revokeLocked(id)
		}
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatchesLocked()
}

// Compact discards the change history, so that a watch from an older revision fails.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
	s.notifyWatchesLocked()
}

// RevokeAll revokes all leases.
func (s *Store) RevokeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.revokeLocked(id)
	}
}

// Calls returns the number of calls since the store was created, other than Watch.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a key without a lease or a revision check. It is not counted as a call, and faults do not
// affect it.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(key, value, 0)
}

// lockForCall locks mu, counts a call and returns an error if the store is down. The caller
// must unlock mu in either case.
func (s *Store) lockForCall(key string) error {
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
	if err := s.lockForCall(key); err != nil {
		return seamstore.Entry{}, err
	}
	e := s.entries[key].Entry
	e.Key = key
	return e, nil
}

// List implements seamstore.Store.
func (s *Store) List(_ context.Context, _ seamstore.Priority, prefix string) ([]seamstore.Entry, int64, error) {
	defer s.mu.Unlock()
	if err := s.lockForCall(prefix); err != nil {
		return nil, 0, err
	}
	return s.listLocked(prefix), s.revision, nil
}

// listLocked returns the entries with a prefix, sorted by key. mu must be held.
func (s *Store) listLocked(prefix string) []seamstore.Entry {
	var list []seamstore.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			list = append(list, e.Entry)
		}
	}
	slices.SortFunc(list, func(a, b seamstore.Entry) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// ListStale implements seamstore.StaleLister. It returns the entries as of the previous call for the
// prefix; the first call returns none.
func (s *Store) ListStale(_ context.Context, prefix string) ([]seamstore.Entry, error) {
	defer s.mu.Unlock()
	if err := s.lockForCall(prefix); err != nil {
		return nil, err
	}
	list := s.staleLists[prefix]
	s.staleLists[prefix] = s.listLocked(prefix)
	return list, nil
}

// Swap implements seamstore.Store.
func (s *Store) Swap(ctx context.Context, p seamstore.Priority, key string, expect int64, value []byte) (int64, error) {
	return s.SwapLeased(ctx, p, key, expect, value, 0)
}

// SwapLeased implements seamstore.LeaseManager.
func (s *Store) SwapLeased(_ context.Context, _ seamstore.Priority, key string, expect int64, value []byte, l seamstore.Lease) (int64, error) {
	defer s.mu.Unlock()
	if err := s.lockForCall(key); err != nil {
		return 0, err
	}
	if err := s.checkRevisionLocked(key, expect); err != nil {
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

func (s *Store) checkRevisionLocked(key string, expect int64) error {
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
	if err := s.lockForCall(key); err != nil {
		return err
	}
	if err := s.checkRevisionLocked(key, expect); err != nil {
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
	s.notifyWatchesLocked()
}

func (s *Store) deleteLocked(key string) {
	s.revision++
	delete(s.entries, key)
	s.history = append(s.history, seamstore.Change{Entry: seamstore.Entry{Key: key, Revision: s.revision}, Deleted: true})
	s.notifyWatchesLocked()
}

// notifyWatchesLocked wakes the watches. mu must be held.
func (s *Store) notifyWatchesLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// GrantLease implements seamstore.LeaseManager.
func (s *Store) GrantLease(_ context.Context, ttl time.Duration) (seamstore.Lease, time.Duration, error) {
	defer s.mu.Unlock()
	if err := s.lockForCall("lease"); err != nil {
		return 0, 0, err
	}
	id := seamstore.Lease(s.calls)
	s.leases[id] = lease{ttl, time.Now().Add(ttl)}
	return id, ttl, nil
}

// RenewLease implements seamstore.LeaseManager.
func (s *Store) RenewLease(_ context.Context, id seamstore.Lease) error {
	defer s.mu.Unlock()
	if err := s.lockForCall("lease"); err != nil {
		return err
	}
	l, ok := s.leases[id]
	if !ok {
		return &seamstore.LeaseNotFoundError{Lease: id}
	}
	s.leases[id] = lease{l.ttl, time.Now().Add(l.ttl)}
	return nil
}

// RevokeLease implements seamstore.LeaseManager.
func (s *Store) RevokeLease(_ context.Context, id seamstore.Lease) error {
	defer s.mu.Unlock()
	if err := s.lockForCall("lease"); err != nil {
		return err
	}
	s.revokeLocked(id)
	return nil
}

func (s *Store) revokeLocked(id seamstore.Lease) {
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
		if from < s.compacted {
			compacted := s.compacted
			s.mu.Unlock()
			return &seamstore.CompactedError{Prefix: prefix, From: from, Compacted: compacted}
		}
		var changes []seamstore.Change
		if !s.faults.Down && !s.faults.SuppressWatches {
			changes = s.changesLocked(prefix, from)
			from = s.revision
		}
		s.mu.Unlock()
		if len(changes) > 0 {
			f(changes)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Changes implements seamstore.ChangeLister.
func (s *Store) Changes(_ context.Context, prefix string, from int64) ([]seamstore.Change, int64, error) {
	defer s.mu.Unlock()
	if err := s.lockForCall(prefix); err != nil {
		return nil, 0, err
	}
	if from < s.compacted {
		return nil, 0, &seamstore.CompactedError{Prefix: prefix, From: from, Compacted: s.compacted}
	}
	return s.changesLocked(prefix, from), s.revision, nil
}

// changesLocked returns the changes of keys that start with prefix whose revision is above from. The caller holds mu.
func (s *Store) changesLocked(prefix string, from int64) []seamstore.Change {
	var changes []seamstore.Change
	for _, c := range s.history {
		if c.Revision > from && strings.HasPrefix(c.Key, prefix) {
			changes = append(changes, c)
		}
	}
	return changes
}
