package seamingress

import (
	"slices"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamretry"
)

// nextAttempt decides whether to make another attempt after one ended, and after which wait.
func (x *exchange) nextAttempt(end seamoutcome.End, to seampeer.Peer, budget Budget) (wait time.Duration, retry bool) {
	hint := x.hint
	x.hint = seampeer.Peer{}
	if !x.mayRetry(end) || x.keyUnserved(end, to) {
		return 0, false
	}
	if end.Reason == seamoutcome.Crashed && !x.mayRepeatAfterCrash() {
		return 0, false
	}
	if x.decision.Keyed && end.Reason == seamoutcome.Session {
		// The recorded owner is out of date: remove it, so that the state of the cell is used.
		x.ingress.directory.Learn(x.service, x.head.GetSlot(), seampeer.Peer{})
	}
	if x.redirect(end, to, hint) {
		x.redirects++
		x.ingress.stats.redirects.Inc()
		return 0, x.hasTime(0)
	}
	if wait, retry = x.planOwnerWait(end, to); retry {
		return wait, true
	}
	return x.spendRetry(end, to, budget)
}

// keyUnserved reports whether the known owner has answered that nobody serves the key at present. The caller then
// gets a Retry-After delay instead of waiting until its deadline.
func (x *exchange) keyUnserved(end seamoutcome.End, to seampeer.Peer) bool {
	if !x.decision.Keyed || end.Reason != seamoutcome.Owner || end.RetryAfter <= 0 {
		return false
	}
	owner, known := x.ingress.directory.Owner(x.service, x.head.GetSlot())
	return !known || owner.Same(to) || owner.Address == to.Address
}

// spendRetry takes a retry from the rule's limit and from the service's retry budget, if both have one left and the
// deadline allows it. It returns the back-off before the retry.
func (x *exchange) spendRetry(end seamoutcome.End, to seampeer.Peer, budget Budget) (wait time.Duration, retry bool) {
	if x.retries >= x.decision.Limits.Retries || x.ownerFull(end) {
		return 0, false
	}
	wait = max(seamretry.Backoff(x.retries), min(end.RetryAfter, seamretry.MaxBackoff))
	if !x.hasTime(wait) {
		return 0, false
	}
	if !budget.Withdraw(time.Now()) {
		x.ingress.stats.budgetExhausted.Inc()
		return 0, false
	}
	x.retries++
	x.ingress.stats.retries.Inc()
	if !x.decision.Keyed {
		x.tried = append(x.tried, to)
	}
	return wait, true
}

// ownerFull reports whether the owner of the key has said that it will have no room within the longest back-off. No other
// target may run the request.
func (x *exchange) ownerFull(end seamoutcome.End) bool {
	full := end.Reason == seamoutcome.Late || end.Reason == seamoutcome.Full || end.Reason == seamoutcome.Limit
	return x.decision.Keyed && full && end.RetryAfter > seamretry.MaxBackoff
}

// mayRetry reports whether another attempt is safe after one with this end.
func (x *exchange) mayRetry(end seamoutcome.End) bool {
	if x.responder.started || !x.body.replayable() {
		return false
	}
	switch end.Outcome {
	case seamoutcome.Refused:
		return seamoutcome.Lookup(end.Reason).RetryElsewhere && x.mayLeaveNode(end.Reason)
	case seamoutcome.Unknown:
		return x.head.GetIdempotent() && end.Reason != seamoutcome.Cancelled && !x.head.GetTrial()
	default:
		return x.head.GetIdempotent() && !x.decision.Keyed && x.responder.overloaded()
	}
}

// mayLeaveNode reports whether the request may be sent to another node after a refusal with the reason. A
// non-idempotent request with a caller-chosen id leaves only a draining node, which
// won't run a duplicate of it either.
func (x *exchange) mayLeaveNode(r seamoutcome.Reason) bool {
	if x.callerRequestID == "" || x.decision.Keyed || x.head.GetIdempotent() {
		return true
	}
	return r == seamoutcome.Draining
}

// redirect reports whether the next attempt goes to another node immediately. This spends
// no retry, because the node that refused did no work.
func (x *exchange) redirect(end seamoutcome.End, to, hint seampeer.Peer) bool {
	if x.redirects >= maxRedirects || end.Outcome != seamoutcome.Refused {
		return false
	}
	switch end.Reason {
	case seamoutcome.Owner:
		if !x.leadsToNewNode(end.Owner.Address, to, hint) {
			return false
		}
		x.hint = end.Owner
		return true
	case seamoutcome.Full, seamoutcome.Late, seamoutcome.Limit:
		if x.ingress.cfg.Balancer == nil || x.decision.Keyed {
			return false
		}
		// The target has not received the request, so another is tried.
		x.excluded = append(x.excluded, to)
		return true
	case seamoutcome.Draining, seamoutcome.Target, seamoutcome.Session:
		// Another target is tried, or another node is asked for the owner.
		x.excluded = append(x.excluded, to)
		return true
	}
	return false
}

// leadsToNewNode reports whether the address of an owner hint is that of a node that is not excluded and was not
// tried last.
func (x *exchange) leadsToNewNode(address string, to, hint seampeer.Peer) bool {
	if address == "" || address == to.Address || address == hint.Address {
		return false
	}
	return !slices.ContainsFunc(x.excluded, func(p seampeer.Peer) bool { return p.Address == address })
}

// hasTime reports whether enough time is left to the deadline for another attempt after the wait.
func (x *exchange) hasTime(wait time.Duration) bool {
	return time.Until(x.deadline) > wait+minTimeLeft
}
