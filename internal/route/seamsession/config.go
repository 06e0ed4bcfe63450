// Package seamsession keeps the multiplexed sessions between nodes: a bounded
// pool of TCP connections, each carrying many streams.
package seamsession

import (
	"context"
	"fmt"
	"net"
	"time"

	"cardamomseam/internal/member/seampeer"
)

// Kind is the first byte of a stream. It says which handler serves it.
type Kind byte

// Kinds of streams.
const (
	Request Kind = 1
	Void    Kind = 2
	Rules   Kind = 3
	Cells   Kind = 4
	// Beats carry the reports of holders of keys to their assigner.
	Heartbeats Kind = 7
	// Sync asks a node for what it knows of rules and members.
	Sync Kind = 8
	// Farewells say that a node assigns the keys of a service no longer.
	Resignations Kind = 9
	// relay streams are passed on to another peer.
	relay Kind = 5
	// farewell streams say that the peer leaves.
	farewell Kind = 6
)

// Handler serves streams of one kind. The stream is closed when ServeStream returns.
// A stream that passed a relay comes from the relay.
type Handler interface {
	ServeStream(ctx context.Context, from seampeer.Peer, conn net.Conn)
}

// Relayer names peers through which another peer may be reached, best first.
type RelaySelector interface {
	Relays(to seampeer.Peer) []seampeer.Peer
}

// Config holds the bounds of a pool. Zero fields take the defaults.
type Config struct {
	// Address is the ip:port to listen on; empty means the address of the node itself.
	Address string
	// Listener is used instead of Address, if set.
	Listener net.Listener
	// Max is the largest number of sessions that take streams, in both directions together.
	MaxSessions int
	// Idle is the time after which a session without streams is closed.
	IdleTimeout time.Duration
	// Age is the time after which a session takes no new streams.
	MaxAge time.Duration
	// Dial bounds the opening of a connection and its introduction.
	DialTimeout time.Duration
	// Keepalive is the time between two probes of a session.
	KeepaliveInterval time.Duration
	// Silence is the time without an acknowledgement of the peer's machine after
	// which a session is given up.
	AckTimeout time.Duration
	// Answer is the time without an answer of the peer's process to a probe
	// after which a session is given up.
	ProbeTimeout time.Duration
	// Lazy says that only sessions with requests under way are probed, once nothing has arrived for a while.
	LazyProbes bool
	// Relays names detours when the pool is full of busy sessions; may be nil.
	Relays RelaySelector
}

const (
	defaultMax       = 128
	defaultIdle      = 60 * time.Second
	defaultAge       = 15 * time.Minute
	defaultDial      = 400 * time.Millisecond
	defaultKeepalive = time.Second
	defaultSilence   = time.Second
	defaultAnswer    = 2 * time.Second
	// lingerTime is the time between the announcement that a session ends and its end.
	lingerTime = time.Second
	// farewellTime bounds the wait for a peer to take note that this node leaves.
	farewellTime = 500 * time.Millisecond
	// leaveLook is the time between looks whether the streams of a leaving node ended.
	leaveLook = 5 * time.Millisecond
	// backoffFirst and backoffLast bound the wait after a failed dial.
	backoffFirst = 50 * time.Millisecond
	backoffLast  = 2 * time.Second
	// backoffLimit is the number of addresses whose failures are remembered.
	backoffLimit = 1024
	// streamBacklog is the number of streams that may wait to be accepted.
	streamBacklog = 256
	// streamWindow is the number of bytes that a stream may receive ahead of its reader.
	streamWindow = 256 << 10
	// streamLinger is the time after which a stream that only one side closed is reset.
	streamLinger = 5 * time.Second
	// spareLimit is the number of streams of a session that are kept for reuse.
	spareLimit = 64
	// spareTime is the time after which a stream kept for reuse is closed.
	spareTime = 2 * time.Second
	// skewLimit is the difference between a session's monotonic and wall time that retires it.
	skewLimit = 25 * time.Millisecond
	// helloLimit is the largest introduction, in bytes.
	helloLimit = 4 << 10
)

func (c Config) complete(self seampeer.Peer) Config {
	if c.Address == "" {
		c.Address = self.Address
	}
	c.MaxSessions = fallback(c.MaxSessions, defaultMax)
	c.IdleTimeout = fallback(c.IdleTimeout, defaultIdle)
	c.MaxAge = fallback(c.MaxAge, defaultAge)
	c.DialTimeout = fallback(c.DialTimeout, defaultDial)
	c.KeepaliveInterval = fallback(c.KeepaliveInterval, defaultKeepalive)
	c.AckTimeout = fallback(c.AckTimeout, defaultSilence)
	c.ProbeTimeout = fallback(c.ProbeTimeout, defaultAnswer)
	return c
}

func fallback[T comparable](value, otherwise T) T {
	var zero T
	if value == zero {
		return otherwise
	}
	return value
}

// StalePeerError says that another run than the wanted one answers at the address.
type StalePeerError struct {
	Want, Got seampeer.Peer
}

// Error names both runs.
func (e *StalePeerError) Error() string {
	return fmt.Sprintf("peer %s was wanted at %s, but %s answered", e.Want, e.Want.Address, e.Got)
}

// UnreachableError says that no session to the peer could be opened. Nothing was sent.
type UnreachableError struct {
	To    seampeer.Peer
	Cause error
	// After is the time until the next dial is tried.
	After time.Duration
}

// Error names the peer and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no session to %s at %s: %v", e.To, e.To.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// BusyError says that the pool of a node is full of sessions in use.
type PoolFullError struct {
	// At is the node whose pool is full.
	At seampeer.Peer
}

// Error names the node.
func (e *PoolFullError) Error() string {
	return fmt.Sprintf("session pool of %s is full", e.At)
}
