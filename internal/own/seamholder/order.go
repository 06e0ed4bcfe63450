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
	// Grant gives keys to the target, or renews them.
	Grant Kind = iota
	// Release takes keys back.
	Release
)

// Order is a call that the target is due.
type Order struct {
	Kind Kind
	seamtable.Range
	// id identifies a grant that was started.
	id uint64
}

// Due returns the orders that are due. An order that got no answer is due again.
func (h *Holder) DueOrders(now seamclock.Instant) []Order {
	var due []Order
	for i := range h.entries {
		e := &h.entries[i]
		h.lapse(now, e)
		if !e.sent.Zero() && seamclock.MinElapsed(now, e.sent) < h.cfg.RenewInterval {
			continue
		}
		if o, ok := h.order(now, e); ok {
			e.sent = now
			due = append(due, o)
		}
	}
	return due
}

// lapse takes note that the target holds a range no longer because its time is
// over, which is as good as a release.
func (h *Holder) lapse(now seamclock.Instant, e *entry) {
	switch e.phase {
	case settling:
		if !h.mayReach(now, e.Span) {
			e.phase = released
		}
	case releasing:
		over := e.confirmed.Zero() || seamclock.MinElapsed(now, h.safely(e.confirmed)) >= 0
		if over && !h.mayReach(now, e.Span) {
			e.phase = released
		}
	}
}

// underWay reports whether the answer to a grant of some of the keys is still awaited.
func (h *Holder) underWay(now seamclock.Instant, s seamtable.Span) bool {
	return slices.ContainsFunc(h.open, func(g openGrant) bool {
		return g.span.Overlaps(s) && seamclock.MinElapsed(now, g.sent) < h.cfg.AnswerTimeout
	})
}

// safely returns the latest end of a hold that ends here by the clock of the node.
func (h *Holder) safely(end seamclock.Instant) seamclock.Instant {
	return end.Add(time.Duration(float64(h.cfg.GrantTTL)*h.cfg.MaxClockDrift) + h.cfg.MaxSendDelay + h.cfg.Margin)
}

// mayReach reports whether a grant without an answer may still give the target
// some of the keys.
func (h *Holder) mayReach(now seamclock.Instant, s seamtable.Span) bool {
	kept := h.open[:0]
	found := seamclock.MinElapsed(now, h.inherited) < 0
	for _, g := range h.open {
		if seamclock.MinElapsed(now, g.end) >= 0 {
			continue
		}
		kept = append(kept, g)
		found = found || g.span.Overlaps(s)
	}
	h.open = kept
	return found
}

func (h *Holder) order(now seamclock.Instant, e *entry) (Order, bool) {
	switch e.phase {
	case granting, held:
		r := e.Range
		if e.used {
			// The target has the state of the range itself.
			r.Handover = ""
		}
		return Order{Kind: Grant, Range: r}, !seamclock.Expired(now, h.right)
	case releasing:
		// A grant on its way could reach the target after the release.
		return Order{Kind: Release, Range: e.Range}, !h.underWay(now, e.Span)
	default:
		return Order{}, false
	}
}

// Start returns the order as it is sent right now, with the time for which the target may be
// granted the range. It returns false if the right has ended meanwhile, or if the
// range was cut since the order became due.
func (h *Holder) StartGrant(now seamclock.Instant, o Order) (started Order, hold time.Duration, ok bool) {
	left := -seamclock.MaxElapsed(now, h.right) - h.cfg.MaxSendDelay - h.cfg.Margin
	hold = min(h.cfg.GrantTTL, time.Duration(float64(left)/(1+h.cfg.MaxClockDrift)))
	if h.dead || hold < time.Millisecond || !h.wants(o) {
		return o, 0, false
	}
	hold = hold.Truncate(time.Millisecond)
	h.counter++
	o.id = h.counter
	h.open = append(h.open, openGrant{id: o.id, span: o.Span, sent: now, end: h.safely(now.Add(hold))})
	return o, hold, true
}

// wants reports whether the range of the order is still to be granted as a whole.
func (h *Holder) wants(o Order) bool {
	for i := range h.entries {
		if e := &h.entries[i]; e.same(o) && e.phase < releasing {
			return true
		}
	}
	return false
}

// same reports whether the entry is the range of the order.
func (e *entry) same(o Order) bool {
	return e.Fence == o.Fence && e.Span == o.Span
}

// Granted takes note that the target confirmed a grant that was started at a time.
func (h *Holder) Granted(sent seamclock.Instant, o Order, hold time.Duration) {
	h.answered(o)
	for i := range h.entries {
		e := &h.entries[i]
		if e.Fence != o.Fence || !o.Overlaps(e.Span) {
			continue
		}
		if end := sent.Add(hold); e.confirmed.Zero() || seamclock.MinElapsed(end, e.confirmed) > 0 {
			e.confirmed = end
		}
		switch {
		case e.phase < releasing:
			e.phase, e.used = held, true
		case e.phase == settling:
			// The target may have taken the grant after the release.
			e.phase, e.sent = releasing, seamclock.Instant{}
		}
	}
}

// Refused takes note that the target did not take a grant.
func (h *Holder) Refused(o Order) { h.answered(o) }

// answered forgets an open grant that has got its answer.
func (h *Holder) answered(o Order) {
	h.open = slices.DeleteFunc(h.open, func(g openGrant) bool { return g.id == o.id })
}

// Released takes note that the target has given a range up.
func (h *Holder) Released(now seamclock.Instant, o Order, handover string) {
	for i := range h.entries {
		e := &h.entries[i]
		if e.same(o) && e.phase == releasing {
			e.phase, e.handover = settling, handover
			h.lapse(now, e)
		}
	}
}
