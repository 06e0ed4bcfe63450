// Package seamegress runs requests at the target beside the node. It is the
// target's only way in: it admits, fences, limits and counts every request.
package seamegress

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/trace"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamgrant"
	"cardamomseam/internal/own/seamslot"
	"cardamomseam/internal/route/seamadmit"
	"cardamomseam/internal/route/seamcall"
	"cardamomseam/internal/route/seamdedup"
	"cardamomseam/internal/route/seamlimit"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamroutewire"
	"cardamomseam/internal/route/seamspan"
)

// Owners gives the right to serve a slot.
type Owners interface {
	// Acquire returns the grant of the slot and a function that must be called
	// when the request ended. It may wait, bounded by ctx, while the slot
	// arrives. The error is *seamgrant.NotOwnerError if this node does not own the slot.
	Acquire(ctx context.Context, id seamslot.ID) (seamgrant.Grant, func(), error)
	// Held returns the end of the node's lease on the slot as renewed by now,
	// and false if the node holds the slot no longer under the epoch.
	Held(id seamslot.ID, epoch uint64) (until seamclock.Instant, held bool)
}

// Holder is Owners that tells of changes, so that requests need not wait for a slot that has moved.
type ChangeNotifier interface {
	// Changed returns a channel that is closed when what the node holds changes.
	Changed() <-chan struct{}
}

// Target tells what the target last announced.
type Target interface {
	Current() (seamtarget.Announcement, bool)
}

// Keys counts the use of keys.
type KeyCounter interface {
	// Count counts one request for the key from a region. It is called for each request.
	Count(now seamclock.Instant, slot seamslot.ID, key, region string)
}

// Clock reads the clocks of the machine.
type Clock interface {
	Now() seamclock.Instant
}

// Config holds the bounds of an egress. Zero fields take the defaults.
type Config struct {
	// Patience bounds the wait for a slot that is arriving.
	SlotWaitTimeout time.Duration
	// Warm is the time of a slow start.
	SlowStartDuration time.Duration
	// Records is the number of request ids that are remembered.
	MaxRecords int
	// Dial bounds the opening of a connection to the target.
	DialTimeout time.Duration
	// Prompt has requests admitted by their objectives, at all slots of the target, instead of fairly among callers.
	AdmitByObjective bool
	// Dialect is how the target is spoken to; nil means Own.
	Dialect Dialect
	// Closed is told of a target that nothing listens for at its address; nil ignores it.
	OnConnectionRefused func(a seamtarget.Announcement)
	// Linger is the time for which a target that is leaving still serves the keys that were
	// not handed over yet; 0 means 2 s.
	HandoverGrace time.Duration
	// Hold is the memory for bodies that are received before their requests take places at the target, in
	// bytes; 0 means that bodies are passed on as they arrive.
	BodyBufferBytes int64
	// Rules returns the revision of the rules at this node; nil means that it is not told.
	RulesRevision func() int64
}

const (
	defaultPatience = 2 * time.Second
	defaultDial     = 500 * time.Millisecond
	// leaveGrace is the time for which a target that is leaving still serves the
	// slots that were not handed over yet.
	leaveGrace = 2 * time.Second
	// lapsedAfter is the time after which a caller should come back whose key nobody serves at present.
	lapsedAfter = 300 * time.Millisecond
	// idSize is the length of a request id, in bytes.
	idSize = 16
)

// Egress runs requests at one target. It is safe for concurrent use.
type Egress struct {
	cfg      Config
	self     seampeer.Peer
	owners   Owners
	target   Target
	clock    Clock
	keys     KeyCounter
	ledger   *seamdedup.Table
	limiter  admission
	room     *room
	targets  *targets
	counters *seamoutcome.Counters
	events   seamevent.Sink

	mu sync.Mutex
	// leaving refuses requests without a key, and draining all.
	leaving, draining bool
	// ends is the time at which the node ends at the latest; zero if it does not end.
	ends     time.Time
	inFlight int
	// leaver is the run of the target that is leaving, since a time.
	leaver string
	since  time.Time
	// idle is closed when a draining egress has no request in flight.
	idle chan struct{}
}

// New returns an egress and a function that closes its connections to the target.
func New(cfg Config, self seampeer.Peer, owners Owners, target Target, clock Clock, keys KeyCounter, set *metrics.Set, sink seamevent.Sink) (*Egress, func()) {
	if cfg.SlotWaitTimeout <= 0 {
		cfg.SlotWaitTimeout = defaultPatience
	}
	if cfg.DialTimeout <= 0 {
		cfg.DialTimeout = defaultDial
	}
	if cfg.Dialect == nil {
		cfg.Dialect = Native{}
	}
	if cfg.HandoverGrace <= 0 {
		cfg.HandoverGrace = leaveGrace
	}
	e := &Egress{
		cfg:      cfg,
		self:     self,
		owners:   owners,
		target:   target,
		clock:    clock,
		keys:     keys,
		ledger:   seamdedup.New(cfg.MaxRecords),
		limiter:  newAdmission(cfg, set),
		targets:  &targets{dial: cfg.DialTimeout},
		room:     &room{left: cfg.BodyBufferBytes},
		counters: seamoutcome.NewCounters(set, "cardamomseam_egress_requests_total"),
		events:   sink,
		idle:     make(chan struct{}),
	}
	set.NewGauge("cardamomseam_egress_inflight", func() float64 { return float64(e.InFlight()) })
	set.NewGauge("cardamomseam_ledger_records", func() float64 { return float64(e.ledger.Len()) })
	return e, e.targets.close
}

func newAdmission(cfg Config, set *metrics.Set) admission {
	if cfg.AdmitByObjective {
		return prompt{seamadmit.New(set)}
	}
	return fair{seamlimit.New(cfg.SlowStartDuration, set)}
}

// Load returns the present load of the target.
func (e *Egress) Load() seamlimit.Load {
	return e.limiter.Load()
}

// Run runs one attempt of a request and gives the target's answer to out. The
// answer is whole if and only if the outcome of the end is Done.
func (e *Egress) Run(ctx context.Context, head *seamroutewire.RequestHead, body io.Reader, out seamcall.ResponseWriter) seamoutcome.End {
	ctx, span := seamspan.Start(ctx, "egress", trace.SpanKindServer)
	defer span.End()
	end := e.enterAndRun(ctx, head, body, out)
	load := e.limiter.Load()
	end.InFlight, end.Slots = load.Running+load.Queued, load.Slots
	end.ServiceTime, end.QueueWait = load.ServiceTime, load.QueueWait
	end.ClassServiceTime = e.limiter.work(head)
	if e.cfg.RulesRevision != nil {
		end.RulesRevision = e.cfg.RulesRevision()
	}
	e.counters.Count(end)
	seamspan.RecordEnd(span, end)
	return end
}

func (e *Egress) enterAndRun(ctx context.Context, head *seamroutewire.RequestHead, body io.Reader, out seamcall.ResponseWriter) seamoutcome.End {
	if !e.enter(head.GetKeyed()) {
		return seamoutcome.NewRefused(seamoutcome.Draining, "the node is leaving")
	}
	defer e.leave()
	if len(head.GetId()) != idSize {
		return seamoutcome.NewRefused(seamoutcome.Malformed, "the request id has a wrong length")
	}
	arrived, came := e.clock.Now(), time.Now()
	left := time.Duration(head.GetLeft()) * time.Millisecond
	if left <= 0 {
		return seamoutcome.NewRefused(seamoutcome.Expired, "the deadline passed on the way")
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	announced, end := e.announced(head)
	if end != nil {
		return e.redirect(ctx, head, *end)
	}
	c := &call{egress: e, head: head, body: body, out: out, announced: announced, deadline: arrived.Add(left), arrived: came}
	return c.record(ctx, left)
}

// redirect adds the owner of the key's slot to a refusal. A node without a
// target for the service is asked for keys when it coordinates their cell.
func (e *Egress) redirect(ctx context.Context, head *seamroutewire.RequestHead, end seamoutcome.End) seamoutcome.End {
	if !head.GetKeyed() {
		return end
	}
	_, release, err := e.owners.Acquire(ctx, seamslot.ID{Service: head.GetService(), Index: head.GetSlot()})
	if err != nil {
		return acquireEnd(ctx, err)
	}
	release()
	return end
}

// announced returns what the target announced if it serves the request's service.
// A leaving target goes on for a while to serve the keys that it owns.
func (e *Egress) announced(head *seamroutewire.RequestHead) (seamtarget.Announcement, *seamoutcome.End) {
	a, ok := e.target.Current()
	switch {
	case !ok:
		return a, refusal(seamoutcome.Target, "no target announces itself here")
	case a.Leaving && !e.mayLinger(head, a, time.Now()):
		return a, refusal(seamoutcome.Draining, "the target is leaving")
	case head.GetExpect() != "" && head.GetExpect() != a.Name:
		return a, refusal(seamoutcome.Target, "the target here is "+a.Name)
	case a.Service != head.GetService():
		return a, refusal(seamoutcome.Target, "the target here serves "+a.Service)
	}
	e.limiter.Resize(time.Now(), seamlimit.Capacity{
		Name:        a.Name,
		Slots:       a.Slots,
		Connections: a.Connections,
		Cold:        a.ColdStart,
	})
	return a, nil
}

func refusal(r seamoutcome.Reason, detail string) *seamoutcome.End {
	end := seamoutcome.NewRefused(r, detail)
	return &end
}

// Void makes sure that an attempt that has not run never will, and says what is known.
func (e *Egress) Void(v *seamroutewire.Void) seamdedup.State {
	asked := seampeer.Peer{Name: v.GetPeer().GetName(), Incarnation: v.GetPeer().GetIncarnation()}
	if len(v.GetId()) != idSize || !asked.Same(e.self) {
		return seamdedup.Unknown
	}
	left := time.Duration(v.GetLeft()) * time.Millisecond
	return e.ledger.Void(e.clock.Now(), seamdedup.ID(v.GetId()), v.GetAttempt(), left)
}

// id returns the ledger's id of a request.
func id(head *seamroutewire.RequestHead) seamdedup.ID {
	return seamdedup.ID(head.GetId())
}

func acquireEnd(ctx context.Context, err error) seamoutcome.End {
	var not *seamgrant.NotOwnerError
	if errors.As(err, &not) {
		end := seamoutcome.NewRefused(seamoutcome.Owner, not.Error())
		end.Owner = seampeer.Peer{Address: not.Owner}
		if not.LeaseExpired {
			end.RetryAfter = lapsedAfter
		}
		return end
	}
	return seamoutcome.NewRefused(early(ctx, seamoutcome.Owner), err.Error())
}

// early returns the reason for which a request ended before it was started.
func early(ctx context.Context, otherwise seamoutcome.Reason) seamoutcome.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return seamoutcome.Expired
	case ctx.Err() != nil:
		return seamoutcome.Gone
	default:
		return otherwise
	}
}
