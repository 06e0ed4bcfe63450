// Package seamannounce takes the announcements of the target beside a node and
// notices when they stop.
package seamannounce

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/observe/seamevent"
)

// InvalidError says that an announcement was refused; what was announced before stays.
type InvalidError struct {
	Field   string
	Value   string
	Allowed string
}

// Error names the field, its value and what is allowed.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("announcement field %s is %q; allowed: %s", e.Field, e.Value, e.Allowed)
}

// OtherTargetError says that another target is announced at this node.
type OtherTargetError struct {
	Name string
}

// Error names the target that holds the place.
func (e *OtherTargetError) Error() string {
	return fmt.Sprintf("target %s is announced at this node", e.Name)
}

// Watcher is told of each change of the target.
type Watcher interface {
	// TargetChanged is called with present false when the target is gone.
	TargetChanged(a seamtarget.Announcement, present bool)
}

// Registry holds the announcement of the one target beside this node.
type Registry struct {
	life    time.Duration
	sink    seamevent.Sink
	watcher Watcher

	mu      sync.RWMutex
	current seamtarget.Announcement
	present bool
	heard   time.Time
	// departed is the last target that said that it ends.
	departed seamtarget.Announcement
}

// NewRegistry returns a registry without a target. An announcement lasts for life.
func NewRegistry(life time.Duration, sink seamevent.Sink, watcher Watcher) *Registry {
	return &Registry{life: life, sink: sink, watcher: watcher}
}

// Current returns the announced target, if there is one.
func (r *Registry) Current() (seamtarget.Announcement, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.current, r.present
}

// Life returns the time for which an announcement lasts.
func (r *Registry) TTL() time.Duration {
	return r.life
}

// Announce takes an announcement. A target that was restarted replaces its
// predecessor once the predecessor has left or its announcement has lapsed, or
// if it has the predecessor's address.
func (r *Registry) Announce(now time.Time, a seamtarget.Announcement) error {
	if err := validate(a); err != nil {
		return err
	}
	r.mu.Lock()
	before, had := r.current, r.present
	if r.late(a) {
		r.mu.Unlock()
		return nil
	}
	if had && before.Name != a.Name && before.Address != a.Address && a.Started <= before.Started {
		r.mu.Unlock()
		return &OtherTargetError{Name: before.Name}
	}
	r.current, r.present, r.heard = a, true, now
	r.mu.Unlock()
	r.report(now, before, had, a)
	return nil
}

// late reports whether an announcement was overtaken: by a later one of the same life, by one of
// a later life, or by the target's word that it ends. mu is held.
func (r *Registry) late(a seamtarget.Announcement) bool {
	before := r.current
	same := a.Name == before.Name && a.Started == before.Started
	switch {
	case a.Started == 0:
		return false
	case a.Name == r.departed.Name && a.Started <= r.departed.Started:
		return true
	case same:
		return a.Sequence <= before.Sequence
	default:
		return a.Started < before.Started
	}
}

// Depart takes a target's word that it ends: it is leaving, and nothing that it said before
// brings it back.
func (r *Registry) MarkLeaving(now time.Time, name string) {
	r.mu.Lock()
	if !r.present || r.current.Name != name {
		r.mu.Unlock()
		return
	}
	before := r.current
	r.departed = before
	r.current.Leaving = true
	a := r.current
	r.mu.Unlock()
	r.report(now, before, true, a)
}

// Down removes the target of that name and life until it announces itself again, because its
// process has ended.
func (r *Registry) ProcessEnded(now time.Time, name string, born int64) {
	r.mu.Lock()
	gone := r.present && r.current.Name == name && r.current.Started == born
	a := r.current
	if gone {
		r.present = false
	}
	r.mu.Unlock()
	if gone {
		r.lost(now, a, "closed")
	}
}

func (r *Registry) report(now time.Time, before seamtarget.Announcement, had bool, a seamtarget.Announcement) {
	if had && (before.Name != a.Name || before.Started != a.Started) {
		r.watcher.TargetChanged(before, false)
	}
	if !had || before.Name != a.Name || before.Started != a.Started {
		r.sink.Emit(now, seamevent.TargetAnnounced, seamevent.Fields{"target": a.Name, "service": a.Service, "address": a.Address})
	}
	if a.Leaving && !before.Leaving {
		r.sink.Emit(now, seamevent.TargetLeaving, seamevent.Fields{"target": a.Name, "service": a.Service})
	}
	r.watcher.TargetChanged(a, true)
}

// Withdraw removes the target of that name; another target stays.
func (r *Registry) Withdraw(now time.Time, name string) {
	r.mu.Lock()
	gone := r.present && r.current.Name == name
	a := r.current
	if gone {
		r.present = false
	}
	r.mu.Unlock()
	if gone {
		r.lost(now, a, "withdrawn")
	}
}

// Expire removes the target if its announcement has lapsed.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	gone := r.present && now.Sub(r.heard) > r.life
	a := r.current
	if gone {
		r.present = false
	}
	r.mu.Unlock()
	if gone {
		r.lost(now, a, "silent")
	}
}

func (r *Registry) lost(now time.Time, a seamtarget.Announcement, reason string) {
	r.sink.Emit(now, seamevent.TargetLost, seamevent.Fields{"target": a.Name, "service": a.Service, "reason": reason})
	r.watcher.TargetChanged(a, false)
}

// Bounds of an announcement.
const (
	maxNameBytes   = 128
	maxLabels      = 64
	maxConcurrency = 65536
)

func validate(a seamtarget.Announcement) error {
	checks := []struct {
		field, value, allowed string
		ok                    bool
	}{
		{"service", a.Service, "1 to 128 letters, digits, '-', '.', '_'", validName(a.Service)},
		{"name", a.Name, "1 to 128 letters, digits, '-', '.', '_'", validName(a.Name)},
		{"address", a.Address, "ip:port", validAddress(a.Address)},
		{"slots", strconv.Itoa(a.Slots), "1 to 65536", a.Slots >= 1 && a.Slots <= maxConcurrency},
		{"connections", strconv.Itoa(a.Connections), "1 to 65536", a.Connections >= 1 && a.Connections <= maxConcurrency},
		{"labels", strconv.Itoa(len(a.Labels)), "at most 64", len(a.Labels) <= maxLabels},
	}
	for _, c := range checks {
		if !c.ok {
			return &InvalidError{Field: c.field, Value: c.value, Allowed: c.allowed}
		}
	}
	return nil
}

func validName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for _, c := range s {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' && c != '.' && c != '_' {
			return false
		}
	}
	return true
}

func validAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}
