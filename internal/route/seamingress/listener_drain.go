package seamingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cardamomseam/internal/platform/seamwait"
)

const (
	// doorLook is the time between looks whether something is on its way.
	shutdownPollInterval = 5 * time.Millisecond
	// doorLooks is the number of looks in a row that must find nothing: together longer than the
	// round trip to a caller. They are counted, because time also passes while the process stands still.
	shutdownIdlePolls = 10
	// doorLimit bounds all looks together.
	shutdownPollTimeout = time.Second
	// freshTime is the time in which a new connection is expected to bring its first request.
	firstRequestTimeout = 500 * time.Millisecond
	// flagsOffset is the place of the flags in a TCP header.
	tcpFlagsOffset = 13
	// synFlag is the flag of the first segment of a connection.
	tcpFlagSYN = 0x02
	// wholeSegment is a length above that of any segment.
	acceptWholeSegment = 0xffff
)

// door is the way in for callers' connections. The HTTP library drops a request that it
// reads after its shutdown began, and the kernel resets connections that it established and nobody
// accepted. So the shutdown waits until neither can be under way.
type listenerDrain struct {
	listener net.Listener
	// requests counts new connections and requests.
	requests atomic.Int64

	mu sync.Mutex
	// fresh are the connections that brought no request yet, since they were accepted.
	newConns map[net.Conn]time.Time
}

// note takes a change of a connection's state.
func (d *listenerDrain) connStateChanged(c net.Conn, state http.ConnState) {
	if state == http.StateNew || state == http.StateActive {
		d.requests.Add(1)
	}
	switch state {
	case http.StateNew:
		d.mu.Lock()
		defer d.mu.Unlock()
		d.newConns[c] = time.Now()
	case http.StateActive, http.StateClosed, http.StateHijacked:
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.newConns, c)
	}
}

// shut lets no new connection begin, and waits until those that had begun have
// brought their requests, or ctx ends.
func (d *listenerDrain) drain(ctx context.Context) {
	// Without the filter, connections that begin at the end of the wait may be reset.
	_ = dropHandshakes(d.listener)
	timeout := time.Now().Add(shutdownPollTimeout)
	seen := d.requests.Load()
	for idlePolls := 0; idlePolls < shutdownIdlePolls && time.Now().Before(timeout); idlePolls++ {
		if !seamwait.For(ctx, shutdownPollInterval) {
			return
		}
		now := d.requests.Load()
		if now != seen || d.awaitsFirstRequest(time.Now()) || acceptQueueLength(d.listener) > 0 {
			idlePolls = -1
		}
		seen = now
	}
}

// awaits reports whether a connection is about to bring its first request.
func (d *listenerDrain) awaitsFirstRequest(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, since := range d.newConns {
		if now.Sub(since) < firstRequestTimeout {
			return true
		}
	}
	return false
}

// control runs f on the listener's socket.
func controlSocket(l net.Listener, f func(fd int) error) error {
	c, ok := l.(syscall.Conn)
	if !ok {
		return syscall.EOPNOTSUPP
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = f(int(fd)) })
	if err != nil {
		return err
	}
	return failed
}

// pending returns the number of established connections that nobody has accepted; 0 if that is not known.
func acceptQueueLength(l net.Listener) (n uint32) {
	_ = controlSocket(l, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			n = info.Unacked // of a listener, the length of its queue
		}
		return err
	})
	return n
}

// dropHandshakes has the kernel drop the first segment of each new connection to the listener, while
// handshakes under way are completed. A caller whose segment was dropped sends it again
// after a second, and finds the port closed.
func dropHandshakes(l net.Listener) error {
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: tcpFlagSYN, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: acceptWholeSegment},
	}
	program := &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	return controlSocket(l, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	})
}
