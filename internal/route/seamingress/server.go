package seamingress

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/core/trace"
	"github.com/zeromicro/go-zero/rest"

	"cardamomseam/internal/platform/seamnet"
	"cardamomseam/internal/platform/seamwait"
)

const (
	// readHeaderTimeout bounds the time in which a caller sends the headers of a request.
	readHeaderTimeout = 5 * time.Second
	// idleConnTimeout is the time after which an idle connection of a caller is closed.
	idleConnTimeout = 2 * time.Minute
	// unreadBodyTimeout bounds the time in which a caller sends the body of a request that was refused before its body was read.
	unreadBodyTimeout = 5 * time.Second
	// headerBytesMargin is what the HTTP library accepts beyond MaxHeaderBytes, so that
	// a request just beyond the limit gets a response with a reason.
	headerBytesMargin = 32 << 10
)

// Server is the HTTP server of an ingress.
type Server struct {
	ingress       *Ingress
	http          *http.Server
	listener      *callerListener
	listenerDrain listenerDrain
	hangups       *seamnet.Hangups
	closeHangups  func()
}

// router passes every method and path to one handler.
type router struct {
	http.Handler
}

// Handle implements httpx.Router; routes are not used.
func (router) Handle(string, string, http.Handler) error { return nil }

// SetNotFoundHandler implements httpx.Router; every path is found.
func (router) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler implements httpx.Router; every method is allowed.
func (router) SetNotAllowedHandler(http.Handler) {}

// Serve starts an HTTP server on the configured address and returns once it listens.
func (i *Ingress) Serve() (*Server, error) {
	conf, err := serverConfig(i.cfg.Address)
	if err != nil {
		return nil, err
	}
	var handler http.Handler = i
	if i.cfg.Middleware != nil {
		handler = i.cfg.Middleware(handler)
	}
	server, err := rest.NewServer(conf, rest.WithRouter(router{handler}))
	if err != nil {
		return nil, errors.Wrap(err, "creating the HTTP server")
	}
	hangups, closeHangups, err := seamnet.NewHangups()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", i.cfg.Address)
	if err != nil {
		closeHangups()
		return nil, errors.Wrap(err, "listening for callers")
	}
	s := &Server{
		ingress:       i,
		listener:      &callerListener{TCPListener: listener.(*net.TCPListener), guard: i.cfg.Guard},
		listenerDrain: listenerDrain{listener: listener, newConns: map[net.Conn]time.Time{}},
		hangups:       hangups,
		closeHangups:  sync.OnceFunc(closeHangups),
	}
	started := make(chan *http.Server)
	go s.run(server, started)
	s.http = <-started
	return s, nil
}

// serverConfig returns the configuration of package rest for the address. Everything in the package that could
// refuse or delay requests on its own is switched off.
func serverConfig(address string) (rest.RestConf, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return rest.RestConf{}, errors.Wrap(err, "parsing the ingress address")
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return rest.RestConf{}, errors.Wrap(err, "parsing the ingress address")
	}
	return rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name:      "cardamomseam",
			Mode:      service.ProMode,
			Log:       logx.LogConf{Mode: "console", Level: "error"},
			Telemetry: trace.Config{Disabled: true},
		},
		Host: host,
		Port: number,
	}, nil
}

// run serves until the server is shut down.
func (s *Server) run(server *rest.Server, started chan<- *http.Server) {
	server.StartWithOpts(func(h *http.Server) {
		h.ReadHeaderTimeout = readHeaderTimeout
		h.ReadTimeout, h.WriteTimeout = 0, 0
		h.IdleTimeout = idleConnTimeout
		h.ConnState = s.connStateChanged
		h.ConnContext = s.connContext
		h.MaxHeaderBytes = s.ingress.cfg.MaxHeaderBytes + headerBytesMargin
		started <- h
		// Package rest opens listeners of its own only: its call, which follows, ends at once because the server is
		// shut down by then.
		if err := h.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			_ = h.Close()
		}
	})
}

// connStateChanged is the ConnState hook of the HTTP server.
func (s *Server) connStateChanged(c net.Conn, state http.ConnState) {
	s.listenerDrain.connStateChanged(c, state)
	if conn, ok := c.(*callerConn); ok && state == http.StateIdle {
		conn.share.Idle(time.Now())
	}
}

// connContext returns the context of the requests of a caller's connection.
func (s *Server) connContext(ctx context.Context, c net.Conn) context.Context {
	if conn, ok := c.(*callerConn); ok {
		ctx = conn.watch(ctx, s.hangups)
	}
	return WithConn(ctx, c)
}

// Address returns the address on which the server listens.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Drain shuts the server down. For the grace time, and while callers still open connections, it keeps serving and asks callers
// to close their connections; then it accepts no new connections and closes each one when its request ends. Shortly before
// the deadline of ctx, requests in flight are canceled and get a response. It returns an error if requests were
// still in flight when ctx ended; their connections are closed.
func (s *Server) Drain(ctx context.Context, grace time.Duration) error {
	s.ingress.draining.Store(true)
	defer s.ingress.shutdown.planStop(ctx)()
	seamwait.For(ctx, grace)
	s.listenerDrain.awaitCallersLeft(ctx)
	s.listenerDrain.drain(ctx)
	defer s.ingress.shutdown.cancelBefore(ctx)()
	defer s.closeHangups()
	err := s.http.Shutdown(ctx)
	if err == nil {
		s.awaitLingering(ctx)
		return nil
	}
	if s.ingress.inFlight.Load() == 0 {
		// The HTTP library polls too rarely for the last connection to become idle.
		return s.http.Close()
	}
	return errors.Wrap(errors.CombineErrors(err, s.http.Close()), "connections were closed with requests in flight")
}

// awaitLingering waits until ctx ends for connections that still discard data.
func (s *Server) awaitLingering(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.listener.lingering.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Close closes all connections immediately.
func (s *Server) Close() error {
	defer s.closeHangups()
	return s.http.Close()
}
