package seamingress

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/trace"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/platform/seamwait"
	"cardamomseam/internal/route/seamcall"
	"cardamomseam/internal/route/seamdedup"
	"cardamomseam/internal/route/seamframe"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamretry"
	"cardamomseam/internal/route/seamroutewire"
	"cardamomseam/internal/route/seamsession"
	"cardamomseam/internal/route/seamspan"
)

const (
	// answerGrace is the time after the deadline in which the node may still say how the attempt ended.
	answerGrace = 50 * time.Millisecond
	// voidTime bounds the question whether a lost attempt has run.
	voidTime = time.Second
)

// lostError says that a node took an attempt and did not say how it ended.
type lostError struct {
	At    seampeer.Peer
	Cause error
}

// Error names the node and the cause.
func (e *lostError) Error() string {
	return fmt.Sprintf("node %s did not end the attempt: %v", e.At, e.Cause)
}

// Unwrap returns the cause.
func (e *lostError) Unwrap() error { return e.Cause }

// sentAt is when an attempt was sent, with the time left to its deadline.
type sentAt struct {
	Time time.Time
	Left time.Duration
}

// left returns the time to the deadline. The larger of monotonic and wall time
// counts as elapsed, so that a suspended machine does not ask too late.
func (s sentAt) left(now time.Time) time.Duration {
	elapsed := max(now.Sub(s.Time), now.Round(0).Sub(s.Time.Round(0)))
	return s.Left - elapsed
}

// sendRemote passes the request to another node over a session.
func (x *exchange) sendRemote(ctx context.Context, to seampeer.Peer) (seamoutcome.End, seampeer.Peer, error) {
	ctx, span := seamspan.Start(ctx, "session", trace.SpanKindClient)
	defer span.End()
	conn, err := x.open(ctx, to)
	if err != nil {
		return seamoutcome.NewRefused(seamoutcome.Session, err.Error()), to, nil
	}
	clean := false
	defer func() { finishStream(conn, clean) }()
	at := to
	if p, ok := conn.(interface{ Peer() seampeer.Peer }); ok {
		at = p.Peer()
		at.Address = to.Address
	}
	if at.Name != "" {
		x.answer.server = at.Name
	}
	conn.SetDeadline(x.deadline.Add(answerGrace))
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	end, err := x.talk(ctx, conn)
	untouched := stop()
	if err != nil {
		return end, at, &lostError{At: at, Cause: err}
	}
	clean = untouched && x.body.whole && x.drained
	return end, at, nil
}

// finishStream keeps a stream for reuse if nothing of the request is left on it.
func finishStream(conn net.Conn, clean bool) {
	if r, ok := conn.(interface{ Release() }); ok && clean {
		r.Release()
		return
	}
	conn.Close()
}

func (x *exchange) open(ctx context.Context, to seampeer.Peer) (net.Conn, error) {
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	return x.ingress.sessions.Open(ctx, to, seamsession.Request)
}

// talk sends the request and receives the answer.
func (x *exchange) talk(ctx context.Context, conn net.Conn) (seamoutcome.End, error) {
	if !x.ingress.cfg.OmitOptionalFields || seamspan.Sampled(ctx) {
		x.head.Trace = seamspan.Traceparent(ctx)
	}
	x.head.Expires = 0
	if a, ok := conn.(interface{ Age(time.Time) time.Duration }); ok {
		now := time.Now()
		x.head.Expires = (a.Age(now) + x.deadline.Sub(now)).Milliseconds()
	}
	if err := x.sendHead(conn); err != nil {
		return seamoutcome.End{}, err
	}
	if x.body.whole {
		return x.receive(conn)
	}
	return x.stream(conn)
}

// sendHead sends the head, with the body and its end if they are at hand.
func (x *exchange) sendHead(conn net.Conn) error {
	buffer, done := seamframe.NewBuffer()
	defer done()
	if err := buffer.AppendMessage(seamframe.RequestHead, x.head); err != nil {
		return err
	}
	if x.body.whole {
		buffer.AppendChunks(x.body.kept)
		if err := buffer.AppendMessage(seamframe.RequestEnd, &seamroutewire.RequestEnd{}); err != nil {
			return err
		}
	}
	return buffer.Flush(conn)
}

// stream sends a long body, once the node asks for it, while it receives the answer.
func (x *exchange) stream(conn net.Conn) (seamoutcome.End, error) {
	admitted := make(chan struct{})
	x.admitted = admitted
	over, sent := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sent)
		select {
		case <-admitted:
		case <-over:
			return
		}
		if x.sendBody(conn) != nil {
			// The node sees a body that is cut, and the receiving side stops waiting.
			conn.Close()
			conn.SetReadDeadline(time.Now().Add(answerGrace))
		}
	}()
	end, err := x.receive(conn)
	close(over)
	x.endBody(conn, sent)
	if failure := x.body.failure.Load(); failure != nil && err != nil {
		return end, failure
	}
	return end, err
}

// endBody waits until nothing of the body is sent any more. A body that the node did not ask
// for is left unread, so that another attempt can send it.
func (x *exchange) endBody(conn net.Conn, sent <-chan struct{}) {
	if x.admitted != nil {
		<-sent
		return
	}
	if x.body.count.Load() > 0 {
		conn.Close()
	}
	select {
	case <-sent:
		return
	case <-time.After(time.Millisecond):
	}
	conn.Close()
	x.answer.stopReading()
	<-sent
}

func (x *exchange) sendBody(conn net.Conn) error {
	buffer, done := seamframe.NewBuffer()
	defer done()
	part := make([]byte, seamframe.MaxChunkSize)
	for {
		n, err := x.body.Read(part)
		buffer.AppendChunks(part[:n])
		ended := errors.Is(err, io.EOF)
		if err != nil && !ended {
			return err
		}
		if ended {
			if err := buffer.AppendMessage(seamframe.RequestEnd, &seamroutewire.RequestEnd{}); err != nil {
				return err
			}
		}
		if err := buffer.Flush(conn); err != nil || ended {
			return err
		}
	}
}

// receive reads the answer to its end.
func (x *exchange) receive(conn net.Conn) (seamoutcome.End, error) {
	reader, done := seamframe.NewReader(conn)
	defer done()
	var a answerState
	for {
		f, err := reader.Next()
		if err != nil {
			return seamoutcome.End{}, err
		}
		switch f.Type {
		case seamframe.AnswerHead:
			err = x.receiveHead(f, &a)
		case seamframe.Chunk:
			err = x.receiveChunk(f, &a)
		case seamframe.Admitted:
			err = x.receiveAdmitted(f)
		case seamframe.AnswerEnd:
			x.drained = reader.Buffered() == 0
			return x.receiveEnd(f, &a)
		default:
			err = &seamframe.Error{Fault: "not part of an answer", Type: f.Type}
		}
		if err != nil {
			return seamoutcome.End{}, err
		}
	}
}

// answerState is what has arrived of an answer.
type answerState struct {
	head   *seamroutewire.AnswerHead
	length int64
}

func (x *exchange) receiveHead(f seamframe.Frame, a *answerState) error {
	head := new(seamroutewire.AnswerHead)
	if err := f.Decode(head); err != nil {
		return err
	}
	if a.head != nil || !x.mine(head.GetAttempt()) {
		return &seamframe.Error{Fault: "head of another answer", Type: f.Type}
	}
	a.head = head
	return x.answer.WriteHead(head)
}

func (x *exchange) receiveChunk(f seamframe.Frame, a *answerState) error {
	a.length += int64(len(f.Payload))
	if a.head == nil || a.head.GetLength() >= 0 && a.length > a.head.GetLength() {
		return &seamframe.Error{Fault: "more body than announced", Type: f.Type}
	}
	return x.answer.WriteBody(f.Payload)
}

func (x *exchange) receiveAdmitted(f seamframe.Frame) error {
	if x.admitted == nil {
		return &seamframe.Error{Fault: "body was asked for twice", Type: f.Type}
	}
	close(x.admitted)
	x.admitted = nil
	return nil
}

func (x *exchange) receiveEnd(f seamframe.Frame, a *answerState) (seamoutcome.End, error) {
	w := new(seamroutewire.AnswerEnd)
	if err := f.Decode(w); err != nil {
		return seamoutcome.End{}, err
	}
	if !x.mine(w.GetAttempt()) {
		return seamoutcome.End{}, &seamframe.Error{Fault: "end of another answer", Type: f.Type}
	}
	end := seamcall.DecodeEnd(w)
	if end.Outcome == seamoutcome.Done && !x.whole(a) {
		return seamoutcome.End{}, &seamframe.Error{Fault: "less body than announced", Type: f.Type}
	}
	return end, nil
}

func (x *exchange) whole(a *answerState) bool {
	if a.head == nil {
		return false
	}
	return a.head.GetLength() < 0 || a.length == a.head.GetLength() || x.head.GetMethod() == http.MethodHead
}

func (x *exchange) mine(attempt uint64) bool {
	return attempt == x.head.GetAttempt()
}

// void asks the run of a node that took an attempt never to run it, and reports
// whether it has not run and never will.
func (x *exchange) void(ctx context.Context, at seampeer.Peer, sent sentAt) bool {
	ctx, cancel := context.WithTimeout(ctx, min(voidTime, time.Until(x.deadline)))
	defer cancel()
	for n := 0; ; n++ {
		state, err := x.ask(ctx, at, sent)
		if err == nil && sent.left(time.Now()) < -seamdedup.Retention {
			state = seamdedup.Unknown
		}
		var stale *seamsession.StalePeerError
		if err == nil || errors.As(err, &stale) {
			x.ingress.stats.voided(state)
			return state == seamdedup.Voided
		}
		if !seamwait.For(ctx, seamretry.Backoff(n)) {
			x.ingress.stats.voided(seamdedup.Unknown)
			return false
		}
	}
}

// ask asks once.
func (x *exchange) ask(ctx context.Context, at seampeer.Peer, sent sentAt) (seamdedup.State, error) {
	question := &seamroutewire.Void{
		Id:      x.head.GetId(),
		Attempt: x.head.GetAttempt(),
		Peer:    seamsession.PeerToWire(at),
		Left:    sent.left(time.Now()).Milliseconds(),
	}
	if at.Same(x.ingress.self) {
		return x.ingress.local.Void(question), nil
	}
	if at.Name == "" {
		// Without the run's name another run could answer for it.
		return seamdedup.Unknown, nil
	}
	conn, err := x.ingress.sessions.Open(ctx, at, seamsession.Void)
	if err != nil {
		return seamdedup.Unknown, err
	}
	defer conn.Close()
	limit, _ := ctx.Deadline()
	conn.SetDeadline(limit)
	if err := seamframe.Write(conn, seamframe.Void, question); err != nil {
		return seamdedup.Unknown, err
	}
	reader, done := seamframe.NewReader(conn)
	defer done()
	answer := new(seamroutewire.Voided)
	if err := reader.ReadMessage(seamframe.Voided, answer); err != nil {
		return seamdedup.Unknown, err
	}
	if !x.mine(answer.GetAttempt()) {
		return seamdedup.Unknown, nil
	}
	return seamdedup.State(answer.GetState()), nil
}
