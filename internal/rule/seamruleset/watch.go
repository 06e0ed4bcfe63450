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
	firstWait = 100 * time.Millisecond
	// longestWait bounds the doubling of the wait.
	longestWait = 5 * time.Second
)

// Watch keeps the set at the store's latest revision until ctx ends, and returns its error.
// While the store cannot be reached, what is in force stays.
func (s *Set) Watch(ctx context.Context, store seamstore.Store) error {
	wait := firstWait
	for {
		listed := s.follow(ctx, store)
		if listed {
			wait = firstWait
		}
		if !seamwait.Jittered(ctx, wait) {
			return ctx.Err()
		}
		wait = min(2*wait, longestWait)
	}
}

// Read lists the store's rules once, puts them in force and returns the store's revision.
// Errors are those of the store, or that of a document that cannot be read or compiled.
func (s *Set) Load(ctx context.Context, store seamstore.Store) (int64, error) {
	entries, revision, err := store.List(ctx, seamstore.Configuration, seamrulestore.KeyPrefix)
	if err != nil {
		return 0, err
	}
	return revision, s.take(entries)
}

// follow lists the rules and watches for changes until one fails; it reports whether it could list.
func (s *Set) follow(ctx context.Context, store seamstore.Store) bool {
	revision, err := s.Load(ctx, store)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	err = store.Watch(ctx, seamrulestore.KeyPrefix, revision, func(changes []seamstore.Change) {
		if s.take(entriesOf(changes)) != nil {
			cancel()
		}
	})
	return err != nil
}

// entriesOf drops removals: the absence of a key is no deletion of a service.
func entriesOf(changes []seamstore.Change) []seamstore.Entry {
	var entries []seamstore.Entry
	for _, c := range changes {
		if !c.Deleted {
			entries = append(entries, c.Entry)
		}
	}
	return entries
}

func (s *Set) take(entries []seamstore.Entry) error {
	versions := make([]seamrule.Version, 0, len(entries))
	for _, e := range entries {
		v, err := seamrulestore.DecodeVersion(e)
		if err != nil {
			s.fail(time.Now(), err)
			return err
		}
		versions = append(versions, v)
	}
	_, err := s.ApplyVersions(time.Now(), versions)
	return err
}
