// Package seamingress accepts callers' HTTP requests, routes each to a node whose target serves it or owns its
// key, retries where that is safe, and responds with one of three outcomes: done, refused or unknown.
package seamingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/otel/trace"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/platform/seamguard"
	"cardamomseam/internal/route/seambalance"
	"cardamomseam/internal/route/seamcall"
	"cardamomseam/internal/route/seamdedup"
	"cardamomseam/internal/route/seamheader"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seampick"
	"cardamomseam/internal/route/seampoison"
	"cardamomseam/internal/route/seamretry"
	"cardamomseam/internal/route/seamroutewire"
	"cardamomseam/internal/route/seamsession"
	"cardamomseam/internal/route/seamspan"
	"cardamomseam/internal/route/seamthrottle"
	"cardamomseam/internal/rule/seamrule"
)

// Rules applies the routing rules to requests.
type Rules interface {
	// Decide returns the routing decision for a request of a caller in the region. An
	// error with the methods Status() int and Reason() string determines the response.
	Decide(r *http.Request, service, region string) (seamrule.Decision, error)
}

// Directory looks up the owners of slots and the nodes of a service.
type Directory interface {
	// Owner returns the known owner of a slot, which may be out of date.
	Owner(service string, slot uint32) (seampeer.Peer, bool)
	// Learn records the owner of a slot that a request has found; a zero peer removes it.
	Learn(service string, slot uint32, owner seampeer.Peer)
	// Candidates returns the nodes whose targets serve the service.
	Candidates(service string) []seampick.Candidate
}

// Sessions opens streams to other nodes.
type Sessions interface {
	// Open opens a stream of the kind to the node.
	Open(ctx context.Context, to seampeer.Peer, k seamsession.Kind) (net.Conn, error)
	// OpenWithin opens a stream as Open does, if the node that answers and the relay, if there is one, are allowed.
	OpenWithin(ctx context.Context, to seampeer.Peer, k seamsession.Kind, allowed func(seampeer.Peer) bool) (net.Conn, error)
}

// Local runs requests at this node's own target, and voids attempts.
type Local interface {
	// Run runs the request at the target, writes its response to out and returns how it ended.
	Run(ctx context.Context, head *seamroutewire.RequestHead, body io.Reader, out seamcall.ResponseWriter) seamoutcome.End
	// Void guarantees, if it returns seamdedup.Voided, that the attempt has not run and never will.
	Void(v *seamroutewire.Void) seamdedup.State
}

// Balancer load-balances requests without a key between nodes.
type Balancer interface {
	// Pick returns one of the candidates, except those for which skip is true.
	Pick(now time.Time, all []seampick.Candidate, q seambalance.Query, skip func(seampeer.Peer) bool) (seampick.Candidate, bool)
	// Sent counts a request to a node as in flight.
	Sent(now time.Time, peer seampeer.Peer)
	// Ended records the result of a request counted by Sent, and reports whether it ejected the node.
	Ended(now time.Time, peer seampeer.Peer, r seambalance.Result) (ejected bool)
}

// Budget is the retry budget of a service.
type Budget interface {
	// Deposit counts one request, which adds to the budget.
	Deposit(now time.Time)
	// Withdraw takes one retry from the budget, and reports whether one was left.
	Withdraw(now time.Time) bool
}

// Config holds the settings of an ingress. Zero fields are replaced by defaults.
type Config struct {
	// Address is the ip:port on which the ingress listens for callers.
	Address string
	// MaxBodyBytes is the largest request body.
	MaxBodyBytes int64
	// BodyLimit returns the largest request body that the operators allow, 0 if they name none; nil means that they never do.
	BodyLimit func() int64
	// MaxHeaderBytes is the largest size of a request's headers.
	MaxHeaderBytes int
	// WriteTimeout bounds each write of a part of a response to the caller.
	WriteTimeout time.Duration
	// Pick holds the settings of the default load balancer.
	Pick seampick.Config
	// Balancer load-balances requests without a key; nil means the picker of package seampick.
	Balancer Balancer
	// Budget returns the retry budget of a service; nil means budgets of package seamretry, local to this node.
	Budget func(service string) Budget
	// UniqueAttemptIDs is true if callers give each attempt an id of its own, so that
	// duplicates of a request need not be routed to the same node.
	UniqueAttemptIDs bool
	// OmitOptionalFields omits fields that other nodes don't need from request heads.
	OmitOptionalFields bool
	// OwnersComplete is true if the directory knows all owners, so that no node is asked for one.
	OwnersComplete bool
	// OwnersChanged returns a channel that is closed when owners change; nil means that owners are polled.
	OwnersChanged func() <-chan struct{}
	// OnOwnerUnreachable is called when a request waits for another owner because the node of the known owner can't
	// be reached; nil is allowed.
	OnOwnerUnreachable func()
	// OriginService returns the service of this node's own instance; nil means none.
	OriginService func() string
	// Middleware wraps the HTTP handler to adapt it to the callers' protocol; nil means none.
	Middleware func(http.Handler) http.Handler
	// OnRulesRevision is called with the revision of the rules at another node; nil is allowed.
	OnRulesRevision func(revision int64, at seampeer.Peer)
	// Regions returns the regions that the rules in effect allow for a request to the host and path, and false if no rule matches;
	// nil means that the regions of the decision hold until the request ends.
	Regions func(host, path string) ([]string, bool)
	// Poison decides which requests are kept from the targets because they crash targets; nil means none.
	Poison *seampoison.Guard
	// Guard bounds the memory and the connections of callers; nil means no limits.
	Guard *seamguard.Guard
}

const (
	defaultMaxBodyBytes   = 32 << 20
	defaultMaxHeaderBytes = 32 << 10
	defaultWriteTimeout   = 10 * time.Second
)

// Ingress routes callers' requests. It is safe for concurrent use.
type Ingress struct {
	cfg       Config
	self      seampeer.Peer
	rules     Rules
	directory Directory
	sessions  Sessions
	local     Local
	picker    *seampick.Picker
	events    seamevent.Sink
	stats     *stats
	draining  atomic.Bool
	shutdown  *shutdown
	overloads *overloads
	// reports holds what this node has passed on about the targets of other nodes.
	reports seamthrottle.Reports
	// inFlight is the number of requests without a response.
	inFlight atomic.Int64
	// ownerWaiters is the number of requests that wait for a change of owner.
	ownerWaiters atomic.Int64
}

// New returns an ingress of the node self.
func New(cfg Config, self seampeer.Peer, rules Rules, directory Directory, sessions Sessions, local Local, set *metrics.Set, sink seamevent.Sink) *Ingress {
	if cfg.MaxBodyBytes <= 0 {
		cfg.MaxBodyBytes = defaultMaxBodyBytes
	}
	if cfg.MaxHeaderBytes <= 0 {
		cfg.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if cfg.WriteTimeout <= 0 {
		cfg.WriteTimeout = defaultWriteTimeout
	}
	budgets := seamretry.NewBudgets()
	if cfg.Budget == nil {
		cfg.Budget = func(service string) Budget { return budgets.For(service) }
	}
	return &Ingress{
		cfg:       cfg,
		self:      self,
		rules:     rules,
		directory: directory,
		sessions:  sessions,
		local:     local,
		picker:    seampick.New(cfg.Pick, self, set),
		events:    sink,
		stats:     newStats(set),
		shutdown:  newShutdown(),
		overloads: newOverloads(),
	}
}

// ServeHTTP routes one request and writes its response.
func (i *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	i.inFlight.Add(1)
	defer i.inFlight.Add(-1)
	bound, release := i.shutdown.bind(r.Context())
	defer release()
	ctx := seamspan.Extract(bound, r.Header.Get(seamspan.Header))
	ctx, span := seamspan.Start(ctx, "ingress", trace.SpanKindServer)
	defer span.End()
	if i.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set(seamheader.Trace, seamspan.TraceID(ctx))
	if r.ContentLength != 0 {
		// The HTTP library reads the rest of a short body before it answers a request that is refused. Each read of the body replaces this deadline.
		_ = http.NewResponseController(w).SetReadDeadline(start.Add(unreadBodyTimeout))
	}
	x, refused := i.prepare(w, r, start)
	if x != nil {
		defer x.body.releaseMemory()
	}
	if refused == nil {
		refused = refuseDisconnected(r.Context())
	}
	if refused != nil {
		i.logRefused(start, r, refused)
		i.finish(newResponder(w, i.cfg.WriteTimeout), refused.End, refused.Status, start)
		return
	}
	end := x.run(ctx)
	seamspan.RecordEnd(span, end)
	x.log(start, end)
	x.countRegionRefusal(end)
	if x.responder.started && end.Outcome != seamoutcome.Done && !r.ProtoAtLeast(1, 1) {
		// In HTTP/1.0 a body may end where the connection does: only a reset shows that it is incomplete.
		resetOnClose(r.Context())
	}
	i.finish(x.responder, end, seamoutcome.Lookup(end.Reason).Status, start)
}

// refuseDisconnected returns the refusal of a request whose caller has closed its connection; nil if it has not.
func refuseDisconnected(ctx context.Context) *refusedRequest {
	by := disconnection(ctx)
	if by == "" {
		return nil
	}
	return refuse(seamoutcome.Gone, "the caller closed its connection before the request was read, "+by)
}

// finish writes the end of the request to the caller. If the attempt failed after a part of its response was
// written, it aborts the connection, so that the caller does not take the response as complete.
func (i *Ingress) finish(responder *responder, end seamoutcome.End, status int, start time.Time) {
	i.stats.counters.Count(end)
	i.stats.latency.UpdateDuration(start)
	switch {
	case end.Outcome == seamoutcome.Done:
		responder.commit()
	case responder.started:
		i.stats.truncated.Inc()
		panic(http.ErrAbortHandler)
	default:
		responder.fail(end, status)
	}
}
