// Package seamholder manages the keys that the node's target holds. It sends heartbeats to the assigner, grants the
// target the ranges that the assigner leases to it, renews the grants, and has the target release ranges that move to
// another one.
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
	// RenewInterval is the time between two orders for the same range, such as the renewals of a grant.
	RenewInterval time.Duration
	// AnswerTimeout bounds the wait for the answer to a grant. An unanswered grant defers the release of its range for
	// this time.
	AnswerTimeout time.Duration
	// MaxSendDelay is the maximum time between the call of StartGrant and the first byte of the grant on the network.
	MaxSendDelay time.Duration
	// Margin is subtracted from the duration of a grant to allow for its transmission to the target.
	Margin time.Duration
	// MaxClockDrift is the fraction by which the target's clock may run slow.
	MaxClockDrift float64
	// FormerEpochTTL is the maximum time for which a lease stays valid after a later epoch than its own is accepted.
	FormerEpochTTL time.Duration
	// RenewalWait is the time after the expiry of a lease for which requests wait for its renewal.
	RenewalWait time.Duration
}

// maxStartSkew is the maximum time by which the start of a target precedes that of its node if both start together.
const maxStartSkew = 400 * time.Millisecond

// DefaultConfig returns the default timing parameters.
func DefaultConfig() Config {
	return Config{GrantTTL: 1500 * time.Millisecond, RenewInterval: 400 * time.Millisecond, AnswerTimeout: 400 * time.Millisecond, MaxSendDelay: 100 * time.Millisecond, Margin: 50 * time.Millisecond, MaxClockDrift: 0.02, FormerEpochTTL: seamassign.DefaultConfig().Lease, RenewalWait: 150 * time.Millisecond}
}

// phase is the progress of granting a range to the target or releasing it.
type phase int

const (
	// granting means that the target has not yet confirmed a grant of the range.
	granting phase = iota
	// held means that the target has confirmed a grant of the range, which may have expired since.
	held
	// finishing means that the range is about to be released: no further request is sent, and the grant is renewed until the
	// running ones have ended, since a target gives up work that outlasts its grant.
	finishing
	// releasing means that the target is asked to release the range.
	releasing
	// settling means that the target has released the range, but an unanswered grant may still reach it.
	settling
	// released means that the target no longer holds the range.
	released
)

// entry is one range that the assigner leases to the target, with its state.
type entry struct {
	seamtable.Range
	phase phase
	// confirmedUntil is the end of the latest grant that the target has confirmed.
	confirmedUntil seamclock.Instant
	// lastSent is the time of the last order for the range; zero if the next one is due at once.
	lastSent seamclock.Instant
	// handover is the state that the target returned when it released the range.
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
	// listEpoch is the epoch of the assigner that sent entries.
	listEpoch uint64
	// era is the latest era of the store that the node knows, and leasedEra the latest one in which the lease was still
	// valid when the node learned of it.
	era, leasedEra int64
	// revision is the table revision of entries.
	revision int64
	// leaseEnd is the time at which the assigner's lease on all entries expires.
	leaseEnd seamclock.Instant
	entries  []entry
	// pendingGrants are the grants that have no answer.
	pendingGrants []pendingGrant
	lastGrantID   uint64
	// running counts the requests that run at the target by key.
	running map[uint32]int
	// inheritedEnd is the latest expiry, on the target, of a grant from an earlier incarnation of the node.
	inheritedEnd seamclock.Instant
	leaving      bool
	stopping     bool
	// retired reports whether another incarnation of the target has taken over its address.
	retired bool
	// dead reports whether the target's process has exited.
	dead bool
}

// pendingGrant is a grant that was sent and has no answer, so that the target may still apply it.
type pendingGrant struct {
	id   uint64
	span seamtable.Span
	sent seamclock.Instant
	// end is the latest time at which this grant expires on the target.
	end seamclock.Instant
}

// New returns a holder without keys for a node that started at nodeStarted. Until then an earlier incarnation of the
// node may have sent the target grants, which are unknown to this one.
func New(cfg Config, target seamtable.Holder, nodeStarted seamclock.Instant) *Holder {
	h := &Holder{cfg: cfg, target: target, running: map[uint32]int{}}
	h.inheritedEnd = h.latestEnd(nodeStarted.Add(cfg.GrantTTL))
	return h
}

// Target returns the incarnation of the target.
func (h *Holder) Target() seamtable.Holder { return h.target }

// Epoch returns the highest accepted epoch.
func (h *Holder) Epoch() uint64 { return h.epoch }

// ObserveEpoch records an epoch from a leader record that this incarnation of the node read from the store. Replies of
// earlier epochs are ignored from then on.
func (h *Holder) ObserveEpoch(now seamclock.Instant, epoch uint64) {
	if epoch > h.epoch {
		h.acceptEpoch(now, epoch)
	}
}

// acceptEpoch accepts a later epoch. A lease from an earlier one expires after FormerEpochTTL at the latest.
func (h *Holder) acceptEpoch(now seamclock.Instant, epoch uint64) {
	h.ObserveEra(now, seamtable.EpochEra(epoch))
	h.epoch = epoch
	h.leaseEnd = seamclock.Earlier(h.leaseEnd, now.Add(h.cfg.FormerEpochTTL))
}

// MarkLeaving records that the target is shutting down.
func (h *Holder) MarkLeaving() { h.leaving = true }

// MarkStopping records that the node is shutting down for a restart, while the target keeps running.
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

// MarkDead records that the target's process has exited, so that it holds no keys.
func (h *Holder) MarkDead() {
	h.dead = true
	h.entries = nil
}

// Dead reports whether the target's process has exited.
func (h *Holder) Dead() bool { return h.dead }

// Heartbeat returns the heartbeat to send to the assigner. The caller adds the load.
func (h *Holder) Heartbeat(now seamclock.Instant) seamassign.Heartbeat {
	hb := seamassign.Heartbeat{Epoch: h.epoch, Holder: h.target, Revision: h.revision, State: h.state(), NoEarlierGrants: h.noEarlierGrants(now)}
	hb.Claims = h.claims()
	for _, e := range h.entries {
		if e.phase == released {
			hb.Released = append(hb.Released, seamassign.Released{Span: e.Span, Fence: e.Fence, Handover: e.handover})
		}
	}
	return hb
}

// noEarlierGrants reports whether this incarnation of the target cannot hold keys that an earlier incarnation of the node
// granted to a former incarnation at the same address: it started with the node or later, or these grants have expired.
func (h *Holder) noEarlierGrants(now seamclock.Instant) bool {
	nodeStarted := h.inheritedEnd.Wall - h.latestEnd(seamclock.Instant{}.Add(h.cfg.GrantTTL)).Wall
	targetStarted := time.Duration(h.target.Born) * time.Millisecond
	return targetStarted >= nodeStarted-maxStartSkew || seamclock.MinElapsed(now, h.inheritedEnd) >= 0
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
		h.acceptEpoch(now, r.Epoch)
		h.revision = 0
		if !r.Changed {
			// Without a list of ranges, the lease from the earlier assigner is not extended.
			return
		}
	}
	if r.Changed {
		h.setRanges(r.Ranges)
		h.revision, h.listEpoch = r.Revision, r.Epoch
	}
	if end := sent.Add(r.Lease); h.revision == r.Revision && seamclock.MinElapsed(end, h.leaseEnd) > 0 {
		h.leaseEnd = end
	}
	for _, toRelease := range r.Release {
		h.markReleasing(toRelease)
	}
}

// setRanges replaces the entries by the given ranges. Ranges with an unchanged fencing token keep their state.
func (h *Holder) setRanges(ranges []seamtable.Range) {
	next := make([]entry, 0, len(ranges))
	for _, r := range ranges {
		next = append(next, h.carryOver(r)...)
	}
	h.entries = next
}

// carryOver returns the entries for a new range. Where existing entries with the same fencing token overlap it, their
// state is kept; the rest of the range becomes new entries.
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

// markReleasing marks the entries inside a range to be released. An entry that is only partly inside it is split.
func (h *Holder) markReleasing(r seamtable.Range) {
	var next []entry
	for _, e := range h.entries {
		if e.Fence != r.Fence || !e.Overlaps(r.Span) || e.phase >= finishing {
			next = append(next, e)
			continue
		}
		next = append(next, e.split(r.Span)...)
	}
	h.entries = next
}

// split returns the parts of the entry, with the part inside the span marked to be released.
func (e entry) split(s seamtable.Span) []entry {
	var parts []entry
	if e.From < s.From {
		left := e
		left.To = s.From - 1
		parts = append(parts, left)
	}
	inside := e
	inside.Span = seamtable.Span{From: max(e.From, s.From), To: min(e.To, s.To)}
	inside.phase = finishing
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
// *seamgrant.NotOwnerError, which reports whether the grant is pending, the key is moving, or the lease has expired.
func (h *Holder) Acquire(now seamclock.Instant, grant seamgrant.Grant) (seamgrant.Grant, error) {
	e := h.find(grant.Slot.Index)
	switch {
	case e == nil:
		return grant, &seamgrant.NotOwnerError{Slot: grant.Slot}
	case e.phase < finishing && seamclock.Expired(now, h.leaseEnd.Add(h.cfg.RenewalWait)):
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

// GrantExpiry returns the expiry of the confirmed grant of the key with the given fencing token; false if there is none.
func (h *Holder) GrantExpiry(key uint32, fence uint64) (expiresAt seamclock.Instant, ok bool) {
	e := h.find(key)
	if e == nil || e.Fence != fence || e.phase != held {
		return seamclock.Instant{}, false
	}
	return e.confirmedUntil, true
}

// RequestStarted records that a request for the key was allowed to be sent to the target.
func (h *Holder) RequestStarted(key uint32) { h.running[key]++ }

// RequestEnded records that a request for the key has ended. It reports whether that was the last one for the key.
func (h *Holder) RequestEnded(key uint32) (last bool) {
	h.running[key]--
	if h.running[key] > 0 {
		return false
	}
	delete(h.running, key)
	return true
}

// isRunning reports whether a request for a key of the span runs.
func (h *Holder) isRunning(s seamtable.Span) bool {
	for key := range h.running {
		if s.Contains(key) {
			return true
		}
	}
	return false
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

// FullyReleased reports whether all ranges are released and no unanswered grant may still apply at the target's address.
func (h *Holder) FullyReleased(now seamclock.Instant) bool {
	return h.AllReleased() && !h.mayStillApply(now, seamtable.Span{To: seamtable.LastKey})
}

// releasedCount returns the number of released ranges that the assigner has not removed yet.
func (h *Holder) releasedCount() int {
	n := 0
	for _, e := range h.entries {
		if e.phase == released {
			n++
		}
	}
	return n
}

// AllReleased reports whether the target has released all ranges.
func (h *Holder) AllReleased() bool {
	return !slices.ContainsFunc(h.entries, func(e entry) bool { return e.phase != released })
}
