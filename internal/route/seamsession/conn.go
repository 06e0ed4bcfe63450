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
	// headerSize is the length of a yamux header, in bytes.
	headerSize = 12
	// dataType is the type of a yamux header that a body follows.
	dataType = 0
	// joinLimit is the largest body that is copied to be sent together with its header.
	joinLimit = 40 << 10
)

// conn counts the bytes of a session and sends each yamux header together with
// its body, in one segment instead of two.
type conn struct {
	net.Conn
	in, out *metrics.Counter
	pending []byte
	// heard is the time of the last bytes that arrived, in nanoseconds since the Unix epoch.
	heard atomic.Int64
	// failed is closed when reading has failed, or yamux ends the session for another reason.
	failed chan struct{}
	fail   func()
}

func newConn(c net.Conn, in, out *metrics.Counter) *conn {
	failed := make(chan struct{})
	return &conn{Conn: c, in: in, out: out, failed: failed, fail: sync.OnceFunc(func() { close(failed) })}
}

// Read counts what arrives.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Add(n)
	if n > 0 {
		c.heard.Store(time.Now().UnixNano())
	}
	if err != nil {
		c.fail()
	}
	return n, err
}

// Write holds back the header of a frame with a body until the body is written.
// Yamux writes from one goroutine only.
func (c *conn) Write(p []byte) (int, error) {
	if len(c.pending) == 0 && bodyFollows(p) {
		c.pending = append(c.pending, p...)
		return len(p), nil
	}
	if len(c.pending) == 0 {
		return c.send(p)
	}
	return c.sendJoined(p)
}

func (c *conn) sendJoined(p []byte) (int, error) {
	defer func() { c.pending = c.pending[:0] }()
	if len(p) > joinLimit {
		if _, err := c.send(c.pending); err != nil {
			return 0, err
		}
		return c.send(p)
	}
	c.pending = append(c.pending, p...)
	if _, err := c.send(c.pending); err != nil {
		return 0, err
	}
	return len(p), nil
}

// send writes to the peer. An error ends the reading first, and with it the session.
func (c *conn) send(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Add(n)
	if err != nil {
		c.end()
	}
	return n, err
}

// end closes the connection and waits until reading has failed. That lets yamux end the session with all its
// streams in one go. Yamux's own Close wakes the streams first, and each of them that waits for bytes then tries
// again without a pause until the reading has stopped: with many streams and one processor, for seconds.
func (c *conn) end() {
	c.Conn.Close()
	<-c.failed
}

// Close is called by yamux between waking the streams and ending them, so it does not wait.
func (c *conn) Close() error {
	c.fail()
	go c.Conn.Close()
	return nil
}

func bodyFollows(p []byte) bool {
	return len(p) == headerSize && p[1] == dataType && binary.BigEndian.Uint32(p[8:]) > 0
}

// boundSilence lets the kernel give up a connection whose data stays unacknowledged.
func boundSilence(c net.Conn, silence time.Duration) {
	seamnet.WithFD(c, func(fd int) {
		// A kernel without the option leaves the probes of the session to find the loss.
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
}
