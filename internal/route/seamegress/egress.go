// Package seamegress proxies requests to the target of the node. All requests to the
// target pass through it: it applies admission control, concurrency limits, fencing and
// deduplication, and counts the requests by outcome.
package seamegress

import (
	"context"
	"io"
	"math"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/singleflight"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamgrant"
	"cardamomseam/internal/own/seamslot"
	"cardamomseam/internal/platform/seamguard"
	"cardamomseam/internal/route/seamadmit"
	"cardamomseam/internal/route/seamcall"
	"cardamomseam/internal/route/seamdedup"
	"cardamomseam/internal/route/seamlimit"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seampoison"
	"cardamomseam/internal/route/seamroutewire"
	"cardamomseam/internal/route/seamspan"
	"cardamomseam/internal/route/seamstop"
	"cardamomseam/internal/route/seamthrottle"
)

// Owners grants the authority to serve a slot.
type Owners interface {
	// Acquire returns the grant of the slot and a function that must be called
	// when the request has ended. It may wait, bounded by ctx, while the slot is
	// handed over to this node. The error is *seamgrant.NotOwnerError if this node does not own the slot.
	Acquire(ctx context.Context, id seamslot.ID) (seamgrant.Grant, func(), error)
	// Held returns the current expiry of the node's lease on the slot, and
	// false if the node no longer holds the slot under the epoch.
	Held(id seamslot.ID, epoch uint64) (until seamclock.Instant, held bool)
}

// ChangeNotifier is implemented by Owners that notify of changes, so that requests stop waiting for a slot that
// has moved.
type ChangeNotifier interface {
	// Changed returns a channel that is closed when the set of slots that the node holds changes.
	Changed() <-chan struct{}
}

// Target returns the last announcement of the target.
type Target interface {
	Current() (seamtarget.Announcement, bool)
}

// KeyCounter counts requests per key.
type KeyCounter interface {
	// Count counts one request for the key from a region. It is called for each keyed request.
	Count(now seamclock.Instant, slot seamslot.ID, key, region string)
}

// Clock reads the clocks of the machine.
type Clock interface {
	Now() seamclock.Instant
}

// Config holds the settings of an egress. Zero fields take the defaults.
type Config struct {
	// SlotWaitTimeout bounds the wait for a slot that is being handed over to this node.
	SlotWaitTimeout time.Duration
	// SlowStartDuration is the time in which the concurrency limit of a cold target rises to all its slots.
	SlowStartDuration time.Duration
	// MaxRecords is the largest number of request ids in the dedup table.
	MaxRecords int
	// DialTimeout bounds the opening of a connection to the target.
	DialTimeout time.Duration
	// AdmitByObjective schedules requests by their latency objectives over all slots of the target, instead of
	// fairly among callers.
	AdmitByObjective bool
	// Dialect is the dialect of the target; nil means Native.
	Dialect Dialect
	// OnConnectionRefused is called when the target's address refuses connections; may be nil.
	OnConnectionRefused func(a seamtarget.Announcement)
	// OnTargetLeaving is called when the target states in a response that it is leaving; may be nil.
	OnTargetLeaving func(a seamtarget.Announcement)
	// HandoverGrace is the time for which a target that is leaving still serves the keys that were
	// not handed over yet; 0 means 2 s.
	HandoverGrace time.Duration
	// BodyBufferBytes is the memory for bodies that are buffered before admission; 0 means that bodies are
	// streamed to the target as they arrive.
	BodyBufferBytes int64
	// Guard bounds the memory of all callers of the process; nil means no limit.
	Guard *seamguard.Guard
	// RulesRevision returns the revision of the rules at this node; nil means that it is not reported.
	RulesRevision func() int64
	// Evacuated reports whether the target must get no more requests, keyed or not, because its failure domain is evacuated; nil
	// means that it never is.
	Evacuated func(now time.Time, keyed bool) bool
	// Warmup returns the number of requests per second that a cold target of a service can handle, 0 if that is not limited, and the
	// time for which a target is cold after a start, 0 if that is unknown; nil means that no service has such a limit.
	Warmup func(service string) (rate float64, duration time.Duration)
	// PassOnStatedLoad passes the load that the target states in its responses on to the nodes that choose targets.
	PassOnStatedLoad bool
	// Poison decides which requests are kept from the target because they crash targets; nil means none.
	Poison *seampoison.Guard
}

const (
	defaultSlotWaitTimeout = 2 * time.Second
	defaultDialTimeout     = 500 * time.Millisecond
	defaultHandoverGrace   = 2 * time.Second
	// unservedRetryAfter is the Retry-After delay for a key that no node serves at present.
	unservedRetryAfter = 300 * time.Millisecond
	// requestIDSize is the length of a request id, in bytes.
	requestIDSize = 16
)

// Egress proxies requests to one target. It is safe for concurrent use.
type Egress struct {
	cfg    Config
	self   seampeer.Peer
	owners Owners
	target Target
	clock  Clock
	keys   KeyCounter
	dedup  *seamdedup.Table
	// idempotent holds the attempts that may run more than once and have not been started.
	idempotent seamdedup.Attempts
	limiter    admission
	bodyMemory *memoryBudget
	pools      *targetPools
	counters   *seamoutcome.Counters
	// evacuated counts the requests refused because of an evacuation.
	evacuated *metrics.Counter
	events    seamevent.Sink
	running   runningCalls
	// probes are the connections that find out whether the target has crashed.
	probes   singleflight.Group
	throttle *seamthrottle.Throttle
	warmups  warmupMetrics
	stated   StatedLoads

	mu sync.Mutex
	// refusingUnkeyed means that requests without a key are refused; draining means that all are.
	refusingUnkeyed, draining bool
	stopPlan                  seamstop.Plan
	inFlight                  int
	// leavingTarget is the incarnation of the target that is leaving, since leavingSince.
	leavingTarget seamthrottle.Target
	leavingSince  time.Time
	// invalidLimit is the limit in the last response if that was ignored, and empty otherwise.
	invalidLimit string
	// idle is closed when the egress is draining and no request is in flight.
	idle chan struct{}
	// stopping is canceled by refusalTimer at the refusal time of a planned stop.
	stopping     context.Context
	refusalTimer *time.Timer
	// stopped is canceled by limitTimer at the limit of a planned stop.
	stopped    context.Context
	limitTimer *time.Timer
}

// New returns an egress and a function that closes its connections to the target.
func New(cfg Config, self seampeer.Peer, owners Owners, target Target, clock Clock, keys KeyCounter, set *metrics.Set, sink seamevent.Sink) (*Egress, func()) {
	if cfg.SlotWaitTimeout <= 0 {
		cfg.SlotWaitTimeout = defaultSlotWaitTimeout
	}
	if cfg.DialTimeout <= 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.Dialect == nil {
		cfg.Dialect = Native{}
	}
	if cfg.HandoverGrace <= 0 {
		cfg.HandoverGrace = defaultHandoverGrace
	}
	throttle := new(seamthrottle.Throttle)
	pools := &targetPools{dial: cfg.DialTimeout}
	e := &Egress{
		cfg:        cfg,
		self:       self,
		owners:     owners,
		target:     target,
		clock:      clock,
		keys:       keys,
		dedup:      seamdedup.New(cfg.MaxRecords),
		limiter:    newAdmission(cfg, throttle, set),
		pools:      pools,
		bodyMemory: &memoryBudget{available: cfg.BodyBufferBytes, guard: cfg.Guard},
		counters:   seamoutcome.NewCounters(set, "cardamomseam_egress_requests_total"),
		evacuated:  set.NewCounter("cardamomseam_egress_evacuated_total"),
		events:     sink,
		throttle:   throttle,
		warmups:    newWarmupMetrics(set, throttle),
		idle:       make(chan struct{}),
	}
	pools.onClosed = e.connectionClosed
	set.NewGauge("cardamomseam_egress_inflight", func() float64 { return float64(e.InFlight()) })
	set.NewGauge("cardamomseam_target_slots", func() float64 { return float64(e.limiter.Load().Slots) })
	set.NewGauge("cardamomseam_target_pace", func() float64 { return e.stated.Pace(time.Now()) })
	set.NewGauge("cardamomseam_target_limit", func() float64 { return throttle.State().StatedLimit() })
	set.NewGauge("cardamomseam_target_leaving", func() float64 { return leavingGauge(throttle.State()) })
	set.NewGauge("cardamomseam_ledger_records", func() float64 { return float64(e.dedup.Len()) })
	e.stopping, e.refusalTimer = timedContext()
	e.stopped, e.limitTimer = timedContext()
	return e, func() {
		e.refusalTimer.Stop()
		e.limitTimer.Stop()
		e.pools.close()
	}
}

// timedContext returns a context and the timer that cancels it, which is not set yet.
func timedContext() (context.Context, *time.Timer) {
	ctx, cancel := context.WithCancel(context.Background())
	return ctx, time.AfterFunc(math.MaxInt64, cancel)
}

func newAdmission(cfg Config, throttle *seamthrottle.Throttle, set *metrics.Set) admission {
	if cfg.AdmitByObjective {
		return objectiveAdmission{seamadmit.New(throttle, set)}
	}
	return fairAdmission{seamlimit.New(cfg.SlowStartDuration, throttle, set)}
}

// Load returns the current load of the target.
func (e *Egress) Load() seamlimit.Load {
	load := e.limiter.Load()
	if rate, limited := e.throttle.Rate(time.Now()); limited {
		load.MaxRate = rate
	}
	return load
}

// Run runs one attempt of a request and writes the target's response to out. The
// response is complete if and only if the outcome of the end is Done.
func (e *Egress) Run(ctx context.Context, head *seamroutewire.RequestHead, body io.Reader, out seamcall.ResponseWriter) seamoutcome.End {
	ctx, span := seamspan.Start(ctx, "egress", trace.SpanKindServer)
	defer span.End()
	end := e.validateAndRun(ctx, head, body, out)
	load := e.limiter.Load()
	end.InFlight, end.Slots = load.Running+load.Queued, load.Slots
	end.ServiceTime, end.QueueWait = load.ServiceTime, load.QueueWait
	end.ClassServiceTime = e.limiter.meanServiceTime(head)
	e.countRefusal(time.Now(), end)
	if a, ok := e.target.Current(); ok && e.cfg.PassOnStatedLoad {
		e.stated.Apply(time.Now(), throttleTarget(a), &end)
	}
	end.Notice = e.report(time.Now(), head)
	if e.cfg.RulesRevision != nil {
		end.RulesRevision = e.cfg.RulesRevision()
	}
	e.counters.Count(end)
	seamspan.RecordEnd(span, end)
	return end
}

func (e *Egress) validateAndRun(ctx context.Context, head *seamroutewire.RequestHead, body io.Reader, out seamcall.ResponseWriter) seamoutcome.End {
	if !e.beginRequest(head.GetKeyed()) {
		return seamoutcome.NewRefused(seamoutcome.Draining, "the node is draining")
	}
	defer e.endRequest()
	if len(head.GetId()) != requestIDSize {
		return seamoutcome.NewRefused(seamoutcome.Malformed, "the request id is not 16 bytes long")
	}
	arrived, arrivedWall := e.clock.Now(), time.Now()
	timeout := time.Duration(head.GetLeft()) * time.Millisecond
	if timeout <= 0 {
		return seamoutcome.NewRefused(seamoutcome.Expired, "the deadline passed before the request reached the node")
	}
	ctx, release := e.cancelAtStop(ctx)
	defer release()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	announced, end := e.currentTarget(head)
	if end != nil {
		return e.redirect(ctx, head, *end)
	}
	c := &call{egress: e, head: head, body: body, out: out, announced: announced, deadline: arrived.Add(timeout), arrived: arrivedWall, trial: head.GetTrial()}
	return c.runDeduplicated(ctx, timeout)
}

// redirect returns the refusal end, or a refusal that names the owner of the key's slot if this node does not own
// the slot. A node without a target for the service receives keyed requests if it coordinates
// the cell of their keys.
func (e *Egress) redirect(ctx context.Context, head *seamroutewire.RequestHead, end seamoutcome.End) seamoutcome.End {
	if !head.GetKeyed() {
		return end
	}
	_, release, err := e.owners.Acquire(ctx, seamslot.ID{Service: head.GetService(), Index: head.GetSlot()})
	if err != nil {
		return acquireFailure(ctx, err)
	}
	release()
	return end
}

// currentTarget returns the target's announcement if it may run the request, and a refusal otherwise.
// A leaving target still serves the keys that it owns for the handover grace period.
func (e *Egress) currentTarget(head *seamroutewire.RequestHead) (seamtarget.Announcement, *seamoutcome.End) {
	a, ok := e.target.Current()
	switch {
	case !ok:
		return a, refusal(seamoutcome.Target, "no target is announced at this node")
	case e.isEvacuated(time.Now(), head):
		e.evacuated.Inc()
		return a, refusal(seamoutcome.Draining, evacuatedDetail)
	case e.isLeaving(a) && !e.withinHandoverGrace(head, a, time.Now()):
		return a, refusal(seamoutcome.Draining, "the target is leaving")
	case head.GetExpect() != "" && head.GetExpect() != a.Name:
		return a, refusal(seamoutcome.Target, "the target at this node is "+a.Name)
	case a.Service != head.GetService():
		return a, refusal(seamoutcome.Target, "the target at this node serves "+a.Service)
	}
	e.syncThrottle(time.Now(), a)
	e.limiter.Resize(time.Now(), seamlimit.Capacity{
		Name:        a.Name,
		Slots:       a.MaxConcurrency,
		Connections: a.Connections,
		Cold:        a.ColdStart,
	})
	return a, nil
}

func refusal(r seamoutcome.Reason, detail string) *seamoutcome.End {
	end := seamoutcome.NewRefused(r, detail)
	return &end
}

// Void tries to void an attempt and returns the attempt's state. If that is Voided, the attempt has not run and
// never will.
func (e *Egress) Void(v *seamroutewire.Void) seamdedup.State {
	voidedPeer := seampeer.Peer{Name: v.GetPeer().GetName(), Incarnation: v.GetPeer().GetIncarnation()}
	if len(v.GetId()) != requestIDSize || !voidedPeer.Same(e.self) {
		return seamdedup.Unknown
	}
	if v.GetIdempotent() {
		return e.idempotent.Void(v.GetAttempt())
	}
	timeout := time.Duration(v.GetLeft()) * time.Millisecond
	return e.dedup.Void(e.clock.Now(), seamdedup.ID(v.GetId()), v.GetAttempt(), timeout)
}

// requestID returns the id of a request in the dedup table.
func requestID(head *seamroutewire.RequestHead) seamdedup.ID {
	return seamdedup.ID(head.GetId())
}

// acquireFailure returns the refusal of a request for which the grant of its slot could not be acquired.
func acquireFailure(ctx context.Context, err error) seamoutcome.End {
	var notOwner *seamgrant.NotOwnerError
	if errors.As(err, &notOwner) {
		end := seamoutcome.NewRefused(seamoutcome.Owner, notOwner.Error())
		end.Owner = seampeer.Peer{Address: notOwner.Owner}
		if notOwner.LeaseExpired {
			end.RetryAfter = unservedRetryAfter
		}
		return end
	}
	return seamoutcome.NewRefused(notStartedReason(ctx, seamoutcome.Owner), err.Error())
}

// notStartedReason returns the reason why a request ended before it was started: that of ctx if it has ended, and
// fallback otherwise.
func notStartedReason(ctx context.Context, fallback seamoutcome.Reason) seamoutcome.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return seamoutcome.Expired
	case ctx.Err() != nil:
		return seamoutcome.Gone
	default:
		return fallback
	}
}
