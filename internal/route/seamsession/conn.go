package seamsession

import (
	"encoding/binary"
	"net"
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
}

// Read counts what arrives.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Add(n)
	if n > 0 {
		c.heard.Store(time.Now().UnixNano())
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

func (c *conn) send(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Add(n)
	return n, err
}

func bodyFollows(p []byte) bool {
	return len(p) == headerSize && p[1] == dataType && binary.BigEndian.Uint32(p[8:]) > 0
}

// boundSilence lets the kernel give up a connection whose data stays unacknowledged.
func boundSilence(c net.Conn, silence time.Duration) {
	seamnet.Control(c, func(fd int) {
		// A kernel without the option leaves the probes of the session to find the loss.
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
}
