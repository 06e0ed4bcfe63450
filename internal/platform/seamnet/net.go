// Package seamnet opens TCP connections that notice a peer that has fallen silent.
package seamnet

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Probes is the number of keep-alive probes without an answer that end a connection.
const KeepAliveProbes = 2

// Bound lets the kernel end a connection to which data stays unacknowledged, or probes stay
// unanswered, for about the given time.
func SetPeerTimeout(c net.Conn, silence time.Duration) {
	// A kernel without the options leaves the timeouts of the caller to find the loss.
	WithFD(c, func(fd int) { bound(fd, silence) })
}

// Control calls f with the descriptor of a connection, if it has one and is open.
func WithFD(c net.Conn, f func(fd int)) {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return
	}
	// A connection that is closed needs no options.
	_ = control.Control(func(fd uintptr) { f(int(fd)) })
}

func bound(fd int, silence time.Duration) {
	seconds := max(int((silence/(KeepAliveProbes+1)+time.Second-1)/time.Second), 1)
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, seconds)
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, seconds)
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPCNT, KeepAliveProbes)
}

// Dialer returns a dialer whose connections are bounded like those of Bound.
func NewDialer(timeout, silence time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:   timeout,
		KeepAlive: -1,
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) { bound(int(fd), silence) })
		},
	}
}
