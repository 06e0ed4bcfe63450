package seamegress

import (
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/trace"

	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamgrant"
	"cardamomseam/internal/route/seamcall"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamroutewire"
	"cardamomseam/internal/route/seamspan"
)

const (
	// maxBufferedResponse is the largest response body that is forwarded in one piece, in bytes.
	maxBufferedResponse = 16 << 10
	// copyBufferSize is the size of the chunks in which longer bodies are forwarded, in bytes.
	copyBufferSize = 32 << 10
)

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferSize)
	return &b
}}

// roundTrip sends the request through the gate and returns the response, whose body is not read yet.
func (c *call) roundTrip(ctx context.Context, g *gate) (*response, error) {
	ctx, span := seamspan.Start(ctx, "target", trace.SpanKindClient)
	defer span.End()
	req, err := c.request(ctx, g.grant)
	if err != nil {
		return nil, err
	}
	g.isMismatched = func(res *http.Response) bool {
		return c.egress.cfg.Dialect.Classify(res, c.info).Verdict == Mismatched
	}
	return c.egress.pools.forTarget(c.announced).exchange(ctx, req, g)
}

func (c *call) request(ctx context.Context, grant *seamgrant.Grant) (*http.Request, error) {
	target, err := url.ParseRequestURI(c.head.GetPath())
	if err != nil {
		return nil, err
	}
	target.Scheme, target.Host = "http", c.announced.Address
	req := &http.Request{
		Method:        c.head.GetMethod(),
		URL:           target,
		Host:          c.head.GetHost(),
		Header:        make(http.Header, len(c.head.GetHeaders())+dialectHeaders),
		ContentLength: c.head.GetLength(),
	}
	if req.ContentLength != 0 {
		req.Body = io.NopCloser(c.body)
		req.GetBody = c.getBody()
	}
	seamcall.AddFields(req.Header, c.head.GetHeaders())
	c.info = RequestInfo{
		RequestID:     c.head.GetRequest(),
		TargetID:      c.announced.Name,
		CallerService: c.head.GetOrigin(),
		Grant:         grant,
	}
	if c.head.GetKeyed() {
		c.info.Slot = c.head.GetSlot()
	}
	if timeout, ok := c.targetTimeout(ctx, grant); ok {
		c.info.Timeout = min(timeout, c.timeUntilStop(time.Now()))
	}
	c.egress.cfg.Dialect.SetHeaders(ctx, req.Header, c.info)
	if _, ok := req.Header["User-Agent"]; !ok {
		// net/http would otherwise set its own User-Agent.
		req.Header["User-Agent"] = nil
	}
	return req, nil
}

// getBody returns a function that rewinds a body in memory, for a retry after the connection
// was closed before a byte was sent; nil for a streamed body.
func (c *call) getBody() func() (io.ReadCloser, error) {
	r, ok := c.body.(*bytes.Reader)
	if !ok {
		return nil
	}
	return func() (io.ReadCloser, error) {
		_, err := r.Seek(0, io.SeekStart)
		return io.NopCloser(r), err
	}
}

// dialectHeaders is the number of headers that a dialect adds.
const dialectHeaders = 5

// targetTimeout returns the timeout that is sent to the target. For a target that does not fence, it is
// bounded by the current expiry of the grant, since the node may be paused from here on.
func (c *call) targetTimeout(ctx context.Context, grant *seamgrant.Grant) (time.Duration, bool) {
	deadline, ok := ctx.Deadline()
	remaining := time.Until(deadline)
	if grant == nil || c.announced.HasCapability(seamtarget.CanFence) {
		return remaining, ok
	}
	granted := -seamclock.MaxElapsed(c.egress.clock.Now(), grant.ExpiresAt)
	if !ok {
		return granted, true
	}
	return min(remaining, granted), true
}

// timeUntilStop returns the time in which the target must respond because the ingress or this node stops. A request that may be
// repeated in time is not limited by the stop of this node: another one runs it if the stop cuts it.
func (c *call) timeUntilStop(now time.Time) time.Duration {
	plan, r := c.egress.plannedStop(), c.stopRequest()
	latest := plan.TargetDeadline(r.Deadline)
	left := time.Duration(math.MaxInt64)
	if until := c.head.GetUntil(); until > 0 {
		ingressStops := c.arrived.Add(time.Duration(until) * time.Millisecond)
		left = ingressStops.Sub(now)
		if ingressStops.Before(r.Deadline) {
			// Another node must have run it by then.
			r.Deadline = ingressStops
		}
	}
	if latest.Before(c.admissionRequest().deadline) && !plan.MayRepeat(r) {
		left = min(left, latest.Sub(now))
	}
	return max(left, time.Millisecond)
}

// isOverloadStatus reports whether the status indicates that the target is overloaded.
func isOverloadStatus(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// incompleteReason returns the reason why a started request has no complete response.
func incompleteReason(ctx, limited context.Context) seamoutcome.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return seamoutcome.Timeout
	case ctx.Err() != nil:
		return seamoutcome.Cancelled
	case errors.Is(context.Cause(limited), context.DeadlineExceeded):
		return seamoutcome.Timeout
	default:
		return seamoutcome.Broken
	}
}

// forwardResponse forwards the target's response.
func (c *call) forwardResponse(ctx context.Context, res *response, p *permit) seamoutcome.End {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	head := c.responseHead(res)
	if head.Whole {
		return c.forwardBuffered(ctx, res, head, *buffer, p)
	}
	return c.forwardStreamed(ctx, res, head, *buffer, p)
}

func (c *call) responseHead(res *response) *seamroutewire.AnswerHead {
	head := &seamroutewire.AnswerHead{
		Attempt: c.head.GetAttempt(),
		Status:  int32(res.StatusCode),
		Headers: seamcall.EndToEndFields(res.Header, "Content-Length", "Date"),
		Length:  res.ContentLength,
		Whole:   c.head.GetMethod() == http.MethodHead || res.ContentLength >= 0 && res.ContentLength <= maxBufferedResponse,
	}
	// The ingress passes the head on before it receives the end, or without it.
	head.Notice = seamcall.NoticeToWire(c.egress.report(time.Now(), c.head))
	return head
}

// forwardBuffered reads the whole body and releases the permit before it forwards anything.
func (c *call) forwardBuffered(ctx context.Context, res *response, head *seamroutewire.AnswerHead, buffer []byte, p *permit) seamoutcome.End {
	n, err := io.ReadFull(res.Body, buffer[:bodyLength(c.head, res)])
	res.finish(err == nil)
	p.release(true, isOverloadStatus(res.StatusCode))
	if err != nil {
		return seamoutcome.NewUnknown(incompleteReason(ctx, ctx), err.Error())
	}
	if err := c.out.WriteHead(head); err != nil {
		return seamoutcome.NewUnknown(seamoutcome.Cancelled, err.Error())
	}
	if n > 0 {
		if err := c.out.WriteBody(buffer[:n]); err != nil {
			return seamoutcome.NewUnknown(seamoutcome.Cancelled, err.Error())
		}
	}
	return seamoutcome.NewDone()
}

func bodyLength(head *seamroutewire.RequestHead, res *response) int {
	if head.GetMethod() == http.MethodHead {
		return 0
	}
	return int(res.ContentLength)
}

// forwardStreamed forwards the body as it arrives.
func (c *call) forwardStreamed(ctx context.Context, res *response, head *seamroutewire.AnswerHead, buffer []byte, p *permit) seamoutcome.End {
	defer p.release(true, isOverloadStatus(res.StatusCode))
	if err := c.out.WriteHead(head); err != nil {
		return seamoutcome.NewUnknown(seamoutcome.Cancelled, err.Error())
	}
	for {
		n, err := res.Body.Read(buffer)
		if n > 0 {
			if err := c.out.WriteBody(buffer[:n]); err != nil {
				return seamoutcome.NewUnknown(seamoutcome.Cancelled, err.Error())
			}
		}
		if errors.Is(err, io.EOF) {
			return seamoutcome.NewDone()
		}
		if err != nil {
			return seamoutcome.NewUnknown(incompleteReason(ctx, ctx), err.Error())
		}
	}
}
