// Package seamholder keeps the keys of the target beside the node: it reports to
// the assigner, grants the target what the assigner promises, renews it, and
// takes back what is to move.
package seamholder

import (
	"slices"
	"time"

	"cardamomseam/internal/own/seamassign"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamgrant"
	"cardamomseam/internal/own/seamtable"
)

// Config times a holder.
type Config struct {
	// Hold is the longest time for which the target is granted keys at once.
	GrantTTL time.Duration
	// Renew is the time between two grants of the same keys.
	RenewInterval time.Duration
	// Answer is the time for which the answer to a grant is awaited before the range is released regardless.
	AnswerTimeout time.Duration
	// Slip is the longest time between the decision on a grant and its first byte.
	MaxSendDelay time.Duration
	// Margin is the part of a right that is not used, for the way to the target.
	Margin time.Duration
	// Drift is the part by which the target's clock may run slow.
	MaxClockDrift float64
	// Keep is the longest time for which a right lasts once the assigner of a later epoch is accepted.
	FormerEpochTTL time.Duration
	// Lapse is the time after the end of a right for which requests wait for its renewal.
	RenewalWait time.Duration
}

// startSpread is the time by which a target may start before the node beside it when both start together.
const startSpread = 400 * time.Millisecond

// DefaultConfig returns the usual times.
func DefaultConfig() Config {
	return Config{GrantTTL: 1500 * time.Millisecond, RenewInterval: 400 * time.Millisecond, AnswerTimeout: 400 * time.Millisecond, MaxSendDelay: 100 * time.Millisecond, Margin: 50 * time.Millisecond, MaxClockDrift: 0.02, FormerEpochTTL: seamassign.DefaultConfig().Lease, RenewalWait: 150 * time.Millisecond}
}

// phase is the state of a range at the target.
type phase int

const (
	// granting means that the target has not confirmed a grant yet.
	granting phase = iota
	// held means that the target has confirmed a grant.
	held
	// releasing means that the target is asked to give the range up.
	releasing
	// settling means that the target has given the range up, while a grant without an answer
	// may still reach it.
	settling
	// released means that the target holds the range no longer.
	released
)

// entry is one range on the list of the holder.
type entry struct {
	seamtable.Range
	phase phase
	// confirmed is the end of what the target certainly holds.
	confirmed seamclock.Instant
	// sent is the time of the last order for the range.
	sent seamclock.Instant
	// handover is what the target gave back.
	handover string
	// used says that the target has held the range before, so that it has the state.
	used bool
}

// Holder holds the keys of one life of a target. It is a state machine without
// clocks and without network, not safe for concurrent use.
type Holder struct {
	cfg    Config
	target seamtable.Holder
	epoch  uint64
	// revision is that of the list.
	revision int64
	// right is the end of the time for which the assigner promised the list.
	right   seamclock.Instant
	entries []entry
	// open are the grants that have no answer.
	open    []openGrant
	counter uint64
	// inherited is the latest end of what the target may hold by grants of an earlier run of the node.
	inherited seamclock.Instant
	leaving   bool
	stopping  bool
	retired   bool
	dead      bool
}

// openGrant is a grant that was sent and has no answer, so that it may be applied late.
type openGrant struct {
	id   uint64
	span seamtable.Span
	sent seamclock.Instant
	// end is the latest time for which the target may hold the keys by it.
	end seamclock.Instant
}

// New returns a holder without keys. An earlier run of the node, which ended before started, may have
// given the target grants that this one knows nothing of.
func New(cfg Config, target seamtable.Holder, started seamclock.Instant) *Holder {
	h := &Holder{cfg: cfg, target: target}
	h.inherited = h.safely(started.Add(cfg.GrantTTL))
	return h
}

// Target returns the life of the target.
func (h *Holder) Target() seamtable.Holder { return h.target }

// Epoch returns the highest epoch that was accepted.
func (h *Holder) Epoch() uint64 { return h.epoch }

// Trust takes note that the store named the assigner of an epoch after this run of the node began.
// Assigners of earlier epochs promise nothing from now on.
func (h *Holder) ObserveEpoch(now seamclock.Instant, epoch uint64) {
	if epoch > h.epoch {
		h.accept(now, epoch)
	}
}

// accept takes note of a later epoch. The right by an earlier one ends soon.
func (h *Holder) accept(now seamclock.Instant, epoch uint64) {
	h.epoch = epoch
	h.right = seamclock.Earlier(h.right, now.Add(h.cfg.FormerEpochTTL))
}

// Leave says that the target is about to end.
func (h *Holder) MarkLeaving() { h.leaving = true }

// Stop says that the node is about to restart.
func (h *Holder) MarkStopping() { h.stopping = true }

// Retire says that another life of the target has taken its address. Grants that were sent since may have
// reached that life, so that they are taken back before this one is dead.
func (h *Holder) Retire() {
	h.retired = true
	for i := range h.entries {
		if e := &h.entries[i]; e.phase < releasing {
			e.phase, e.sent = releasing, seamclock.Instant{}
		}
	}
}

// Die says that the target's process has ended: it holds nothing any more.
func (h *Holder) MarkDead() {
	h.dead = true
	h.entries = nil
}

// Dead reports whether the target's process has ended.
func (h *Holder) Dead() bool { return h.dead }

// Beat returns the report to the assigner.
func (h *Holder) Heartbeat(now seamclock.Instant) seamassign.Heartbeat {
	b := seamassign.Heartbeat{Epoch: h.epoch, Holder: h.target, Revision: h.revision, State: h.state(), NoEarlierGrants: h.settled(now)}
	for _, e := range h.entries {
		if e.phase == released {
			b.Released = append(b.Released, seamassign.Released{Span: e.Span, Fence: e.Fence, Handover: e.handover})
		}
	}
	return b
}

// settled reports whether no earlier run of the node can have given this life of the target keys that were
// meant for a former one.
func (h *Holder) settled(now seamclock.Instant) bool {
	started := h.inherited.Wall - h.safely(seamclock.Instant{}.Add(h.cfg.GrantTTL)).Wall
	born := time.Duration(h.target.Born) * time.Millisecond
	return born >= started-startSpread || seamclock.MinElapsed(now, h.inherited) >= 0
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

// Reply takes the answer to a beat that was sent at a time. An answer of an
// epoch that is over is ignored.
func (h *Holder) HandleReply(now, sent seamclock.Instant, r seamassign.Reply) {
	if h.dead || h.retired || r.Epoch < h.epoch {
		return
	}
	if r.Epoch > h.epoch {
		// What an earlier assigner promised holds no longer.
		h.accept(now, r.Epoch)
		h.revision = 0
		if !r.Changed {
			// The right by the earlier promise ends by itself.
			return
		}
	}
	if r.Changed {
		h.list(r.Ranges)
		h.revision = r.Revision
	}
	if end := sent.Add(r.Lease); h.revision == r.Revision && seamclock.MinElapsed(end, h.right) > 0 {
		h.right = end
	}
	for _, o := range r.Release {
		h.release(o)
	}
}

// list replaces the list of ranges. What is known of a range that stays is kept.
func (h *Holder) list(ranges []seamtable.Range) {
	next := make([]entry, 0, len(ranges))
	for _, r := range ranges {
		next = append(next, h.keep(r)...)
	}
	h.entries = next
}

// keep returns the entries for a range of the new list, cut at the borders of the
// entries that were there under the same fence.
func (h *Holder) keep(r seamtable.Range) []entry {
	var kept []entry
	at := r.From
	for _, e := range h.entries {
		if e.Fence != r.Fence || !e.Overlaps(r.Span) {
			continue
		}
		e.Span = seamtable.Span{From: max(e.From, r.From), To: min(e.To, r.To)}
		if e.From > at {
			kept = append(kept, fresh(r, seamtable.Span{From: at, To: e.From - 1}))
		}
		kept = append(kept, e)
		at = e.To + 1
	}
	if at <= r.To {
		kept = append(kept, fresh(r, seamtable.Span{From: at, To: r.To}))
	}
	return kept
}

func fresh(r seamtable.Range, s seamtable.Span) entry {
	r.Span = s
	return entry{Range: r}
}

// release marks a span that is to be given up. A range of which only a part
// is to go is cut.
func (h *Holder) release(o seamtable.Range) {
	var next []entry
	for _, e := range h.entries {
		if e.Fence != o.Fence || !e.Overlaps(o.Span) || e.phase >= releasing {
			next = append(next, e)
			continue
		}
		next = append(next, e.cut(o.Span)...)
	}
	h.entries = next
}

// cut returns the parts of the entry, with the part inside the span releasing.
func (e entry) cut(s seamtable.Span) []entry {
	var parts []entry
	if e.From < s.From {
		left := e
		left.To = s.From - 1
		parts = append(parts, left)
	}
	inside := e
	inside.Span = seamtable.Span{From: max(e.From, s.From), To: min(e.To, s.To)}
	inside.phase = releasing
	inside.sent = seamclock.Instant{}
	parts = append(parts, inside)
	if e.To > s.To {
		right := e
		right.From = s.To + 1
		parts = append(parts, right)
	}
	return parts
}

// Acquire returns the right to send a request for the key to the target. The
// error is *seamgrant.NotOwnerError; it says whether the key is arriving or moving, or the right has lapsed.
func (h *Holder) Acquire(now seamclock.Instant, grant seamgrant.Grant) (seamgrant.Grant, error) {
	e := h.find(grant.Slot.Index)
	switch {
	case e == nil:
		return grant, &seamgrant.NotOwnerError{Slot: grant.Slot}
	case e.phase < releasing && seamclock.Expired(now, h.right.Add(h.cfg.RenewalWait)):
		return grant, &seamgrant.NotOwnerError{Slot: grant.Slot, LeaseExpired: true}
	case e.phase == granting && !seamclock.Expired(now, h.right):
		return grant, &seamgrant.NotOwnerError{Slot: grant.Slot, GrantPending: true}
	case e.phase != held:
		return grant, &seamgrant.NotOwnerError{Slot: grant.Slot, Moving: true}
	case seamclock.Expired(now, e.confirmed):
		return grant, &seamgrant.NotOwnerError{Slot: grant.Slot, GrantPending: true}
	}
	grant.Epoch, grant.ExpiresAt = e.Fence, e.confirmed
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

// Held returns the end of what the target certainly holds of a key under the fence.
func (h *Holder) Held(key uint32, fence uint64) (until seamclock.Instant, ok bool) {
	e := h.find(key)
	if e == nil || e.Fence != fence || e.phase != held {
		return seamclock.Instant{}, false
	}
	return e.confirmed, true
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

// Over reports whether nothing that was granted to a retired life is left at its address.
func (h *Holder) FullyReleased(now seamclock.Instant) bool {
	return h.Empty() && !h.mayReach(now, seamtable.Span{To: seamtable.LastKey})
}

// released returns the number of ranges that were given up and stand on the list still.
func (h *Holder) released() int {
	n := 0
	for _, e := range h.entries {
		if e.phase == released {
			n++
		}
	}
	return n
}

// Empty reports whether the holder has nothing left to give up.
func (h *Holder) Empty() bool {
	return !slices.ContainsFunc(h.entries, func(e entry) bool { return e.phase != released })
}
