package seamsession

import (
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"cardamomseam/internal/platform/seamnet"
)

const (
	// yamuxHeaderSize is the length of a yamux header, in bytes.
	yamuxHeaderSize = 12
	// yamuxDataType is the type of the yamux header of a data frame.
	yamuxDataType = 0
	// maxCoalescedBody is the largest body that is copied to be sent in one write with its header, in bytes.
	maxCoalescedBody = 40 << 10
)

// conn counts the bytes of a session and coalesces each yamux header with its
// body, so that they are sent in one TCP segment instead of two.
type conn struct {
	net.Conn
	in, out       *metrics.Counter
	pendingHeader []byte
	// lastReceived is the time at which bytes last arrived, in nanoseconds since the Unix epoch.
	lastReceived atomic.Int64
	// readFailed is closed when reading has failed or yamux closes the session for another reason.
	readFailed     chan struct{}
	markReadFailed func()
}

func newConn(c net.Conn, in, out *metrics.Counter) *conn {
	failed := make(chan struct{})
	return &conn{Conn: c, in: in, out: out, readFailed: failed, markReadFailed: sync.OnceFunc(func() { close(failed) })}
}

// Read reads from the peer and counts the bytes.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Add(n)
	if n > 0 {
		c.lastReceived.Store(time.Now().UnixNano())
	}
	if err != nil {
		c.markReadFailed()
	}
	return n, err
}

// Write buffers the header of a frame with a body until the body is written.
// It needs no lock, since yamux writes from one goroutine only.
func (c *conn) Write(p []byte) (int, error) {
	if len(c.pendingHeader) == 0 && hasBody(p) {
		c.pendingHeader = append(c.pendingHeader, p...)
		return len(p), nil
	}
	if len(c.pendingHeader) == 0 {
		return c.send(p)
	}
	return c.sendCoalesced(p)
}

func (c *conn) sendCoalesced(p []byte) (int, error) {
	defer func() { c.pendingHeader = c.pendingHeader[:0] }()
	if len(p) > maxCoalescedBody {
		if _, err := c.send(c.pendingHeader); err != nil {
			return 0, err
		}
		return c.send(p)
	}
	c.pendingHeader = append(c.pendingHeader, p...)
	if _, err := c.send(c.pendingHeader); err != nil {
		return 0, err
	}
	return len(p), nil
}

// send writes to the peer. On an error it first stops the reading, which closes the session.
func (c *conn) send(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Add(n)
	if err != nil {
		c.closeAndWait()
	}
	return n, err
}

// closeAndWait closes the connection and waits until reading has failed, so that yamux closes the session and all
// its streams at once. Yamux's own Close wakes the streams first, and each one that waits for data then retries in a
// busy loop until the reading has stopped; with many streams and one processor, that takes seconds.
func (c *conn) closeAndWait() {
	c.Conn.Close()
	<-c.readFailed
}

// Close does not wait: yamux calls it after it has woken the streams and before it closes them.
func (c *conn) Close() error {
	c.markReadFailed()
	go c.Conn.Close()
	return nil
}

func hasBody(p []byte) bool {
	return len(p) == yamuxHeaderSize && p[1] == yamuxDataType && binary.BigEndian.Uint32(p[8:]) > 0
}

// setAckTimeout makes the kernel close a connection whose data stays unacknowledged for the timeout.
func setAckTimeout(c net.Conn, timeout time.Duration) {
	seamnet.WithFD(c, func(fd int) {
		// Without this kernel option, the session's probes detect the loss.
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}
