package seammembership

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamtable"
	"cardamomseam/internal/platform/seamstore"
)

// KeyPrefix is the prefix of the members' keys in the store. The name of the node follows.
const KeyPrefix = "own/node/"

// GracePeriod is how long a member whose entry has expired is still considered alive, since the lease of a live node
// expires too when the node cannot reach the store.
const GracePeriod = 2 * time.Second

// MemberList is the list of known members. It is safe for concurrent use.
type MemberList struct {
	self string
	sink seamevent.Sink

	mu      sync.Mutex
	members map[string]*memberState
	// view is the current snapshot; nil after a change, until the next call of View.
	view    atomic.Pointer[View]
	changed chan struct{}
}

// memberState is a member with the state of its entry.
type memberState struct {
	Member
	// expiredAt is the time at which the entry was removed, or at which a member without an entry was added; zero while
	// the entry exists.
	expiredAt time.Time
}

// View is an immutable snapshot of the member list.
type View struct {
	// Members maps the name of each node to its member.
	Members  map[string]Member
	services map[string][]Member
	holders  map[seamtable.Holder]Member
}

// Services returns the members by the service of their targets. It must not be changed.
func (v *View) Services() map[string][]Member { return v.services }

// ByHolder returns the member whose target is the given incarnation.
func (v *View) ByHolder(h seamtable.Holder) (Member, bool) {
	m, ok := v.holders[h]
	return m, ok
}

// New returns an empty member list for the node named self.
func New(self string, sink seamevent.Sink) *MemberList {
	return &MemberList{self: self, sink: sink, members: map[string]*memberState{}, changed: make(chan struct{})}
}

// View returns the current snapshot.
func (l *MemberList) View() *View {
	if v := l.view.Load(); v != nil {
		return v
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if v := l.view.Load(); v != nil {
		return v
	}
	v := l.snapshot()
	l.view.Store(v)
	return v
}

// Member returns the member with the name.
func (l *MemberList) Member(name string) (Member, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.members[name]
	if m == nil {
		return Member{}, false
	}
	return m.Member, true
}

// Changed returns a channel that is closed at the next change.
func (l *MemberList) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Put applies an entry that was written in the store. Entries of earlier incarnations are ignored.
func (l *MemberList) Put(now time.Time, e seamstore.Entry) {
	m, err := decodeEntry(e.Key, e.Value)
	if err != nil {
		l.sink.Emit(now, seamevent.RegistrationRefused, seamevent.Fields{"key": e.Key, "revision": e.Revision, "error": err.Error()})
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.members[m.Peer.Name]
	if old != nil && old.Peer.Incarnation > m.Peer.Incarnation {
		return
	}
	l.members[m.Peer.Name] = &memberState{Member: m}
	l.publish()
	if old == nil || old.Peer.Incarnation != m.Peer.Incarnation || !old.expiredAt.IsZero() || old.Member != m {
		l.sink.Emit(now, seamevent.MemberJoined, seamevent.Fields{
			"member": m.Peer.String(), "address": m.Peer.Address, "target": m.Target.Holder().String(), "service": m.Target.Service,
			"leaving": m.Leaving || m.Target.Leaving, "down": m.Target.Down, "revision": e.Revision,
		})
	}
}

// Delete applies the removal of an entry from the store. Unless the node is stopping, the member stays on the list for
// GracePeriod.
func (l *MemberList) Delete(now time.Time, key string, _ bool) {
	name, ok := strings.CutPrefix(key, KeyPrefix)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.members[name]
	if m == nil || !m.expiredAt.IsZero() {
		return
	}
	m.expiredAt = now
	if m.Leaving {
		// The node reported that it stops, so no grace period is needed.
		l.remove(now, name)
		return
	}
	l.sink.Emit(now, seamevent.MemberExpired, seamevent.Fields{"member": m.Peer.String()})
}

// AddUnconfirmed adds a member that another node reported, unless a member of that name is known.
func (l *MemberList) AddUnconfirmed(now time.Time, m Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.members[m.Peer.Name] != nil {
		return
	}
	// Unless an entry in the store confirms it, the member is removed after GracePeriod.
	l.members[m.Peer.Name] = &memberState{Member: m, expiredAt: now}
	l.publish()
}

// RemoveExpired removes the members whose entries expired at least GracePeriod ago, unless they are known to be alive. It
// must not be called while the store is unreachable.
func (l *MemberList) RemoveExpired(now time.Time, isAlive func(seampeer.Peer) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, m := range l.members {
		if !m.expiredAt.IsZero() && now.Sub(m.expiredAt) >= GracePeriod && !isAlive(m.Peer) {
			l.remove(now, name)
		}
	}
}

func (l *MemberList) remove(now time.Time, name string) {
	m := l.members[name]
	delete(l.members, name)
	l.publish()
	l.sink.Emit(now, seamevent.MemberLost, seamevent.Fields{"member": m.Peer.String(), "lapsed": m.expiredAt})
}

// publish invalidates the snapshot and signals the change. The next call of View takes a new snapshot, so that many changes
// at once cost one. mu must be held.
func (l *MemberList) publish() {
	l.view.Store(nil)
	close(l.changed)
	l.changed = make(chan struct{})
}

// snapshot returns a view of the members. mu must be held.
func (l *MemberList) snapshot() *View {
	v := &View{
		Members:  make(map[string]Member, len(l.members)),
		services: map[string][]Member{},
		holders:  make(map[seamtable.Holder]Member, len(l.members)),
	}
	for _, name := range slices.Sorted(maps.Keys(l.members)) {
		m := l.members[name].Member
		v.Members[name] = m
		if m.Target.ID == "" {
			continue
		}
		v.services[m.Target.Service] = append(v.services[m.Target.Service], m)
		v.holders[m.Target.Holder()] = m
	}
	return v
}
