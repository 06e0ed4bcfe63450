package seamingress

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/core/trace"
	"github.com/zeromicro/go-zero/rest"

	"cardamomseam/internal/platform/seamwait"
)

const (
	// headTime bounds the time in which a caller sends the headers of a request.
	headTime = 5 * time.Second
	// idleTime is the time after which an idle connection of a caller is closed.
	idleTime = 2 * time.Minute
	// headerSlack is what the HTTP library accepts beyond the limit of headers,
	// so that a request just beyond it gets a typed answer.
	headerSlack = 32 << 10
)

// Server serves callers over HTTP.
type Server struct {
	ingress *Ingress
	http    *http.Server
	door    door
	address net.Addr
	stopped chan error
}

// router hands every method and path to one handler.
type router struct {
	http.Handler
}

// Handle is for package rest; routes are not used.
func (router) Handle(string, string, http.Handler) error { return nil }

// SetNotFoundHandler is for package rest; every path is found.
func (router) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler is for package rest; every method is allowed.
func (router) SetNotAllowedHandler(http.Handler) {}

// Serve starts to serve callers on the address of the settings.
func (i *Ingress) Serve() (*Server, error) {
	conf, err := settings(i.cfg.Address)
	if err != nil {
		return nil, err
	}
	var handler http.Handler = i
	if i.cfg.Middleware != nil {
		handler = i.cfg.Middleware(handler)
	}
	server, err := rest.NewServer(conf, rest.WithRouter(router{handler}))
	if err != nil {
		return nil, errors.Wrap(err, "preparing the HTTP server")
	}
	s := &Server{ingress: i, stopped: make(chan error, 1), door: door{fresh: map[net.Conn]time.Time{}}}
	listening := make(chan net.Addr, 1)
	go s.start(server, listening)
	select {
	case s.address = <-listening:
		return s, nil
	case err := <-s.stopped:
		return nil, err
	}
}

// settings switches off whatever decides on requests by itself.
func settings(address string) (rest.RestConf, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return rest.RestConf{}, errors.Wrap(err, "address for callers")
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return rest.RestConf{}, errors.Wrap(err, "address for callers")
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

// start runs the server until it is shut down. Package rest panics when it cannot listen.
func (s *Server) start(server *rest.Server, listening chan<- net.Addr) {
	defer func() {
		if r := recover(); r != nil {
			s.stopped <- errors.Newf("HTTP server: %v", r)
		}
	}()
	var once atomic.Bool
	server.StartWithOpts(func(h *http.Server) {
		h.ReadHeaderTimeout = headTime
		h.ReadTimeout, h.WriteTimeout = 0, 0
		h.IdleTimeout = idleTime
		h.ConnState = s.door.note
		h.ConnContext = WithConn
		h.MaxHeaderBytes = s.ingress.cfg.MaxHeaderBytes + headerSlack
		h.BaseContext = func(l net.Listener) context.Context {
			if !once.Swap(true) {
				s.http = h
				s.door.listener = l
				listening <- l.Addr()
			}
			return context.Background()
		}
	})
}

// Address returns the address on which callers are served.
func (s *Server) Address() string {
	return s.address.String()
}

// Drain goes on to serve for the grace time, asking callers to close their
// connections, takes no new connection then, and closes each one when its request ended. Shortly before
// ctx ends, requests in flight are given an answer. The error says that some were in flight when it ended;
// they are cut then.
func (s *Server) Drain(ctx context.Context, grace time.Duration) error {
	s.ingress.leaving.Store(true)
	seamwait.For(ctx, grace)
	s.door.shut(ctx)
	defer s.ingress.ending.before(ctx)()
	err := s.http.Shutdown(ctx)
	if err == nil {
		return nil
	}
	if s.ingress.running.Load() == 0 {
		// The library looks rarely whether the last connection is idle.
		return s.http.Close()
	}
	return errors.Wrap(errors.CombineErrors(err, s.http.Close()), "requests were cut")
}

// Close closes all connections at once.
func (s *Server) Close() error {
	return s.http.Close()
}
