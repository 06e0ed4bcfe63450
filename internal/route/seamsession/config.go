// Package seamsession provides multiplexed sessions between nodes: a bounded
// pool of TCP connections, each of which carries many streams.
package seamsession

import (
	"context"
	"fmt"
	"net"
	"time"

	"cardamomseam/internal/member/seampeer"
)

// Kind is the first byte of a stream. It selects the handler that serves the stream.
type Kind byte

// Kinds of streams.
const (
	// Request carries attempts of requests to the node of a target.
	Request Kind = 1
	// Void carries requests to void an attempt.
	Void Kind = 2
	// Rules requests the rules of a node that are later than a revision.
	Rules Kind = 3
	// Cells requests the state of cells that a node knows.
	Cells Kind = 4
	// Heartbeats carry the heartbeats of holders of keys to their assigner.
	Heartbeats Kind = 7
	// Sync requests the rules and members known to a node.
	Sync Kind = 8
	// Resignations announce that a node no longer assigns the keys of a service.
	Resignations Kind = 9
	// Feed streams carry the changes of the store from a reader to a subscriber.
	Feed Kind = 10
	// Pieces streams carry the pieces of large values.
	Pieces Kind = 11
	// relayKind streams are relayed to another peer.
	relayKind Kind = 5
	// goAwayKind streams announce that the peer is shutting down.
	goAwayKind Kind = 6
)

// Handler serves streams of one kind. The stream is closed when ServeStream returns.
// For a relayed stream, from is the relay.
type Handler interface {
	ServeStream(ctx context.Context, from seampeer.Peer, conn net.Conn)
}

// RelaySelector returns the peers that may relay streams to another peer, best first.
type RelaySelector interface {
	Relays(to seampeer.Peer) []seampeer.Peer
}

// Config holds the settings of a pool. Zero fields take the defaults.
type Config struct {
	// Address is the ip:port to listen on; empty means the address of the node itself.
	Address string
	// Listener is used instead of Address, if set.
	Listener net.Listener
	// MaxSessions is the largest number of sessions that accept streams, counting both directions.
	MaxSessions int
	// IdleTimeout is the time since the last opening of a stream after which a session without open streams is drained.
	IdleTimeout time.Duration
	// MaxAge is the time after which a session accepts no new streams.
	MaxAge time.Duration
	// DialTimeout bounds the opening of a connection, and separately its handshake.
	DialTimeout time.Duration
	// KeepaliveInterval is the time between two probes of a session.
	KeepaliveInterval time.Duration
	// AckTimeout is the time without an acknowledgement from the peer's kernel after
	// which a session is closed.
	AckTimeout time.Duration
	// ProbeTimeout is the time without a reply of the peer's process to a probe
	// after which a session is closed.
	ProbeTimeout time.Duration
	// LazyProbes replaces the probes every KeepaliveInterval by probes of sessions with requests in flight on which
	// nothing has arrived for probeAfterSilence.
	LazyProbes bool
	// Compression selects the sessions whose bytes are compressed.
	Compression Compression
	// Relays selects the relays to try when all sessions of a full pool are in use; may be nil.
	Relays RelaySelector
}

const (
	defaultMaxSessions       = 128
	defaultIdleTimeout       = 60 * time.Second
	defaultMaxAge            = 15 * time.Minute
	defaultDialTimeout       = 400 * time.Millisecond
	defaultKeepaliveInterval = time.Second
	defaultAckTimeout        = time.Second
	defaultProbeTimeout      = 2 * time.Second
	// drainDelay is the shortest time between the start of draining a session and its closing.
	drainDelay = time.Second
	// goAwayTimeout bounds the wait for a peer to acknowledge that this node is shutting down.
	goAwayTimeout = 500 * time.Millisecond
	// drainPollInterval is the time between checks whether all streams have ended during a shutdown.
	drainPollInterval = 5 * time.Millisecond
	// dialBackoffInitial and dialBackoffMax bound the back-off after failed dials of an address, before jitter.
	dialBackoffInitial = 50 * time.Millisecond
	dialBackoffMax     = 2 * time.Second
	// maxDialFailures is the largest number of addresses whose dial failures are recorded.
	maxDialFailures = 1024
	// streamBacklog is the largest number of streams of a session that may wait to be accepted.
	streamBacklog = 256
	// streamWindow is the number of bytes that a stream may receive ahead of its reader.
	streamWindow = 256 << 10
	// streamCloseTimeout is the time after which a half-closed stream is reset.
	streamCloseTimeout = 5 * time.Second
	// maxReusableStreams is the largest number of streams of a session that are kept for reuse.
	maxReusableStreams = 64
	// reusableStreamTimeout is the time after which a stream kept for reuse is closed.
	reusableStreamTimeout = 2 * time.Second
	// maxClockSkew is the difference between a session's monotonic and wall age above which it is drained.
	maxClockSkew = 25 * time.Millisecond
	// maxHelloBytes is the size of the largest hello message.
	maxHelloBytes = 4 << 10
)

func (c Config) withDefaults(self seampeer.Peer) Config {
	if c.Address == "" {
		c.Address = self.Address
	}
	c.MaxSessions = valueOrDefault(c.MaxSessions, defaultMaxSessions)
	c.IdleTimeout = valueOrDefault(c.IdleTimeout, defaultIdleTimeout)
	c.MaxAge = valueOrDefault(c.MaxAge, defaultMaxAge)
	c.DialTimeout = valueOrDefault(c.DialTimeout, defaultDialTimeout)
	c.KeepaliveInterval = valueOrDefault(c.KeepaliveInterval, defaultKeepaliveInterval)
	c.AckTimeout = valueOrDefault(c.AckTimeout, defaultAckTimeout)
	c.ProbeTimeout = valueOrDefault(c.ProbeTimeout, defaultProbeTimeout)
	return c
}

func valueOrDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// StalePeerError reports that the peer at the address is not the requested one or is a different incarnation of it.
type StalePeerError struct {
	Want, Got seampeer.Peer
}

// Error names the requested and the actual peer.
func (e *StalePeerError) Error() string {
	return fmt.Sprintf("requested peer %s at %s, but %s answered", e.Want, e.Want.Address, e.Got)
}

// ForbiddenPeerError reports that the peer or the relay is not allowed for the stream. Nothing was sent.
type ForbiddenPeerError struct {
	Peer seampeer.Peer
}

// Error names the peer and its region.
func (e *ForbiddenPeerError) Error() string {
	return fmt.Sprintf("peer %s in region %q is not allowed for the stream", e.Peer, e.Peer.Region)
}

// UnreachableError reports that no session to the peer could be opened. Nothing was sent.
type UnreachableError struct {
	To    seampeer.Peer
	Cause error
	// RetryAfter is the time until the peer may be dialed again; 0 if no back-off applies.
	RetryAfter time.Duration
}

// Error names the peer and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no session to %s at %s: %v", e.To, e.To.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// PoolFullError reports that the pool of a node is full and that all its sessions are in use.
type PoolFullError struct {
	// Node is the node whose pool is full.
	Node seampeer.Peer
}

// Error names the node.
func (e *PoolFullError) Error() string {
	return fmt.Sprintf("session pool of %s is full", e.Node)
}
