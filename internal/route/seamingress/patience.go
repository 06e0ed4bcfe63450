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
	// ownerPatience bounds the time for which a request waits while the slot of
	// its key moves or its owner is replaced.
	ownerPatience = 2 * time.Second
	// ownerLook is the mean time between looks for the owner.
	ownerLook = 25 * time.Millisecond
	// movePatience and moveLook take the place of both where the table of owners is known.
	movePatience = 400 * time.Millisecond
	moveLook     = 80 * time.Millisecond
	// lossPatience takes the place of movePatience if the node of the owner can't be reached: another
	// one takes longer than a caller should be kept.
	lossPatience = 100 * time.Millisecond
	// ownerWaiters is the number of requests of an ingress that may wait so.
	ownerWaiters = 1024
)

// awaitOwner decides whether a request whose owner refused it without having
// run it waits for the slot to be served again. Nothing is spent from the retry
// budget: no target did any work.
func (x *exchange) awaitOwner(end seamoutcome.End, to seampeer.Peer) (wait time.Duration, again bool) {
	if !x.choice.Keyed || !ownerChanging(end) {
		return 0, false
	}
	now := time.Now()
	if x.patience.IsZero() && !x.startWaiting(now, end.Reason) {
		return 0, false
	}
	wait = x.ingress.look()
	if now.Add(wait).After(x.patience) || !x.hasTime(wait) {
		return 0, false
	}
	x.redirects, x.left = 0, nil
	x.hint = end.Owner
	if end.Owner.Address == to.Address {
		x.hint = seampeer.Peer{}
	}
	return wait, true
}

// lookAgain waits if no node is left to ask after the last one refused, and
// reports whether to ask all once more.
func (x *exchange) lookAgain(ctx context.Context, last *seamoutcome.End) bool {
	if last == nil {
		return false
	}
	wait, again := x.awaitOwner(*last, seampeer.Peer{})
	return again && x.pause(ctx, wait)
}

// ownerChanging reports whether the refusal may be due to a change of owner.
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

func (x *exchange) startWaiting(now time.Time, r seamoutcome.Reason) bool {
	if x.ingress.waiting.Add(1) > ownerWaiters {
		x.ingress.waiting.Add(-1)
		return false
	}
	x.patience = now.Add(x.ingress.ownerPatience(r))
	if r == seamoutcome.Session && x.ingress.cfg.OnOwnerUnreachable != nil {
		x.ingress.cfg.OnOwnerUnreachable()
	}
	return true
}

// ownerPatience bounds the time for which a request waits for an owner after a refusal for the reason. Where the
// table of owners is known, a move is shorter, and a loss is longer than a caller should be kept.
func (i *Ingress) ownerPatience(r seamoutcome.Reason) time.Duration {
	switch {
	case i.cfg.OwnersChanged == nil:
		return ownerPatience
	case r == seamoutcome.Session:
		return lossPatience
	default:
		return movePatience
	}
}

// look returns the time until an owner is looked for again.
func (i *Ingress) look() time.Duration {
	if i.cfg.OwnersChanged != nil {
		return moveLook
	}
	return ownerLook/2 + rand.N(ownerLook)
}

// pause waits before the next attempt, and for an owner until owners change. It reports whether ctx
// still lasts.
func (x *exchange) pause(ctx context.Context, wait time.Duration) bool {
	if x.ingress.cfg.OwnersChanged == nil || x.patience.IsZero() || wait <= 0 {
		return seamwait.For(ctx, wait)
	}
	return seamwait.Until(ctx, wait, x.ingress.cfg.OwnersChanged())
}

func (x *exchange) stopWaiting() {
	if !x.patience.IsZero() {
		x.ingress.waiting.Add(-1)
	}
}
