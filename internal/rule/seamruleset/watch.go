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
	// retryBackoffInitial is the mean delay before the first retry of a failed list or watch.
	retryBackoffInitial = 100 * time.Millisecond
	// retryBackoffMax is the upper bound of the exponential backoff.
	retryBackoffMax = 5 * time.Second
)

// Watch keeps the set at the store's latest revision until ctx ends, and returns the error of ctx.
// While the store is unreachable, the active rules stay in force.
func (s *Set) Watch(ctx context.Context, store seamstore.Store) error {
	backoff := retryBackoffInitial
	for {
		listed := s.listAndWatch(ctx, store)
		if listed {
			backoff = retryBackoffInitial
		}
		if !seamwait.Jittered(ctx, backoff) {
			return ctx.Err()
		}
		backoff = min(2*backoff, retryBackoffMax)
	}
}

// Load reads all rules from the store once, activates them and returns the store's revision.
// It fails if the store can't be read or a document can't be decoded or compiled.
func (s *Set) Load(ctx context.Context, store seamstore.Store) (int64, error) {
	entries, revision, err := store.List(ctx, seamstore.Configuration, seamrulestore.KeyPrefix)
	if err != nil {
		return 0, err
	}
	return revision, s.applyEntries(entries)
}

// listAndWatch loads the rules and then applies changes until ctx ends, a change can't be applied or the
// store has compacted the changes. It reports whether the rules were loaded: the watch always returns
// an error.
func (s *Set) listAndWatch(ctx context.Context, store seamstore.Store) bool {
	revision, err := s.Load(ctx, store)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	err = store.Watch(ctx, seamrulestore.KeyPrefix, revision, func(changes []seamstore.Change) {
		if s.applyEntries(withoutDeletedKeys(changes)) != nil {
			cancel()
		}
	})
	return err != nil
}

// withoutDeletedKeys returns the entries of the changes except those of deleted keys. A deleted service
// keeps its key, with a record of the deletion, so that a missing key does not mean a deleted service.
func withoutDeletedKeys(changes []seamstore.Change) []seamstore.Entry {
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
		v, err := seamrulestore.DecodeVersion(e)
		if err != nil {
			s.reportFailure(time.Now(), err)
			return err
		}
		versions = append(versions, v)
	}
	_, err := s.ApplyVersions(time.Now(), versions)
	return err
}
