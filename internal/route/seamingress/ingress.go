// Package seamingress takes requests of callers over HTTP, finds the node that
// may run each, and gives the caller one of three outcomes.
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
	"cardamomseam/internal/route/seambalance"
	"cardamomseam/internal/route/seamcall"
	"cardamomseam/internal/route/seamdedup"
	"cardamomseam/internal/route/seamheader"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seampick"
	"cardamomseam/internal/route/seamretry"
	"cardamomseam/internal/route/seamroutewire"
	"cardamomseam/internal/route/seamsession"
	"cardamomseam/internal/route/seamspan"
	"cardamomseam/internal/rule/seamrule"
)

// Rules decides where a request may go.
type Rules interface {
	// Decide returns the choice for a request of a caller in the region. An
	// error that has methods Status() int and Reason() string states the answer.
	Decide(r *http.Request, service, region string) (seamrule.Choice, error)
}

// Directory knows the nodes.
type Directory interface {
	// Owner returns the node believed to own a slot.
	Owner(service string, slot uint32) (seampeer.Peer, bool)
	// Learn takes note of an owner that a request has found.
	Learn(service string, slot uint32, owner seampeer.Peer)
	// Candidates returns the nodes whose targets serve a service.
	Candidates(service string) []seampick.Candidate
}

// Sessions opens streams to other nodes.
type Sessions interface {
	Open(ctx context.Context, to seampeer.Peer, k seamsession.Kind) (net.Conn, error)
}

// Local runs requests at the target beside this node.
type Local interface {
	Run(ctx context.Context, head *seamroutewire.RequestHead, body io.Reader, out seamcall.ResponseWriter) seamoutcome.End
	Void(v *seamroutewire.Void) seamdedup.State
}

// Chooser chooses the node for a request without a key.
type Chooser interface {
	Pick(now time.Time, all []seampick.Candidate, q seambalance.Query, skip func(seampeer.Peer) bool) (seampick.Candidate, bool)
	// Sent counts a request on its way to a node.
	Sent(now time.Time, peer seampeer.Peer)
	// Ended takes the end of a request counted by Sent into account.
	Ended(now time.Time, peer seampeer.Peer, r seambalance.Result) (ejected bool)
}

// Budget bounds the repetition of the requests of a service.
type Budget interface {
	// Earn counts one request.
	Deposit(now time.Time)
	// Spend takes one repetition and reports whether there was one.
	Withdraw(now time.Time) bool
}

// Config holds the settings of an ingress. Zero fields take the defaults.
type Config struct {
	// Address is the ip:port on which callers are served.
	Address string
	// Body is the largest body of a request, in bytes.
	MaxBodyBytes int64
	// Headers is the largest size of a request's headers, in bytes.
	MaxHeaderBytes int
	// Slow bounds each wait for a caller to take a part of an answer.
	WriteTimeout time.Duration
	// Pick holds the settings of the choice among targets.
	Pick seampick.Config
	// Chooser chooses among the nodes for requests without a key; nil means package seampick's picker.
	Chooser Chooser
	// Budget returns the retry budget of a service; nil means one of package seamretry for each node.
	Budget func(service string) Budget
	// Distinct says that callers give each attempt an id of its own, so that
	// duplicates of a request need not meet at one node.
	UniqueAttemptIDs bool
	// Lean leaves out of messages to other nodes what they can do without.
	OmitOptionalFields bool
	// Table says that the directory knows all owners, so that no node is asked for one.
	OwnersComplete bool
	// Changed returns a channel that is closed when owners change; nil means that they are looked for again and again.
	OwnersChanged func() <-chan struct{}
	// Unreachable is told when a request waits for another owner because the node of the one that is known can't
	// be reached; nil ignores it.
	OnOwnerUnreachable func()
	// Origin returns the service of the instance of this node; nil means none.
	OriginService func() string
	// Wrap adapts the handler to what callers speak; nil leaves it.
	Middleware func(http.Handler) http.Handler
	// Rules is told of the revision of the rules at other nodes; nil ignores it.
	OnRulesRevision func(revision int64, at seampeer.Peer)
}

const (
	defaultBody    = 32 << 20
	defaultHeaders = 32 << 10
	defaultSlow    = 10 * time.Second
)

// Ingress takes requests. It is safe for concurrent use.
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
	leaving   atomic.Bool
	ending    ending
	// running counts the requests of callers that have no answer yet.
	running atomic.Int64
	// waiting counts the requests that wait for a change of owner.
	waiting atomic.Int64
}

// New returns an ingress.
func New(cfg Config, self seampeer.Peer, rules Rules, directory Directory, sessions Sessions, local Local, set *metrics.Set, sink seamevent.Sink) *Ingress {
	if cfg.MaxBodyBytes <= 0 {
		cfg.MaxBodyBytes = defaultBody
	}
	if cfg.MaxHeaderBytes <= 0 {
		cfg.MaxHeaderBytes = defaultHeaders
	}
	if cfg.WriteTimeout <= 0 {
		cfg.WriteTimeout = defaultSlow
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
		ending:    newEnding(),
	}
}

// ServeHTTP serves one request of a caller.
func (i *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	i.running.Add(1)
	defer i.running.Add(-1)
	bound, release := i.ending.bind(r.Context())
	defer release()
	ctx := seamspan.Extract(bound, r.Header.Get(seamspan.Header))
	ctx, span := seamspan.Start(ctx, "ingress", trace.SpanKindServer)
	defer span.End()
	if i.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set(seamheader.Trace, seamspan.TraceID(ctx))
	x, refused := i.prepare(w, r, start)
	if refused == nil && callerLeft(r.Context()) {
		refused = refuse(seamoutcome.Gone, "the caller closed its connection before the request was read")
	}
	if refused != nil {
		i.logRefused(start, r, refused)
		i.finish(newResponder(w, i.cfg.WriteTimeout), refused.End, refused.Status, start)
		return
	}
	end := x.run(ctx)
	seamspan.RecordEnd(span, end)
	x.log(start, end)
	i.finish(x.answer, end, seamoutcome.Lookup(end.Reason).Status, start)
}

// finish gives the caller the end of its request. An answer that is cut after
// its head was sent ends the connection, so that it is never taken as whole.
func (i *Ingress) finish(answer *responder, end seamoutcome.End, status int, start time.Time) {
	i.stats.counters.Count(end)
	i.stats.time.UpdateDuration(start)
	switch {
	case end.Outcome == seamoutcome.Done:
		answer.commit()
	case answer.started:
		i.stats.cut.Inc()
		panic(http.ErrAbortHandler)
	default:
		answer.fail(end, status)
	}
}
