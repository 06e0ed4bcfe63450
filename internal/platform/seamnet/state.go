package seamnet

import (
	"net"

	"golang.org/x/sys/unix"
)

// closeWait is the kernel's number of the state of a TCP connection whose peer has closed its side without a reset.
const closeWait = 8

// ClosedByPeer reports whether the peer has closed its side of an open connection, and has not reset it.
func ClosedByPeer(c net.Conn) bool {
	closed := false
	WithFD(c, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == closeWait
	})
	return closed
}
