package seamsession

import (
	"bytes"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// maxWriteBytes is the size of the largest part of a write that is sent at once, in bytes. The streams of a session take turns.
	maxWriteBytes = 32 << 10
	// maxDirectWriteBytes is the size of the largest write that is made without a copy if no other one is in progress.
	maxDirectWriteBytes = 4 << 10
	// frameWriteTimeout bounds the time until a part of a write has been passed to the connection. Over a slow link, the parts of other
	// streams go first; a session whose peer is unresponsive is closed long before.
	frameWriteTimeout = 10 * time.Second
)

// muxStream is a stream whose writes end at their deadline also while the connection is busy with other streams.
type muxStream struct {
	*yamux.Stream
	// writing counts the writes of all streams of the session.
	writing  *atomic.Int32
	deadline deadline
	// abandoned means that a part of a write may still be sent after the write has ended.
	abandoned atomic.Bool
}

func newMuxStream(s *yamux.Stream, writing *atomic.Int32) *muxStream {
	return &muxStream{Stream: s, writing: writing}
}

// SetDeadline implements net.Conn.
func (m *muxStream) SetDeadline(t time.Time) error {
	m.deadline.set(t)
	return m.Stream.SetDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (m *muxStream) SetWriteDeadline(t time.Time) error {
	m.deadline.set(t)
	return m.Stream.SetWriteDeadline(t)
}

// Write implements net.Conn.
func (m *muxStream) Write(p []byte) (int, error) {
	total := 0
	for {
		part := p[total:min(len(p), total+maxWriteBytes)]
		n, err := m.writePart(part)
		total += n
		if err != nil || total == len(p) {
			return total, err
		}
	}
}

// Close implements net.Conn. It does not wait for the end of the stream to be sent while other writes are in progress.
func (m *muxStream) Close() error {
	if m.writing.Load() == 0 {
		return m.Stream.Close()
	}
	go m.Stream.Close()
	return nil
}

// writePart writes a part of a write, or returns yamux.ErrTimeout at the deadline.
func (m *muxStream) writePart(p []byte) (int, error) {
	if m.abandoned.Load() {
		return 0, yamux.ErrTimeout
	}
	others := m.writing.Add(1) - 1
	if others == 0 && len(p) <= maxDirectWriteBytes {
		defer m.writing.Add(-1)
		return m.Stream.Write(p)
	}
	written := make(chan writeResult, 1)
	go func(p []byte) {
		defer m.writing.Add(-1)
		n, err := m.Stream.Write(p)
		written <- writeResult{n, err}
	}(bytes.Clone(p))
	return m.await(written)
}

// await waits for the result of a write until the deadline.
func (m *muxStream) await(written <-chan writeResult) (int, error) {
	for {
		passed, moved, stop := m.deadline.wait(time.Now())
		select {
		case r := <-written:
			stop()
			return r.n, r.err
		case <-passed:
			m.abandoned.Store(true)
			return 0, yamux.ErrTimeout
		case <-moved:
			stop()
		}
	}
}

// writeResult is the result of a Write.
type writeResult struct {
	n   int
	err error
}

// deadline is a time that can be moved while it is waited for. It is safe for concurrent use.
type deadline struct {
	mu sync.Mutex
	// at is the deadline; zero if there is none.
	at time.Time
	// moved is closed when the deadline is moved; nil if nothing waits for it.
	moved chan struct{}
}

// set moves the deadline; a zero time removes it.
func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at = t
	if d.moved != nil {
		close(d.moved)
		d.moved = nil
	}
}

// wait returns a channel that delivers when the deadline has passed, nil if there is none, a channel that is closed when it is
// moved, and a function that releases them.
func (d *deadline) wait(now time.Time) (passed <-chan time.Time, moved <-chan struct{}, stop func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.moved == nil {
		d.moved = make(chan struct{})
	}
	if d.at.IsZero() {
		return nil, d.moved, func() {}
	}
	t := time.NewTimer(d.at.Sub(now))
	return t.C, d.moved, func() { t.Stop() }
}
