package seamfeed

import (
	"slices"
	"time"

	"cardamomseam/internal/member/seampeer"
)

const (
	// avoidTimeInitial and avoidTimeMax bound the time for which a reader is avoided after a failed subscription. The time
	// doubles with each failure in a row.
	avoidTimeInitial = 3 * time.Second
	avoidTimeMax     = 12 * time.Second
	// maxRemoteReaders is the number of readers of other failure domains that a node tries.
	maxRemoteReaders = 4
)

// View is what a node knows when it selects its source.
type View struct {
	Self seampeer.Peer
	// Candidates are the live nodes that are not shutting down, this one included.
	Candidates []Candidate
	// StoreReachable reports whether this node's own calls reach the store.
	StoreReachable bool
}

// Source is where a node gets the changes from: the store if Reader is zero, and that reader otherwise.
type Source struct {
	Reader seampeer.Peer
	// AllowDown accepts a reader that does not reach the store, since no better source is known.
	AllowDown bool
	// Backup is true for a second reader, which sends no ownership tables.
	Backup bool
}

// FromStore reports whether the source is the store itself.
func (s Source) FromStore() bool { return s.Reader.Zero() }

// String returns the name of the reader, or "store".
func (s Source) String() string {
	if s.FromStore() {
		return "store"
	}
	return s.Reader.String()
}

// Selector selects the source of one node. It is not safe for concurrent use.
type Selector struct {
	// failures maps the name of a reader to its failed subscriptions.
	failures map[string]failure
}

// failure describes the failed subscriptions to a reader.
type failure struct {
	// avoidUntil is the time until which the reader is avoided, and avoidTime the length of the latest such time.
	avoidUntil time.Time
	avoidTime  time.Duration
}

// NewSelector returns a selector that knows of no failed subscriptions.
func NewSelector() *Selector {
	return &Selector{failures: map[string]failure{}}
}

// Failed records that a subscription to a reader failed after the given time. A subscription that lasted longer than
// avoidTimeInitial ends a row of failures.
func (s *Selector) Failed(now time.Time, reader string, lasted time.Duration) {
	next := avoidTimeInitial
	if previous := s.failures[reader]; lasted <= avoidTimeInitial {
		next = min(max(2*previous.avoidTime, avoidTimeInitial), avoidTimeMax)
	}
	s.failures[reader] = failure{avoidUntil: now.Add(next), avoidTime: next}
}

// Select returns the best source: the store for a reader, the readers of the node's failure domain, the store if the node
// reaches it, and then the readers of other failure domains. If none of them is usable, it returns the store for a reader
// and any reader of the domain for another node, so that not all nodes call a store that is down.
func (s *Selector) Select(now time.Time, v View) Source {
	local := Readers(v.Candidates, v.Self.Domain)
	isReader := contains(local, v.Self.Name)
	if isReader && v.StoreReachable {
		return Source{}
	}
	local = withoutNode(local, v.Self.Name)
	subscriptionOrder(v.Self.Name, local)
	if reader, ok := s.firstUsable(now, local); ok {
		return Source{Reader: reader}
	}
	if v.StoreReachable {
		return Source{}
	}
	if reader, ok := s.firstUsable(now, remoteReaders(v)); ok {
		return Source{Reader: reader}
	}
	if isReader || len(local) == 0 {
		return Source{}
	}
	return Source{Reader: local[0].Peer, AllowDown: true}
}

// SelectBackup returns a second reader to follow beside a reader: another one of the failure domain if it is usable, else one
// of another domain; false if there is none.
func (s *Selector) SelectBackup(now time.Time, v View, current Source) (Source, bool) {
	if current.FromStore() {
		return Source{}, false
	}
	local := withoutNode(withoutNode(Readers(v.Candidates, v.Self.Domain), v.Self.Name), current.Reader.Name)
	reader, ok := s.firstUsable(now, local)
	if !ok {
		reader, ok = s.firstUsable(now, withoutNode(remoteReaders(v), current.Reader.Name))
	}
	return Source{Reader: reader, Backup: true}, ok
}

// ShouldSwitch reports whether the node should leave a source that works.
func (s *Selector) ShouldSwitch(now time.Time, v View, current Source) bool {
	best := s.Select(now, v)
	if current.FromStore() || best.FromStore() {
		return current.FromStore() != best.FromStore()
	}
	// A reader of the same failure domain is kept for as long as it serves.
	return current.Reader.Domain != v.Self.Domain && best.Reader.Domain == v.Self.Domain
}

func (s *Selector) firstUsable(now time.Time, readers []Candidate) (seampeer.Peer, bool) {
	for _, r := range readers {
		if !now.Before(s.failures[r.Peer.Name].avoidUntil) {
			return r.Peer, true
		}
	}
	return seampeer.Peer{}, false
}

// remoteReaders returns the readers of other failure domains that the node may try, those of its region first.
func remoteReaders(v View) []Candidate {
	domains := map[string]bool{v.Self.Domain: true}
	var near, far []Candidate
	for _, c := range v.Candidates {
		if domains[c.Peer.Domain] {
			continue
		}
		domains[c.Peer.Domain] = true
		readers := Readers(v.Candidates, c.Peer.Domain)
		if c.Peer.Region == v.Self.Region {
			near = append(near, readers...)
		} else {
			far = append(far, readers...)
		}
	}
	subscriptionOrder(v.Self.Name, near)
	subscriptionOrder(v.Self.Name, far)
	all := slices.Concat(near, far)
	return all[:min(len(all), maxRemoteReaders)]
}

func contains(candidates []Candidate, name string) bool {
	return slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Peer.Name == name })
}

func withoutNode(candidates []Candidate, name string) []Candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Peer.Name == name })
}
