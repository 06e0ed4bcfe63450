package main

import (
	"maps"
	"time"
)

// kvCopy is a copy of the store.
type kvCopy struct {
	made           time.Time
	revision, next int64
	items          map[string]kvItem
	leases         map[int64]kvLease
}

// copied returns a copy of the store.
func (s *kvStore) copied() kvCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := kvCopy{made: time.Now(), revision: s.revision, next: s.next, items: maps.Clone(s.items), leases: map[int64]kvLease{}}
	for id, l := range s.leases {
		c.leases[id] = *l
	}
	return c
}

// goAway makes the store answer nothing.
func (s *kvStore) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.rec.note("the store is away")
}

// comeBack makes the store answer again, from a copy and in the next era. What was written since the copy is gone, the leases too.
func (s *kvStore) comeBack(c kvCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.revision, s.next, s.items = c.revision, c.next, maps.Clone(c.items)
	s.leases = map[int64]*kvLease{}
	for id, l := range c.leases {
		s.leases[id] = &kvLease{l.ttl, now.Add(l.ttl)}
	}
	s.history, s.dropped = nil, c.revision
	s.era++
	s.away = false
	keys := make([]string, 0, len(s.items))
	for key := range s.items {
		keys = append(keys, key)
	}
	s.rec.note("the store is back in era %d from a copy that is %.1f s old, with the keys %q", s.era, now.Sub(c.made).Seconds(), keys)
}
