package seamingress

import (
	"context"
	"net"

	"golang.org/x/sys/unix"

	"cardamomseam/internal/platform/seamnet"
)

// connKey is the key of a caller's connection in the context of its requests.
type connKey struct{}

// WithConn adds the connection of a caller to the context of its requests. It is the ConnContext of a server.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// callerLeft reports whether the caller has closed or reset its connection. The HTTP library notices that
// only while a request is under way; a process that stood still reads requests whose callers left long ago.
func callerLeft(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return false
	}
	left := false
	seamnet.WithFD(c, func(fd int) { left = closed(fd) })
	return left
}

// closed looks at what a socket has received without taking it.
func closed(fd int) bool {
	var next [1]byte
	n, _, err := unix.Recvfrom(fd, next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	if err == nil {
		return n == 0
	}
	return err != unix.EAGAIN && err != unix.EINTR
}
