package seamruleset

import (
	"context"
	"time"

	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/platform/seamwait"
	"cardamomseam/internal/rule/seamrule"
	"cardamomseam/internal/rule/seamrulestore"
)

const (
	// firstWait is the mean wait before the first repetition of a failed list or watch.
	retryBackoffInitial = 100 * time.Millisecond
	// longestWait bounds the doubling of the wait.
	retryBackoffMax = 5 * time.Second
)

// Watch keeps the set at the store's latest revision until ctx ends, and returns its error.
// While the store cannot be reached, what is in force stays.
func (s *Set) Watch(ctx context.Context, store seamstore.Store) error {
	backoff := retryBackoffInitial
	for {
		ok := s.listAndWatch(ctx, store)
		if ok {
			backoff = retryBackoffInitial
		}
		if !seamwait.Jittered(ctx, backoff) {
			return ctx.Err()
		}
		backoff = min(2*backoff, retryBackoffMax)
	}
}

// Read lists the store's rules once, puts them in force and returns the store's revision.
// Errors are those of the store, or that of a document that cannot be read or compiled.
func (s *Set) Load(ctx context.Context, store seamstore.Store) (int64, error) {
	entries, revision, err := store.List(ctx, seamstore.Configuration, seamrulestore.KeyPrefix)
	if err != nil {
		return 0, err
	}
	return revision, s.applyEntries(entries)
}

// follow lists the rules and watches for changes until one fails; it reports whether it could list.
func (s *Set) listAndWatch(ctx context.Context, store seamstore.Store) bool {
	revision, err := s.Load(ctx, store)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	err = store.Watch(ctx, seamrulestore.KeyPrefix, revision, func(changes []seamstore.Change) {
		if s.applyEntries(withoutRemovals(changes)) != nil {
			cancel()
		}
	})
	return err != nil
}

// entriesOf drops removals: the absence of a key is no deletion of a service.
func withoutRemovals(changes []seamstore.Change) []seamstore.Entry {
	var entries []seamstore.Entry
	for _, c := range changes {
		if !c.Deleted {
			entries = append(entries, c.Entry)
		}
	}
	return entries
}

func (s *Set) applyEntries(entries []seamstore.Entry) error {
	versions := make([]seamrule.Version, 0, len(entries))
	for _, e := range entries {
		v, err := seamrulestore.Version(e)
		if err != nil {
			s.reportFailure(time.Now(), err)
			return err
		}
		versions = append(versions, v)
	}
	_, err := s.ApplyVersions(time.Now(), versions)
	return err
}
