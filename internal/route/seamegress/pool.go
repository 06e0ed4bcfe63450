package seamegress

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/route/seamthrottle"
)

const (
	// connIdleTimeout is the time after which an idle connection to the target is not reused.
	connIdleTimeout = 15 * time.Second
	// defaultMaxConnections is the limit for a target that announces no limit.
	defaultMaxConnections = 1024
	// shortIdleTime is the time after a request in which a target seldom closes the connection, so that its process may have
	// ended. Common idle time-outs are longer.
	shortIdleTime = 2 * time.Second
)

// targetPool is the connection pool of one incarnation of the target.
type targetPool struct {
	dialer  net.Dialer
	address string
	// permits holds one token for each open connection.
	permits chan struct{}
	// onClosed is called with the incarnation of a target that closed a connection it had just served.
	onClosed func(seamthrottle.Target)

	mu sync.Mutex
	// incarnation is the current one of the target.
	incarnation seamthrottle.Target
	// idle holds the connections without a request, the most recently used last.
	idle   []*targetConn
	closed bool
}

func newTargetPool(dial time.Duration, a seamtarget.Announcement) *targetPool {
	limit := a.Connections
	if limit <= 0 {
		limit = defaultMaxConnections
	}
	return &targetPool{dialer: net.Dialer{Timeout: dial}, address: a.Address, permits: make(chan struct{}, limit), incarnation: throttleTarget(a)}
}

func (p *targetPool) setIncarnation(t seamthrottle.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.incarnation = t
}

func (p *targetPool) currentIncarnation() seamthrottle.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}

// get returns an idle connection that is still open, or a new one.
func (p *targetPool) get(ctx context.Context, now time.Time) (*targetConn, error) {
	for {
		c := p.popIdle()
		if c == nil {
			return p.dial(ctx)
		}
		open, closed := peek(c.Conn)
		if now.Sub(c.idleSince) < c.idleLimit && open {
			c.reused = true
			return c, nil
		}
		if closed && now.Sub(c.idleSince) < shortIdleTime {
			p.onClosed(c.incarnation)
		}
		p.drop(c)
	}
}

func (p *targetPool) popIdle() *targetConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

// dial opens a connection once the connection limit permits it.
func (p *targetPool) dial(ctx context.Context) (*targetConn, error) {
	select {
	case p.permits <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		<-p.permits
		return nil, err
	}
	return newTargetConn(c, p), nil
}

// put returns a connection to the pool, and closes the one that has been idle longest if it is past connIdleTimeout.
func (p *targetPool) put(c *targetConn, now time.Time) {
	c.idleSince = now
	p.mu.Lock()
	var expired *targetConn
	switch {
	case p.closed:
		expired = c
	default:
		p.idle = append(p.idle, c)
		if oldest := p.idle[0]; now.Sub(oldest.idleSince) > connIdleTimeout {
			expired = oldest
			p.idle = slices.Delete(p.idle, 0, 1)
		}
	}
	p.mu.Unlock()
	if expired != nil {
		p.drop(expired)
	}
}

// drop closes a connection and returns its permit.
func (p *targetPool) drop(c *targetConn) {
	c.Close()
	<-p.permits
}

// abort resets a connection with a TCP RST, so that a target that has not accepted it or has not read
// the request yet never sees the request.
func (p *targetPool) abort(c *targetConn) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// An error means that the connection is already closed and needs no reset.
		_ = tcp.SetLinger(0)
	}
	p.drop(c)
}

// close closes the idle connections now, and the others when their requests end.
func (p *targetPool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		p.drop(c)
	}
}

// peek reports whether an idle connection is open and has no unread data, or was closed by the target without any.
func peek(c net.Conn) (open, closed bool) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		closed = n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
		return true
	})
	return err == nil && open, err == nil && closed
}

// targetPools holds the connection pool of the target's current incarnation.
type targetPools struct {
	dial time.Duration
	// onClosed is called with the incarnation of a target that closed a connection it had just served.
	onClosed func(seamthrottle.Target)

	mu    sync.Mutex
	name  string
	limit int
	pool  *targetPool
}

// forTarget returns the pool for an announcement. It replaces the pool if the target's incarnation,
// address or connection limit has changed.
func (t *targetPools) forTarget(a seamtarget.Announcement) *targetPool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pool != nil && t.name == a.Name && t.limit == a.Connections && t.pool.address == a.Address {
		t.pool.setIncarnation(throttleTarget(a))
		return t.pool
	}
	if t.pool != nil {
		t.pool.close()
	}
	t.name, t.limit = a.Name, a.Connections
	t.pool = newTargetPool(t.dial, a)
	t.pool.onClosed = t.onClosed
	return t.pool
}

func (t *targetPools) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pool != nil {
		t.pool.close()
	}
}
