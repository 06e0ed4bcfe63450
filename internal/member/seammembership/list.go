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

// Prefix precedes the keys of entries in the store.
const KeyPrefix = "own/node/"

// Grace is the time for which a member whose entry lapsed is still taken to live:
// the lease of a node that the store was away from is over as well.
const GracePeriod = 2 * time.Second

// Roll is the list of members. It is safe for concurrent use.
type MemberList struct {
	self string
	sink seamevent.Sink

	mu      sync.Mutex
	members map[string]*memberState
	view    atomic.Pointer[View]
	changed chan struct{}
}

// record is a member with the state of its entry.
type memberState struct {
	Member
	// lapsed is the time at which the entry was removed; zero while it stands.
	expiredAt time.Time
}

// View is the list of members at one time. It is not changed once it is returned.
type View struct {
	Members   map[string]Member
	services  map[string][]Member
	holders   map[seamtable.Holder]Member
	timestamp time.Time
}

// Of returns the members whose targets serve the service.
func (v *View) ByService(service string) []Member { return v.services[service] }

// Holder returns the member beside the life of a target.
func (v *View) ByHolder(h seamtable.Holder) (Member, bool) {
	m, ok := v.holders[h]
	return m, ok
}

// New returns an empty roll of the node named self.
func New(self string, sink seamevent.Sink) *MemberList {
	r := &MemberList{self: self, sink: sink, members: map[string]*memberState{}, changed: make(chan struct{})}
	r.publish(time.Time{})
	return r
}

// View returns the present list.
func (l *MemberList) View() *View { return l.view.Load() }

// Changed returns a channel that is closed at the next change.
func (l *MemberList) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Put takes an entry from the store.
func (l *MemberList) Put(now time.Time, e seamstore.Entry) {
	m, err := decodeEntry(e.Key, e.Value)
	if err != nil {
		l.sink.Emit(now, seamevent.EntryRefused, seamevent.Fields{"key": e.Key, "revision": e.Revision, "error": err.Error()})
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.members[m.Peer.Name]
	if old != nil && old.Peer.Incarnation > m.Peer.Incarnation {
		return
	}
	l.members[m.Peer.Name] = &memberState{Member: m}
	l.publish(now)
	if old == nil || old.Peer.Incarnation != m.Peer.Incarnation || !old.expiredAt.IsZero() || old.Member != m {
		l.sink.Emit(now, seamevent.MemberJoined, seamevent.Fields{
			"member": m.Peer.String(), "address": m.Peer.Address, "target": m.Target.Holder().String(), "service": m.Target.Service,
			"leaving": m.Leaving || m.Target.Leaving, "down": m.Target.Down, "revision": e.Revision,
		})
	}
}

// Delete takes the removal of an entry. The member stays for the grace time.
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
		// A node that stops removes its entry itself.
		l.remove(now, name)
		return
	}
	l.sink.Emit(now, seamevent.MemberLapsed, seamevent.Fields{"member": m.Peer.String()})
}

// Learn takes a member from another node, unless something as new is known.
func (l *MemberList) AddUnconfirmed(now time.Time, m Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.members[m.Peer.Name] != nil {
		return
	}
	// Unless an entry confirms it, the member is forgotten after the grace time.
	l.members[m.Peer.Name] = &memberState{Member: m, expiredAt: now}
	l.publish(now)
}

// Sweep removes the members whose entries are gone for longer than the grace time, unless they are
// known to live. It is not called while the store is away.
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
	l.publish(now)
	l.sink.Emit(now, seamevent.MemberLost, seamevent.Fields{"member": m.Peer.String(), "lapsed": m.expiredAt})
}

// publish makes a new view. mu is held.
func (l *MemberList) publish(now time.Time) {
	v := &View{
		Members:   make(map[string]Member, len(l.members)),
		services:  map[string][]Member{},
		holders:   map[seamtable.Holder]Member{},
		timestamp: now,
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
	l.view.Store(v)
	close(l.changed)
	l.changed = make(chan struct{})
}
