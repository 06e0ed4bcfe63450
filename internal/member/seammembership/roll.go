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
	members map[string]*record
	view    atomic.Pointer[View]
	changed chan struct{}
}

// record is a member with the state of its entry.
type record struct {
	Member
	// lapsed is the time at which the entry was removed; zero while it stands.
	lapsed time.Time
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
	r := &MemberList{self: self, sink: sink, members: map[string]*record{}, changed: make(chan struct{})}
	r.publish(time.Time{})
	return r
}

// View returns the present list.
func (r *MemberList) View() *View { return r.view.Load() }

// Changed returns a channel that is closed at the next change.
func (r *MemberList) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Put takes an entry from the store.
func (r *MemberList) Put(now time.Time, e seamstore.Entry) {
	m, err := read(e.Key, e.Value)
	if err != nil {
		r.sink.Emit(now, seamevent.EntryRefused, seamevent.Fields{"key": e.Key, "revision": e.Revision, "error": err.Error()})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.members[m.Peer.Name]
	if old != nil && old.Peer.Incarnation > m.Peer.Incarnation {
		return
	}
	r.members[m.Peer.Name] = &record{Member: m}
	r.publish(now)
	if old == nil || old.Peer.Incarnation != m.Peer.Incarnation || !old.lapsed.IsZero() || old.Member != m {
		r.sink.Emit(now, seamevent.MemberJoined, seamevent.Fields{
			"member": m.Peer.String(), "address": m.Peer.Address, "target": m.Target.Holder().String(), "service": m.Target.Service,
			"leaving": m.Leaving || m.Target.Leaving, "down": m.Target.Down, "revision": e.Revision,
		})
	}
}

// Delete takes the removal of an entry. The member stays for the grace time.
func (r *MemberList) Delete(now time.Time, key string, _ bool) {
	name, ok := strings.CutPrefix(key, KeyPrefix)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[name]
	if m == nil || !m.lapsed.IsZero() {
		return
	}
	m.lapsed = now
	if m.Leaving {
		// A node that stops removes its entry itself.
		r.remove(now, name)
		return
	}
	r.sink.Emit(now, seamevent.MemberLapsed, seamevent.Fields{"member": m.Peer.String()})
}

// Learn takes a member from another node, unless something as new is known.
func (r *MemberList) AddUnconfirmed(now time.Time, m Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.members[m.Peer.Name] != nil {
		return
	}
	// Unless an entry confirms it, the member is forgotten after the grace time.
	r.members[m.Peer.Name] = &record{Member: m, lapsed: now}
	r.publish(now)
}

// Sweep removes the members whose entries are gone for longer than the grace time, unless they are
// known to live. It is not called while the store is away.
func (r *MemberList) RemoveExpired(now time.Time, lives func(seampeer.Peer) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, m := range r.members {
		if !m.lapsed.IsZero() && now.Sub(m.lapsed) >= GracePeriod && !lives(m.Peer) {
			r.remove(now, name)
		}
	}
}

func (r *MemberList) remove(now time.Time, name string) {
	m := r.members[name]
	delete(r.members, name)
	r.publish(now)
	r.sink.Emit(now, seamevent.MemberLost, seamevent.Fields{"member": m.Peer.String(), "lapsed": m.lapsed})
}

// publish makes a new view. mu is held.
func (r *MemberList) publish(now time.Time) {
	v := &View{
		Members:   make(map[string]Member, len(r.members)),
		services:  map[string][]Member{},
		holders:   map[seamtable.Holder]Member{},
		timestamp: now,
	}
	for _, name := range slices.Sorted(maps.Keys(r.members)) {
		m := r.members[name].Member
		v.Members[name] = m
		if m.Target.ID == "" {
			continue
		}
		v.services[m.Target.Service] = append(v.services[m.Target.Service], m)
		v.holders[m.Target.Holder()] = m
	}
	r.view.Store(v)
	close(r.changed)
	r.changed = make(chan struct{})
}
