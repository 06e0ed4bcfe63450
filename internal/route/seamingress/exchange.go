package seamingress

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seambalance"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seampick"
	"cardamomseam/internal/route/seamroutewire"
	"cardamomseam/internal/rule/seamrule"
)

const (
	// redirectLimit is the number of times that a request follows a hint to
	// another node, which costs no work at the node that gave it.
	redirectLimit = 4
	// leastLeft is the time to the deadline below which nothing more is tried.
	leastLeft = 2 * time.Millisecond
	// fairTime is the time to the deadline from which a timeout counts as a failure of the node.
	fairTime = 500 * time.Millisecond
)

// exchange is one request of a caller with all its attempts.
type exchange struct {
	ingress  *Ingress
	service  string
	choice   seamrule.Choice
	deadline time.Time
	// start is the time at which the request was read.
	start time.Time
	// objective is the time until which the answer is prompt; zero if there is none.
	objective time.Time
	head      *seamroutewire.RequestHead
	body      *requestBody
	answer    *responder
	// named is the id that the caller chose, or empty.
	named string

	// attempts are those made so far, for the log.
	attempts []attempt

	// hint is the owner that the last attempt named.
	hint seampeer.Peer
	// left are the nodes that will not run the request, which are not tried again.
	left []seampeer.Peer
	// tried are the nodes that are tried again only if there is no other.
	tried     []seampeer.Peer
	redirects int
	retries   int
	// patience is the end of the wait for a change of owner; zero if there was none.
	patience time.Time
	// admitted is closed when the node asks for a body that did not follow the head.
	admitted chan struct{}
	// drained says that nothing follows the last answer on its stream.
	drained bool
	// doubt is the end of an earlier attempt that may have run.
	doubt *seamoutcome.End
}

// run makes attempts until one decides the request or no further one is safe and useful.
func (x *exchange) run(ctx context.Context) seamoutcome.End {
	defer x.stopWaiting()
	budget := x.ingress.cfg.Budget(x.service)
	budget.Deposit(time.Now())
	var last *seamoutcome.End
	for {
		to, ok := x.choose()
		if !ok && x.lookAgain(ctx, last) {
			continue
		}
		if !ok {
			return x.exhausted(last)
		}
		end := x.attempt(ctx, to)
		wait, again := x.next(end, to, budget)
		if !again || !x.pause(ctx, wait) {
			return x.honest(cause(end, last))
		}
		x.remember(end)
		last = &end
	}
}

// remember notes that an attempt that is repeated may have run.
func (x *exchange) remember(end seamoutcome.End) {
	switch end.Outcome {
	case seamoutcome.Unknown:
		x.doubt = &end
	case seamoutcome.Done:
		doubt := seamoutcome.NewUnknown(seamoutcome.Shed, "an earlier attempt was answered by a target with too much work")
		x.doubt = &doubt
	}
}

// honest returns the end of the last attempt as the end of the request: if an
// earlier attempt may have run, the request is not refused.
func (x *exchange) honest(end seamoutcome.End) seamoutcome.End {
	if end.Outcome == seamoutcome.Refused && x.doubt != nil {
		return *x.doubt
	}
	return end
}

// cause returns the refusal for which the request was repeated if the last attempt only
// came too late.
func cause(end seamoutcome.End, last *seamoutcome.End) seamoutcome.End {
	if end.Reason == seamoutcome.Expired && last != nil && last.Outcome == seamoutcome.Refused {
		return *last
	}
	return end
}

// exhausted is the end of a request for which no node is left to try.
func (x *exchange) exhausted(last *seamoutcome.End) seamoutcome.End {
	switch {
	case last != nil:
		return x.honest(*last)
	case x.choice.Keyed:
		return seamoutcome.NewRefused(seamoutcome.Owner, "no owner of the key is known")
	default:
		return seamoutcome.NewRefused(seamoutcome.Target, "no target of the service is available")
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
	x.head.Objective = x.objectiveLeft(start)
	i := x.ingress
	i.sent(start, to)
	end, at, err := x.send(ctx, to)
	if err != nil {
		end = x.lost(ctx, at, err, sentAt{start, left})
	}
	end = toCaller(ctx, end)
	x.ended(to, end, left)
	x.attempts = append(x.attempts, attempt{
		Node:    to.String(),
		Reason:  string(end.Reason),
		At:      start.Sub(x.start),
		Took:    time.Since(start),
		Wait:    end.QueueWait,
		Service: end.ServiceTime,
	})
	if i.cfg.OnRulesRevision != nil && end.RulesRevision > 0 {
		i.cfg.OnRulesRevision(end.RulesRevision, to)
	}
	if at.Name != "" && x.choice.Keyed && end.Outcome == seamoutcome.Done && x.redirects > 0 {
		i.directory.Learn(x.service, x.head.GetSlot(), at)
	}
	return end
}

// objectiveLeft returns the milliseconds until the objective; 0 if there is none.
func (x *exchange) objectiveLeft(now time.Time) int64 {
	if x.objective.IsZero() {
		return 0
	}
	if left := x.objective.Sub(now).Milliseconds(); left != 0 {
		return left
	}
	return -1
}

// sent counts an attempt on its way.
func (i *Ingress) sent(now time.Time, to seampeer.Peer) {
	if i.cfg.Chooser != nil {
		i.cfg.Chooser.Sent(now, to)
		return
	}
	i.picker.Sent(now, to)
}

// ended tells how an attempt with so much time left ended.
func (x *exchange) ended(to seampeer.Peer, end seamoutcome.End, left time.Duration) {
	i := x.ingress
	if i.cfg.Chooser != nil {
		i.cfg.Chooser.Ended(time.Now(), to, x.result(end, left))
		return
	}
	i.picker.Ended(time.Now(), to, seampick.Result{
		Reported: end.Slots > 0,
		InFlight: end.InFlight,
		Slots:    end.Slots,
		Failed:   failed(end.Reason, left),
	})
}

// result returns what the end of an attempt tells about its node.
func (x *exchange) result(end seamoutcome.End, left time.Duration) seambalance.Result {
	r := seambalance.Result{
		Reported:         end.Slots > 0,
		InFlight:         end.InFlight,
		Slots:            end.Slots,
		ServiceTime:      end.ServiceTime,
		Class:            x.head.GetClass(),
		ClassServiceTime: end.ClassServiceTime,
		QueueWait:        end.QueueWait,
	}
	switch end.Reason {
	case seamoutcome.Lost, seamoutcome.Session, seamoutcome.Target, seamoutcome.Draining:
		r.Unreachable = true
	case seamoutcome.Shed, seamoutcome.Broken:
		r.Failed = true
	case seamoutcome.Timeout:
		r.Failed = left >= fairTime
	case "":
		r.Failed = x.answer.head.GetStatus() >= http.StatusInternalServerError
		r.Served = !r.Failed
	}
	return r
}

// failed reports whether the reason speaks against the node. A timeout does so
// only if the caller left the node a fair time.
func failed(r seamoutcome.Reason, left time.Duration) bool {
	switch r {
	case seamoutcome.Lost, seamoutcome.Broken, seamoutcome.Session, seamoutcome.Target:
		return true
	case seamoutcome.Timeout:
		return left >= fairTime
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
		return seamoutcome.NewUnknown(seamoutcome.Broken, err.Error())
	}
	var body *bodyError
	switch {
	case errors.As(err, &body):
		return x.brokenBody(ctx, at, body, sent)
	case ctx.Err() != nil:
		return seamoutcome.NewUnknown(seamoutcome.Cancelled, err.Error())
	case !x.hasTime(0):
		return seamoutcome.NewUnknown(seamoutcome.Timeout, err.Error())
	case x.head.GetIdempotent():
		return seamoutcome.NewUnknown(seamoutcome.Lost, err.Error())
	case x.void(ctx, at, sent):
		return seamoutcome.NewRefused(seamoutcome.Session, "the attempt was voided after its session was lost")
	default:
		return seamoutcome.NewUnknown(seamoutcome.Lost, err.Error())
	}
}

// brokenBody judges an attempt whose body the caller did not send to its end.
func (x *exchange) brokenBody(ctx context.Context, at seampeer.Peer, err *bodyError, sent sentAt) seamoutcome.End {
	if !x.head.GetIdempotent() && x.void(ctx, at, sent) {
		return seamoutcome.NewRefused(err.Reason, err.Error())
	}
	return seamoutcome.NewUnknown(err.Reason, err.Error())
}
