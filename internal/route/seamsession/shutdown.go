package seamsession

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/platform/seamwait"
)

// Shutdown drains all sessions of a node that stops, without losing requests that peers are sending.
// It accepts no new sessions, tells each peer to stop using the existing ones, and waits until their
// streams have ended. A peer may send as soon as its hello was answered, so Shutdown also waits for
// handshakes in progress. If ctx ends first, the remaining streams are aborted when the pool is closed.
func (p *Pool) Shutdown(ctx context.Context) {
	p.mu.Lock()
	p.shuttingDown = true
	p.mu.Unlock()
	p.listener.Close()
	var notified sync.WaitGroup
	for _, s := range p.allSessions() {
		notified.Go(func() { s.sendGoAway(ctx) })
	}
	notified.Wait()
	for (p.handshakes.Load() > 0 || p.serving()) && seamwait.For(ctx, drainPollInterval) {
	}
}

func (p *Pool) isShuttingDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shuttingDown
}

func (p *Pool) allSessions() []*session {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*session, 0, len(p.sessions))
	for s := range p.sessions {
		all = append(all, s)
	}
	return all
}

// serving reports whether streams other than the reusable ones of this node are open.
func (p *Pool) serving() bool {
	for _, s := range p.allSessions() {
		if !s.mux.IsClosed() && s.inUse() {
			return true
		}
	}
	return false
}

// sendGoAway notifies the peer that this node is shutting down, and waits for the acknowledgement. For a
// peer that does not acknowledge in time, the session breaks as after a connection loss.
func (s *session) sendGoAway(ctx context.Context) {
	s.draining.Store(true)
	s.closeReusable(time.Now())
	c, err := s.mux.Open()
	if err != nil {
		return
	}
	defer c.Close()
	deadline := time.Now().Add(goAwayTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	c.SetDeadline(deadline)
	if _, err := c.Write([]byte{byte(goAwayKind)}); err != nil {
		return
	}
	// The peer acknowledges by closing the stream; any data that it writes is ignored.
	_, _ = io.Copy(io.Discard, c)
}

// goAwayHandler handles the shutdown notifications of peers.
type goAwayHandler struct {
	pool *Pool
}

// ServeStream drains the session and closes its reusable streams. The peer accepts no new
// session, so from now on opening a stream fails before anything is sent.
func (h goAwayHandler) ServeStream(_ context.Context, _ seampeer.Peer, conn net.Conn) {
	a, ok := conn.(*acceptedStream)
	if !ok {
		return
	}
	a.session.draining.Store(true)
	h.pool.removeRoute(a.session)
	a.session.closeReusable(time.Now())
}
