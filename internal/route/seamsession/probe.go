package seamsession

import (
	"context"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/platform/seamwait"
)

const (
	// probeLook is the time between looks for sessions to probe.
	probeLook = 150 * time.Millisecond
	// probeSilence is the time without a byte from the peer after which a session with requests
	// under way is probed.
	probeSilence = 300 * time.Millisecond
)

// probe finds sessions with requests under way whose peers have fallen silent, until ctx ends.
func (p *Pool) probe(ctx context.Context) {
	seamwait.Every(ctx, probeLook, func(now time.Time) {
		for _, s := range p.all() {
			s.probe(now)
		}
	})
}

// probe asks the peer for a sign if it is silent, and closes the session if none comes. Bytes of any kind
// are a sign: over a small link, the answer to the probe may be behind many of them.
func (s *session) probe(now time.Time) {
	before := s.heard()
	if now.Sub(before) < probeSilence || s.mux.IsClosed() || !s.inUse() || s.probing.Swap(true) {
		return
	}
	go func() {
		defer s.probing.Store(false)
		if _, err := s.mux.Ping(); err != nil && s.heard().Equal(before) {
			s.end()
		}
	}()
}

// heard returns the time of the last bytes from the peer.
func (s *session) heard() time.Time {
	return time.Unix(0, s.conn.heard.Load())
}

// Heard returns the time of the last bytes from the run of a node; zero if there is no session with it.
func (p *Pool) LastReceived(from seampeer.Peer) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var last time.Time
	for s := range p.sessions {
		if t := s.heard(); s.peer.Same(from) && t.After(last) {
			last = t
		}
	}
	return last
}
