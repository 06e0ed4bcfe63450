// Package seamadmin serves the HTTP administration API of a node: rules and their history,
// dry runs, cluster status, key usage, node drain, metrics and an event stream.
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
	// DefaultAddress is the default listen address of the API.
	DefaultAddress = "127.0.0.1:7304"
	// maxBodyBytes limits a request body, in bytes.
	maxBodyBytes = 256 << 10
	// readHeaderTimeout limits the time to read the request headers.
	readHeaderTimeout = 5 * time.Second
	// DefaultStoreTimeout is the default limit on the total time of store calls for one change.
	DefaultStoreTimeout = 5 * time.Second
	// storeReadTimeout limits a read from the store. After it the rules in force are returned instead.
	storeReadTimeout = time.Second
	// idleTimeout limits how long a keep-alive connection waits for the next request.
	idleTimeout = time.Minute
)

// Config configures the API.
type Config struct {
	// Address is the ip:port to listen on. Empty means DefaultAddress.
	Address string
	// Teams may use the API. Without teams the API requires no token, and Address must be a
	// loopback address.
	Teams []seamauth.Team
	// StoreTimeout limits the total time of store calls for one change. 0 means DefaultStoreTimeout.
	StoreTimeout time.Duration
}

// Targets lists the instances that run a target.
type Targets interface {
	// Instances returns the instances known to this node that run a target of the service.
	Instances(service string) []seamrule.Instance
}

// StatusReporter reports the state of all cells and nodes.
type StatusReporter interface {
	// Status queries every cell and returns the combined report.
	Status(ctx context.Context) seamapi.StatusReport
}

// KeyReporter reports key usage.
type KeyReporter interface {
	// Keys returns the keys with the highest request rates at the node's target, highest first.
	Keys(now time.Time) seamapi.KeysReport
}

// Operations executes operator commands on nodes and cells. Errors that have the methods Status
// and Next set the HTTP status of the response and its advice on what to do next.
type Operations interface {
	// Drain makes a node of any cell stop accepting new work, hand over its slots and finish the
	// requests in flight. It first calls allowed with the service of the node's target, or with
	// an empty string if the node is unknown or has no target. Drain is idempotent.
	Drain(ctx context.Context, node string, allowed func(service string) error) error
	// Attest records the operator's confirmation that the instances are permanently lost, so that
	// the cell need not wait for their leases to expire.
	Attest(ctx context.Context, cell string, instances []string) error
}

// Dependencies are the components that the API reads from and controls.
type Dependencies struct {
	RuleStore  *seamrulestore.Store
	RuleSet    *seamruleset.Set
	Confirmer  *seamconfirm.Confirmer
	Targets    Targets
	Status     StatusReporter
	Keys       KeyReporter
	Operations Operations
	// Events is the node's event stream. The API adds audit events to it.
	Events  *seamevent.Stream
	Metrics *metrics.Set
}

// Server serves the administration API of one node.
type Server struct {
	Dependencies
	authorizer   *seamauth.Authorizer
	storeTimeout time.Duration
	handler      http.Handler
	requests     *metrics.Counter
	// stopping is closed on shutdown, to end event streams and requests that wait.
	stopping chan struct{}
}

// New returns a server that is not listening yet.
// It returns *seamauth.UnprotectedError or *seamauth.TeamConfigError for an invalid configuration.
func New(c Config, d Dependencies) (*Server, error) {
	authorizer, err := seamauth.New(c.address(), c.Teams, d.Metrics)
	if err != nil {
		return nil, err
	}
	s := &Server{
		Dependencies: d,
		authorizer:   authorizer,
		storeTimeout: cmp.Or(c.StoreTimeout, DefaultStoreTimeout),
		requests:     d.Metrics.NewCounter(`cardamomseam_api_requests_total`),
		stopping:     make(chan struct{}),
	}
	s.handler, err = s.buildHandler()
	return s, err
}

func (c Config) address() string {
	if c.Address == "" {
		return DefaultAddress
	}
	return c.Address
}

// Start listens and serves until stop is called. stop waits for requests in flight until its ctx
// is done. Errors are those of New and of net.Listen.
func Start(c Config, d Dependencies) (address net.Addr, stop func(ctx context.Context) error, err error) {
	s, err := New(c, d)
	if err != nil {
		return nil, nil, err
	}
	l, err := net.Listen("tcp", c.address())
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen for the administration API")
	}
	h := &http.Server{Handler: s.handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	h.RegisterOnShutdown(func() { close(s.stopping) })
	go func() { _ = h.Serve(l) }()
	return l.Addr(), h.Shutdown, nil
}

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() http.Handler {
	return s.handler
}

// buildHandler registers the routes. The circuit breaker and load shedding are disabled, because
// operators must be able to reach an overloaded node. There is no server-wide request timeout,
// because event streams and waits for a revision are long; handlers set their own timeouts.
func (s *Server) buildHandler() (http.Handler, error) {
	conf := rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name:      "admin",
			Log:       logx.LogConf{ServiceName: "admin", Mode: "console", Encoding: "json", Level: "severe"},
			Mode:      service.ProMode,
			Telemetry: trace.Config{Disabled: true},
		},
		MaxBytes:    maxBodyBytes,
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
