package seamingress

import (
	"context"
	"time"

	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seampoison"
)

// maxCrashes is the number of targets that one request of a caller may crash: it is sent once more after the first crash, which
// another request may have caused.
const maxCrashes = 2

// quarantined returns the refusal of a request that is kept from the targets because requests like it have crashed others, and false
// for other requests and if a trial is due. A request with a streamed body is decided by the node that runs it.
func (x *exchange) quarantined() (seamoutcome.End, bool) {
	key, ok := x.poisonKey()
	if !ok || x.head.GetTrial() {
		return seamoutcome.End{}, false
	}
	verdict := x.ingress.cfg.Poison.Check(time.Now(), key)
	if !verdict.Refused || verdict.TrialDue && x.unknownEnd == nil {
		return seamoutcome.End{}, false
	}
	return verdict.Refusal(key.Fingerprint), true
}

// beginTrial makes a quarantined request a trial. It returns the refusal of a request that is quarantined and does not become one,
// and false for other requests.
func (x *exchange) beginTrial(ctx context.Context) (seamoutcome.End, bool) {
	key, ok := x.poisonKey()
	if !ok || x.head.GetTrial() {
		return seamoutcome.End{}, false
	}
	about := seampoison.Description{Path: x.head.GetPath(), Caller: x.head.GetOrigin()}
	verdict, trial := x.ingress.cfg.Poison.Admit(ctx, time.Now(), key, about)
	x.head.Trial = trial
	if !verdict.Refused || trial {
		return seamoutcome.End{}, false
	}
	return verdict.Refusal(key.Fingerprint), true
}

// endTrial ends the quarantine of a request whose trial a target has answered. The node beside the target may not know of the record
// yet.
func (x *exchange) endTrial(end seamoutcome.End) {
	if !x.head.GetTrial() || end.Outcome != seamoutcome.Done {
		return
	}
	if key, ok := x.poisonKey(); ok {
		x.ingress.cfg.Poison.AddAnswer(time.Now(), key)
	}
}

// poisonKey returns the key of the request among poison requests, and false if nothing is known about requests like it or its body is
// not in memory.
func (x *exchange) poisonKey() (seampoison.Key, bool) {
	guard := x.ingress.cfg.Poison
	if guard == nil || guard.Empty() || !x.body.fullyBuffered {
		return seampoison.Key{}, false
	}
	head := seampoison.HeadDigest(x.head)
	if !guard.MayConcern(head) {
		return seampoison.Key{}, false
	}
	return seampoison.Key{Service: x.service, Fingerprint: seampoison.NewFingerprint(head, x.body.buffered)}, true
}

// mayRepeatAfterCrash reports whether the request may be sent again after the target crashed while it was running it. A trial and a
// request that may have caused another crash are not repeated.
func (x *exchange) mayRepeatAfterCrash() bool {
	x.crashes++
	if x.crashes >= maxCrashes || x.head.GetTrial() {
		return false
	}
	key, ok := x.poisonKey()
	return !ok || !x.ingress.cfg.Poison.Check(time.Now(), key).Suspected
}
