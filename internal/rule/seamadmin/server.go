// Package seamadmin serves the administration API.
package seamadmin

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/core/trace"
	"github.com/zeromicro/go-zero/rest"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/rule/seamapi"
	"cardamomseam/internal/rule/seamauth"
	"cardamomseam/internal/rule/seamconfirm"
	"cardamomseam/internal/rule/seamrule"
	"cardamomseam/internal/rule/seamruleset"
	"cardamomseam/internal/rule/seamrulestore"
)

const (
	// DefaultAddress is where the API listens unless told otherwise.
	DefaultAddress = "127.0.0.1:7304"
	// bodyLimit is the longest body of a request, in bytes.
	bodyLimit = 256 << 10
	// headerTime bounds the arrival of the headers of a request.
	headerTime = 5 * time.Second
	// DefaultPatience bounds the calls of the store for one change unless told otherwise.
	DefaultStoreTimeout = 5 * time.Second
	// readTime bounds a read of the store before what is in force is shown instead.
	readTime = time.Second
	// idleTime bounds the time between two requests on a connection.
	idleTime = time.Minute
)

// Config holds the settings of the API.
type Config struct {
	// Address is the ip:port to listen on; empty means DefaultAddress.
	Address string
	// Teams may use the API. Without teams the API is open, and Address must be a loopback address.
	Teams []seamauth.Team
	// Patience bounds the calls of the store for one change; 0 means DefaultPatience.
	StoreTimeout time.Duration
}

// Targets knows the instances with a target.
type Targets interface {
	// Instances returns the instances with a target of the service that this node knows.
	Instances(service string) []seamrule.Instance
}

// Status tells about the deployment.
type StatusReporter interface {
	// Status asks every cell and returns what it told.
	Status(ctx context.Context) seamapi.StatusReport
}

// Keys tells how much keys are used.
type KeyReporter interface {
	// Keys returns the most used keys of the node's target, the most used first.
	Keys(now time.Time) seamapi.KeysReport
}

// Orders carries out the operators' orders.
// An error with the methods Status and Next chooses the HTTP status of the answer and what to do next.
type Operations interface {
	// Drain makes a node of any cell take no new work, hand its slots over and finish what is in
	// flight. It first asks allowed, with the service of the node's target, or with none if the
	// node is not known or has no target. A repeated order changes nothing.
	Drain(ctx context.Context, node string, allowed func(service string) error) error
	// Attest takes the operator's word that the instances are lost for good, so that the cell
	// need not wait for their promises to end.
	Attest(ctx context.Context, cell string, instances []string) error
}

// Parts are what the API shows and drives.
type Dependencies struct {
	RuleStore  *seamrulestore.Store
	RuleSet    *seamruleset.Set
	Confirmer  *seamconfirm.Confirmer
	Targets    Targets
	Status     StatusReporter
	Keys       KeyReporter
	Operations Operations
	// Events is the stream of the node; the API adds audit events to it.
	Events  *seamevent.Stream
	Metrics *metrics.Set
}

// Server is the administration API of one node.
type Server struct {
	Dependencies
	guard    *seamauth.Authorizer
	patience time.Duration
	handler  http.Handler
	requests *metrics.Counter
	// stopping is closed when the server stops, to end requests that wait.
	stopping chan struct{}
}

// New returns a server that does not listen yet.
// Errors are *seamauth.OpenError and *seamauth.TeamError.
func New(c Config, p Dependencies) (*Server, error) {
	guard, err := seamauth.New(c.address(), c.Teams, p.Metrics)
	if err != nil {
		return nil, err
	}
	s := &Server{
		Dependencies: p,
		guard:        guard,
		patience:     cmp.Or(c.StoreTimeout, DefaultStoreTimeout),
		requests:     p.Metrics.NewCounter(`cardamomseam_api_requests_total`),
		stopping:     make(chan struct{}),
	}
	s.handler, err = s.build()
	return s, err
}

func (c Config) address() string {
	if c.Address == "" {
		return DefaultAddress
	}
	return c.Address
}

// Start listens and serves until stop is called. stop waits for requests in flight until its ctx ends.
// Errors are those of New and of net.Listen.
func Start(c Config, p Dependencies) (address net.Addr, stop func(ctx context.Context) error, err error) {
	s, err := New(c, p)
	if err != nil {
		return nil, nil, err
	}
	l, err := net.Listen("tcp", c.address())
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen for the administration API")
	}
	h := &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}
	h.RegisterOnShutdown(func() { close(s.stopping) })
	go func() { _ = h.Serve(l) }()
	return l.Addr(), h.Shutdown, nil
}

// Handler returns the handler of the API.
func (s *Server) Handler() http.Handler {
	return s.handler
}

// build makes the routes. Breaker and load shedding are off: operators must get through
// to an overloaded node. Events and waits outlast any timeout, so handlers bound themselves.
func (s *Server) build() (http.Handler, error) {
	conf := rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name:      "admin",
			Log:       logx.LogConf{ServiceName: "admin", Mode: "console", Encoding: "json", Level: "severe"},
			Mode:      service.ProMode,
			Telemetry: trace.Config{Disabled: true},
		},
		MaxBytes:    bodyLimit,
		Middlewares: rest.MiddlewaresConf{Trace: true, Recover: true, MaxBytes: true},
	}
	server, err := rest.NewServer(conf)
	if err != nil {
		return nil, errors.Wrap(err, "set up the administration API")
	}
	server.AddRoutes(s.routes())
	built, err := rest.NewServerless(server)
	if err != nil {
		return nil, errors.Wrap(err, "set up the administration API")
	}
	return http.HandlerFunc(built.Serve), nil
}
