package seamsession

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seamroutewire"
)

// failure is the back-off state of an address after failed dials.
type failure struct {
	backoff time.Duration
	retryAt time.Time
	cause   error
}

// session returns a session to the peer, dialing if there is none.
func (p *Pool) session(ctx context.Context, to seampeer.Peer) (*session, error) {
	s, err := p.find(to, time.Now())
	if s != nil || err != nil {
		return s, err
	}
	result := p.dials.DoChan(to.Address, func() (any, error) {
		return p.dial(to)
	})
	select {
	case <-ctx.Done():
		return nil, &UnreachableError{To: to, Cause: ctx.Err()}
	case r := <-result:
		if r.Err != nil {
			return nil, r.Err
		}
		s := r.Val.(*session)
		if !matchesPeer(s.peer, to) {
			return nil, &StalePeerError{Want: to, Got: s.peer}
		}
		return s, nil
	}
}

// find returns the session to use, nil if a dial is due, or an error if the last dial failed and its back-off
// has not elapsed.
func (p *Pool) find(to seampeer.Peer, now time.Time) (*session, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.routes[to.Address]
	if s != nil && s.usable() {
		if matchesPeer(s.peer, to) {
			return s, nil
		}
		if to.Name != s.peer.Name || to.Incarnation < s.peer.Incarnation {
			return nil, &StalePeerError{Want: to, Got: s.peer}
		}
	}
	delete(p.routes, to.Address)
	if f, ok := p.failures[to.Address]; ok && now.Before(f.retryAt) {
		return nil, &UnreachableError{To: to, Cause: f.cause, RetryAfter: f.retryAt.Sub(now)}
	}
	return nil, nil
}

func (p *Pool) dial(to seampeer.Peer) (*session, error) {
	if p.isShuttingDown() {
		return nil, &UnreachableError{To: to, Cause: errors.New("this node is shutting down")}
	}
	if err := p.reserve(); err != nil {
		return nil, err
	}
	defer p.unreserve()
	s, err := p.connect(to)
	if err != nil {
		return nil, p.failed(to, err, time.Now())
	}
	if p.add(s, to.Address) {
		go s.sendGoAway(p.ctx)
	}
	return s, nil
}

func (p *Pool) connect(to seampeer.Peer) (*session, error) {
	ctx, cancel := context.WithTimeout(p.ctx, p.cfg.DialTimeout)
	defer cancel()
	c, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", to.Address)
	if err != nil {
		return nil, err
	}
	offer := p.compressor.reserve(to.Region != p.self.Region)
	h, err := exchangeHello(c, &seamroutewire.Hello{Self: PeerToWire(p.self), Compress: offer}, p.cfg.DialTimeout)
	peer := PeerFromWire(h.GetSelf())
	if err == nil && h.GetBusy() {
		err = &PoolFullError{Node: peer}
	}
	compress := offer && err == nil && h.GetCompress()
	if offer && !compress {
		p.compressor.release()
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return p.wrap(c, peer, true, compress)
}

// wrap returns the session on a connection after its handshake. If compress is set, a session was reserved at the compressor.
func (p *Pool) wrap(c net.Conn, peer seampeer.Peer, client, compress bool) (*session, error) {
	setAckTimeout(c, p.cfg.AckTimeout)
	in, out := p.stats.bytes(peer)
	var below net.Conn = &countedConn{Conn: c, in: in, out: out}
	onEnd := func() {}
	if compress {
		compressed, err := newCompressedConn(below)
		if err != nil {
			p.compressor.release()
			c.Close()
			return nil, err
		}
		below, onEnd = compressed, p.compressor.release
	}
	wrapped := newConn(below, onEnd)
	wrapped.lastReceived.Store(time.Now().UnixNano())
	s, err := newSession(wrapped, peer, client, p.cfg)
	if err != nil {
		_ = wrapped.Close() // it returns no error
	}
	return s, err
}

// failed records a failed dial for the back-off and returns it as an error of Open.
func (p *Pool) failed(to seampeer.Peer, cause error, now time.Time) error {
	var busy *PoolFullError
	if errors.As(cause, &busy) {
		return busy
	}
	p.stats.failed.Inc()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.failures) >= maxDialFailures {
		clear(p.failures)
	}
	backoff := min(max(2*p.failures[to.Address].backoff, dialBackoffInitial), dialBackoffMax)
	f := failure{backoff: backoff, retryAt: now.Add(jitter(backoff)), cause: cause}
	p.failures[to.Address] = f
	return &UnreachableError{To: to, Cause: cause, RetryAfter: f.retryAt.Sub(now)}
}

// jitter returns a random time between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
