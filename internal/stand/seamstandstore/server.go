// Package seamstandstore is a fake of the platform's key-value store, for tests. It implements
// the subset of the etcd v3 JSON gateway that the store client uses, counts the calls, and
// injects faults: outages, delays and lost responses.
package seamstandstore

import (
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Config configures a Server.
type Config struct {
	// Address is the ip:port of the store's API; port 0 selects a free port.
	Address string
	// ControlAddress is the ip:port of the control API with POST /fault and GET /counts, which
	// stays reachable during an outage; empty selects a free port of 127.0.0.1.
	ControlAddress string
	// Seed seeds the random decisions of fault injection.
	Seed uint64
}

// Server is a running fake store.
type Server struct {
	address        string
	controlAddress string
	keys           *keyspace
	counter        *counter
	random         *randomSource
	stopped        chan struct{}

	mu     sync.Mutex
	faults Faults
	// closeAPI closes the listener and the connections of the API. It is nil while the API is
	// closed: during OutageRefuse and after the store has stopped.
	closeAPI func()
}

// expireInterval is the time between checks for expired leases.
const expiryCheckInterval = 100 * time.Millisecond

// New starts a store and returns it with a function that stops it. It fails if it can't listen on
// one of the addresses.
func New(cfg Config) (*Server, func(), error) {
	s := &Server{
		keys:    newKeyspace(),
		counter: newCounter(),
		random:  newRandomSource(cfg.Seed),
		stopped: make(chan struct{}),
	}
	if err := s.listenAPI(cfg.Address); err != nil {
		return nil, nil, err
	}
	stopControl, err := s.listenControl(cfg.ControlAddress)
	if err != nil {
		s.stopAPI()
		return nil, nil, err
	}
	go s.expireLeases()
	return s, func() {
		close(s.stopped)
		s.stopAPI()
		stopControl()
	}, nil
}

// Address returns the ip:port of the store's API.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// ControlAddress returns the ip:port of the control API for faults and counts.
func (s *Server) ControlAddress() string { return s.controlAddress }

// Counts returns the call statistics since the start.
func (s *Server) Counts() Counts {
	c := s.counter.snapshot()
	c.Revision = s.keys.currentRevision()
	return c
}

// Compact discards the change history, so that watches from older revisions are cancelled.
func (s *Server) Compact() { s.keys.compact() }

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the injected faults. When OutageRefuse ends, it listens on the API's address
// again and returns an error if that fails.
func (s *Server) SetFaults(f Faults) error {
	if f.Seed != 0 {
		s.random.reseed(f.Seed)
	}
	s.mu.Lock()
	s.faults = f
	apiOpen := s.closeAPI != nil
	s.mu.Unlock()
	switch {
	case f.Outage == OutageRefuse:
		s.stopAPI()
	case !apiOpen:
		return s.listenAPI(s.Address())
	}
	return nil
}

func (s *Server) listenAPI(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "cannot listen on store address %s", address)
	}
	api := newHTTPServer(s.apiHandler())
	s.mu.Lock()
	s.address = l.Addr().String()
	// Close the listener too: api.Close does not close it if Serve has not been called yet.
	s.closeAPI = func() {
		_ = l.Close()
		_ = api.Close()
	}
	s.mu.Unlock()
	go func() { _ = api.Serve(l) }()
	return nil
}

func (s *Server) stopAPI() {
	s.mu.Lock()
	stop := s.closeAPI
	s.closeAPI = nil
	s.mu.Unlock()
	if stop != nil {
		stop()
	}
}

func (s *Server) listenControl(address string) (func(), error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "cannot listen on store control address %s", address)
	}
	s.controlAddress = listener.Addr().String()
	control := newHTTPServer(s.controlHandler())
	go func() { _ = control.Serve(listener) }()
	return func() { _ = control.Close() }, nil
}

// headerTimeout is the maximum time to read the headers of a request.
const headerTimeout = 5 * time.Second

func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
}

func (s *Server) expireLeases() {
	ticker := time.NewTicker(expiryCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			s.keys.expire(now)
		case <-s.stopped:
			return
		}
	}
}
