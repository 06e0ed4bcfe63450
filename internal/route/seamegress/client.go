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
)

const (
	// headerLimit is the largest size of the target's headers, in bytes.
	maxResponseHeaderBytes = 64 << 10
	// writeBuffer is the size of the buffer in which a request is written, in bytes.
	writeBufferSize = 8 << 10
	// interimLimit is the number of interim answers (1xx) that are skipped.
	maxInterimResponses = 8
)

// targetConn is a connection to the target. It carries one request at a time,
// and asks the gate of each before it sends the first byte.
type targetConn struct {
	net.Conn
	pool *targetPool
	// limit bounds what is read while the headers of an answer arrive.
	headerLimit *io.LimitedReader
	reader      *bufio.Reader
	writer      *bufio.Writer
	// gate is asked before the next byte; nil once it is open.
	gate *gate
	// reused says that the connection has carried a request before.
	reused bool
	// idleSince is the time of the end of the last request.
	idleSince time.Time
}

func newTargetConn(c net.Conn, p *targetPool) *targetConn {
	t := &targetConn{Conn: c, pool: p, headerLimit: &io.LimitedReader{R: c}}
	t.reader = bufio.NewReader(t.headerLimit)
	t.writer = bufio.NewWriterSize(gatedWriter{t}, writeBufferSize)
	return t
}

// gatedWriter sends to the target once the gate of the request is open.
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

// answer is the target's answer, with the connection that it is read from.
type response struct {
	*http.Response
	conn *targetConn
	// stop ends the watch on the request's context, and reports whether that has not ended.
	stopWatch func() bool
	// sent reports whether the whole request was sent.
	sent     func() bool
	finished bool
}

// finish gives the connection back if the answer was read to its end, and closes
// it otherwise. Only the first call counts.
func (a *response) finish(complete bool) {
	if a.finished {
		return
	}
	a.finished = true
	notCancelled := a.stopWatch()
	if complete && notCancelled && a.sent() && !a.Close && a.conn.reader.Buffered() == 0 {
		a.conn.pool.put(a.conn, time.Now())
		return
	}
	if complete {
		a.conn.pool.drop(a.conn)
		return
	}
	a.conn.pool.abort(a.conn)
}

// drained reads what is left of a short body and reports whether that was its end.
func (a *response) drain() bool {
	_, err := io.CopyN(io.Discard, a.Body, maxBufferedResponse)
	return errors.Is(err, io.EOF)
}

// exchange sends a request through its gate and returns the head of the answer.
// A request that found its connection closed by the target is sent once more on
// a new one, if it has not started or may start twice.
func (p *targetPool) exchange(ctx context.Context, r *http.Request, g *gate) (*response, error) {
	c, err := p.get(ctx, time.Now())
	if err != nil {
		return nil, err
	}
	a, err := c.exchange(ctx, r, g)
	if err == nil || !c.reused || ctx.Err() != nil || !g.mayRetry() || !rewind(r) {
		return a, err
	}
	if c, err = p.dial(ctx); err != nil {
		return nil, err
	}
	return c.exchange(ctx, r, g)
}

// rewind reports whether the body can be sent again, from its start.
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
		// A target may answer and close before it has read the request.
		res, readErr := t.readMatchingResponse(r, g) //nolint:bodyclose // finish closes the connection that the body is read from
		if readErr == nil {
			return &response{Response: res, conn: t, stopWatch: stop, sent: sent}, nil
		}
		err = errors.CombineErrors(err, readErr)
	}
	stop()
	t.pool.abort(t)
	return nil, err
}

// send sends the request. A long body is sent while the answer is awaited, since
// the target may answer before it has read it.
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
			// The target never sees the end of the body, and nobody waits for an answer.
			t.Close()
		}
		done.Store(err == nil)
	}()
	return done.Load, nil
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

// watchedSource notes whether the body of a request could not be read to its end.
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

// foreignLimit is the number of answers to other requests that are skipped.
const maxMismatchedResponses = 4

// receiveOwn returns the first answer that belongs to the request. A target may send an
// answer twice, so that the second one arrives where the next is due.
func (t *targetConn) readMatchingResponse(r *http.Request, g *gate) (*http.Response, error) {
	for range maxMismatchedResponses {
		res, err := t.readFinalResponse(r)
		if err != nil || g.isMismatched == nil || !g.isMismatched(res) {
			return res, err
		}
		if _, err := io.CopyN(io.Discard, res.Body, maxSkippedResponseBytes); !errors.Is(err, io.EOF) {
			return nil, errors.New("the target sent a long answer to another request")
		}
	}
	return nil, errors.New("the target sent too many answers to other requests")
}

// skipLimit is the largest answer to another request that is skipped, in bytes.
const maxSkippedResponseBytes = 1 << 20

// receive returns the first answer that is not interim.
func (t *targetConn) readFinalResponse(r *http.Request) (*http.Response, error) {
	for range maxInterimResponses {
		t.headerLimit.N = maxResponseHeaderBytes
		res, err := http.ReadResponse(t.reader, r)
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
	return nil, errors.New("the target sent too many interim answers")
}
