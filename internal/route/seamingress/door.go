package seamingress

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// doorQuiet is the time without a connection or request after which none is on its way:
	// the round trip to a caller, and the time until the request is read.
	doorQuiet = 50 * time.Millisecond
	// doorLimit bounds the wait for such a time.
	doorLimit = time.Second
	// doorLook is the time between looks for it.
	doorLook = 5 * time.Millisecond
	// flagsOffset is the place of the flags in a TCP header.
	flagsOffset = 13
	// synFlag is the flag of the first segment of a connection.
	synFlag = 0x02
	// wholeSegment is a length above that of any segment.
	wholeSegment = 0xffff
)

// door is the way in for callers' connections. The HTTP library drops a request that it
// reads after its shutdown began, and the kernel resets connections that it established and nobody
// accepted. So the shutdown waits until neither can be under way.
type door struct {
	listener net.Listener
	// used is the time of the last new connection or request, in nanoseconds since the Unix epoch.
	used atomic.Int64
}

// note takes a change of a connection's state.
func (d *door) note(_ net.Conn, state http.ConnState) {
	if state == http.StateNew || state == http.StateActive {
		d.used.Store(time.Now().UnixNano())
	}
}

// shut lets no new connection begin, and waits until those that had begun have
// brought their requests, or ctx ends.
func (d *door) shut(ctx context.Context) {
	// Without the filter, connections that begin at the end of the wait may be reset.
	_ = dropHandshakes(d.listener)
	began := time.Now()
	for now := began; now.Sub(began) < doorLimit && !d.quiet(now, began); now = time.Now() {
		if !pause(ctx, doorLook) {
			return
		}
	}
}

// quiet reports whether nothing has come for a while, counted from since at the earliest.
func (d *door) quiet(now, since time.Time) bool {
	if used := time.Unix(0, d.used.Load()); used.After(since) {
		since = used
	}
	return now.Sub(since) >= doorQuiet
}

// dropHandshakes has the kernel drop the first segment of each new connection to the listener, while
// handshakes under way are completed. A caller whose segment was dropped sends it again
// after a second, and finds the port closed.
func dropHandshakes(l net.Listener) error {
	c, ok := l.(syscall.Conn)
	if !ok {
		return syscall.EOPNOTSUPP
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: synFlag, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: wholeSegment},
	}
	program := &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	})
	if err != nil {
		return err
	}
	return failed
}
