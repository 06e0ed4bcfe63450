// Package seamevacuate holds the failure domains that operators have evacuated, and decides which requests the nodes
// there refuse.
package seamevacuate

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// KeyedDelay is the time after a node has learned of an evacuation from which it refuses requests with a key, which wait for
// their keys to move until then. Changes take up to about 1 s to arrive, and nothing may reach a target from 5 s on after the
// operators' write.
const KeyedDelay = 3 * time.Second

// Evacuation is the evacuation of one failure domain.
type Evacuation struct {
	Domain string
	// LearnedAt is when this node learned of it. If the node found it in its first state, it may have begun long before:
	// LearnedAt is then KeyedDelay earlier.
	LearnedAt time.Time
}

// RefusesKeyed reports whether the nodes of the domain refuse requests with a key. keysMoved reports whether the target holds no
// keys any more.
func (e Evacuation) RefusesKeyed(now time.Time, keysMoved bool) bool {
	return keysMoved || now.Sub(e.LearnedAt) >= KeyedDelay
}

// entry is an evacuation with its origin.
type entry struct {
	Evacuation
	// confirmed reports whether the store has it; otherwise only another node has reported it.
	confirmed bool
}

// Set holds the evacuated domains that a node knows. It is safe for concurrent use; the zero value is empty.
type Set struct {
	// BeforeEnd is called before a known evacuation ends, while requests are still refused; nil is allowed. It must be set before
	// the first use and must not change the Set.
	BeforeEnd func(Evacuation)

	mu      sync.Mutex
	entries map[string]entry
	// synced is whether the node has read a complete list of the store.
	synced bool
	// snapshot holds the evacuations in the order of their domains. It is replaced with each change.
	snapshot atomic.Pointer[[]Evacuation]
}

// Put records an evacuation that is in the store, and reports whether it is new to this node.
func (s *Set) Put(now time.Time, domain string) bool {
	return s.add(now, domain, true)
}

// PutFromPeer records an evacuation that another node knows, and reports whether it is new to this node. It has no effect once a
// complete list of the store has been read, since the other node may not know yet that the evacuation has ended.
func (s *Set) PutFromPeer(now time.Time, domain string) bool {
	return s.add(now, domain, false)
}

func (s *Set) add(now time.Time, domain string, confirmed bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if domain == "" || s.synced && !confirmed {
		return false
	}
	known, ok := s.entries[domain]
	if ok {
		known.confirmed = known.confirmed || confirmed
		s.entries[domain] = known
		return false
	}
	learned := now
	if !s.synced {
		learned = now.Add(-KeyedDelay)
	}
	if s.entries == nil {
		s.entries = map[string]entry{}
	}
	s.entries[domain] = entry{Evacuation{Domain: domain, LearnedAt: learned}, confirmed}
	s.publish()
	return true
}

// Delete records the end of an evacuation. It returns the evacuation, and false if it was not known.
func (s *Set) Delete(domain string) (Evacuation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.entries[domain]
	if ok {
		s.end(known.Evacuation)
		s.publish()
	}
	return known.Evacuation, ok
}

// Synced records that a complete list of the store has been read, and returns the evacuations that have thereby ended: those
// that only another node has told.
func (s *Set) Synced() []Evacuation {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.synced = true
	var ended []Evacuation
	for _, e := range s.entries {
		if !e.confirmed {
			ended = append(ended, e.Evacuation)
			s.end(e.Evacuation)
		}
	}
	if len(ended) > 0 {
		s.publish()
	}
	return ended
}

// end removes an evacuation. The caller holds mu, and publishes the change afterwards.
func (s *Set) end(e Evacuation) {
	if s.BeforeEnd != nil {
		s.BeforeEnd(e)
	}
	delete(s.entries, e.Domain)
}

// publish replaces the snapshot. The caller holds mu.
func (s *Set) publish() {
	list := make([]Evacuation, 0, len(s.entries))
	for _, e := range s.entries {
		list = append(list, e.Evacuation)
	}
	slices.SortFunc(list, func(x, y Evacuation) int { return cmp.Compare(x.Domain, y.Domain) })
	s.snapshot.Store(&list)
}

// Snapshot is the state of a Set at one time. Equal snapshots hold the same evacuations.
type Snapshot struct {
	list *[]Evacuation
}

// Snapshot returns the current state.
func (s *Set) Snapshot() Snapshot { return Snapshot{s.snapshot.Load()} }

// All returns the evacuations in the order of their domains. The caller must not modify them.
func (s Snapshot) All() []Evacuation {
	if s.list == nil {
		return nil
	}
	return *s.list
}

// Find returns the evacuation of a domain, and false if the domain is not evacuated.
func (s Snapshot) Find(domain string) (Evacuation, bool) {
	for _, e := range s.All() {
		if e.Domain == domain {
			return e, true
		}
	}
	return Evacuation{}, false
}

// Domains returns the evacuated domains in order.
func (s Snapshot) Domains() []string {
	var domains []string
	for _, e := range s.All() {
		domains = append(domains, e.Domain)
	}
	return domains
}
