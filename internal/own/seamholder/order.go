package seamholder

import (
	"slices"
	"time"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamtable"
)

// Kind is what an order asks of the target.
type Kind int

// Kinds of orders.
const (
	// Grant grants keys to the target or renews them.
	Grant Kind = iota
	// Release asks the target to release keys.
	Release
)

// Order is a call to be made to the target.
type Order struct {
	Kind Kind
	seamtable.Range
	// id identifies a started grant.
	id uint64
}

// DueOrders returns the orders that are due. An order is repeated after RenewInterval for as long as it applies.
func (h *Holder) DueOrders(now seamclock.Instant) []Order {
	var due []Order
	for i := range h.entries {
		e := &h.entries[i]
		h.expire(now, e)
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

// expire marks a range as released if the target no longer holds it because its grants have expired.
func (h *Holder) expire(now seamclock.Instant, e *entry) {
	switch e.phase {
	case settling:
		if !h.mayStillApply(now, e.Span) {
			e.phase = released
		}
	case releasing:
		expired := e.confirmedUntil.Zero() || seamclock.MinElapsed(now, h.latestEnd(e.confirmedUntil)) >= 0
		if expired && !h.mayStillApply(now, e.Span) {
			e.phase = released
		}
	}
}

// awaitingAnswer reports whether the answer to a grant of some of the keys is still awaited.
func (h *Holder) awaitingAnswer(now seamclock.Instant, s seamtable.Span) bool {
	return slices.ContainsFunc(h.pendingGrants, func(g pendingGrant) bool {
		return g.span.Overlaps(s) && seamclock.MinElapsed(now, g.sent) < h.cfg.AnswerTimeout
	})
}

// latestEnd returns the latest time at which a grant that ends at localEnd by the node's clock may end on the target,
// with clock drift, MaxSendDelay and Margin added.
func (h *Holder) latestEnd(localEnd seamclock.Instant) seamclock.Instant {
	return localEnd.Add(time.Duration(float64(h.cfg.GrantTTL)*h.cfg.MaxClockDrift) + h.cfg.MaxSendDelay + h.cfg.Margin)
}

// mayStillApply reports whether an unanswered grant, or one of an earlier run of the node, may still give the target some
// of the keys. It drops expired pending grants.
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

func (h *Holder) nextOrder(now seamclock.Instant, e *entry) (Order, bool) {
	switch e.phase {
	case granting, held:
		r := e.Range
		if e.heldBefore {
			// The target already has the state of the range.
			r.Handover = ""
		}
		return Order{Kind: Grant, Range: r}, !seamclock.Expired(now, h.leaseEnd)
	case releasing:
		// A pending grant could reach the target after the release.
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
	if h.dead || ttl < time.Millisecond || !h.stillWanted(o) {
		return o, 0, false
	}
	ttl = ttl.Truncate(time.Millisecond)
	h.lastGrantID++
	o.id = h.lastGrantID
	h.pendingGrants = append(h.pendingGrants, pendingGrant{id: o.id, span: o.Span, sent: now, end: h.latestEnd(now.Add(ttl))})
	return o, ttl, true
}

// stillWanted reports whether the range of the order is still to be granted as a whole.
func (h *Holder) stillWanted(o Order) bool {
	for i := range h.entries {
		if e := &h.entries[i]; e.matches(o) && e.phase < releasing {
			return true
		}
	}
	return false
}

// matches reports whether the entry is the range of the order.
func (e *entry) matches(o Order) bool {
	return e.Fence == o.Fence && e.Span == o.Span
}

// Granted records that the target confirmed a grant that was sent at the given time.
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
		case e.phase < releasing:
			e.phase, e.heldBefore = held, true
		case e.phase == settling:
			// The target may have applied the grant after the release.
			e.phase, e.lastSent = releasing, seamclock.Instant{}
		}
	}
}

// Refused records that the target rejected a grant.
func (h *Holder) Rejected(o Order) { h.removePending(o) }

// removePending removes a pending grant that was answered.
func (h *Holder) removePending(o Order) {
	h.pendingGrants = slices.DeleteFunc(h.pendingGrants, func(g pendingGrant) bool { return g.id == o.id })
}

// Released records that the target has released a range.
func (h *Holder) Released(now seamclock.Instant, o Order, handover string) {
	for i := range h.entries {
		e := &h.entries[i]
		if e.matches(o) && e.phase == releasing {
			e.phase, e.handover = settling, handover
			h.expire(now, e)
		}
	}
}
