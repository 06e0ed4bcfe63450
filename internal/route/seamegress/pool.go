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
)

const (
	// idleTarget is the time after which an idle connection to the target is not used again.
	connIdleTimeout = 15 * time.Second
	// connectionLimit is the number of connections to a target that announced none.
	defaultMaxConnections = 1024
)

// targetPool holds the connections to one run of the target.
type targetPool struct {
	dialer  net.Dialer
	address string
	// places holds one token for each open connection.
	permits chan struct{}

	mu sync.Mutex
	// idle holds the connections without a request, the latest last.
	idle   []*targetConn
	closed bool
}

func newTargetPool(dial time.Duration, a seamtarget.Announcement) *targetPool {
	limit := a.Connections
	if limit <= 0 {
		limit = defaultMaxConnections
	}
	return &targetPool{dialer: net.Dialer{Timeout: dial}, address: a.Address, permits: make(chan struct{}, limit)}
}

// get returns an idle connection that is still open, or a new one.
func (p *targetPool) get(ctx context.Context, now time.Time) (*targetConn, error) {
	for {
		c := p.popIdle()
		if c == nil {
			return p.dial(ctx)
		}
		if now.Sub(c.idleSince) < connIdleTimeout && isReusable(c.Conn) {
			c.reused = true
			return c, nil
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

// dial opens a connection once there is a place for it.
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

// put keeps a connection for the next request, and closes the one idle longest if that is too old.
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

// drop closes a connection.
func (p *targetPool) drop(c *targetConn) {
	c.Close()
	<-p.permits
}

// abort resets a connection, so that a target that has not accepted it yet, or has not read the
// request, never sees the request.
func (p *targetPool) abort(c *targetConn) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// A connection that is gone already needs no reset.
		_ = tcp.SetLinger(0)
	}
	p.drop(c)
}

// close closes the idle connections, and the others when their requests end.
func (p *targetPool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		p.drop(c)
	}
}

// quiet reports whether an idle connection is open and nothing arrived on it.
func isReusable(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// targets holds the connections to the present run of the target.
type targetPools struct {
	dial time.Duration

	mu    sync.Mutex
	name  string
	limit int
	pool  *targetPool
}

// of returns the connections for an announcement. Another run of the target, or
// another number of connections, starts anew.
func (t *targetPools) forTarget(a seamtarget.Announcement) *targetPool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pool != nil && t.name == a.Name && t.limit == a.Connections && t.pool.address == a.Address {
		return t.pool
	}
	if t.pool != nil {
		t.pool.close()
	}
	t.name, t.limit = a.Name, a.Connections
	t.pool = newTargetPool(t.dial, a)
	return t.pool
}

func (t *targetPools) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pool != nil {
		t.pool.close()
	}
}
