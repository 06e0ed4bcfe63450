package seamingress

import (
	"context"
	"math/rand/v2"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/platform/seamwait"
	"cardamomseam/internal/route/seamoutcome"
)

const (
	// defaultOwnerWaitTimeout bounds how long a request waits while the slot of its key moves or its
	// owner is replaced.
	defaultOwnerWaitTimeout = 2 * time.Second
	// ownerRecheckInterval is the mean interval between checks for a new owner.
	ownerRecheckInterval = 25 * time.Millisecond
	// moveWaitTimeout replaces defaultOwnerWaitTimeout if the ingress is notified of owner changes. The known owner is asked again each
	// moveRecheckInterval, since the keys of a new owner are granted within some tens of milliseconds.
	moveWaitTimeout     = 400 * time.Millisecond
	moveRecheckInterval = 80 * time.Millisecond
	// minMoveRecheck is the least time left of the wait with which the known owner is asked again.
	minMoveRecheck = 20 * time.Millisecond
	// lossWaitTimeout replaces moveWaitTimeout if the owner's node is unreachable: its replacement
	// takes longer than a caller should wait.
	lossWaitTimeout = 100 * time.Millisecond
	// maxOwnerWaiters is the number of requests of an ingress that may wait for an owner concurrently.
	maxOwnerWaiters = 1024
)

// planOwnerWait decides whether a refused request waits for a change of owner, and returns the delay before its
// next attempt. The wait takes nothing from the retry budget, because no target did any work.
func (x *exchange) planOwnerWait(end seamoutcome.End, to seampeer.Peer) (wait time.Duration, retry bool) {
	if !x.decision.Keyed || !ownerChanging(end) {
		return 0, false
	}
	now := time.Now()
	if x.ownerWaitEnd.IsZero() && !x.startOwnerWait(now, end.Reason) {
		return 0, false
	}
	wait, retry = x.nextOwnerRecheck(now)
	if !retry || !x.hasTime(wait) {
		return 0, false
	}
	x.redirects, x.excluded = 0, nil
	x.hint = end.Owner
	if end.Owner.Address == to.Address {
		x.hint = seampeer.Peer{}
	}
	return wait, true
}

// retryAfterOwnerWait waits for an owner if no node is left to try after the last refusal. It
// reports whether to try all nodes again.
func (x *exchange) retryAfterOwnerWait(ctx context.Context, last *seamoutcome.End) bool {
	if last == nil {
		return false
	}
	wait, retry := x.planOwnerWait(*last, seampeer.Peer{})
	return retry && x.pause(ctx, wait)
}

// ownerChanging reports whether the end is a refusal that a change of owner may have caused.
func ownerChanging(end seamoutcome.End) bool {
	if end.Outcome != seamoutcome.Refused {
		return false
	}
	switch end.Reason {
	case seamoutcome.Owner, seamoutcome.Session, seamoutcome.Draining, seamoutcome.Target, seamoutcome.Fenced:
		return true
	}
	return false
}

// startOwnerWait starts the wait for an owner. It reports false if maxOwnerWaiters requests are already waiting.
func (x *exchange) startOwnerWait(now time.Time, r seamoutcome.Reason) bool {
	if x.ingress.ownerWaiters.Add(1) > maxOwnerWaiters {
		x.ingress.ownerWaiters.Add(-1)
		return false
	}
	x.ownerWaitEnd = now.Add(x.ingress.ownerWaitTimeout(r))
	if r == seamoutcome.Session && x.ingress.cfg.OnOwnerUnreachable != nil {
		x.ingress.cfg.OnOwnerUnreachable()
	}
	return true
}

// ownerWaitTimeout returns how long a request waits for an owner after a refusal with the reason. The wait is shorter
// if the ingress is notified of owner changes, and shortest if the owner is unreachable, because its replacement takes
// longer than a caller should wait.
func (i *Ingress) ownerWaitTimeout(r seamoutcome.Reason) time.Duration {
	switch {
	case i.cfg.OwnersChanged == nil:
		return defaultOwnerWaitTimeout
	case r == seamoutcome.Session:
		return lossWaitTimeout
	default:
		return moveWaitTimeout
	}
}

// nextOwnerRecheck returns the delay until the known owner is asked again, with jitter if owners are polled, and false if the wait for
// an owner ends before. Each check sends the whole request to a node that may be in another region.
func (x *exchange) nextOwnerRecheck(now time.Time) (delay time.Duration, ok bool) {
	left := x.ownerWaitEnd.Sub(now)
	if x.ingress.cfg.OwnersChanged == nil {
		delay = ownerRecheckInterval/2 + rand.N(ownerRecheckInterval)
		return delay, delay <= left
	}
	delay = min(moveRecheckInterval, left)
	return delay, delay >= minMoveRecheck
}

// pause waits before the next attempt. A wait for an owner ends early when the directory has another owner of the key than at the
// last attempt. It reports false if ctx is done.
func (x *exchange) pause(ctx context.Context, wait time.Duration) bool {
	if x.ingress.cfg.OwnersChanged == nil || x.ownerWaitEnd.IsZero() {
		return seamwait.For(ctx, wait)
	}
	for end := time.Now().Add(wait); wait > 0; wait = time.Until(end) {
		changed := x.ingress.cfg.OwnersChanged()
		if x.ownerReplaced() {
			break
		}
		if !seamwait.Until(ctx, wait, changed) {
			return false
		}
	}
	return ctx.Err() == nil
}

// ownerReplaced reports whether the directory has another owner of the key than at the last attempt.
func (x *exchange) ownerReplaced() bool {
	owner, ok := x.ingress.directory.Owner(x.service, x.head.GetSlot())
	return ok && owner != x.recordedOwner
}

// endOwnerWait ends the wait for an owner, if the request has waited for one.
func (x *exchange) endOwnerWait() {
	if !x.ownerWaitEnd.IsZero() {
		x.ingress.ownerWaiters.Add(-1)
	}
}
