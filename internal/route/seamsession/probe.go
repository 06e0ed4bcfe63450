package seamsession

import (
	"context"
	"time"

	"github.com/hashicorp/yamux"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/platform/seamwait"
)

const (
	// probeInterval is the time between checks for sessions to probe.
	probeInterval = 150 * time.Millisecond
	// probeAfterSilence is the time without a byte from the peer after which a session with requests
	// in flight is probed.
	probeAfterSilence = 300 * time.Millisecond
)

// probeSessions probes sessions with requests in flight whose peers are unresponsive, until ctx ends.
func (p *Pool) probeSessions(ctx context.Context) {
	seamwait.Every(ctx, probeInterval, func(now time.Time) {
		for _, s := range p.allSessions() {
			s.probe(now, p.events)
		}
	})
}

// probe pings the peer if nothing has arrived recently, and closes the session if nothing arrives before the ping
// fails. Bytes of any kind keep the session open: over a slow link, the pong may be queued behind other data.
func (s *session) probe(now time.Time, events seamevent.Sink) {
	before := s.lastReceived()
	if now.Sub(before) < probeAfterSilence || s.mux.IsClosed() || !s.inUse() || s.probing.Swap(true) {
		return
	}
	go func() {
		defer s.probing.Store(false)
		if err := s.ping(); err != nil && s.lastReceived().Equal(before) {
			s.closeAsSilent(time.Now(), err, events)
		}
	}()
}

// ping returns nil if the peer replies within probeTimeout.
func (s *session) ping() error {
	result := make(chan error, 1)
	go func() {
		_, err := s.mux.Ping()
		result <- err
	}()
	t := time.NewTimer(s.probeTimeout)
	defer t.Stop()
	select {
	case err := <-result:
		return err
	case <-t.C:
		return yamux.ErrTimeout
	}
}

// closeAsSilent closes the session after a failed probe, and logs that unless the session had already ended.
func (s *session) closeAsSilent(now time.Time, cause error, events seamevent.Sink) {
	if !s.mux.IsClosed() {
		events.Emit(now, seamevent.PeerDown, seamevent.Fields{
			"peer":    s.peer.String(),
			"call":    "probe",
			"error":   cause.Error(),
			"silent":  now.Sub(s.lastReceived()).Milliseconds(),
			"streams": s.mux.NumStreams(),
		})
	}
	s.close()
}

// lastReceived returns the time at which bytes last arrived from the peer.
func (s *session) lastReceived() time.Time {
	return time.Unix(0, s.conn.lastReceived.Load())
}

// LastReceived returns the time at which bytes last arrived from this incarnation of a node; zero if there is no
// session with it.
func (p *Pool) LastReceived(from seampeer.Peer) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var last time.Time
	for s := range p.sessions {
		if t := s.lastReceived(); s.peer.Same(from) && t.After(last) {
			last = t
		}
	}
	return last
}
