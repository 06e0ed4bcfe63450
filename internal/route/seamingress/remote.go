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
	"cardamomseam/internal/route/seamanswer"
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
	// responseGrace is the time after the deadline during which the node may still report how the attempt ended.
	responseGrace = 50 * time.Millisecond
	// voidTimeout bounds the requests to void a lost attempt.
	voidTimeout = time.Second
)

// lostError reports that a node received an attempt and did not report how it ended.
type lostError struct {
	At    seampeer.Peer
	Cause error
}

// Error returns the node and the cause.
func (e *lostError) Error() string {
	return fmt.Sprintf("node %s did not report the end of the attempt: %v", e.At, e.Cause)
}

// Unwrap returns the cause.
func (e *lostError) Unwrap() error { return e.Cause }

// sentAttempt records when an attempt was sent, and the time that was left to its deadline then.
type sentAttempt struct {
	Time time.Time
	Left time.Duration
}

// left returns the time left to the deadline. The elapsed time is the larger of monotonic and wall
// clock time: the monotonic clock stops while the machine is suspended, and the node would be asked too late.
func (s sentAttempt) left(now time.Time) time.Duration {
	elapsed := max(now.Sub(s.Time), now.Round(0).Sub(s.Time.Round(0)))
	return s.Left - elapsed
}

// sendRemote sends the request to another node over a session.
func (x *exchange) sendRemote(ctx context.Context, to seampeer.Peer) (seamoutcome.End, seampeer.Peer, error) {
	ctx, span := seamspan.Start(ctx, "session", trace.SpanKindClient)
	defer span.End()
	conn, err := x.open(ctx, to)
	if err != nil {
		return seamoutcome.NewRefused(seamoutcome.Session, err.Error()), to, nil
	}
	reusable := false
	defer func() { finishStream(conn, reusable) }()
	at := to
	if p, ok := conn.(interface{ Peer() seampeer.Peer }); ok {
		at = p.Peer()
		at.Address = to.Address
	}
	if at.Name != "" {
		x.responder.server = at.Name
	}
	conn.SetDeadline(x.deadline.Add(responseGrace))
	stop := context.AfterFunc(ctx, func() { cancelAttempt(ctx, conn) })
	release := x.withdrawBeforeStop(ctx, conn, at)
	end, err := x.call(ctx, conn)
	withdrawn := release()
	notCancelled := stop()
	if err != nil && withdrawn {
		return seamoutcome.NewRefused(seamoutcome.Draining, stoppingDetail), at, nil
	}
	if err != nil {
		return end, at, &lostError{At: at, Cause: err}
	}
	reusable = notCancelled && !withdrawn && x.body.fullyBuffered && x.streamEmpty
	return end, at, nil
}

// finishStream releases a reusable stream, on which no data of the request is left, and closes any other.
func finishStream(conn net.Conn, reusable bool) {
	if r, ok := conn.(interface{ Release() }); ok && reusable {
		r.Release()
		return
	}
	conn.Close()
}

func (x *exchange) open(ctx context.Context, to seampeer.Peer) (net.Conn, error) {
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	if x.restricted() {
		return x.ingress.sessions.OpenWithin(ctx, to, seamsession.Request, x.isAllowed)
	}
	return x.ingress.sessions.Open(ctx, to, seamsession.Request)
}

// call sends the request and receives the response.
func (x *exchange) call(ctx context.Context, conn net.Conn) (seamoutcome.End, error) {
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
	if x.body.fullyBuffered {
		return x.receive(conn)
	}
	return x.stream(conn)
}

// sendHead sends the head, and the whole body with it if that is buffered.
func (x *exchange) sendHead(conn net.Conn) error {
	buffer, done := seamframe.NewBuffer()
	defer done()
	if err := buffer.AppendMessage(seamframe.RequestHead, x.head); err != nil {
		return err
	}
	if x.body.fullyBuffered {
		buffer.AppendChunks(x.body.buffered)
		if err := buffer.AppendMessage(seamframe.RequestEnd, &seamroutewire.RequestEnd{}); err != nil {
			return err
		}
	}
	return buffer.Flush(conn)
}

// stream sends the body once the node requests it, while it receives the response.
func (x *exchange) stream(conn net.Conn) (seamoutcome.End, error) {
	requested := make(chan struct{})
	x.bodyRequested = requested
	received, sent := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sent)
		select {
		case <-requested:
		case <-received:
			return
		}
		if x.sendBody(conn) != nil {
			// The node sees a truncated body, and the receiving side stops waiting.
			conn.Close()
			conn.SetReadDeadline(time.Now().Add(responseGrace))
		}
	}()
	end, err := x.receive(conn)
	close(received)
	x.stopBody(conn, sent)
	if failure := x.body.failure.Load(); failure != nil && err != nil {
		return end, failure
	}
	return end, err
}

// stopBody stops sending the body and waits for its sender. A body that the node did not request
// stays unread, so that another attempt can send it.
func (x *exchange) stopBody(conn net.Conn, sent <-chan struct{}) {
	if x.bodyRequested != nil {
		<-sent
		return
	}
	if x.body.bytesRead.Load() > 0 {
		conn.Close()
	}
	select {
	case <-sent:
		return
	case <-time.After(time.Millisecond):
	}
	conn.Close()
	x.body.deadline.interrupt()
	<-sent
}

// sendBody sends the body in chunks, and then its end.
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

// receive reads the response up to its end.
func (x *exchange) receive(conn net.Conn) (seamoutcome.End, error) {
	reader, done := seamframe.NewReader(conn)
	defer done()
	var a responseState
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
			x.streamEmpty = reader.Buffered() == 0
			return x.receiveEnd(f, &a)
		default:
			err = &seamframe.Error{Fault: "not part of a response", Type: f.Type}
		}
		if err != nil {
			return seamoutcome.End{}, err
		}
	}
}

// responseState is the part of a response received so far: its head and the length of its body.
type responseState struct {
	head   *seamroutewire.AnswerHead
	length int64
}

func (x *exchange) receiveHead(f seamframe.Frame, a *responseState) error {
	head := new(seamroutewire.AnswerHead)
	if err := f.Decode(head); err != nil {
		return err
	}
	if a.head != nil || !x.isCurrentAttempt(head.GetAttempt()) {
		return &seamframe.Error{Fault: "response head of another attempt, or a second one", Type: f.Type}
	}
	if err := x.checkHead(head); err != nil {
		return err
	}
	a.head = head
	x.recordHeadNotice(time.Now(), head)
	return x.responder.WriteHead(head)
}

// checkHead returns an error for a head without a final status, or one that announces a body too long to be buffered.
func (x *exchange) checkHead(head *seamroutewire.AnswerHead) error {
	if !seamanswer.IsFinalStatus(int(head.GetStatus())) {
		return &seamframe.Error{Fault: "response head without a final status", Type: seamframe.AnswerHead}
	}
	buffered := head.GetWhole() && x.head.GetMethod() != http.MethodHead
	if length := head.GetLength(); buffered && (length < 0 || length > seamcall.MaxWholeBody) {
		return &seamframe.Error{Fault: "body too long for a response in one piece", Type: seamframe.AnswerHead, Length: uint64(length)}
	}
	return nil
}

func (x *exchange) receiveChunk(f seamframe.Frame, a *responseState) error {
	a.length += int64(len(f.Payload))
	if a.head == nil || a.head.GetLength() >= 0 && a.length > a.head.GetLength() {
		return &seamframe.Error{Fault: "body longer than announced, or before the head", Type: f.Type}
	}
	return x.responder.WriteBody(f.Payload)
}

func (x *exchange) receiveAdmitted(f seamframe.Frame) error {
	if x.bodyRequested == nil {
		return &seamframe.Error{Fault: "body requested twice", Type: f.Type}
	}
	close(x.bodyRequested)
	x.bodyRequested = nil
	return nil
}

func (x *exchange) receiveEnd(f seamframe.Frame, a *responseState) (seamoutcome.End, error) {
	w := new(seamroutewire.AnswerEnd)
	if err := f.Decode(w); err != nil {
		return seamoutcome.End{}, err
	}
	if !x.isCurrentAttempt(w.GetAttempt()) {
		return seamoutcome.End{}, &seamframe.Error{Fault: "response end of another attempt", Type: f.Type}
	}
	end := seamcall.DecodeEnd(w)
	if end.Outcome == seamoutcome.Done && !x.isComplete(a) {
		return seamoutcome.End{}, &seamframe.Error{Fault: "body shorter than announced, or no head", Type: f.Type}
	}
	return end, nil
}

// isComplete reports whether the head and, except for HEAD requests, all of the announced body were received.
func (x *exchange) isComplete(a *responseState) bool {
	if a.head == nil {
		return false
	}
	return a.head.GetLength() < 0 || a.length == a.head.GetLength() || x.head.GetMethod() == http.MethodHead
}

// isCurrentAttempt reports whether the number is that of the current attempt.
func (x *exchange) isCurrentAttempt(attempt uint64) bool {
	return attempt == x.head.GetAttempt()
}

// void voids an attempt at the incarnation of the node that received it, and reports whether the attempt has
// not run and never will.
func (x *exchange) void(ctx context.Context, receiver seampeer.Peer, sent sentAttempt) bool {
	x.voidState = x.requestVoid(ctx, receiver, sent)
	x.ingress.stats.countVoid(x.voidState)
	return x.voidState == seamdedup.Voided
}

// requestVoid asks the node to void the attempt and returns the state that it reports. It retries until the node or a
// different incarnation answers, for at most voidTimeout and not beyond the deadline.
func (x *exchange) requestVoid(ctx context.Context, receiver seampeer.Peer, sent sentAttempt) seamdedup.State {
	ctx, cancel := context.WithTimeout(ctx, min(voidTimeout, time.Until(x.deadline)))
	defer cancel()
	for n := 0; ; n++ {
		state, err := x.sendVoid(ctx, receiver, sent)
		if err == nil && sent.left(time.Now()) < -seamdedup.Retention {
			state = seamdedup.Unknown
		}
		var stale *seamsession.StalePeerError
		if err == nil || errors.As(err, &stale) {
			return state
		}
		if !seamwait.For(ctx, seamretry.Backoff(n)) {
			return seamdedup.Unknown
		}
	}
}

// sendVoid sends one request to void the attempt, and returns the state that the node reports.
func (x *exchange) sendVoid(ctx context.Context, receiver seampeer.Peer, sent sentAttempt) (seamdedup.State, error) {
	request := &seamroutewire.Void{
		Id:         x.head.GetId(),
		Attempt:    x.head.GetAttempt(),
		Peer:       seamsession.PeerToWire(receiver),
		Left:       sent.left(time.Now()).Milliseconds(),
		Idempotent: x.head.GetIdempotent(),
	}
	if receiver.Same(x.ingress.self) {
		return x.ingress.local.Void(request), nil
	}
	if receiver.Name == "" {
		// The node's incarnation is not known, so another incarnation could answer for it.
		return seamdedup.Unknown, nil
	}
	conn, err := x.ingress.sessions.Open(ctx, receiver, seamsession.Void)
	if err != nil {
		return seamdedup.Unknown, err
	}
	defer conn.Close()
	limit, _ := ctx.Deadline()
	conn.SetDeadline(limit)
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })()
	if err := seamframe.Write(conn, seamframe.Void, request); err != nil {
		return seamdedup.Unknown, err
	}
	reader, done := seamframe.NewReader(conn)
	defer done()
	reply := new(seamroutewire.Voided)
	if err := reader.ReadMessage(seamframe.Voided, reply); err != nil {
		return seamdedup.Unknown, err
	}
	if reply.GetAttempt() != request.GetAttempt() {
		return seamdedup.Unknown, nil
	}
	return seamdedup.State(reply.GetState()), nil
}
