package seamingress

import (
	"context"
	"net"

	"golang.org/x/sys/unix"

	"cardamomseam/internal/platform/seamnet"
)

// connKey is the context key of the caller's connection.
type connKey struct{}

// WithConn stores the caller's connection in the context of its requests. It is used as http.Server.ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// callerDisconnected reports whether the caller has closed or reset its connection. The HTTP library detects this
// only while a handler runs: after a pause, a process reads requests whose callers disconnected long before.
func callerDisconnected(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return false
	}
	disconnected := false
	seamnet.WithFD(c, func(fd int) { disconnected = peerClosed(fd) })
	return disconnected
}

// peerClosed reports whether the peer has closed or reset the connection. It peeks, and consumes no data.
func peerClosed(fd int) bool {
	var next [1]byte
	n, _, err := unix.Recvfrom(fd, next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	if err == nil {
		return n == 0
	}
	return err != unix.EAGAIN && err != unix.EINTR
}
