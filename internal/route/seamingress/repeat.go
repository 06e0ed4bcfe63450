package seamingress

import (
	"slices"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamretry"
)

// next decides whether another attempt follows, and after which wait.
func (x *exchange) next(end seamoutcome.End, to seampeer.Peer, budget Budget) (wait time.Duration, again bool) {
	hint := x.hint
	x.hint = seampeer.Peer{}
	if !x.mayRepeat(end) || x.lapsed(end, to) {
		return 0, false
	}
	if x.choice.Keyed && end.Reason == seamoutcome.Session {
		// What was learned about the owner is out of date; its cell knows better.
		x.ingress.directory.Learn(x.service, x.head.GetSlot(), seampeer.Peer{})
	}
	if x.follow(end, to, hint) {
		x.redirects++
		x.ingress.stats.redirects.Inc()
		return 0, x.hasTime(0)
	}
	if wait, again = x.awaitOwner(end, to); again {
		return wait, true
	}
	return x.spend(end, to, budget)
}

// lapsed reports whether the owner of the key has said that nobody serves it at present. The caller is told to
// come back instead of being kept until its deadline.
func (x *exchange) lapsed(end seamoutcome.End, to seampeer.Peer) bool {
	if !x.choice.Keyed || end.Reason != seamoutcome.Owner || end.RetryAfter <= 0 {
		return false
	}
	owner, known := x.ingress.directory.Owner(x.service, x.head.GetSlot())
	return !known || owner.Same(to) || owner.Address == to.Address
}

// spend takes a retry from the rule's number and the service's budget, if both have one.
func (x *exchange) spend(end seamoutcome.End, to seampeer.Peer, budget Budget) (wait time.Duration, again bool) {
	if x.retries >= x.choice.Limits.Retries {
		return 0, false
	}
	wait = max(seamretry.Backoff(x.retries), min(end.RetryAfter, seamretry.MaxBackoff))
	if !x.hasTime(wait) {
		return 0, false
	}
	if !budget.Withdraw(time.Now()) {
		x.ingress.stats.starved.Inc()
		return 0, false
	}
	x.retries++
	x.ingress.stats.retries.Inc()
	if !x.choice.Keyed {
		x.tried = append(x.tried, to)
	}
	return wait, true
}

// mayRepeat reports whether another attempt is safe.
func (x *exchange) mayRepeat(end seamoutcome.End) bool {
	if x.answer.started || !x.body.again() {
		return false
	}
	switch end.Outcome {
	case seamoutcome.Refused:
		return seamoutcome.Lookup(end.Reason).RetryElsewhere && x.anchored(end.Reason)
	case seamoutcome.Unknown:
		return x.head.GetIdempotent() && end.Reason != seamoutcome.Cancelled
	default:
		return x.head.GetIdempotent() && !x.choice.Keyed && x.answer.shed()
	}
}

// anchored reports whether a request may leave its node for the reason. A
// request that its caller named leaves only a node that will not run a duplicate
// of it either.
func (x *exchange) anchored(r seamoutcome.Reason) bool {
	if x.named == "" || x.choice.Keyed || x.head.GetIdempotent() {
		return true
	}
	return r == seamoutcome.Draining
}

// follow reports whether the next attempt goes to another node at once, without
// a retry being spent: the node that refused did no work.
func (x *exchange) follow(end seamoutcome.End, to, hint seampeer.Peer) bool {
	if x.redirects >= redirectLimit || end.Outcome != seamoutcome.Refused {
		return false
	}
	switch end.Reason {
	case seamoutcome.Owner:
		if !x.leads(end.Owner.Address, to, hint) {
			return false
		}
		x.hint = end.Owner
		return true
	case seamoutcome.Full, seamoutcome.Late:
		if x.ingress.cfg.Chooser == nil || x.choice.Keyed {
			return false
		}
		// The target has not heard of the request, which is offered to another.
		x.left = append(x.left, to)
		return true
	case seamoutcome.Draining, seamoutcome.Target, seamoutcome.Session:
		// Another target is tried, or another node is asked for the owner.
		x.left = append(x.left, to)
		return true
	}
	return false
}

// leads reports whether a hint leads to a node that was not left and not just asked.
func (x *exchange) leads(address string, to, hint seampeer.Peer) bool {
	if address == "" || address == to.Address || address == hint.Address {
		return false
	}
	return !slices.ContainsFunc(x.left, func(p seampeer.Peer) bool { return p.Address == address })
}

func (x *exchange) hasTime(wait time.Duration) bool {
	return time.Until(x.deadline) > wait+leastLeft
}
