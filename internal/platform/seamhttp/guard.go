package seamhttp

import (
	"context"
	"net"
	"net/http"
	"time"

	"cardamomseam/internal/platform/seamguard"
)

// guardedListener accepts the connections for which there is room.
type guardedListener struct {
	net.Listener
	guard *seamguard.Guard
}

// Accept implements net.Listener.
func (l guardedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		share, ok := l.guard.Admit(time.Now(), func() { _ = c.Close() })
		if ok {
			return &guardedConn{c, share}, nil
		}
		_ = c.Close()
	}
}

// guardedConn is a connection with its share in the limits.
type guardedConn struct {
	net.Conn
	share *seamguard.Conn
}

// Read implements net.Conn.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.share.Read(time.Now(), p[:n]) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	defer c.share.End()
	return c.Conn.Close()
}

func connStateChanged(c net.Conn, state http.ConnState) {
	if conn, ok := c.(*guardedConn); ok && state == http.StateIdle {
		conn.share.Idle(time.Now())
	}
}

// shareKey is the context key of a connection's share.
type shareKey struct{}

func connContext(ctx context.Context, c net.Conn) context.Context {
	if conn, ok := c.(*guardedConn); ok {
		return context.WithValue(ctx, shareKey{}, conn.share)
	}
	return ctx
}

// guarded handles the requests for which memory is left, within their time limits.
type guarded struct {
	handler http.Handler
}

// ServeHTTP implements http.Handler.
func (g guarded) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	rc := http.NewResponseController(w)
	// Connections without deadlines, as in tests, have no time limits.
	_ = rc.SetWriteDeadline(now.Add(responseTimeout))
	if r.ContentLength != 0 {
		_ = rc.SetReadDeadline(now.Add(bodyTimeout))
	}
	if share, ok := r.Context().Value(shareKey{}).(*seamguard.Conn); ok && !share.Begin(now, r.Header) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.handler.ServeHTTP(w, r)
}
