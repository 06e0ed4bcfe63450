package seamsession

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"cardamomseam/internal/member/seampeer"
)

// session is one connection to a peer.
type session struct {
	peer  seampeer.Peer
	mux   *yamux.Session
	start time.Time
	// used is the time of the last stream, in nanoseconds since the Unix epoch.
	used atomic.Int64
	// leaving says that the session takes no new streams.
	leaving atomic.Bool
}

func newSession(c net.Conn, peer seampeer.Peer, client bool, cfg Config) (*session, error) {
	make := yamux.Server
	if client {
		make = yamux.Client
	}
	mux, err := make(c, settings(cfg))
	if err != nil {
		return nil, err
	}
	s := &session{peer: peer, mux: mux, start: time.Now()}
	s.touch(s.start)
	return s, nil
}

func settings(cfg Config) *yamux.Config {
	y := yamux.DefaultConfig()
	y.AcceptBacklog = streamBacklog
	y.KeepAliveInterval = cfg.Keepalive
	y.ConnectionWriteTimeout = cfg.Silence
	y.MaxStreamWindowSize = streamWindow
	y.StreamCloseTimeout = streamLinger
	// Probes find a peer that does not answer; the timer of each stream would cost a goroutine.
	y.StreamOpenTimeout = 0
	y.LogOutput = io.Discard
	return y
}

func (s *session) touch(now time.Time) {
	s.used.Store(now.UnixNano())
}

func (s *session) usable() bool {
	return !s.leaving.Load() && !s.mux.IsClosed()
}

func (s *session) idle(now time.Time) time.Duration {
	if s.mux.NumStreams() > 0 {
		return 0
	}
	return now.Sub(time.Unix(0, s.used.Load()))
}

func (s *session) open(k Kind, now time.Time) (net.Conn, error) {
	s.touch(now)
	c, err := s.mux.OpenStream()
	if err != nil {
		return nil, err
	}
	return &stream{Stream: c, session: s, kind: k}, nil
}

// retire tells the peer that the session ends, and ends it when its streams are closed.
func (s *session) retire() {
	if s.leaving.Swap(true) {
		return
	}
	// A peer that does not hear of the end sees its stream break and voids it.
	_ = s.mux.GoAway()
}

// accept hands the peer's streams to serve until the session ends.
func (s *session) accept(ctx context.Context, serve func(context.Context, *session, net.Conn)) {
	for {
		c, err := s.mux.AcceptStream()
		if err != nil {
			return
		}
		s.touch(time.Now())
		go serve(ctx, s, c)
	}
}

// stream sends its kind together with its first bytes.
type stream struct {
	*yamux.Stream
	session *session
	once    sync.Once
	kind    Kind
}

// Write sends p, with the kind of the stream before the first bytes.
func (s *stream) Write(p []byte) (int, error) {
	first := false
	s.once.Do(func() { first = true })
	if !first {
		return s.Stream.Write(p)
	}
	joined := make([]byte, 0, len(p)+1)
	joined = append(joined, byte(s.kind))
	n, err := s.Stream.Write(append(joined, p...))
	return max(n-1, 0), err
}

// Peer returns the peer at the other end of the session.
func (s *stream) Peer() seampeer.Peer {
	return s.session.peer
}

// Age returns the session time: the time since the session began.
func (s *stream) Age(now time.Time) time.Duration {
	return s.session.age(now)
}

// accepted is a stream that the peer opened.
type accepted struct {
	net.Conn
	session *session
}

// Age returns the session time: the time since the session began.
func (a *accepted) Age(now time.Time) time.Duration {
	return a.session.age(now)
}

// age is the larger of the monotonic and the wall time since the session began,
// so that it also passes while the machine is suspended.
func (s *session) age(now time.Time) time.Duration {
	mono, wall := s.elapsed(now)
	return max(mono, wall)
}

func (s *session) elapsed(now time.Time) (mono, wall time.Duration) {
	return now.Sub(s.start), now.Round(0).Sub(s.start.Round(0))
}

// skewed reports whether the clocks drifted apart since the session began, as
// after a suspension or when the wall clock was set. Its time is of no more use.
func (s *session) skewed(now time.Time) bool {
	mono, wall := s.elapsed(now)
	return (mono - wall).Abs() > skewLimit
}
