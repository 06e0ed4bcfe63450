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

// Leave ends all sessions of a node that stops, without losing what peers are sending: it
// takes no new session, has each peer stop using the present ones, and waits until
// their streams ended. A peer whose introduction has been answered already may send at once, so its
// session counts as a present one. If ctx ends before, the rest is cut.
func (p *Pool) Shutdown(ctx context.Context) {
	p.mu.Lock()
	p.left = true
	p.mu.Unlock()
	p.listener.Close()
	var told sync.WaitGroup
	for _, s := range p.all() {
		told.Go(func() { s.sayFarewell(ctx) })
	}
	told.Wait()
	for (p.welcoming.Load() > 0 || p.serving()) && seamwait.For(ctx, leaveLook) {
	}
}

func (p *Pool) hasLeft() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.left
}

func (p *Pool) all() []*session {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*session, 0, len(p.sessions))
	for s := range p.sessions {
		all = append(all, s)
	}
	return all
}

// serving reports whether streams other than those kept for reuse here are open.
func (p *Pool) serving() bool {
	for _, s := range p.all() {
		if !s.mux.IsClosed() && s.inUse() {
			return true
		}
	}
	return false
}

// sayFarewell tells the peer that this node leaves, and waits until it knows. A peer that
// does not answer in time is left with a broken session, as after a loss.
func (s *session) sayFarewell(ctx context.Context) {
	s.leaving.Store(true)
	s.closeSpare(time.Now())
	c, err := s.mux.Open()
	if err != nil {
		return
	}
	defer c.Close()
	limit := time.Now().Add(farewellTime)
	if d, ok := ctx.Deadline(); ok && d.Before(limit) {
		limit = d
	}
	c.SetDeadline(limit)
	if _, err := c.Write([]byte{byte(farewell)}); err != nil {
		return
	}
	// The peer closes the stream when it has taken note; what it writes is of no meaning.
	_, _ = io.Copy(io.Discard, c)
}

// farewellHandler takes note of peers that leave.
type farewellHandler struct {
	pool *Pool
}

// ServeStream lets the session take no new streams, and closes those kept for reuse.
// The peer takes no new session, so that opening fails from now on before anything is sent.
func (h farewellHandler) ServeStream(_ context.Context, _ seampeer.Peer, conn net.Conn) {
	a, ok := conn.(*accepted)
	if !ok {
		return
	}
	a.session.leaving.Store(true)
	h.pool.dropRoute(a.session)
	a.session.closeSpare(time.Now())
}
