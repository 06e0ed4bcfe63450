// Package seamnet configures TCP connections to detect unresponsive peers.
package seamnet

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// KeepAliveProbes is the number of unanswered keep-alive probes after which a connection is closed.
const KeepAliveProbes = 2

// SetPeerTimeout makes the kernel close a connection whose data stays unacknowledged, or whose keep-alive probes
// stay unanswered, for about the given time.
func SetPeerTimeout(c net.Conn, timeout time.Duration) {
	// Errors are ignored: without the socket options, only the caller's own timeouts detect an unresponsive peer.
	WithFD(c, func(fd int) { setPeerTimeout(fd, timeout) })
}

// WithFD calls f with the file descriptor of a connection. It does nothing if the connection has none or is closed.
func WithFD(c net.Conn, f func(fd int)) {
	sysConn, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return
	}
	// Control fails only if the connection is closed; f is then not called.
	_ = rawConn.Control(func(fd uintptr) { f(int(fd)) })
}

func setPeerTimeout(fd int, timeout time.Duration) {
	probeSeconds := max(int((timeout/(KeepAliveProbes+1)+time.Second-1)/time.Second), 1)
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, probeSeconds)
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, probeSeconds)
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPCNT, KeepAliveProbes)
}

// NewDialer returns a dialer whose connections have the options of SetPeerTimeout.
func NewDialer(dialTimeout, peerTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: -1,
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) { setPeerTimeout(int(fd), peerTimeout) })
		},
	}
}
