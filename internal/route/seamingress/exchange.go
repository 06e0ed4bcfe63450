package seamingress

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seambalance"
	"cardamomseam/internal/route/seamdedup"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seampick"
	"cardamomseam/internal/route/seamroutewire"
	"cardamomseam/internal/rule/seamrule"
)

const (
	// maxRedirects is the number of times that a request is redirected to another node without
	// spending a retry. The redirecting node does no work for it.
	maxRedirects = 4
	// minTimeLeft is the least time left to the deadline with which another attempt is made.
	minTimeLeft = 2 * time.Millisecond
	// minTimeoutCountedAsFailure is the shortest timeout of an attempt that counts as a failure of the node when it expires.
	minTimeoutCountedAsFailure = 500 * time.Millisecond
)

// exchange is the state of one request of a caller across all its attempts.
type exchange struct {
	ingress  *Ingress
	service  string
	decision seamrule.Decision
	deadline time.Time
	// start is the time at which the request arrived.
	arrivedAt time.Time
	// objective is the time by which the response must arrive to meet the latency objective; zero if there is none.
	objective time.Time
	head      *seamroutewire.RequestHead
	body      *requestBody
	responder *responder
	// callerRequestID is the request id chosen by the caller. It is empty if there is none, or if callers use a new
	// id for each retry (Config.UniqueAttemptIDs).
	callerRequestID string

	// to is the node of the current attempt.
	to seampeer.Peer
	// attempts are the log records of the attempts so far.
	attempts []attemptRecord

	// hint is the owner named by the response to the last attempt.
	hint seampeer.Peer
	// excluded are nodes that refused the request. They are not tried again unless it waits for an owner.
	excluded []seampeer.Peer
	// tried are nodes that are tried again only if no other is available.
	tried     []seampeer.Peer
	redirects int
	retries   int
	// ownerWaitEnd is the time at which the wait for a change of owner times out; zero if the request has not waited.
	ownerWaitEnd time.Time
	// recordedOwner is the owner of the key in the directory when the node of the current attempt was chosen.
	recordedOwner seampeer.Peer
	// bodyRequested is closed, and set to nil, when the node requests a body that was not sent with the head.
	bodyRequested chan struct{}
	// streamEmpty is true if no data follows the last response on its stream.
	streamEmpty bool
	// unknownEnd is the end of an earlier attempt that may have run; nil if there is none.
	unknownEnd *seamoutcome.End
	// crashes is the number of targets that crashed while they were running the request.
	crashes int
	// regionCause is the cause of the last refusal because of the allowed regions.
	regionCause regionCause
	// voidState is the result of voiding the current attempt; empty if that was not tried.
	voidState seamdedup.State
}

// run makes attempts until one ends the request, or until a retry is unsafe or not allowed.
func (x *exchange) run(ctx context.Context) seamoutcome.End {
	defer x.endOwnerWait()
	budget := x.ingress.cfg.Budget(x.service)
	budget.Deposit(time.Now())
	var last *seamoutcome.End
	for {
		x.updateRegions()
		if end, quarantined := x.quarantined(); quarantined {
			return x.finalEnd(end)
		}
		to, ok := x.chooseNode()
		if !ok {
			if end, refused := x.regionRefusal(); refused {
				return x.finalEnd(end)
			}
		}
		if !ok && x.retryAfterOwnerWait(ctx, last) {
			continue
		}
		if !ok {
			return x.endWithoutNode(last)
		}
		if end, stopping := x.stopRefusal(); stopping {
			return x.finalEnd(end)
		}
		if end, overloaded := x.overloaded(); overloaded {
			return x.finalEnd(end)
		}
		if end, quarantined := x.beginTrial(ctx); quarantined {
			return x.finalEnd(end)
		}
		end := x.attempt(ctx, to)
		x.endTrial(end)
		end = x.checkOwnerHint(end)
		wait, retry := x.nextAttempt(end, to, budget)
		if !retry || !x.pause(ctx, wait) {
			return x.finalEnd(refusalBeforeExpiry(end, last))
		}
		x.recordUncertainty(end)
		last = &end
	}
}

// overloaded returns the refusal of a request whose key is overloaded, and false for other requests.
func (x *exchange) overloaded() (seamoutcome.End, bool) {
	if !x.decision.Keyed {
		return seamoutcome.End{}, false
	}
	return x.ingress.overloads.refusal(time.Now(), x.serviceKey())
}

func (x *exchange) serviceKey() serviceKey { return serviceKey{x.service, x.head.GetSlot()} }

// recordUncertainty is called before a retry. It stores the end of the last attempt if that attempt may have run.
func (x *exchange) recordUncertainty(end seamoutcome.End) {
	switch end.Outcome {
	case seamoutcome.Unknown:
		x.unknownEnd = &end
	case seamoutcome.Done:
		unknown := seamoutcome.NewUnknown(seamoutcome.Shed, "an earlier attempt was answered by an overloaded target")
		x.unknownEnd = &unknown
	}
}

// finalEnd returns the end of the request, given that of its last attempt. If an earlier
// attempt may have run, a refusal becomes an unknown outcome.
func (x *exchange) finalEnd(end seamoutcome.End) seamoutcome.End {
	if end.Outcome == seamoutcome.Refused && x.unknownEnd != nil {
		return *x.unknownEnd
	}
	return end
}

// refusalBeforeExpiry returns the previous refusal, which caused the retry, if the last attempt
// only expired. Otherwise it returns end.
func refusalBeforeExpiry(end seamoutcome.End, last *seamoutcome.End) seamoutcome.End {
	if end.Reason == seamoutcome.Expired && last != nil && last.Outcome == seamoutcome.Refused {
		return *last
	}
	return end
}

// endWithoutNode returns the end of a request for which no node is left to try.
func (x *exchange) endWithoutNode(last *seamoutcome.End) seamoutcome.End {
	switch {
	case last != nil:
		return x.finalEnd(*last)
	case x.decision.Keyed:
		return seamoutcome.NewRefused(seamoutcome.Owner, "no owner of the key is known")
	default:
		return seamoutcome.NewRefused(seamoutcome.Target, "no target of the service is available")
	}
}

// attempt makes one attempt at the node, reports its end to the load balancer and returns it.
func (x *exchange) attempt(ctx context.Context, to seampeer.Peer) seamoutcome.End {
	x.responder.reset(to.Name)
	x.voidState = ""
	x.head.Attempt = rand.Uint64()
	x.head.Whole = x.body.fullyBuffered
	start := time.Now()
	left := x.deadline.Sub(start)
	x.head.Left = left.Milliseconds()
	x.head.Objective = x.objectiveLeft(start)
	x.head.Until = x.ingress.shutdown.untilResponse(start, x.deadline)
	x.addNotice(start, to)
	i := x.ingress
	i.countSent(start, to)
	end, receiver, err := x.send(ctx, to)
	if err != nil {
		end = x.endOfLostAttempt(ctx, receiver, err, sentAttempt{start, left})
	}
	end = endForCaller(ctx, end)
	if end.Notice != nil {
		x.recordNotice(time.Now(), *end.Notice)
	}
	x.reportEnd(to, end, left)
	if x.decision.Keyed {
		i.overloads.observe(time.Now(), x.serviceKey(), end)
	}
	x.attempts = append(x.attempts, attemptRecord{
		Node:    to.String(),
		Reason:  string(end.Reason),
		Void:    string(x.voidState),
		At:      start.Sub(x.arrivedAt),
		Took:    time.Since(start),
		Wait:    end.QueueWait,
		Service: end.ServiceTime,
	})
	if i.cfg.OnRulesRevision != nil && end.RulesRevision > 0 {
		i.cfg.OnRulesRevision(end.RulesRevision, to)
	}
	if receiver.Name != "" && x.decision.Keyed && end.Outcome == seamoutcome.Done && x.redirects > 0 {
		i.directory.Learn(x.service, x.head.GetSlot(), receiver)
	}
	return end
}

// objectiveLeft returns the milliseconds until the latency objective: 0 if there is none, negative once it has passed.
func (x *exchange) objectiveLeft(now time.Time) int64 {
	if x.objective.IsZero() {
		return 0
	}
	if left := x.objective.Sub(now).Milliseconds(); left != 0 {
		return left
	}
	return -1
}

// countSent reports to the load balancer that an attempt is in flight to the node.
func (i *Ingress) countSent(now time.Time, to seampeer.Peer) {
	if i.cfg.Balancer != nil {
		i.cfg.Balancer.Sent(now, to)
		return
	}
	i.picker.Sent(now, to)
}

// reportEnd reports the end of an attempt to the load balancer; left is the time that the attempt had to its deadline.
func (x *exchange) reportEnd(to seampeer.Peer, end seamoutcome.End, left time.Duration) {
	i := x.ingress
	if i.cfg.Balancer != nil {
		i.cfg.Balancer.Ended(time.Now(), to, x.balancerResult(end, left))
		return
	}
	i.picker.Ended(time.Now(), to, seampick.Result{
		Reported: end.Slots > 0,
		InFlight: end.InFlight,
		Slots:    end.Slots,
		Failed:   countsAsFailure(end.Reason, left),
	})
}

// balancerResult converts the end of an attempt to a result for the Balancer.
func (x *exchange) balancerResult(end seamoutcome.End, left time.Duration) seambalance.Result {
	r := seambalance.Result{
		Reported:         end.Slots > 0,
		InFlight:         end.InFlight,
		Slots:            end.Slots,
		ServiceTime:      end.ServiceTime,
		Class:            x.head.GetClass(),
		ClassServiceTime: end.ClassServiceTime,
		QueueWait:        end.QueueWait,
		Limited:          end.Notice != nil && end.Notice.LimitsRequests(),
	}
	switch end.Reason {
	case seamoutcome.Lost, seamoutcome.Session, seamoutcome.Target, seamoutcome.Draining:
		r.Unreachable = true
	case seamoutcome.Shed, seamoutcome.Broken, seamoutcome.Crashed:
		r.Failed = true
	case seamoutcome.Timeout:
		r.Failed = left >= minTimeoutCountedAsFailure
	case "": // the target responded
		r.Failed = x.responder.head.GetStatus() >= http.StatusInternalServerError
		r.Served = !r.Failed
	}
	return r
}

// countsAsFailure reports whether the reason counts as a failure of the node. A timeout counts
// only if the attempt had at least minTimeoutCountedAsFailure.
func countsAsFailure(r seamoutcome.Reason, left time.Duration) bool {
	switch r {
	case seamoutcome.Lost, seamoutcome.Broken, seamoutcome.Crashed, seamoutcome.Session, seamoutcome.Target:
		return true
	case seamoutcome.Timeout:
		return left >= minTimeoutCountedAsFailure
	}
	return false
}

// send forwards the request to the node, and returns the end of the attempt and the node, with its
// incarnation, that received it.
// The error is a *lostError if the node did not report how the attempt ended.
func (x *exchange) send(ctx context.Context, to seampeer.Peer) (seamoutcome.End, seampeer.Peer, error) {
	i := x.ingress
	if to.Same(i.self) || to.Name == "" && to.Address == i.self.Address {
		return x.sendLocal(ctx), i.self, nil
	}
	return x.sendRemote(ctx, to)
}

// sendLocal runs the request at this node's own target.
func (x *exchange) sendLocal(ctx context.Context) seamoutcome.End {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x.responder.server = x.ingress.self.Name
	end := x.ingress.local.Run(ctx, x.head, x.body.reader(cancel), x.responder)
	if failure := x.body.failure.Load(); failure != nil && end.Outcome != seamoutcome.Done {
		end.Reason, end.Detail = failure.Reason, failure.Error()
	}
	return end
}

// endOfLostAttempt determines the end of an attempt whose node reported none. If the node voids the attempt, the
// request has not run and never will, so it may be refused.
func (x *exchange) endOfLostAttempt(ctx context.Context, receiver seampeer.Peer, err error, sent sentAttempt) seamoutcome.End {
	var l *lostError
	if !errors.As(err, &l) {
		return seamoutcome.NewUnknown(seamoutcome.Broken, err.Error())
	}
	var body *bodyError
	switch {
	case errors.As(err, &body):
		return x.endOfBodyError(ctx, receiver, body, sent)
	case ctx.Err() != nil:
		return seamoutcome.NewUnknown(seamoutcome.Cancelled, err.Error())
	case !x.hasTime(0):
		return seamoutcome.NewUnknown(seamoutcome.Timeout, err.Error())
	case x.head.GetIdempotent():
		return seamoutcome.NewUnknown(seamoutcome.Lost, err.Error())
	case x.void(ctx, receiver, sent):
		return seamoutcome.NewRefused(seamoutcome.Session, "the attempt was voided after its session failed")
	default:
		return seamoutcome.NewUnknown(seamoutcome.Lost, err.Error())
	}
}

// endOfBodyError determines the end of an attempt whose body could not be read from the caller. As for a lost attempt,
// the request is refused only if the attempt was voided.
func (x *exchange) endOfBodyError(ctx context.Context, receiver seampeer.Peer, err *bodyError, sent sentAttempt) seamoutcome.End {
	if !x.head.GetIdempotent() && x.void(ctx, receiver, sent) {
		return seamoutcome.NewRefused(err.Reason, err.Error())
	}
	return seamoutcome.NewUnknown(err.Reason, err.Error())
}
