// Package seamstandstore is a test substitute for the platform's key-value store. It implements
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
	// Control is the ip:port of POST /fault and GET /counts, which stay reachable
	// during an outage; empty selects a free port of 127.0.0.1.
	ControlAddress string
	// Seed is the seed of the random faults.
	Seed uint64
}

// Server is a running store.
type Server struct {
	address        string
	controlAddress string
	keys           *keyspace
	counter        *counter
	random         *randomSource
	stopped        chan struct{}

	mu     sync.Mutex
	faults Faults
	// closeAPI closes the listener and the connections of the API; nil during OutageRefuse.
	closeAPI func()
}

// expireInterval is the time between checks for expired leases.
const expireInterval = 100 * time.Millisecond

// New starts a store and returns it with a function that stops it. The error is that of
// listening on an address.
func New(cfg Config) (*Server, func(), error) {
	s := &Server{
		keys:    newKeyspace(),
		counter: newCounter(),
		random:  newRandomSource(cfg.Seed),
		stopped: make(chan struct{}),
	}
	if err := s.listen(cfg.Address); err != nil {
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

// Control returns the ip:port of the control API for faults and counts.
func (s *Server) ControlAddress() string { return s.controlAddress }

// Counts returns the call statistics since the start.
func (s *Server) Counts() Counts {
	c := s.counter.snapshot()
	c.Revision = s.keys.currentRevision()
	return c
}

// Compact drops the history of changes, so that watches from older revisions are cancelled.
func (s *Server) Compact() { s.keys.compact() }

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the injected faults. It returns an error if it cannot listen on the
// API's address again after OutageRefuse.
func (s *Server) SetFaults(f Faults) error {
	if f.Seed != 0 {
		s.random.reseed(f.Seed)
	}
	s.mu.Lock()
	s.faults = f
	open := s.closeAPI != nil
	s.mu.Unlock()
	switch {
	case f.Outage == OutageRefuse:
		s.stopAPI()
	case !open:
		return s.listen(s.Address())
	}
	return nil
}

func (s *Server) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "cannot listen on store address %s", address)
	}
	api := newServer(s.apiHandler())
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
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "cannot listen on store control address %s", address)
	}
	s.controlAddress = l.Addr().String()
	control := newServer(s.controlHandler())
	go func() { _ = control.Serve(l) }()
	return func() { _ = control.Close() }, nil
}

// headerTimeout limits the time to read the headers of a request.
const headerTimeout = 5 * time.Second

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
}

func (s *Server) expireLeases() {
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			s.keys.expire(now)
		case <-s.stopped:
			return
		}
	}
}
