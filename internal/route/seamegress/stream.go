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
	"cardamomseam/internal/platform/seamguard"
	"cardamomseam/internal/route/seamcall"
	"cardamomseam/internal/route/seamframe"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamroutewire"
	"cardamomseam/internal/route/seamspan"
)

const (
	// headTimeout bounds the wait for the head of a request after its stream was opened.
	headTimeout = time.Second
	// streamIdleTimeout bounds the wait for the next request on a stream.
	streamIdleTimeout = 10 * time.Second
	// minSkewTolerance is the difference between both ends' session ages that is always tolerated.
	minSkewTolerance = 50 * time.Millisecond
	// clockDriftDivisor is the inverse of the assumed clock drift: 1/10,000 of the session's age.
	clockDriftDivisor = 10_000
)

// ageReporter is a stream that knows the age of its session.
type ageReporter interface {
	Age(now time.Time) time.Duration
}

// ServeStream serves the requests that another node sends sequentially on a stream.
func (e *Egress) ServeStream(ctx context.Context, sender seampeer.Peer, conn net.Conn) {
	reader, done := seamframe.NewReader(conn)
	defer done()
	conn.SetReadDeadline(time.Now().Add(headTimeout))
	frame, err := reader.Next()
	for err == nil && frame.Type == seamframe.RequestHead {
		head := new(seamroutewire.RequestHead)
		if frame.Decode(head) != nil {
			// Without a head there is no id to reply to; the sender sees the closed stream.
			return
		}
		conn.SetReadDeadline(time.Time{})
		head.Left = min(head.GetLeft(), remainingBySessionAge(conn, head.GetExpires(), time.Now()))
		e.learn(time.Now(), sender.Name, head)
		frame, err = e.serve(seamspan.Extract(ctx, head.GetTrace()), conn, reader, head)
	}
}

// remainingBySessionAge returns the milliseconds until a deadline that is given as an age of the session.
// The session's age also covers the time that a request waits in the buffers of a paused process.
func remainingBySessionAge(conn net.Conn, expires int64, now time.Time) int64 {
	a, ok := conn.(ageReporter)
	if !ok || expires == 0 {
		return 1<<63 - 1
	}
	age := a.Age(now)
	return expires + (minSkewTolerance + age/clockDriftDivisor - age).Milliseconds()
}

// serve runs one request and returns the frame that follows it on the stream.
func (e *Egress) serve(ctx context.Context, conn net.Conn, reader *seamframe.Reader, head *seamroutewire.RequestHead) (seamframe.Frame, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body := &streamBody{conn: conn, reader: reader, onClosed: cancel}
	response, done := newStreamResponse(conn)
	defer done()
	end := e.runStreamed(ctx, head, body, response)
	// A caller that does not receive the end treats the response as truncated.
	if err := response.end(seamcall.EncodeEnd(head, end)); err != nil {
		body.stop()
		return seamframe.Frame{}, err
	}
	return body.nextFrame()
}

// runStreamed runs a request whose body comes from a stream. One that was sent whole with the head is read only if there is memory for it.
func (e *Egress) runStreamed(ctx context.Context, head *seamroutewire.RequestHead, body *streamBody, response *streamResponse) seamoutcome.End {
	if head.GetWhole() {
		length := min(max(head.GetLength(), 0), seamcall.MaxWholeBody)
		if !e.cfg.Guard.Reserve(time.Now(), seamguard.Bodies, length) {
			return seamoutcome.NewRefused(seamoutcome.Memory, "the target's node has no memory left for the body")
		}
		defer e.cfg.Guard.Release(length)
	}
	in, err := body.open(head)
	if err != nil {
		return seamoutcome.NewRefused(seamoutcome.Malformed, err.Error())
	}
	return e.Run(ctx, head, in, response)
}

// streamBody reads the body of a request from its stream, and then watches
// whether the ingress closes the stream.
type streamBody struct {
	conn   net.Conn
	reader *seamframe.Reader
	// onClosed is called when the ingress has closed the stream.
	onClosed func()

	// mu prevents a reader that outlives the request from reading further frames.
	mu        sync.Mutex
	stopped   bool
	requested bool
	watching  chan struct{}
	unread    []byte
	complete  bool
	// frame and err are the result of the watch.
	frame seamframe.Frame
	err   error
}

// open returns the body. A body that is sent whole with the head is read immediately.
func (b *streamBody) open(head *seamroutewire.RequestHead) (io.Reader, error) {
	if !head.GetWhole() {
		return b, nil
	}
	b.conn.SetReadDeadline(time.Now().Add(headTimeout))
	defer b.conn.SetReadDeadline(time.Time{})
	buffered := make([]byte, 0, min(max(head.GetLength(), 0), seamcall.MaxWholeBody))
	for {
		chunk, err := b.next()
		if errors.Is(err, io.EOF) {
			return checkLength(head, buffered)
		}
		if err != nil {
			return nil, err
		}
		if buffered = append(buffered, chunk...); len(buffered) > seamcall.MaxWholeBody {
			return nil, &seamframe.Error{Fault: "whole body is too long", Type: seamframe.Chunk}
		}
	}
}

// checkLength verifies the length of a body that was read to its end.
func checkLength(head *seamroutewire.RequestHead, body []byte) (io.Reader, error) {
	length := int64(len(body))
	if head.GetLength() >= 0 && head.GetLength() != length {
		return nil, &seamframe.Error{Fault: "body length differs from the announced length", Type: seamframe.RequestEnd, Length: uint64(length)}
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

// requestBody asks the ingress once to send the body. Nothing of the body is sent before,
// so that a refused request can be retried at another target.
func (b *streamBody) requestBody() error {
	if b.requested {
		return nil
	}
	b.requested = true
	return seamframe.Write(b.conn, seamframe.Admitted, &seamroutewire.Admitted{})
}

// next returns the next chunk, or io.EOF after the last one.
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
		return nil, &seamframe.Error{Fault: "unexpected frame within a body", Type: f.Type}
	}
}

// watchClose reads the frame that follows the body. The stream ends before the end of
// the response only if the caller has disconnected.
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

// nextFrame returns the frame that follows the request. There is none if the
// response ended before the body.
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

// stop ends all reading, so that the frame reader can be reused.
func (b *streamBody) stop() {
	b.conn.SetReadDeadline(time.Unix(1, 0))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	if b.watching != nil {
		<-b.watching
	}
}

// streamResponse writes a response to a stream.
type streamResponse struct {
	conn     net.Conn
	buffer   *seamframe.Buffer
	buffered bool
}

func newStreamResponse(conn net.Conn) (response *streamResponse, done func()) {
	buffer, done := seamframe.NewBuffer()
	return &streamResponse{conn: conn, buffer: buffer}, done
}

// WriteHead sends the head, or queues it if the response is sent in one piece.
func (a *streamResponse) WriteHead(h *seamroutewire.AnswerHead) error {
	a.buffered = h.GetWhole()
	if err := a.buffer.AppendMessage(seamframe.AnswerHead, h); err != nil || a.buffered {
		return err
	}
	return a.buffer.Flush(a.conn)
}

// WriteBody sends a chunk of the body, or queues it if the response is sent in one piece.
func (a *streamResponse) WriteBody(p []byte) error {
	a.buffer.AppendChunks(p)
	if a.buffered {
		return nil
	}
	return a.buffer.Flush(a.conn)
}

func (a *streamResponse) end(e *seamroutewire.AnswerEnd) error {
	if err := a.buffer.AppendMessage(seamframe.AnswerEnd, e); err != nil {
		return err
	}
	return a.buffer.Flush(a.conn)
}
