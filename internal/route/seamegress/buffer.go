package seamegress

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"cardamomseam/internal/platform/seamguard"
	"cardamomseam/internal/route/seamlimit"
	"cardamomseam/internal/route/seamoutcome"
)

// maxBufferedRequestBody is the largest body that is buffered before admission, in bytes.
const maxBufferedRequestBody = 512 << 10

// forecaster is an admission that can predict its decision.
type forecaster interface {
	// forecast reports whether the request would be refused now, and with which verdict.
	forecast(now time.Time, a admissionRequest) (v seamlimit.Verdict, refused bool)
}

// bufferBody reads a streamed body into memory before admission, since over a slow link the body may take
// longer to arrive than the target takes to run the request. If the memory budget is exhausted, the body is
// streamed to the target as it arrives.
func (c *call) bufferBody(ctx context.Context) *seamoutcome.End {
	length := c.head.GetLength()
	if _, inMemory := c.body.(*bytes.Reader); inMemory || length <= 0 || length > maxBufferedRequestBody {
		return nil
	}
	if f, ok := c.egress.limiter.(forecaster); ok {
		if v, refused := f.forecast(time.Now(), c.admissionRequest()); refused {
			return admissionRefusal(v)
		}
	}
	if !c.egress.bodyMemory.reserve(length) {
		return nil
	}
	c.bufferedBytes = length
	body := make([]byte, length)
	if _, err := io.ReadFull(c.body, body); err != nil {
		return refusal(notStartedReason(ctx, seamoutcome.Malformed), err.Error())
	}
	c.body = bytes.NewReader(body)
	return nil
}

// releaseBody returns the memory of a buffered body to the budget.
func (c *call) releaseBody() {
	c.egress.bodyMemory.release(c.bufferedBytes)
	c.bufferedBytes = 0
}

// memoryBudget bounds the total size of buffered bodies. It is safe for concurrent use.
type memoryBudget struct {
	// guard bounds the memory of all callers of the process; nil means no limit.
	guard     *seamguard.Guard
	mu        sync.Mutex
	available int64
}

// reserve takes n bytes from the budget, and reports false if fewer are available.
func (r *memoryBudget) reserve(n int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n > r.available || !r.guard.Reserve(time.Now(), seamguard.Bodies, n) {
		return false
	}
	r.available -= n
	return true
}

func (r *memoryBudget) release(n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.guard.Release(n)
	r.available += n
}
