// Package seamhttp serves go-zero rest routes on a listener of its own, so that
// each server of a process is stopped by itself and in its own time.
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
)

const (
	// headerTimeout is the time within which a client sends its headers.
	headerTimeout = 10 * time.Second
	// stopTimeout is the time that the clean-up function grants to requests in flight.
	stopTimeout = 2 * time.Second
	// processLife is longer than a process lives.
	processLife = 10 * 365 * 24 * time.Hour
)

// OwnSignals keeps go-zero from ending the process a few seconds after
// SIGTERM: a node stops when its requests are finished.
func DisableForcedExit() {
	proc.Setup(proc.ShutdownConf{WrapUpTime: processLife, WaitTime: processLife})
}

// Config describes one server.
type Config struct {
	// Listen is the ip:port to listen on; port 0 picks a free one.
	Listen string
	// Routes are the handlers by method and path.
	Routes []rest.Route
	// Body is the largest request body in bytes; 0 means no bound.
	MaxBodyBytes int64
}

// Serve starts a server and returns its address. The clean-up function stops
// it, and cuts what is still in flight after two seconds.
func Serve(c Config) (address string, cleanup func(), err error) {
	handler, err := handlerOf(c)
	if err != nil {
		return "", nil, err
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return "", nil, errors.Wrapf(err, "listen on %s", c.Listen)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(listener) })
	return listener.Addr().String(), func() {
		stop(server)
		serving.Wait()
	}, nil
}

func handlerOf(c Config) (http.Handler, error) {
	conf := rest.RestConf{MaxBytes: c.MaxBodyBytes}
	conf.Middlewares.MaxBytes = c.MaxBodyBytes > 0
	conf.Middlewares.Recover = true
	server, err := rest.NewServer(conf)
	if err != nil {
		return nil, errors.Wrap(err, "rest server")
	}
	server.AddRoutes(c.Routes)
	serverless, err := rest.NewServerless(server)
	if err != nil {
		return nil, errors.Wrap(err, "rest routes")
	}
	return http.HandlerFunc(serverless.Serve), nil
}

func stop(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
	}
}
