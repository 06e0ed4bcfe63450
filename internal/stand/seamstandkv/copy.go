package seamstandkv

import (
	"maps"
	"time"

	"cardamomseam/internal/platform/seamstore"
)

// Copy is a copy of the entries and leases of a store.
type Copy struct {
	revision int64
	entries  map[string]entry
	leases   map[seamstore.Lease]lease
}

// Copy returns a copy of the store.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{revision: s.revision, entries: maps.Clone(s.entries), leases: maps.Clone(s.leases)}
}

// Restore makes the store come back from a copy, in the next era. What was written since then is gone, leases too. The
// leases of the copy start anew, and watches from before end.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.entries = map[string]entry{}
	for key, e := range c.entries {
		e.Revision = s.inEra(e.Revision)
		s.entries[key] = e
	}
	s.leases = map[seamstore.Lease]lease{}
	for id, l := range c.leases {
		s.leases[id] = lease{l.ttl, time.Now().Add(l.ttl)}
	}
	s.revision = s.inEra(c.revision)
	s.history, s.compacted = nil, s.revision
	s.notifyWatchesLocked()
}

// inEra returns a revision of a copy as one of the present era.
func (s *Store) inEra(revision int64) int64 {
	_, stored := seamstore.SplitEra(revision)
	return seamstore.JoinEra(s.era, stored)
}

// Era implements seamstore.EraReader.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}
