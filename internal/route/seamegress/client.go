package seamegress

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/platform/seamnet"
	"cardamomseam/internal/route/seamanswer"
	"cardamomseam/internal/route/seamthrottle"
)

const (
	// maxResponseHeaderBytes is the largest size of the target's response headers.
	maxResponseHeaderBytes = 64 << 10
	// writeBufferSize is the size of a connection's write buffer, in bytes.
	writeBufferSize = 8 << 10
	// maxInterimResponses is the largest number of interim responses (1xx) that are skipped.
	maxInterimResponses = 8
)

// targetConn is a connection to the target. It carries one request at a time,
// and checks the request's gate before it sends the first byte.
type targetConn struct {
	net.Conn
	pool *targetPool
	// headerLimit bounds the bytes read while the headers of a response arrive.
	headerLimit *io.LimitedReader
	reader      *bufio.Reader
	writer      *bufio.Writer
	// gate is checked before the next byte; nil once it has been checked.
	gate *gate
	// reused means that the connection has carried a request before.
	reused bool
	// lastUse means that the connection carries no further request, because more bytes may arrive that belong to none.
	lastUse bool
	// incarnation is that of the target to which the connection was opened.
	incarnation seamthrottle.Target
	// idleSince is the time at which the last request ended.
	idleSince time.Time
	// idleLimit is the time after which the idle connection is not reused.
	idleLimit time.Duration
}

func newTargetConn(c net.Conn, p *targetPool) *targetConn {
	t := &targetConn{Conn: c, pool: p, incarnation: p.currentIncarnation(), headerLimit: &io.LimitedReader{R: c}}
	t.reader = bufio.NewReader(t.headerLimit)
	t.writer = bufio.NewWriterSize(gatedWriter{t}, writeBufferSize)
	return t
}

// gatedWriter writes to the target after the request has passed its gate.
type gatedWriter struct {
	conn *targetConn
}

// Write sends p, or returns the *deniedError of the gate.
func (w gatedWriter) Write(p []byte) (int, error) {
	g := w.conn.gate
	if g == nil {
		return w.conn.Write(p)
	}
	w.conn.gate = nil
	if err := g.open(); err != nil {
		return 0, err
	}
	n, err := w.conn.Write(p)
	if n == 0 && err != nil {
		g.revertStart()
	}
	return n, err
}

// response is the target's response, with the connection that it is read from.
type response struct {
	*http.Response
	conn *targetConn
	// stopWatch stops watching the request's context. It reports false if the context has already ended.
	stopWatch func() bool
	// sent reports whether the whole request was sent.
	sent     func() bool
	finished bool
}

// finish returns the connection to the pool if the response was read to its end, and closes
// it otherwise. Later calls have no effect.
func (a *response) finish(complete bool) {
	if a.finished {
		return
	}
	a.finished = true
	notCancelled := a.stopWatch()
	if complete && notCancelled && a.sent() && !a.Close && !a.conn.lastUse && a.conn.reader.Buffered() == 0 {
		a.conn.pool.put(a.conn, time.Now())
		return
	}
	if complete {
		a.conn.pool.drop(a.conn)
		return
	}
	a.conn.pool.abort(a.conn)
}

// drain reads the rest of a short body and reports whether it reached the end.
func (a *response) drain() bool {
	_, err := io.CopyN(io.Discard, a.Body, maxBufferedResponse)
	return errors.Is(err, io.EOF)
}

// exchange sends a request through its gate and returns the head of the response.
// If the target has closed the reused connection, the request is retried once on a
// new one, provided that it has not started or is idempotent.
func (p *targetPool) exchange(ctx context.Context, r *http.Request, g *gate) (*response, error) {
	c, err := p.get(ctx, time.Now())
	if err != nil {
		return nil, err
	}
	idle := time.Since(c.idleSince)
	a, err := c.exchange(ctx, r, g)
	if err != nil && c.reused && ctx.Err() == nil && idle < shortIdleTime && g.hasStarted() && connectionEnded(err) {
		p.onClosed(c.incarnation)
	}
	if err == nil || !c.reused || ctx.Err() != nil || !g.mayRetry() || !rewind(r) {
		return a, err
	}
	if c, err = p.dial(ctx); err != nil {
		return nil, err
	}
	return c.exchange(ctx, r, g)
}

// rewind resets the body to its start and reports whether it can be sent again.
func rewind(r *http.Request) bool {
	if r.Body == nil {
		return true
	}
	if r.GetBody == nil {
		return false
	}
	body, err := r.GetBody()
	r.Body = body
	return err == nil
}

func (t *targetConn) exchange(ctx context.Context, r *http.Request, g *gate) (*response, error) {
	t.gate = g
	stop := context.AfterFunc(ctx, func() { t.SetDeadline(time.Unix(1, 0)) })
	sent, err := t.send(r)
	if err == nil || g.hasStarted() {
		// A target may respond and close the connection before it has read the whole request.
		res, readErr := t.readMatchingResponse(r, g) //nolint:bodyclose // finish closes the connection that the body is read from
		if readErr == nil {
			t.idleLimit = idleLimit(res.Header)
			t.lastUse = t.lastUse || seamanswer.MayCarryBody(res)
			if seamanswer.IsDelimitedByClose(res) {
				res.Body = &closeDelimitedBody{ReadCloser: res.Body, conn: t, sent: sent}
			}
			return &response{Response: res, conn: t, stopWatch: stop, sent: sent}, nil
		}
		err = errors.CombineErrors(err, readErr)
	}
	stop()
	t.pool.abort(t)
	return nil, err
}

// send sends the request. A streamed body is sent in the background, since the target
// may respond before it has read it.
func (t *targetConn) send(r *http.Request) (sent func() bool, err error) {
	if r.Body == nil || r.GetBody != nil {
		err := t.write(r)
		return func() bool { return err == nil }, err
	}
	var done atomic.Bool
	body := &errorTrackingBody{ReadCloser: r.Body}
	r.Body = body
	go func() {
		err := t.write(r)
		if body.failed.Load() || isDenied(err) {
			// The body is incomplete: the target must not see an end of it, and no response is awaited.
			t.Close()
		}
		done.Store(err == nil)
	}()
	return done.Load, nil
}

// errResetDuringRequest reports a response without length whose connection was reset before the request was sent.
var errResetDuringRequest = errors.New("the target reset the connection before the end of the request, so that its response may be incomplete")

// closeDelimitedBody is the body of a response that ends where its connection does. While the request is being sent, its write may receive
// the error of a reset, and the read that follows it sees an end as of a complete body.
type closeDelimitedBody struct {
	io.ReadCloser
	conn *targetConn
	sent func() bool
}

// Read returns io.EOF only if the target has closed its side of the connection without a reset.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.sent() && !seamnet.ClosedByPeer(b.conn.Conn) {
		return n, errResetDuringRequest
	}
	return n, err
}

func isDenied(err error) bool {
	var d *deniedError
	return errors.As(err, &d)
}

func (t *targetConn) write(r *http.Request) error {
	if err := r.Write(t.writer); err != nil {
		return err
	}
	return t.writer.Flush()
}

// errorTrackingBody records whether reading the body of a request failed.
type errorTrackingBody struct {
	io.ReadCloser
	failed atomic.Bool
}

// Read reads from the source.
func (w *errorTrackingBody) Read(p []byte) (int, error) {
	n, err := w.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		w.failed.Store(true)
	}
	return n, err
}

// maxMismatchedResponses bounds the number of responses read in search of the one that belongs to the request.
const maxMismatchedResponses = 4

// readMatchingResponse returns the first response that belongs to the request. A target may send a
// response twice, so that the second copy arrives in place of the next response.
func (t *targetConn) readMatchingResponse(r *http.Request, g *gate) (*http.Response, error) {
	for range maxMismatchedResponses {
		res, err := t.readFinalResponse(r)
		if err != nil || g.isMismatched == nil || !g.isMismatched(res) {
			return res, err
		}
		t.lastUse = true
		if _, err := io.CopyN(io.Discard, res.Body, maxSkippedResponseBytes); !errors.Is(err, io.EOF) {
			return nil, errors.New("the target sent a response to another request that is too long to skip")
		}
	}
	return nil, errors.New("the target sent too many responses to other requests")
}

// maxSkippedResponseBytes is the largest body of a response to another request that is skipped.
const maxSkippedResponseBytes = 1 << 20

// readFinalResponse returns the first response that is not interim (1xx).
func (t *targetConn) readFinalResponse(r *http.Request) (*http.Response, error) {
	for range maxInterimResponses {
		t.headerLimit.N = maxResponseHeaderBytes
		res, err := seamanswer.Read(t.reader, r)
		if err != nil {
			return nil, err
		}
		if res.StatusCode >= http.StatusOK {
			t.headerLimit.N = math.MaxInt64
			return res, nil
		}
		if res.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the target switched to another protocol")
		}
	}
	return nil, errors.New("the target sent too many interim responses")
}
