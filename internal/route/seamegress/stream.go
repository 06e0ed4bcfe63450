package seamegress

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seamcall"
	"cardamomseam/internal/route/seamframe"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamroutewire"
	"cardamomseam/internal/route/seamspan"
)

const (
	// headTime bounds the wait for the head of a request after its stream was opened.
	headTimeout = time.Second
	// idleTime bounds the wait for the next request on a stream.
	streamIdleTimeout = 10 * time.Second
	// skewFloor is the difference of session time that is always tolerated.
	minSkewTolerance = 50 * time.Millisecond
	// driftShare is the part of a session's age by which its clocks may drift apart.
	clockDriftDivisor = 10_000
)

// aged is a stream that knows the age of its session.
type ageReporter interface {
	Age(now time.Time) time.Duration
}

// ServeStream serves the requests that another node sends one after the other on a stream.
func (e *Egress) ServeStream(ctx context.Context, _ seampeer.Peer, conn net.Conn) {
	reader, done := seamframe.NewReader(conn)
	defer done()
	conn.SetReadDeadline(time.Now().Add(headTimeout))
	frame, err := reader.Next()
	for err == nil && frame.Type == seamframe.RequestHead {
		head := new(seamroutewire.RequestHead)
		if frame.Decode(head) != nil {
			// Without a head there is no id to answer to; the closed stream says that it was lost.
			return
		}
		conn.SetReadDeadline(time.Time{})
		head.Left = min(head.GetLeft(), remainingBySessionAge(conn, head.GetExpires(), time.Now()))
		frame, err = e.serve(seamspan.Extract(ctx, head.GetTrace()), conn, reader, head)
	}
}

// leftBySession returns the milliseconds until the deadline on the session's time,
// which passes also while a request waits in the buffers of a paused process.
func remainingBySessionAge(conn net.Conn, expires int64, now time.Time) int64 {
	a, ok := conn.(ageReporter)
	if !ok || expires == 0 {
		return 1<<63 - 1
	}
	age := a.Age(now)
	return expires + (minSkewTolerance + age/clockDriftDivisor - age).Milliseconds()
}

// serve answers one request and returns the frame that follows it on the stream.
func (e *Egress) serve(ctx context.Context, conn net.Conn, reader *seamframe.Reader, head *seamroutewire.RequestHead) (seamframe.Frame, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body := &streamBody{conn: conn, reader: reader, onClosed: cancel}
	response, done := newStreamResponse(conn)
	defer done()
	var end seamoutcome.End
	if in, err := body.open(head); err != nil {
		end = seamoutcome.Refuse(seamoutcome.Malformed, err.Error())
	} else {
		end = e.Run(ctx, head, in, response)
	}
	// A caller that misses the end takes the answer as cut.
	if err := response.end(seamcall.WireEnd(head, end)); err != nil {
		body.stop()
		return seamframe.Frame{}, err
	}
	return body.nextFrame()
}

// streamBody reads the body of a request from its stream, and afterwards
// watches whether the ingress closes the stream.
type streamBody struct {
	conn   net.Conn
	reader *seamframe.Reader
	// gone is called when the ingress closed the stream.
	onClosed func()

	// mu keeps a reader that outlives the request from the frames.
	mu        sync.Mutex
	stopped   bool
	requested bool
	watching  chan struct{}
	unread    []byte
	complete  bool
	// frame and err are what the watch has read.
	frame seamframe.Frame
	err   error
}

// open returns the body. A body that follows in one piece is read at once.
func (b *streamBody) open(head *seamroutewire.RequestHead) (io.Reader, error) {
	if !head.GetWhole() {
		return b, nil
	}
	b.conn.SetReadDeadline(time.Now().Add(headTimeout))
	defer b.conn.SetReadDeadline(time.Time{})
	buffered := make([]byte, 0, min(max(head.GetLength(), 0), seamcall.WholeLimit))
	for {
		chunk, err := b.next()
		if errors.Is(err, io.EOF) {
			return checkLength(head, buffered)
		}
		if err != nil {
			return nil, err
		}
		if buffered = append(buffered, chunk...); len(buffered) > seamcall.WholeLimit {
			return nil, &seamframe.Error{Fault: "whole body is too long", Type: seamframe.Chunk}
		}
	}
}

// wholeBody checks the length of a body that was read to its end.
func checkLength(head *seamroutewire.RequestHead, body []byte) (io.Reader, error) {
	length := int64(len(body))
	if head.GetLength() >= 0 && head.GetLength() != length {
		return nil, &seamframe.Error{Fault: "body has another length", Type: seamframe.RequestEnd, Length: uint64(length)}
	}
	head.Length = length
	return bytes.NewReader(body), nil
}

// Read returns the next bytes of the body, io.EOF at its end, and
// io.ErrUnexpectedEOF if the stream ends before it.
func (b *streamBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return 0, net.ErrClosed
	}
	if err := b.requestBody(); err != nil {
		return 0, err
	}
	for len(b.unread) == 0 {
		chunk, err := b.next()
		if err != nil {
			return 0, err
		}
		b.unread = chunk
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// ask tells the ingress, once, that the body is wanted. Until then nothing of it
// was sent, so that a request that is refused can go elsewhere whole.
func (b *streamBody) requestBody() error {
	if b.requested {
		return nil
	}
	b.requested = true
	return seamframe.Write(b.conn, seamframe.Admitted, &seamroutewire.Admitted{})
}

// next returns the next chunk, or io.EOF after the last.
func (b *streamBody) next() ([]byte, error) {
	if b.complete {
		return nil, io.EOF
	}
	f, err := b.reader.Next()
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		b.onClosed()
		return nil, err
	}
	switch f.Type {
	case seamframe.Chunk:
		return f.Payload, nil
	case seamframe.RequestEnd:
		b.complete = true
		b.watchClose()
		return nil, io.EOF
	default:
		return nil, &seamframe.Error{Fault: "not part of a body", Type: f.Type}
	}
}

// watch waits for what follows the body. The end of the stream comes before
// the answer's end only if the caller left.
func (b *streamBody) watchClose() {
	b.watching = make(chan struct{})
	go func() {
		defer close(b.watching)
		b.frame, b.err = b.reader.Next()
		if b.err != nil {
			b.onClosed()
		}
	}()
}

// follow returns the frame that follows the request. There is none if the
// answer came before the end of the body.
func (b *streamBody) nextFrame() (seamframe.Frame, error) {
	b.mu.Lock()
	watching := b.watching
	b.mu.Unlock()
	if watching == nil {
		b.stop()
		return seamframe.Frame{}, io.EOF
	}
	b.conn.SetReadDeadline(time.Now().Add(streamIdleTimeout))
	<-watching
	return b.frame, b.err
}

// stop ends the reading, so that the reader can be used again.
func (b *streamBody) stop() {
	b.conn.SetReadDeadline(time.Unix(1, 0))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	if b.watching != nil {
		<-b.watching
	}
}

// streamAnswer writes an answer to a stream.
type streamResponse struct {
	conn     net.Conn
	buffer   *seamframe.Buffer
	buffered bool
}

func newStreamResponse(conn net.Conn) (response *streamResponse, done func()) {
	buffer, done := seamframe.NewBuffer()
	return &streamResponse{conn: conn, buffer: buffer}, done
}

// Head queues the head; it is sent with the first part of the body.
func (a *streamResponse) Head(h *seamroutewire.AnswerHead) error {
	a.buffered = h.GetWhole()
	if err := a.buffer.Message(seamframe.AnswerHead, h); err != nil || a.buffered {
		return err
	}
	return a.buffer.Flush(a.conn)
}

// Body sends a part of the body, or queues it if the answer is sent in one piece.
func (a *streamResponse) Body(p []byte) error {
	a.buffer.Chunk(p)
	if a.buffered {
		return nil
	}
	return a.buffer.Flush(a.conn)
}

func (a *streamResponse) end(e *seamroutewire.AnswerEnd) error {
	if err := a.buffer.Message(seamframe.AnswerEnd, e); err != nil {
		return err
	}
	return a.buffer.Flush(a.conn)
}
