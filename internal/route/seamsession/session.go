package seamsession

import (
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"cardamomseam/internal/member/seampeer"
)

// session is one multiplexed connection to a peer.
type session struct {
	peer          seampeer.Peer
	conn          *conn
	mux           *yamux.Session
	establishedAt time.Time
	// probing means that a probe awaits its reply.
	probing atomic.Bool
	// lastUsed is the time at which a stream was last opened, or the session began to drain, in nanoseconds since
	// the Unix epoch.
	lastUsed atomic.Int64
	// draining means that the session accepts no new streams.
	draining atomic.Bool
	// writing counts the writes of streams that are in progress.
	writing atomic.Int32
	// probeTimeout is the time without a reply to a probe after which the session is closed.
	probeTimeout time.Duration

	mu sync.Mutex
	// reusable holds the open streams that are not in use, the most recently released last.
	reusable []*stream
}

func newSession(c *conn, peer seampeer.Peer, client bool, cfg Config) (*session, error) {
	newMux := yamux.Server
	if client {
		newMux = yamux.Client
	}
	mux, err := newMux(c, yamuxConfig(cfg))
	if err != nil {
		return nil, err
	}
	s := &session{peer: peer, conn: c, mux: mux, establishedAt: time.Now(), probeTimeout: cfg.ProbeTimeout}
	s.markUsed(s.establishedAt)
	return s, nil
}

func yamuxConfig(cfg Config) *yamux.Config {
	y := yamux.DefaultConfig()
	y.AcceptBacklog = streamBacklog
	y.KeepAliveInterval = cfg.KeepaliveInterval
	y.EnableKeepAlive = !cfg.LazyProbes
	y.ConnectionWriteTimeout = cfg.ProbeTimeout
	if cfg.LazyProbes {
		// The pool's own probes detect an unresponsive peer; a write may take longer.
		y.ConnectionWriteTimeout = frameWriteTimeout
	}
	y.MaxStreamWindowSize = streamWindow
	y.StreamCloseTimeout = streamCloseTimeout
	// Probes detect an unresponsive peer; a timeout per stream would cost a goroutine each.
	y.StreamOpenTimeout = 0
	y.LogOutput = io.Discard
	return y
}

func (s *session) markUsed(now time.Time) {
	s.lastUsed.Store(now.UnixNano())
}

func (s *session) usable() bool {
	return !s.draining.Load() && !s.mux.IsClosed()
}

// idleTime returns the time since the session was last used; 0 while it is in use.
func (s *session) idleTime(now time.Time) time.Duration {
	if s.inUse() {
		return 0
	}
	return now.Sub(time.Unix(0, s.lastUsed.Load()))
}

// inUse reports whether there are open streams other than the reusable ones of this side.
func (s *session) inUse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mux.NumStreams() > len(s.reusable)
}

// open returns a reusable stream of the kind or a new one.
func (s *session) open(ctx context.Context, k Kind, now time.Time) (net.Conn, error) {
	s.markUsed(now)
	if reused := s.takeReusable(k); reused != nil {
		return reused, nil
	}
	c, err := s.openStream(ctx)
	if err != nil {
		return nil, err
	}
	return &stream{muxStream: newMuxStream(c, &s.writing), session: s, kind: k}, nil
}

// openStream opens a stream, or returns when ctx ends: while the connection is busy, its opening waits for what is sent before.
func (s *session) openStream(ctx context.Context) (*yamux.Stream, error) {
	if s.writing.Load() == 0 {
		return s.mux.OpenStream()
	}
	opened := make(chan openedStream, 1)
	go func() {
		c, err := s.mux.OpenStream()
		opened <- openedStream{c, err}
	}()
	select {
	case o := <-opened:
		return o.stream, o.err
	case <-ctx.Done():
		go func() { (<-opened).discard() }()
		return nil, ctx.Err()
	}
}

// openedStream is the result of opening a stream.
type openedStream struct {
	stream *yamux.Stream
	err    error
}

// discard closes a stream on which nothing was sent.
func (o openedStream) discard() {
	if o.err == nil {
		o.stream.Close()
	}
}

// drain makes the session accept no new streams and notifies the peer. The sweep
// closes it when its streams have ended.
func (s *session) drain() {
	if s.draining.Swap(true) {
		return
	}
	go func() {
		// A peer that misses the notification sees its stream break and voids the attempt.
		_ = s.mux.GoAway()
		s.closeReusable(time.Now())
	}()
}

// close closes the connection, which ends the session and its streams, and waits until reading from it has stopped.
func (s *session) close() {
	s.conn.closeAndWait()
	s.mux.Close()
}

// accept calls serve for each stream of the peer until the session ends.
func (s *session) accept(ctx context.Context, serve func(context.Context, *session, net.Conn)) {
	for {
		c, err := s.mux.AcceptStream()
		if err != nil {
			return
		}
		s.markUsed(time.Now())
		go serve(ctx, s, newMuxStream(c, &s.writing))
	}
}

func (s *session) takeReusable(k Kind) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.reusable) - 1; i >= 0; i-- {
		if c := s.reusable[i]; c.kind == k {
			s.reusable = slices.Delete(s.reusable, i, i+1)
			return c
		}
	}
	return nil
}

// closeReusable closes the reusable streams that were released before the cutoff.
func (s *session) closeReusable(cutoff time.Time) {
	s.mu.Lock()
	expired := 0
	for expired < len(s.reusable) && s.reusable[expired].released.Before(cutoff) {
		expired++
	}
	closing := slices.Clone(s.reusable[:expired])
	s.reusable = slices.Delete(s.reusable, 0, expired)
	s.mu.Unlock()
	for _, c := range closing {
		_ = c.Close() // a stream that fails to close has ended with its session
	}
}

// stream is a stream that this side opened. It sends its kind together with its first bytes.
type stream struct {
	*muxStream
	session *session
	once    sync.Once
	kind    Kind
	// released is the time at which the stream became reusable.
	released time.Time
}

// Release keeps the stream open for reuse by the next Open of its kind. Both
// sides must have finished their exchange on it.
func (s *stream) Release() {
	// If the stream is already closed, its next user fails as on a lost stream.
	_ = s.SetDeadline(time.Time{})
	s.released = time.Now()
	session := s.session
	session.mu.Lock()
	discard := len(session.reusable) >= maxReusableStreams || !session.usable() || s.abandoned.Load()
	if !discard {
		session.reusable = append(session.reusable, s)
	}
	session.mu.Unlock()
	if discard {
		_ = s.Close() // a stream that fails to close has ended with its session
	}
}

// Write sends p. The first call sends the kind of the stream before p.
func (s *stream) Write(p []byte) (int, error) {
	first := false
	s.once.Do(func() { first = true })
	if !first {
		return s.muxStream.Write(p)
	}
	joined := make([]byte, 0, len(p)+1)
	joined = append(joined, byte(s.kind))
	n, err := s.muxStream.Write(append(joined, p...))
	return max(n-1, 0), err
}

// Peer returns the peer at the other end of the session.
func (s *stream) Peer() seampeer.Peer {
	return s.session.peer
}

// Age returns the time since the session was established.
func (s *stream) Age(now time.Time) time.Duration {
	return s.session.age(now)
}

// acceptedStream is a stream that the peer opened.
type acceptedStream struct {
	net.Conn
	session *session
}

// Age returns the time since the session was established.
func (a *acceptedStream) Age(now time.Time) time.Duration {
	return a.session.age(now)
}

// age returns the larger of the monotonic and the wall time since the session was established,
// so that it includes the time for which the machine was suspended.
func (s *session) age(now time.Time) time.Duration {
	mono, wall := s.elapsed(now)
	return max(mono, wall)
}

func (s *session) elapsed(now time.Time) (mono, wall time.Duration) {
	return now.Sub(s.establishedAt), now.Round(0).Sub(s.establishedAt.Round(0))
}

// clockSkewed reports whether the monotonic and the wall clock have diverged since the session was
// established, because the machine was suspended or the wall clock was set. The session's age is then unreliable.
func (s *session) clockSkewed(now time.Time) bool {
	mono, wall := s.elapsed(now)
	return (mono - wall).Abs() > maxClockSkew
}
