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
const holdLimit = 512 << 10

// forecaster is an admission that tells what it would answer.
type forecaster interface {
	// forecast returns a refusal if the request would be refused now.
	forecast(now time.Time, a ask) (v seamlimit.Verdict, refused bool)
}

// receive receives a body that arrives in parts before the request takes a place at the target: over a small
// link the body may take longer than the work. A body that finds no room in memory is passed on as it arrives.
func (c *call) receive(ctx context.Context) *seamoutcome.End {
	length := c.head.GetLength()
	if _, whole := c.body.(*bytes.Reader); whole || length <= 0 || length > holdLimit {
		return nil
	}
	if f, ok := c.egress.limiter.(forecaster); ok {
		if v, refused := f.forecast(time.Now(), c.ask()); refused {
			return notAdmitted(v)
		}
	}
	if !c.egress.room.take(length) {
		return nil
	}
	c.held = length
	body := make([]byte, length)
	if _, err := io.ReadFull(c.body, body); err != nil {
		return refusal(early(ctx, seamoutcome.Malformed), err.Error())
	}
	c.body = bytes.NewReader(body)
	return nil
}

// drop gives the room of a received body back.
func (c *call) drop() {
	c.egress.room.give(c.held)
	c.held = 0
}

// room bounds the bytes of the bodies that wait in memory. It is safe for concurrent use.
type room struct {
	mu   sync.Mutex
	left int64
}

// take reports whether there was room.
func (r *room) take(n int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n > r.left {
		return false
	}
	r.left -= n
	return true
}

func (r *room) give(n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left += n
}
