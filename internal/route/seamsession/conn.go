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
	// maxCoalescedBody is the size in bytes of the largest body that is copied, so that it is sent in one write with
	// its header.
	maxCoalescedBody = 40 << 10
)

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	in, out *metrics.Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Add(n)
	return n, err
}

// conn sends each yamux header together with its body in one write, so that a short frame takes one TCP segment instead
// of two.
type conn struct {
	net.Conn
	// pendingHeader is the header of a frame whose body is not written yet; empty if there is none.
	pendingHeader []byte
	// lastReceived is the time at which bytes last arrived, in nanoseconds since the Unix epoch.
	lastReceived atomic.Int64
	// readStopped is closed when a read has failed or yamux has called Close.
	readStopped     chan struct{}
	markReadStopped func()
}

// newConn wraps a connection. onEnd is called once, when a read has failed or the connection is closed.
func newConn(c net.Conn, onEnd func()) *conn {
	stopped := make(chan struct{})
	return &conn{Conn: c, readStopped: stopped, markReadStopped: sync.OnceFunc(func() {
		close(stopped)
		onEnd()
	})}
}

// Read reads from the peer.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastReceived.Store(time.Now().UnixNano())
	}
	if err != nil {
		c.markReadStopped()
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

// send writes to the peer. On an error it closes the connection and waits until reading has stopped before it returns.
func (c *conn) send(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.closeAndWait()
	}
	return n, err
}

// closeAndWait closes the connection and waits until reading has stopped, so that yamux closes the session and its
// streams without delay. Yamux's own Close first wakes the streams, and each one that waits for data then retries in a
// busy loop until reading has stopped; with many streams and one processor, that takes seconds.
func (c *conn) closeAndWait() {
	c.Conn.Close()
	<-c.readStopped
}

// Close closes the connection in the background. It must not wait, because yamux calls it after it has woken the
// streams and before it closes them.
func (c *conn) Close() error {
	c.markReadStopped()
	go c.Conn.Close()
	return nil
}

// hasBody reports whether p is the yamux header of a data frame with a body.
func hasBody(p []byte) bool {
	return len(p) == yamuxHeaderSize && p[1] == yamuxDataType && binary.BigEndian.Uint32(p[8:]) > 0
}

// setAckTimeout makes the kernel close a connection whose data remains unacknowledged for the timeout.
func setAckTimeout(c net.Conn, timeout time.Duration) {
	seamnet.WithFD(c, func(fd int) {
		// If the kernel rejects the option, the session's probes still detect a lost peer.
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}
