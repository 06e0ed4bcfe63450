// Package seamhttp serves go-zero rest routes on separate HTTP servers, so that the
// servers of a process can be shut down independently.
package seamhttp

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/rest"

	"cardamomseam/internal/platform/seamguard"
)

const (
	// headerTimeout limits the time to read the headers of a request.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes limits the headers of a request. As many connections as a process has descriptors may send that many.
	maxHeaderBytes = 16 << 10
	// idleTimeout is the time after which a connection without a request is closed.
	idleTimeout = 2 * time.Minute
	// bodyTimeout bounds the time to read the body of a request, and responseTimeout that to write a response.
	bodyTimeout     = 10 * time.Second
	responseTimeout = 30 * time.Second
	// shutdownTimeout is the time that a shutdown waits for requests in flight.
	shutdownTimeout = 2 * time.Second
	// unlimitedWait stands for no time limit: it exceeds the lifetime of any process.
	unlimitedWait = 10 * 365 * 24 * time.Hour
)

// DisableForcedExit keeps go-zero from ending the process a few seconds after
// SIGTERM. A node exits once its requests are finished.
func DisableForcedExit() {
	proc.Setup(proc.ShutdownConf{WrapUpTime: unlimitedWait, WaitTime: unlimitedWait})
}

// Config configures a server.
type Config struct {
	// Listen is the ip:port to listen on; port 0 selects a free port.
	Listen string
	// Routes are the handlers with their methods and paths.
	Routes []rest.Route
	// MaxBodyBytes limits the size of a request body; 0 means no limit.
	MaxBodyBytes int64
	// Guard bounds the memory and the connections of callers; nil means no limits.
	Guard *seamguard.Guard
}

// Serve starts a server and returns its address. cleanup shuts it down, and closes
// connections that still have requests in flight after two seconds.
func Serve(c Config) (address string, cleanup func(), err error) {
	handler, err := newHandler(c)
	if err != nil {
		return "", nil, err
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return "", nil, errors.Wrapf(err, "listen on %s", c.Listen)
	}
	server := &http.Server{
		Handler:           guarded{handler},
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         connStateChanged,
		ConnContext:       connContext,
	}
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(guardedListener{listener, c.Guard}) })
	return listener.Addr().String(), func() {
		shutdown(server)
		serving.Wait()
	}, nil
}

// newHandler returns a handler that serves the routes. It uses go-zero's serverless mode, so that go-zero opens no
// listener of its own.
func newHandler(c Config) (http.Handler, error) {
	conf := rest.RestConf{MaxBytes: c.MaxBodyBytes}
	conf.Middlewares.MaxBytes = c.MaxBodyBytes > 0
	conf.Middlewares.Recover = true
	server, err := rest.NewServer(conf)
	if err != nil {
		return nil, errors.Wrap(err, "create the rest server")
	}
	server.AddRoutes(c.Routes)
	serverless, err := rest.NewServerless(server)
	if err != nil {
		return nil, errors.Wrap(err, "build the rest routes")
	}
	return http.HandlerFunc(serverless.Serve), nil
}

func shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
	}
}
