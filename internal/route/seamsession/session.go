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

// session is one connection to a peer.
type session struct {
	peer  seampeer.Peer
	conn  *conn
	mux   *yamux.Session
	start time.Time
	// probing says that a probe waits for its answer.
	probing atomic.Bool
	// used is the time of the last stream, in nanoseconds since the Unix epoch.
	used atomic.Int64
	// leaving says that the session takes no new streams.
	leaving atomic.Bool

	mu sync.Mutex
	// spare are streams that are open but not in use, the latest last.
	spare []*stream
}

func newSession(c *conn, peer seampeer.Peer, client bool, cfg Config) (*session, error) {
	make := yamux.Server
	if client {
		make = yamux.Client
	}
	mux, err := make(c, settings(cfg))
	if err != nil {
		return nil, err
	}
	s := &session{peer: peer, conn: c, mux: mux, start: time.Now()}
	s.touch(s.start)
	return s, nil
}

func settings(cfg Config) *yamux.Config {
	y := yamux.DefaultConfig()
	y.AcceptBacklog = streamBacklog
	y.KeepAliveInterval = cfg.KeepaliveInterval
	y.EnableKeepAlive = !cfg.LazyProbes
	y.ConnectionWriteTimeout = cfg.ProbeTimeout
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
	if s.inUse() {
		return 0
	}
	return now.Sub(time.Unix(0, s.used.Load()))
}

// inUse reports whether there are streams other than those kept for reuse here.
func (s *session) inUse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mux.NumStreams() > len(s.spare)
}

// open returns a spare stream of the kind or a new one.
func (s *session) open(k Kind, now time.Time) (net.Conn, error) {
	s.touch(now)
	if spare := s.takeSpare(k); spare != nil {
		return spare, nil
	}
	c, err := s.mux.OpenStream()
	if err != nil {
		return nil, err
	}
	return &stream{Stream: c, session: s, kind: k}, nil
}

// retire lets the session take no new streams and tells the peer. The sweep
// closes it when its streams ended.
func (s *session) retire() {
	if s.leaving.Swap(true) {
		return
	}
	go func() {
		// A peer that does not hear of the end sees its stream break and voids it.
		_ = s.mux.GoAway()
		s.closeSpare(time.Now())
	}()
}

// end ends the session and waits until its streams have ended.
func (s *session) end() {
	s.conn.end()
	s.mux.Close()
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

func (s *session) takeSpare(k Kind) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.spare) - 1; i >= 0; i-- {
		if c := s.spare[i]; c.kind == k {
			s.spare = slices.Delete(s.spare, i, i+1)
			return c
		}
	}
	return nil
}

// closeSpare closes the streams that were not in use since a time.
func (s *session) closeSpare(since time.Time) {
	s.mu.Lock()
	old := 0
	for old < len(s.spare) && s.spare[old].released.Before(since) {
		old++
	}
	closing := slices.Clone(s.spare[:old])
	s.spare = slices.Delete(s.spare, 0, old)
	s.mu.Unlock()
	for _, c := range closing {
		c.Close()
	}
}

// stream sends its kind together with its first bytes.
type stream struct {
	*yamux.Stream
	session *session
	once    sync.Once
	kind    Kind
	// released is the time since which the stream is spare.
	released time.Time
}

// Release keeps the stream for the next opening of its kind, instead of closing
// it. Both sides must be done with what was sent.
func (s *stream) Release() {
	// A stream that is closed already fails its next user, as a lost one.
	_ = s.SetDeadline(time.Time{})
	s.released = time.Now()
	owner := s.session
	owner.mu.Lock()
	full := len(owner.spare) >= spareLimit || !owner.usable()
	if !full {
		owner.spare = append(owner.spare, s)
	}
	owner.mu.Unlock()
	if full {
		s.Close()
	}
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
