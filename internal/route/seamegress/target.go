package seamegress

import (
	"bytes"
	"context"
	"io"
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
	// wholeLimit is the largest body that is passed on in one piece with its end, in bytes.
	wholeLimit = 16 << 10
	// copyBuffer is the size of the parts in which longer bodies are passed on, in bytes.
	copyBuffer = 32 << 10
)

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBuffer)
	return &b
}}

// roundTrip sends the request through the gate and returns the head of the answer.
func (c *call) roundTrip(ctx context.Context, g *gate) (*answer, error) {
	ctx, span := seamspan.Start(ctx, "target", trace.SpanKindClient)
	defer span.End()
	req, err := c.request(ctx, g.grant)
	if err != nil {
		return nil, err
	}
	g.foreign = func(res *http.Response) bool {
		return c.egress.cfg.Dialect.Classify(res, c.order).Verdict == Mismatched
	}
	return c.egress.targets.of(c.announced).exchange(ctx, req, g)
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
		Header:        make(http.Header, len(c.head.GetHeaders())+orderHeaders),
		ContentLength: c.head.GetLength(),
	}
	if req.ContentLength != 0 {
		req.Body = io.NopCloser(c.body)
		req.GetBody = c.bodyAgain()
	}
	seamcall.AddFields(req.Header, c.head.GetHeaders())
	c.order = RequestInfo{
		Request:       c.head.GetRequest(),
		Target:        c.announced.Name,
		CallerService: c.head.GetOrigin(),
		Grant:         grant,
	}
	if c.head.GetKeyed() {
		c.order.Key = c.head.GetSlot()
	}
	if left, ok := c.left(ctx, grant); ok {
		c.order.Timeout = left
	}
	c.egress.cfg.Dialect.SetHeaders(ctx, req.Header, c.order)
	if _, ok := req.Header["User-Agent"]; !ok {
		// The library would put its own name there.
		req.Header["User-Agent"] = nil
	}
	return req, nil
}

// bodyAgain returns a function that gives a short body once more, for a
// connection that was closed before a byte was sent; nil for a longer body.
func (c *call) bodyAgain() func() (io.ReadCloser, error) {
	r, ok := c.body.(*bytes.Reader)
	if !ok {
		return nil
	}
	return func() (io.ReadCloser, error) {
		_, err := r.Seek(0, io.SeekStart)
		return io.NopCloser(r), err
	}
}

// orderHeaders is the number of headers that a dialect adds.
const orderHeaders = 5

// left returns the time that the target is told. A target that does not fence is
// told no more than the grant as it is now, for the node may be paused from here on.
func (c *call) left(ctx context.Context, grant *seamgrant.Grant) (time.Duration, bool) {
	d, ok := ctx.Deadline()
	left := time.Until(d)
	if grant == nil || c.announced.HasCapability(seamtarget.CanFence) {
		return left, ok
	}
	granted := -seamclock.MaxElapsed(c.egress.clock.Now(), grant.ExpiresAt)
	if !ok {
		return granted, true
	}
	return min(left, granted), true
}

// sheds reports whether the status says that the target has too much work.
func sheds(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// late returns the reason for which a request that was started has no whole answer.
func late(ctx, limited context.Context) seamoutcome.Reason {
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

// pass hands the target's answer on.
func (c *call) pass(ctx context.Context, res *answer, p *place) seamoutcome.End {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	head := c.answerHead(res)
	if head.Whole {
		return c.passWhole(ctx, res, head, *buffer, p)
	}
	return c.passParts(ctx, res, head, *buffer, p)
}

func (c *call) answerHead(res *answer) *seamroutewire.AnswerHead {
	return &seamroutewire.AnswerHead{
		Attempt: c.head.GetAttempt(),
		Status:  int32(res.StatusCode),
		Headers: seamcall.EndToEndFields(res.Header, "Content-Length", "Date"),
		Length:  res.ContentLength,
		Whole:   c.head.GetMethod() == http.MethodHead || res.ContentLength >= 0 && res.ContentLength <= wholeLimit,
	}
}

// passWhole reads the body to its end, which frees the place, before it hands anything on.
func (c *call) passWhole(ctx context.Context, res *answer, head *seamroutewire.AnswerHead, buffer []byte, p *place) seamoutcome.End {
	n, err := io.ReadFull(res.Body, buffer[:bodyLength(c.head, res)])
	res.finish(err == nil)
	p.free(true, sheds(res.StatusCode))
	if err != nil {
		return seamoutcome.NewUnknown(late(ctx, ctx), err.Error())
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

func bodyLength(head *seamroutewire.RequestHead, res *answer) int {
	if head.GetMethod() == http.MethodHead {
		return 0
	}
	return int(res.ContentLength)
}

// passParts hands the body on as it arrives.
func (c *call) passParts(ctx context.Context, res *answer, head *seamroutewire.AnswerHead, buffer []byte, p *place) seamoutcome.End {
	defer p.free(true, sheds(res.StatusCode))
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
			return seamoutcome.NewUnknown(late(ctx, ctx), err.Error())
		}
	}
}
