// Package seamholder manages the keys held by the target beside the node. It sends heartbeats to the assigner, grants the
// target the ranges that the assigner leases, renews the grants, and releases ranges that move to another target.
package seamholder

import (
	"slices"
	"time"

	"cardamomseam/internal/own/seamassign"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamgrant"
	"cardamomseam/internal/own/seamtable"
)

// Config holds the timing parameters of a holder.
type Config struct {
	// GrantTTL is the maximum duration of one grant to the target.
	GrantTTL time.Duration
	// RenewInterval is the time between two grants of the same keys.
	RenewInterval time.Duration
	// AnswerTimeout bounds the wait for the answer to a grant. An unanswered grant defers the release of its range for
	// this time.
	AnswerTimeout time.Duration
	// MaxSendDelay is the maximum time between the decision on a grant and its first byte.
	MaxSendDelay time.Duration
	// Margin is the part of a lease that is left unused to allow for the transmission to the target.
	Margin time.Duration
	// MaxClockDrift is the fraction by which the target's clock may run slow.
	MaxClockDrift float64
	// FormerEpochTTL is the maximum remaining time of a lease once the assigner of a later epoch is accepted.
	FormerEpochTTL time.Duration
	// RenewalWait is how long requests wait for the renewal of an expired lease.
	RenewalWait time.Duration
}

// maxStartSkew is how long before its node a target may start when both start together.
const maxStartSkew = 400 * time.Millisecond

// DefaultConfig returns the default timing parameters.
func DefaultConfig() Config {
	return Config{GrantTTL: 1500 * time.Millisecond, RenewInterval: 400 * time.Millisecond, AnswerTimeout: 400 * time.Millisecond, MaxSendDelay: 100 * time.Millisecond, Margin: 50 * time.Millisecond, MaxClockDrift: 0.02, FormerEpochTTL: seamassign.DefaultConfig().Lease, RenewalWait: 150 * time.Millisecond}
}

// phase is the state of a range on the target.
type phase int

const (
	// granting means that the target has not confirmed a grant yet.
	granting phase = iota
	// held means that the target has confirmed a grant.
	held
	// releasing means that the target is asked to release the range.
	releasing
	// settling means that the target has released the range, while an unanswered grant may still reach it.
	settling
	// released means that the target no longer holds the range.
	released
)

// entry is one range on the holder's list with its state.
type entry struct {
	seamtable.Range
	phase phase
	// confirmedUntil is the end of the latest grant that the target has confirmed.
	confirmedUntil seamclock.Instant
	// lastSent is the time of the last order for the range.
	lastSent seamclock.Instant
	// handover is what the target handed over with the release.
	handover string
	// heldBefore reports whether the target has already held the range and therefore has its state.
	heldBefore bool
}

// Holder tracks the keys of one incarnation of a target. It is a state machine without clocks or network access, and not
// safe for concurrent use.
type Holder struct {
	cfg    Config
	target seamtable.Holder
	epoch  uint64
	// revision is the revision of the list of ranges.
	revision int64
	// leaseEnd is the time at which the assigner's lease on the list expires.
	leaseEnd seamclock.Instant
	entries  []entry
	// pendingGrants are the grants that have no answer.
	pendingGrants []pendingGrant
	lastGrantID   uint64
	// inheritedEnd is the latest time until which the target may hold keys by grants of an earlier run of the node.
	inheritedEnd seamclock.Instant
	leaving      bool
	stopping     bool
	retired      bool
	dead         bool
}

// pendingGrant is a grant that was sent and has no answer, so that the target may still apply it.
type pendingGrant struct {
	id   uint64
	span seamtable.Span
	sent seamclock.Instant
	// end is the latest time until which the target may hold the keys by this grant.
	end seamclock.Instant
}

// New returns a holder without keys. An earlier run of the node, which ended before started, may have sent the target
// grants that this run does not know of.
func New(cfg Config, target seamtable.Holder, started seamclock.Instant) *Holder {
	h := &Holder{cfg: cfg, target: target}
	h.inheritedEnd = h.latestEnd(started.Add(cfg.GrantTTL))
	return h
}

// Target returns the incarnation of the target.
func (h *Holder) Target() seamtable.Holder { return h.target }

// Epoch returns the highest accepted epoch.
func (h *Holder) Epoch() uint64 { return h.epoch }

// ObserveEpoch records that the store named the assigner of an epoch after this run of the node began. Leases from
// assigners of earlier epochs are no longer accepted.
func (h *Holder) ObserveEpoch(now seamclock.Instant, epoch uint64) {
	if epoch > h.epoch {
		h.acceptEpoch(now, epoch)
	}
}

// acceptEpoch accepts a later epoch. A lease from an earlier one expires after FormerEpochTTL at the latest.
func (h *Holder) acceptEpoch(now seamclock.Instant, epoch uint64) {
	h.epoch = epoch
	h.leaseEnd = seamclock.Earlier(h.leaseEnd, now.Add(h.cfg.FormerEpochTTL))
}

// MarkLeaving records that the target is about to stop.
func (h *Holder) MarkLeaving() { h.leaving = true }

// MarkStopping records that the node is about to restart.
func (h *Holder) MarkStopping() { h.stopping = true }

// Retire records that another incarnation of the target has taken over its address. Grants that were sent since may have
// reached that incarnation, so the ranges are released before this one is reported dead.
func (h *Holder) Retire() {
	h.retired = true
	for i := range h.entries {
		if e := &h.entries[i]; e.phase < releasing {
			e.phase, e.lastSent = releasing, seamclock.Instant{}
		}
	}
}

// MarkDead records that the target's process has ended, so that it holds no keys.
func (h *Holder) MarkDead() {
	h.dead = true
	h.entries = nil
}

// Dead reports whether the target's process has ended.
func (h *Holder) Dead() bool { return h.dead }

// Heartbeat returns the report to the assigner.
func (h *Holder) Heartbeat(now seamclock.Instant) seamassign.Heartbeat {
	hb := seamassign.Heartbeat{Epoch: h.epoch, Holder: h.target, Revision: h.revision, State: h.state(), NoEarlierGrants: h.noEarlierGrants(now)}
	for _, e := range h.entries {
		if e.phase == released {
			hb.Released = append(hb.Released, seamassign.Released{Span: e.Span, Fence: e.Fence, Handover: e.handover})
		}
	}
	return hb
}

// noEarlierGrants reports whether no earlier run of the node can have granted this incarnation of the target keys that
// were meant for a former one.
func (h *Holder) noEarlierGrants(now seamclock.Instant) bool {
	started := h.inheritedEnd.Wall - h.latestEnd(seamclock.Instant{}.Add(h.cfg.GrantTTL)).Wall
	targetStarted := time.Duration(h.target.Born) * time.Millisecond
	return targetStarted >= started-maxStartSkew || seamclock.MinElapsed(now, h.inheritedEnd) >= 0
}

func (h *Holder) state() seamassign.State {
	switch {
	case h.dead:
		return seamassign.Dead
	case h.leaving:
		return seamassign.Leaving
	case h.stopping:
		return seamassign.Stopping
	default:
		return seamassign.Ready
	}
}

// HandleReply applies the reply to a heartbeat that was sent at the given time. A reply of
// an earlier epoch, or to a dead or retired holder, is ignored.
func (h *Holder) HandleReply(now, sent seamclock.Instant, r seamassign.Reply) {
	if h.dead || h.retired || r.Epoch < h.epoch {
		return
	}
	if r.Epoch > h.epoch {
		// Leases from earlier assigners no longer count.
		h.acceptEpoch(now, r.Epoch)
		h.revision = 0
		if !r.Changed {
			// The lease from the earlier assigner is left to expire.
			return
		}
	}
	if r.Changed {
		h.setRanges(r.Ranges)
		h.revision = r.Revision
	}
	if end := sent.Add(r.Lease); h.revision == r.Revision && seamclock.MinElapsed(end, h.leaseEnd) > 0 {
		h.leaseEnd = end
	}
	for _, o := range r.Release {
		h.release(o)
	}
}

// setRanges replaces the list of ranges. The state of ranges that stay is kept.
func (h *Holder) setRanges(ranges []seamtable.Range) {
	next := make([]entry, 0, len(ranges))
	for _, r := range ranges {
		next = append(next, h.carryOver(r)...)
	}
	h.entries = next
}

// carryOver returns the entries for a range of the new list, split at the boundaries of the existing entries with the same
// fence.
func (h *Holder) carryOver(r seamtable.Range) []entry {
	var entries []entry
	next := r.From
	for _, e := range h.entries {
		if e.Fence != r.Fence || !e.Overlaps(r.Span) {
			continue
		}
		e.Span = seamtable.Span{From: max(e.From, r.From), To: min(e.To, r.To)}
		if e.From > next {
			entries = append(entries, newEntry(r, seamtable.Span{From: next, To: e.From - 1}))
		}
		entries = append(entries, e)
		next = e.To + 1
	}
	if next <= r.To {
		entries = append(entries, newEntry(r, seamtable.Span{From: next, To: r.To}))
	}
	return entries
}

func newEntry(r seamtable.Range, s seamtable.Span) entry {
	r.Span = s
	return entry{Range: r}
}

// release marks a range that is to be released. An entry that is only partly inside it is split.
func (h *Holder) release(r seamtable.Range) {
	var next []entry
	for _, e := range h.entries {
		if e.Fence != r.Fence || !e.Overlaps(r.Span) || e.phase >= releasing {
			next = append(next, e)
			continue
		}
		next = append(next, e.split(r.Span)...)
	}
	h.entries = next
}

// split returns the parts of the entry, with the part inside the span marked as releasing.
func (e entry) split(s seamtable.Span) []entry {
	var parts []entry
	if e.From < s.From {
		left := e
		left.To = s.From - 1
		parts = append(parts, left)
	}
	inside := e
	inside.Span = seamtable.Span{From: max(e.From, s.From), To: min(e.To, s.To)}
	inside.phase = releasing
	inside.lastSent = seamclock.Instant{}
	parts = append(parts, inside)
	if e.To > s.To {
		right := e
		right.From = s.To + 1
		parts = append(parts, right)
	}
	return parts
}

// Acquire returns the grant under which a request for the key may be sent to the target. The error is
// *seamgrant.NotOwnerError; it tells whether the grant is pending, the key is moving, or the lease has expired.
func (h *Holder) Acquire(now seamclock.Instant, grant seamgrant.Grant) (seamgrant.Grant, error) {
	e := h.find(grant.Slot.Index)
	switch {
	case e == nil:
		return grant, &seamgrant.NotOwnerError{Slot: grant.Slot}
	case e.phase < releasing && seamclock.Expired(now, h.leaseEnd.Add(h.cfg.RenewalWait)):
		return grant, &seamgrant.NotOwnerError{Slot: grant.Slot, LeaseExpired: true}
	case e.phase == granting && !seamclock.Expired(now, h.leaseEnd):
		return grant, &seamgrant.NotOwnerError{Slot: grant.Slot, GrantPending: true}
	case e.phase != held:
		return grant, &seamgrant.NotOwnerError{Slot: grant.Slot, Moving: true}
	case seamclock.Expired(now, e.confirmedUntil):
		return grant, &seamgrant.NotOwnerError{Slot: grant.Slot, GrantPending: true}
	}
	grant.Epoch, grant.ExpiresAt = e.Fence, e.confirmedUntil
	return grant, nil
}

func (h *Holder) find(key uint32) *entry {
	for i := range h.entries {
		if h.entries[i].Contains(key) {
			return &h.entries[i]
		}
	}
	return nil
}

// Held returns the end of the confirmed grant of the key under the fence; false if the target does not hold it.
func (h *Holder) Held(key uint32, fence uint64) (until seamclock.Instant, ok bool) {
	e := h.find(key)
	if e == nil || e.Fence != fence || e.phase != held {
		return seamclock.Instant{}, false
	}
	return e.confirmedUntil, true
}

// Ranges returns the ranges that the target holds or is being granted.
func (h *Holder) Ranges() []seamtable.Range {
	var list []seamtable.Range
	for _, e := range h.entries {
		if e.phase < releasing {
			list = append(list, e.Range)
		}
	}
	return list
}

// FullyReleased reports whether no grant to a retired incarnation remains in force at its address.
func (h *Holder) FullyReleased(now seamclock.Instant) bool {
	return h.Empty() && !h.mayStillApply(now, seamtable.Span{To: seamtable.LastKey})
}

// releasedCount returns the number of released ranges that are still on the list.
func (h *Holder) releasedCount() int {
	n := 0
	for _, e := range h.entries {
		if e.phase == released {
			n++
		}
	}
	return n
}

// Empty reports whether the holder has nothing left to release.
func (h *Holder) Empty() bool {
	return !slices.ContainsFunc(h.entries, func(e entry) bool { return e.phase != released })
}
