package seamingress

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seampick"
	"cardamomseam/internal/route/seamretry"
	"cardamomseam/internal/route/seamroutewire"
	"cardamomseam/internal/rule/seamrule"
)

const (
	// redirectLimit is the number of times that a request follows a hint to
	// another node, which costs no work at the node that gave it.
	redirectLimit = 4
	// leastLeft is the time to the deadline below which nothing more is tried.
	leastLeft = 2 * time.Millisecond
)

// exchange is one request of a caller with all its attempts.
type exchange struct {
	ingress  *Ingress
	service  string
	choice   seamrule.Choice
	deadline time.Time
	head     *seamroutewire.RequestHead
	body     *requestBody
	answer   *responder
	// named is the id that the caller chose, or empty.
	named string

	// hint is the owner that the last attempt named.
	hint seampeer.Peer
	// tried are the nodes that are not tried again.
	tried     []seampeer.Peer
	redirects int
	retries   int
}

// run makes attempts until one decides the request or no further one is safe and useful.
func (x *exchange) run(ctx context.Context) seamoutcome.End {
	budget := x.ingress.budgets.Of(x.service)
	budget.Earn(time.Now())
	var last *seamoutcome.End
	for {
		to, ok := x.choose()
		if !ok {
			return x.exhausted(last)
		}
		end := x.attempt(ctx, to)
		wait, again := x.next(end, to, budget)
		if !again || !pause(ctx, wait) {
			return end
		}
		last = &end
	}
}

// exhausted is the end of a request for which no node is left to try.
func (x *exchange) exhausted(last *seamoutcome.End) seamoutcome.End {
	switch {
	case last != nil:
		return *last
	case x.choice.Keyed:
		return seamoutcome.Refuse(seamoutcome.Owner, "no owner of the key is known")
	default:
		return seamoutcome.Refuse(seamoutcome.Target, "no target of the service is available")
	}
}

// choose returns the node for the next attempt.
func (x *exchange) choose() (seampeer.Peer, bool) {
	if x.choice.Keyed {
		return x.owner()
	}
	i := x.ingress
	all := i.directory.Candidates(x.service)
	pick := func() (seampick.Candidate, bool) {
		return i.picker.Pick(time.Now(), all, x.choice.Targets, x.wasTried)
	}
	if x.named != "" && !x.head.GetIdempotent() {
		pick = func() (seampick.Candidate, bool) {
			return i.picker.Anchor(x.named, x.region(all), all, x.choice.Targets, x.wasTried)
		}
	}
	c, ok := pick()
	return c.Peer, ok
}

// region returns the region in which duplicates of a named request meet: that
// of the id's prefix "REGION/", or the own one.
func (x *exchange) region(all []seampick.Candidate) string {
	prefix, _, found := strings.Cut(x.named, "/")
	if !found {
		return x.ingress.self.Region
	}
	for _, c := range all {
		if c.Peer.Region == prefix {
			return prefix
		}
	}
	return x.ingress.self.Region
}

// owner returns the node believed to own the key. If none is known, any node of
// the service is asked, which names the owner.
func (x *exchange) owner() (seampeer.Peer, bool) {
	if x.hint.Address != "" {
		return x.hint, true
	}
	i := x.ingress
	if p, ok := i.directory.Owner(x.service, x.head.GetSlot()); ok && !x.wasTried(p) {
		return p, true
	}
	all := i.directory.Candidates(x.service)
	c, ok := i.picker.Pick(time.Now(), all, nil, x.wasTried)
	return c.Peer, ok
}

func (x *exchange) wasTried(p seampeer.Peer) bool {
	for _, t := range x.tried {
		if t.Same(p) {
			return true
		}
	}
	return false
}

// next decides whether another attempt follows, and after which wait.
func (x *exchange) next(end seamoutcome.End, to seampeer.Peer, budget *seamretry.Budget) (wait time.Duration, again bool) {
	hint := x.hint
	x.hint = seampeer.Peer{}
	if !x.mayRepeat(end) {
		return 0, false
	}
	if x.follow(end, to, hint) {
		x.redirects++
		x.ingress.stats.redirects.Inc()
		return 0, x.hasTime(0)
	}
	if x.retries >= x.choice.Limits.Retries {
		return 0, false
	}
	wait = max(seamretry.Wait(x.retries), min(end.After, seamretry.Last))
	if !x.hasTime(wait) {
		return 0, false
	}
	if !budget.Spend(time.Now()) {
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
		return seamoutcome.Lookup(end.Reason).Elsewhere && x.anchored(end.Reason)
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
		if end.Owner.Address == "" || end.Owner.Address == to.Address || end.Owner.Address == hint.Address {
			return false
		}
		x.hint = end.Owner
		return true
	case seamoutcome.Draining, seamoutcome.Target, seamoutcome.Session:
		x.tried = append(x.tried, to)
		return !x.choice.Keyed || end.Reason == seamoutcome.Draining
	}
	return false
}

func (x *exchange) hasTime(wait time.Duration) bool {
	return time.Until(x.deadline) > wait+leastLeft
}

// pause waits and reports whether the caller is still there.
func pause(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt runs the request once at the node and judges how that ended.
func (x *exchange) attempt(ctx context.Context, to seampeer.Peer) seamoutcome.End {
	x.answer.reset(to.Name)
	x.head.Attempt = rand.Uint64()
	x.head.Whole = x.body.whole
	start := time.Now()
	left := x.deadline.Sub(start)
	x.head.Left = left.Milliseconds()
	i := x.ingress
	i.picker.Sent(start, to)
	end, at, err := x.send(ctx, to)
	if err != nil {
		end = x.lost(ctx, at, err, sentAt{start, left})
	}
	i.ended(to, end)
	if at.Name != "" && x.choice.Keyed && end.Outcome == seamoutcome.Done && x.redirects > 0 {
		i.directory.Learn(x.service, x.head.GetSlot(), at)
	}
	return end
}

// ended tells the picker how an attempt ended.
func (i *Ingress) ended(to seampeer.Peer, end seamoutcome.End) {
	i.picker.Ended(time.Now(), to, seampick.Result{
		Known:    end.Slots > 0,
		InFlight: end.InFlight,
		Slots:    end.Slots,
		Failed:   failed(end.Reason),
	})
}

func failed(r seamoutcome.Reason) bool {
	switch r {
	case seamoutcome.Lost, seamoutcome.Broken, seamoutcome.Timeout, seamoutcome.Session, seamoutcome.Target:
		return true
	}
	return false
}

// send passes the request to the node and returns the run of the node that took it.
// The error is *lostError if the node did not say how the attempt ended.
func (x *exchange) send(ctx context.Context, to seampeer.Peer) (seamoutcome.End, seampeer.Peer, error) {
	i := x.ingress
	if to.Same(i.self) || to.Name == "" && to.Address == i.self.Address {
		return x.sendLocal(ctx), i.self, nil
	}
	return x.sendRemote(ctx, to)
}

// sendLocal runs the request at the target beside this node.
func (x *exchange) sendLocal(ctx context.Context) seamoutcome.End {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x.answer.server = x.ingress.self.Name
	end := x.ingress.local.Run(ctx, x.head, x.body.reader(cancel), x.answer)
	if failure := x.body.failure.Load(); failure != nil && end.Outcome != seamoutcome.Done {
		end.Reason, end.Detail = failure.Reason, failure.Error()
	}
	return end
}

// lost judges an attempt without an end. A node that voids it has not run it and never will.
func (x *exchange) lost(ctx context.Context, at seampeer.Peer, err error, sent sentAt) seamoutcome.End {
	var l *lostError
	if !errors.As(err, &l) {
		return seamoutcome.Doubt(seamoutcome.Broken, err.Error())
	}
	var body *bodyError
	switch {
	case errors.As(err, &body):
		return x.brokenBody(ctx, at, body, sent)
	case ctx.Err() != nil:
		return seamoutcome.Doubt(seamoutcome.Cancelled, err.Error())
	case !x.hasTime(0):
		return seamoutcome.Doubt(seamoutcome.Timeout, err.Error())
	case x.head.GetIdempotent():
		return seamoutcome.Doubt(seamoutcome.Lost, err.Error())
	case x.void(ctx, at, sent):
		return seamoutcome.Refuse(seamoutcome.Session, "the attempt was voided after its session was lost")
	default:
		return seamoutcome.Doubt(seamoutcome.Lost, err.Error())
	}
}

// brokenBody judges an attempt whose body the caller did not send to its end.
func (x *exchange) brokenBody(ctx context.Context, at seampeer.Peer, err *bodyError, sent sentAt) seamoutcome.End {
	if !x.head.GetIdempotent() && x.void(ctx, at, sent) {
		return seamoutcome.Refuse(err.Reason, err.Error())
	}
	return seamoutcome.Doubt(err.Reason, err.Error())
}
