package seamingress

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/platform/seamguard"
	"cardamomseam/internal/platform/seamnet"
)

const (
	// lingerTimeout bounds the time for which a closed connection discards what its caller still sends.
	lingerTimeout = 5 * time.Second
	// lingerIdleTimeout is the time without data in either direction after which it is closed earlier.
	lingerIdleTimeout = 300 * time.Millisecond
	// lingerBytes is the number of bytes that it discards at most, and lingerBufferBytes the size of its reads.
	lingerBytes       = 1 << 20
	lingerBufferBytes = 4 << 10
)

// connKey is the context key of the caller's connection.
type connKey struct{}

// WithConn stores the caller's connection in the context of its requests. It is used as http.Server.ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// beginRequest reserves the memory of a request, and reports false if none is left for it.
func beginRequest(r *http.Request, now time.Time) bool {
	c, ok := r.Context().Value(connKey{}).(*callerConn)
	return !ok || c.share.Begin(now, r.Header)
}

// resetOnClose makes the caller's connection, if the context has one, end with a reset.
func resetOnClose(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*callerConn); ok {
		c.resetOnClose.Store(true)
	}
}

// disconnection tells by what the caller is known to have closed or reset its connection; empty if it has not. The HTTP library
// detects this only while a handler runs: after a pause, a process reads requests whose callers disconnected long before.
func disconnection(ctx context.Context) string {
	if ctx.Err() != nil {
		return "by its context: " + context.Cause(ctx).Error()
	}
	if c, ok := ctx.Value(connKey{}).(net.Conn); ok && seamnet.HungUp(c) {
		return "by its socket"
	}
	return ""
}

// callerListener accepts the connections of callers.
type callerListener struct {
	*net.TCPListener
	guard *seamguard.Guard
	// lingering are the connections that were closed and still discard data.
	lingering sync.WaitGroup
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		tcp, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		c := &callerConn{TCPConn: tcp, lingering: &l.lingering, release: func() {}}
		share, ok := l.guard.Admit(time.Now(), c.evict)
		if !ok {
			_ = tcp.Close()
			continue
		}
		c.share = share
		return c, nil
	}
}

// callerConn is the connection of a caller. If it is closed while requests are unread, it first discards them: the kernel
// would reset the connection, and the caller could lose the response that it is still receiving.
type callerConn struct {
	*net.TCPConn
	lingering *sync.WaitGroup
	// share is that of the connection in the limits of the process; nil means that there are none.
	share *seamguard.Conn
	// release ends the watch for the caller's close.
	release func()
	closed  atomic.Bool
	// resetOnClose means that Close sends a reset.
	resetOnClose atomic.Bool
}

// watch returns a context for the connection's requests that ends when the caller closes the connection. The HTTP library
// does not notice this while requests behind the running one are unread.
func (c *callerConn) watch(ctx context.Context, hangups *seamnet.Hangups) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	forget := hangups.Watch(c.TCPConn, cancel)
	c.release = func() {
		forget()
		cancel()
	}
	return ctx
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.closed.Load() || !c.share.Read(time.Now(), p[:n]) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	c.release()
	if c.resetOnClose.Load() {
		c.share.End()
		_ = c.SetLinger(0) // an error means that the connection is closed already
		return c.TCPConn.Close()
	}
	if seamnet.Unread(c.TCPConn) == 0 {
		c.share.End()
		return c.TCPConn.Close()
	}
	c.share.Idle(time.Now())
	err := c.CloseWrite()
	c.lingering.Go(c.linger)
	return err
}

// evict closes the connection at once, also one that lingers.
func (c *callerConn) evict() {
	c.resetOnClose.Store(true)
	if c.Close() != nil {
		_ = c.TCPConn.Close()
	}
}

// linger discards what the caller sends until it has closed the connection, has sent lingerBytes, or neither sends nor
// acknowledges anything for lingerIdleTimeout.
func (c *callerConn) linger() {
	defer c.share.End()
	defer c.TCPConn.Close()
	stop := time.AfterFunc(lingerTimeout, func() { _ = c.TCPConn.Close() })
	defer stop.Stop()
	buffer := make([]byte, lingerBufferBytes)
	unacknowledged := seamnet.Unacknowledged(c.TCPConn)
	for discarded := 0; discarded < lingerBytes; {
		_ = c.SetReadDeadline(time.Now().Add(lingerIdleTimeout))
		n, err := c.TCPConn.Read(buffer)
		discarded += n
		if err == nil {
			continue
		}
		before := unacknowledged
		unacknowledged = seamnet.Unacknowledged(c.TCPConn)
		if !errors.Is(err, os.ErrDeadlineExceeded) || unacknowledged == 0 || unacknowledged == before {
			return
		}
	}
}
