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
	headTime = time.Second
	// idleTime bounds the wait for the next request on a stream.
	idleTime = 10 * time.Second
	// skewFloor is the difference of session time that is always tolerated.
	skewFloor = 50 * time.Millisecond
	// driftShare is the part of a session's age by which its clocks may drift apart.
	driftShare = 10_000
)

// aged is a stream that knows the age of its session.
type aged interface {
	Age(now time.Time) time.Duration
}

// ServeStream serves the requests that another node sends one after the other on a stream.
func (e *Egress) ServeStream(ctx context.Context, _ seampeer.Peer, conn net.Conn) {
	reader, done := seamframe.NewReader(conn)
	defer done()
	conn.SetReadDeadline(time.Now().Add(headTime))
	frame, err := reader.Next()
	for err == nil && frame.Type == seamframe.RequestHead {
		head := new(seamroutewire.RequestHead)
		if frame.Decode(head) != nil {
			// Without a head there is no id to answer to; the closed stream says that it was lost.
			return
		}
		conn.SetReadDeadline(time.Time{})
		head.Left = min(head.GetLeft(), leftBySession(conn, head.GetExpires(), time.Now()))
		frame, err = e.serve(seamspan.Extract(ctx, head.GetTrace()), conn, reader, head)
	}
}

// leftBySession returns the milliseconds until the deadline on the session's time,
// which passes also while a request waits in the buffers of a paused process.
func leftBySession(conn net.Conn, expires int64, now time.Time) int64 {
	a, ok := conn.(aged)
	if !ok || expires == 0 {
		return 1<<63 - 1
	}
	age := a.Age(now)
	return expires + (skewFloor + age/driftShare - age).Milliseconds()
}

// serve answers one request and returns the frame that follows it on the stream.
func (e *Egress) serve(ctx context.Context, conn net.Conn, reader *seamframe.Reader, head *seamroutewire.RequestHead) (seamframe.Frame, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body := &streamBody{conn: conn, reader: reader, gone: cancel}
	answer, done := newStreamAnswer(conn)
	defer done()
	var end seamoutcome.End
	if in, err := body.open(head); err != nil {
		end = seamoutcome.NewRefused(seamoutcome.Malformed, err.Error())
	} else {
		end = e.Run(ctx, head, in, answer)
	}
	// A caller that misses the end takes the answer as cut.
	if err := answer.end(seamcall.EncodeEnd(head, end)); err != nil {
		body.stop()
		return seamframe.Frame{}, err
	}
	return body.follow()
}

// streamBody reads the body of a request from its stream, and afterwards
// watches whether the ingress closes the stream.
type streamBody struct {
	conn   net.Conn
	reader *seamframe.Reader
	// gone is called when the ingress closed the stream.
	gone func()

	// mu keeps a reader that outlives the request from the frames.
	mu       sync.Mutex
	stopped  bool
	asked    bool
	watching chan struct{}
	rest     []byte
	ended    bool
	// frame and err are what the watch has read.
	frame seamframe.Frame
	err   error
}

// open returns the body. A body that follows in one piece is read at once.
func (b *streamBody) open(head *seamroutewire.RequestHead) (io.Reader, error) {
	if !head.GetWhole() {
		return b, nil
	}
	b.conn.SetReadDeadline(time.Now().Add(headTime))
	defer b.conn.SetReadDeadline(time.Time{})
	whole := make([]byte, 0, min(max(head.GetLength(), 0), seamcall.MaxWholeBody))
	for {
		part, err := b.next()
		if errors.Is(err, io.EOF) {
			return wholeBody(head, whole)
		}
		if err != nil {
			return nil, err
		}
		if whole = append(whole, part...); len(whole) > seamcall.MaxWholeBody {
			return nil, &seamframe.Error{Fault: "whole body is too long", Type: seamframe.Chunk}
		}
	}
}

// wholeBody checks the length of a body that was read to its end.
func wholeBody(head *seamroutewire.RequestHead, whole []byte) (io.Reader, error) {
	length := int64(len(whole))
	if head.GetLength() >= 0 && head.GetLength() != length {
		return nil, &seamframe.Error{Fault: "body has another length", Type: seamframe.RequestEnd, Length: uint64(length)}
	}
	head.Length = length
	return bytes.NewReader(whole), nil
}

// Read returns the next bytes of the body, io.EOF at its end, and
// io.ErrUnexpectedEOF if the stream ends before it.
func (b *streamBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return 0, net.ErrClosed
	}
	if err := b.ask(); err != nil {
		return 0, err
	}
	for len(b.rest) == 0 {
		part, err := b.next()
		if err != nil {
			return 0, err
		}
		b.rest = part
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// ask tells the ingress, once, that the body is wanted. Until then nothing of it
// was sent, so that a request that is refused can go elsewhere whole.
func (b *streamBody) ask() error {
	if b.asked {
		return nil
	}
	b.asked = true
	return seamframe.Write(b.conn, seamframe.Admitted, &seamroutewire.Admitted{})
}

// next returns the next chunk, or io.EOF after the last.
func (b *streamBody) next() ([]byte, error) {
	if b.ended {
		return nil, io.EOF
	}
	f, err := b.reader.Next()
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		b.gone()
		return nil, err
	}
	switch f.Type {
	case seamframe.Chunk:
		return f.Payload, nil
	case seamframe.RequestEnd:
		b.ended = true
		b.watch()
		return nil, io.EOF
	default:
		return nil, &seamframe.Error{Fault: "not part of a body", Type: f.Type}
	}
}

// watch waits for what follows the body. The end of the stream comes before
// the answer's end only if the caller left.
func (b *streamBody) watch() {
	b.watching = make(chan struct{})
	go func() {
		defer close(b.watching)
		b.frame, b.err = b.reader.Next()
		if b.err != nil {
			b.gone()
		}
	}()
}

// follow returns the frame that follows the request. There is none if the
// answer came before the end of the body.
func (b *streamBody) follow() (seamframe.Frame, error) {
	b.mu.Lock()
	watching := b.watching
	b.mu.Unlock()
	if watching == nil {
		b.stop()
		return seamframe.Frame{}, io.EOF
	}
	b.conn.SetReadDeadline(time.Now().Add(idleTime))
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
type streamAnswer struct {
	conn   net.Conn
	buffer *seamframe.Buffer
	whole  bool
}

func newStreamAnswer(conn net.Conn) (answer *streamAnswer, done func()) {
	buffer, done := seamframe.NewBuffer()
	return &streamAnswer{conn: conn, buffer: buffer}, done
}

// Head queues the head; it is sent with the first part of the body.
func (a *streamAnswer) WriteHead(h *seamroutewire.AnswerHead) error {
	a.whole = h.GetWhole()
	if err := a.buffer.AppendMessage(seamframe.AnswerHead, h); err != nil || a.whole {
		return err
	}
	return a.buffer.Flush(a.conn)
}

// Body sends a part of the body, or queues it if the answer is sent in one piece.
func (a *streamAnswer) WriteBody(p []byte) error {
	a.buffer.AppendChunks(p)
	if a.whole {
		return nil
	}
	return a.buffer.Flush(a.conn)
}

func (a *streamAnswer) end(e *seamroutewire.AnswerEnd) error {
	if err := a.buffer.AppendMessage(seamframe.AnswerEnd, e); err != nil {
		return err
	}
	return a.buffer.Flush(a.conn)
}
