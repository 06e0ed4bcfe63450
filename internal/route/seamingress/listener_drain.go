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
	"cardamomseam/internal/route/seamstop"
)

const (
	// shutdownPollInterval is the interval between polls for activity on the listener.
	shutdownPollInterval = 5 * time.Millisecond
	// shutdownIdlePolls is the number of consecutive polls without activity before the shutdown: together
	// longer than the round trip to a caller. Polls are counted instead of time, because time also passes
	// while the process is paused.
	shutdownIdlePolls = 10
	// shutdownPollTimeout bounds the polling as a whole.
	shutdownPollTimeout = time.Second
	// firstRequestTimeout bounds the wait for the first request of a new connection.
	firstRequestTimeout = 500 * time.Millisecond
	// callersLeftAfter is the time without a new connection after which callers are taken to know that the node stops.
	callersLeftAfter = 200 * time.Millisecond
	// lastAcceptMargin is the time before the deadline of the drain at which new connections are no longer accepted. Requests that
	// are not idempotent are refused from then on.
	lastAcceptMargin = seamstop.MinTimeOfNonIdempotent + FinalResponseMargin
	// tcpFlagsOffset is the offset in bytes of the flags in a TCP header.
	tcpFlagsOffset = 13
	// tcpFlagSYN is the SYN flag, which is set in the first segment of a connection.
	tcpFlagSYN = 0x02
	// acceptWholeSegment is the BPF return value that accepts a segment untruncated: a length above that of any segment.
	acceptWholeSegment = 0xffff
)

// listenerDrain delays the shutdown of the HTTP server until no new connection or request is under way.
// The HTTP library drops a request that it reads after its shutdown began, and the kernel resets established
// connections that were not accepted.
type listenerDrain struct {
	listener net.Listener
	// requests counts new connections and the starts of requests.
	requests atomic.Int64
	// connections counts new connections.
	connections atomic.Int64

	mu sync.Mutex
	// newConns holds the connections without a request so far, with the time at which they were accepted.
	newConns map[net.Conn]time.Time
}

// connStateChanged is the ConnState hook of the HTTP server.
func (d *listenerDrain) connStateChanged(c net.Conn, state http.ConnState) {
	if state == http.StateNew || state == http.StateActive {
		d.requests.Add(1)
	}
	if state == http.StateNew {
		d.connections.Add(1)
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

// awaitCallersLeft waits while callers open connections: where many nodes stop at once, callers may have no other node, and are served
// or refused with a reason instead of finding no listener. It returns lastAcceptMargin before the deadline of ctx at the latest.
func (d *listenerDrain) awaitCallersLeft(ctx context.Context) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return
	}
	for last := deadline.Add(-lastAcceptMargin); time.Now().Before(last); {
		seen := d.connections.Load()
		if !seamwait.For(ctx, min(callersLeftAfter, time.Until(last))) || d.connections.Load() == seen {
			return
		}
	}
}

// drain stops new connections, and waits until established connections have sent their first request, until
// shutdownPollTimeout or until ctx is done.
func (d *listenerDrain) drain(ctx context.Context) {
	// Best effort: without the filter, connections opened at the end of the wait may be reset.
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

// awaitsFirstRequest reports whether a connection accepted within firstRequestTimeout has sent no request yet.
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

// controlSocket calls f with the file descriptor of the listener.
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

// acceptQueueLength returns the number of established connections that were not accepted yet; 0 if unknown.
func acceptQueueLength(l net.Listener) (n uint32) {
	_ = controlSocket(l, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			n = info.Unacked // for a listening socket, the length of its accept queue
		}
		return err
	})
	return n
}

// dropHandshakes attaches a socket filter that drops the SYN segment of each new connection to the listener;
// handshakes under way complete. A caller whose SYN was dropped retransmits it after a second, when the port
// is closed.
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
