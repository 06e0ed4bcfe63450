package seamholder

import (
	"slices"
	"time"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamtable"
)

// Kind is the kind of an order.
type Kind int

// Kinds of orders.
const (
	// Grant grants keys to the target or renews them.
	Grant Kind = iota
	// Release asks the target to release keys.
	Release
)

// Order is a call to the target that grants or releases a range.
type Order struct {
	Kind Kind
	seamtable.Range
	// id identifies a grant; it is set by StartGrant.
	id uint64
}

// DueOrders returns the orders that are due and records now as their sending time. An order for a range is due again
// after RenewInterval: a grant as long as the lease is valid, a release until the target confirms it.
func (h *Holder) DueOrders(now seamclock.Instant) []Order {
	var due []Order
	for i := range h.entries {
		e := &h.entries[i]
		h.finishIfIdle(e)
		h.markReleasedIfExpired(now, e)
		if !e.lastSent.Zero() && seamclock.MinElapsed(now, e.lastSent) < h.cfg.RenewInterval {
			continue
		}
		if o, ok := h.nextOrder(now, e); ok {
			e.lastSent = now
			due = append(due, o)
		}
	}
	return due
}

// finishIfIdle marks a finishing range as releasing once its requests have ended.
func (h *Holder) finishIfIdle(e *entry) {
	if e.phase == finishing && !h.isRunning(e.Span) {
		e.phase, e.lastSent = releasing, seamclock.Instant{}
	}
}

// markReleasedIfExpired marks a settling, finishing or releasing range as released once no confirmed or unanswered grant can still
// be in force on the target.
func (h *Holder) markReleasedIfExpired(now seamclock.Instant, e *entry) {
	switch e.phase {
	case settling:
		if !h.mayStillApply(now, e.Span) {
			e.phase = released
		}
	case finishing, releasing:
		expired := e.confirmedUntil.Zero() || seamclock.MinElapsed(now, h.latestEnd(e.confirmedUntil)) >= 0
		if expired && !h.mayStillApply(now, e.Span) {
			e.phase = released
		}
	}
}

// awaitingAnswer reports whether a grant that overlaps the span was sent less than AnswerTimeout ago and is unanswered.
func (h *Holder) awaitingAnswer(now seamclock.Instant, s seamtable.Span) bool {
	return slices.ContainsFunc(h.pendingGrants, func(g pendingGrant) bool {
		return g.span.Overlaps(s) && seamclock.MinElapsed(now, g.sent) < h.cfg.AnswerTimeout
	})
}

// latestEnd returns the latest time at which a grant that expires at localEnd by the node's clock may expire on the
// target. It adds the clock drift, MaxSendDelay and Margin.
func (h *Holder) latestEnd(localEnd seamclock.Instant) seamclock.Instant {
	return localEnd.Add(time.Duration(float64(h.cfg.GrantTTL)*h.cfg.MaxClockDrift) + h.cfg.MaxSendDelay + h.cfg.Margin)
}

// mayStillApply reports whether the target may hold keys of the span under an unanswered grant, or under one from an
// earlier incarnation of the node. It removes expired pending grants.
func (h *Holder) mayStillApply(now seamclock.Instant, s seamtable.Span) bool {
	unexpired := h.pendingGrants[:0]
	mayApply := seamclock.MinElapsed(now, h.inheritedEnd) < 0
	for _, g := range h.pendingGrants {
		if seamclock.MinElapsed(now, g.end) >= 0 {
			continue
		}
		unexpired = append(unexpired, g)
		mayApply = mayApply || g.span.Overlaps(s)
	}
	h.pendingGrants = unexpired
	return mayApply
}

// nextOrder returns the order to send for the entry in its phase; false if there is none.
func (h *Holder) nextOrder(now seamclock.Instant, e *entry) (Order, bool) {
	switch e.phase {
	case granting, held, finishing:
		r := e.Range
		if e.heldBefore {
			// The target already has the state of the range.
			r.Handover = ""
		}
		return Order{Kind: Grant, Range: r}, !seamclock.Expired(now, h.leaseEnd)
	case releasing:
		// A grant that is still in transit could reach the target after the release and undo it.
		return Order{Kind: Release, Range: e.Range}, !h.awaitingAnswer(now, e.Span)
	default:
		return Order{}, false
	}
}

// StartGrant returns the grant order to send now, with the duration for which the target may hold the range. It returns
// false if the lease has expired meanwhile, or if the range was split since the order became due.
func (h *Holder) StartGrant(now seamclock.Instant, o Order) (started Order, ttl time.Duration, ok bool) {
	remaining := -seamclock.MaxElapsed(now, h.leaseEnd) - h.cfg.MaxSendDelay - h.cfg.Margin
	ttl = min(h.cfg.GrantTTL, time.Duration(float64(remaining)/(1+h.cfg.MaxClockDrift)))
	if h.dead || ttl < time.Millisecond || !h.stillToGrant(o) {
		return o, 0, false
	}
	ttl = ttl.Truncate(time.Millisecond)
	h.lastGrantID++
	o.id = h.lastGrantID
	h.pendingGrants = append(h.pendingGrants, pendingGrant{id: o.id, span: o.Span, sent: now, end: h.latestEnd(now.Add(ttl))})
	return o, ttl, true
}

// stillToGrant reports whether the range of the order is still one entry that is to be granted or renewed.
func (h *Holder) stillToGrant(o Order) bool {
	for i := range h.entries {
		if e := &h.entries[i]; e.matches(o) && e.phase < releasing {
			return true
		}
	}
	return false
}

// matches reports whether the entry has the span and fencing token of the order.
func (e *entry) matches(o Order) bool {
	return e.Fence == o.Fence && e.Span == o.Span
}

// Granted records that the target confirmed a grant for the duration ttl that was sent at the given time.
func (h *Holder) Granted(sent seamclock.Instant, o Order, ttl time.Duration) {
	h.removePending(o)
	for i := range h.entries {
		e := &h.entries[i]
		if e.Fence != o.Fence || !o.Overlaps(e.Span) {
			continue
		}
		if end := sent.Add(ttl); e.confirmedUntil.Zero() || seamclock.MinElapsed(end, e.confirmedUntil) > 0 {
			e.confirmedUntil = end
		}
		switch {
		case e.phase < finishing:
			e.phase, e.heldBefore = held, true
		case e.phase == settling:
			// The target may have applied the grant after the release.
			e.phase, e.lastSent = releasing, seamclock.Instant{}
		}
	}
}

// Rejected records that the target rejected a grant, so that it does not apply.
func (h *Holder) Rejected(o Order) { h.removePending(o) }

// removePending removes a pending grant that was answered.
func (h *Holder) removePending(o Order) {
	h.pendingGrants = slices.DeleteFunc(h.pendingGrants, func(g pendingGrant) bool { return g.id == o.id })
}

// Released records that the target released a range and returned the handover state.
func (h *Holder) Released(now seamclock.Instant, o Order, handover string) {
	for i := range h.entries {
		e := &h.entries[i]
		if e.matches(o) && e.phase == releasing {
			e.phase, e.handover = settling, handover
			h.markReleasedIfExpired(now, e)
		}
	}
}
