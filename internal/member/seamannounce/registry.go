// Package seamannounce tracks the target of a node by its periodic announcements and
// detects when they stop.
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

// InvalidError reports a rejected announcement. The previous announcement stays valid.
type InvalidError struct {
	Field   string
	Value   string
	Allowed string
}

// Error gives the field, its value and the allowed values.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("invalid announcement field %s: %q; allowed: %s", e.Field, e.Value, e.Allowed)
}

// OtherTargetError reports that another target is announced at the node.
type OtherTargetError struct {
	Name string
}

// Error gives the name of the announced target.
func (e *OtherTargetError) Error() string {
	return fmt.Sprintf("another target is announced at this node: %s", e.Name)
}

// Expected is what the operator knows of a node's target. An empty field is not known.
type Expected struct {
	// Service is the service that the target serves.
	Service string
	// Address is the ip:port at which it accepts requests.
	Address string
}

// ForeignError reports an announcement that is not of the node's target. The previous announcement stays valid.
type ForeignError struct {
	Field, Value, Expected string
}

// Error gives the field, its value and the expected one.
func (e *ForeignError) Error() string {
	return fmt.Sprintf("not the target of this node: %s is %q, expected %q", e.Field, e.Value, e.Expected)
}

// check returns *ForeignError if an announcement contradicts what is known of the target.
func (e Expected) check(a seamtarget.Announcement) error {
	switch {
	case e.Service != "" && a.Service != e.Service:
		return &ForeignError{Field: "service", Value: a.Service, Expected: e.Service}
	case e.Address != "" && a.Address != e.Address:
		return &ForeignError{Field: "address", Value: a.Address, Expected: e.Address}
	}
	return nil
}

// Watcher is notified of each change of the target.
type Watcher interface {
	// TargetChanged is called after each accepted announcement and, with present false, when
	// the target is removed.
	TargetChanged(a seamtarget.Announcement, present bool)
}

// Registry holds the latest announcement of the node's one target.
type Registry struct {
	ttl     time.Duration
	sink    seamevent.Sink
	watcher Watcher

	mu            sync.RWMutex
	expected      Expected
	current       seamtarget.Announcement
	present       bool
	lastAnnounced time.Time
	// lastLeaving is the last target that reported that it stops.
	lastLeaving seamtarget.Announcement
	// earlier is an incarnation that started before the current one and goes on announcing itself.
	earlier earlierTarget
}

// NewRegistry returns a registry without a target. An announcement expires after ttl.
func NewRegistry(ttl time.Duration, sink seamevent.Sink, watcher Watcher) *Registry {
	return &Registry{ttl: ttl, sink: sink, watcher: watcher}
}

// Current returns the announced target, if there is one.
func (r *Registry) Current() (seamtarget.Announcement, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.current, r.present
}

// Expect sets what is known of the target from now on.
func (r *Registry) Expect(e Expected) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expected = e
}

// Expected returns what is known of the target.
func (r *Registry) Expected() Expected {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.expected
}

// TTL returns the time after which an announcement expires.
func (r *Registry) TTL() time.Duration {
	return r.ttl
}

// Announce processes an announcement. One that contradicts what is known of the target is rejected. An outdated one is
// ignored, unless the current target is silent meanwhile (earlierTarget). A target with another name replaces the current
// target if it has the same address or a later start time. Otherwise it is rejected until the current target is removed or
// expires.
func (r *Registry) Announce(now time.Time, a seamtarget.Announcement) error {
	if err := validate(a); err != nil {
		return err
	}
	r.mu.Lock()
	if err := r.expected.check(a); err != nil {
		r.mu.Unlock()
		return err
	}
	before, had := r.current, r.present
	if r.outdated(a) && !r.earlier.replaces(now, before, a) {
		r.mu.Unlock()
		return nil
	}
	r.earlier = earlierTarget{}
	if had && before.Name != a.Name && before.Address != a.Address && a.Started <= before.Started {
		r.mu.Unlock()
		return &OtherTargetError{Name: before.Name}
	}
	a.ArrivedAt = now
	r.current, r.present, r.lastAnnounced = a, true, now
	r.mu.Unlock()
	r.report(now, before, had, a)
	return nil
}

// outdated reports whether an announcement is superseded: by a later one of the same incarnation, by one of
// a later incarnation, or by the target's report that it stops. One without a start time is never outdated.
// mu must be held.
func (r *Registry) outdated(a seamtarget.Announcement) bool {
	before := r.current
	sameIncarnation := a.Name == before.Name && a.Started == before.Started
	switch {
	case a.Started == 0:
		return false
	case a.Name == r.lastLeaving.Name && a.Started <= r.lastLeaving.Started:
		return true
	case sameIncarnation:
		return a.Sequence <= before.Sequence
	default:
		return a.Started < before.Started
	}
}

// MarkLeaving marks the target as leaving after it reported that it stops. From then on, announcements of the
// same or an earlier incarnation are ignored, unless they have no start time.
func (r *Registry) MarkLeaving(now time.Time, name string) {
	r.markLeaving(now, func(a seamtarget.Announcement) bool { return a.Name == name })
}

// MarkIncarnationLeaving marks the target as leaving after that incarnation of it stated so in a response. It has the same effect
// as MarkLeaving.
func (r *Registry) MarkIncarnationLeaving(now time.Time, name string, started int64) {
	r.markLeaving(now, func(a seamtarget.Announcement) bool { return a.Name == name && a.Started == started })
}

func (r *Registry) markLeaving(now time.Time, meant func(seamtarget.Announcement) bool) {
	r.mu.Lock()
	if !r.present || !meant(r.current) {
		r.mu.Unlock()
		return
	}
	before := r.current
	r.lastLeaving = before
	r.current.Leaving = true
	a := r.current
	r.mu.Unlock()
	r.report(now, before, true, a)
}

// ProcessEnded removes the target with that name and start time because its process has ended. A new
// announcement adds it again.
func (r *Registry) ProcessEnded(now time.Time, name string, started int64) {
	r.mu.Lock()
	removed := r.present && r.current.Name == name && r.current.Started == started
	a := r.current
	if removed {
		r.present = false
	}
	r.mu.Unlock()
	if removed {
		r.lost(now, a, "closed")
	}
}

func (r *Registry) report(now time.Time, before seamtarget.Announcement, had bool, a seamtarget.Announcement) {
	if had && (before.Name != a.Name || before.Started != a.Started) {
		r.watcher.TargetChanged(before, false)
	}
	if !had || before.Name != a.Name || before.Started != a.Started {
		r.sink.Emit(now, seamevent.TargetAnnounced, seamevent.Fields{
			"target": a.Name, "service": a.Service, "address": a.Address, "started": a.Started, "sequence": a.Sequence,
			"former": before.Name, "formerstart": before.Started, "present": had,
		})
	}
	if a.Leaving && !before.Leaving {
		r.sink.Emit(now, seamevent.TargetLeaving, seamevent.Fields{"target": a.Name, "service": a.Service})
	}
	r.watcher.TargetChanged(a, true)
}

// Withdraw removes the target if it has that name.
func (r *Registry) Withdraw(now time.Time, name string) {
	r.mu.Lock()
	removed := r.present && r.current.Name == name
	a := r.current
	if removed {
		r.present = false
	}
	r.mu.Unlock()
	if removed {
		r.lost(now, a, "withdrawn")
	}
}

// Expire removes the target if its announcement has expired.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	removed := r.present && now.Sub(r.lastAnnounced) > r.ttl
	a := r.current
	if removed {
		r.present = false
	}
	r.mu.Unlock()
	if removed {
		r.lost(now, a, "silent")
	}
}

func (r *Registry) lost(now time.Time, a seamtarget.Announcement, reason string) {
	r.sink.Emit(now, seamevent.TargetLost, seamevent.Fields{"target": a.Name, "service": a.Service, "reason": reason})
	r.watcher.TargetChanged(a, false)
}

// Limits of an announcement.
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
		{"slots", strconv.Itoa(a.MaxConcurrency), "1 to 65536", a.MaxConcurrency >= 1 && a.MaxConcurrency <= maxConcurrency},
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
