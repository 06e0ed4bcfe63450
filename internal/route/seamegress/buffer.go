package seamegress

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"cardamomseam/internal/route/seamlimit"
	"cardamomseam/internal/route/seamoutcome"
)

// holdLimit is the largest body that is received before the request takes a place at the target, in bytes.
const maxBufferedRequestBody = 512 << 10

// forecaster is an admission that tells what it would answer.
type forecaster interface {
	// forecast returns a refusal if the request would be refused now.
	forecast(now time.Time, a admissionRequest) (v seamlimit.Verdict, refused bool)
}

// receive receives a body that arrives in parts before the request takes a place at the target: over a small
// link the body may take longer than the work. A body that finds no room in memory is passed on as it arrives.
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

// drop gives the room of a received body back.
func (c *call) releaseBody() {
	c.egress.bodyMemory.release(c.bufferedBytes)
	c.bufferedBytes = 0
}

// room bounds the bytes of the bodies that wait in memory. It is safe for concurrent use.
type memoryBudget struct {
	mu        sync.Mutex
	available int64
}

// take reports whether there was room.
func (r *memoryBudget) reserve(n int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n > r.available {
		return false
	}
	r.available -= n
	return true
}

func (r *memoryBudget) release(n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.available += n
}
