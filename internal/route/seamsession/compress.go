package seamsession

import (
	"bytes"
	"net"
	"sync/atomic"

	"github.com/klauspost/compress/zstd"
)

const (
	// compressionWindow is the distance over which repeated bytes are found, in bytes. It holds the heads of dozens of requests.
	compressionWindow = 32 << 10
	// compressedSessionBytes is about the memory that the state of a compressed session takes, in bytes.
	compressedSessionBytes = 1 << 20
)

// Compression selects the sessions whose bytes are compressed.
type Compression struct {
	// OtherRegions compresses the sessions with peers of other regions that compress as well.
	OtherRegions bool
	// MaxBytes bounds the memory for the state of compressed sessions; sessions beyond it are not compressed.
	MaxBytes int64
}

// compressor decides which sessions are compressed. It is safe for concurrent use.
type compressor struct {
	cfg Compression
	// sessions is the number of compressed sessions and of those whose handshake is in progress.
	sessions atomic.Int64
}

// reserve reports whether a session with a peer of another region, or of the same one, may be compressed. A session for which it
// returned true is released after its end.
func (c *compressor) reserve(otherRegion bool) bool {
	if !c.cfg.OtherRegions || !otherRegion {
		return false
	}
	if c.sessions.Add(1)*compressedSessionBytes > c.cfg.MaxBytes {
		c.release()
		return false
	}
	return true
}

func (c *compressor) release() { c.sessions.Add(-1) }

// compressedConn compresses what is written to a connection and decompresses what is read from it. Each write is sent at once.
type compressedConn struct {
	net.Conn
	reader  *zstd.Decoder
	writer  *zstd.Encoder
	pending bytes.Buffer
}

func newCompressedConn(c net.Conn) (*compressedConn, error) {
	reader, err := zstd.NewReader(c,
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxWindow(compressionWindow))
	if err != nil {
		return nil, err
	}
	m := &compressedConn{Conn: c, reader: reader}
	m.writer, err = zstd.NewWriter(&m.pending,
		zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(compressionWindow),
		zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderCRC(false))
	return m, err
}

// Read implements net.Conn.
func (m *compressedConn) Read(p []byte) (int, error) { return m.reader.Read(p) }

// Write implements net.Conn. It must not be called concurrently.
func (m *compressedConn) Write(p []byte) (int, error) {
	m.pending.Reset()
	if _, err := m.writer.Write(p); err != nil {
		return 0, err
	}
	if err := m.writer.Flush(); err != nil {
		return 0, err
	}
	if _, err := m.Conn.Write(m.pending.Bytes()); err != nil {
		return 0, err
	}
	return len(p), nil
}
