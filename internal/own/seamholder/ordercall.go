package seamholder

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamclock"
)

// orderCall is the execution of one order on the target.
type orderCall struct {
	runner      *Runner
	holder      *Holder
	order       Order
	incarnation Incarnation
}

func (r *Runner) dueOrders() []orderCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	var calls []orderCall
	for _, f := range r.former {
		for _, o := range f.holder.DueOrders(now) {
			calls = append(calls, orderCall{r, f.holder, o, f.incarnation})
		}
		if !f.holder.Dead() && f.holder.FullyReleased(now) {
			f.holder.MarkDead()
			wake(r.heartbeatDue)
		}
	}
	if r.holder == nil {
		return calls
	}
	before := r.holder.releasedCount()
	for _, o := range r.holder.DueOrders(now) {
		calls = append(calls, orderCall{r, r.holder, o, r.incarnation})
	}
	if r.holder.releasedCount() != before {
		wake(r.heartbeatDue)
	}
	return calls
}

func (c orderCall) run(ctx context.Context) {
	if c.order.Kind == Release {
		c.release(ctx)
		return
	}
	c.grant(ctx)
}

func (c orderCall) grant(ctx context.Context) {
	r := c.runner
	r.mu.Lock()
	sent := r.clock.Now()
	order, ttl, ok := c.holder.StartGrant(sent, c.order)
	r.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, min(r.cfg.AnswerTimeout, ttl))
	defer cancel()
	fresh := func() bool { return seamclock.MaxElapsed(r.clock.Now(), sent) < r.cfg.MaxSendDelay }
	err := r.client.Grant(ctx, c.incarnation.Address, order.Range, ttl, fresh)
	r.mu.Lock()
	defer r.mu.Unlock()
	var rejected *OrderRejectedError
	switch {
	case err == nil:
		r.connectFailures = 0
		c.holder.Granted(sent, order, ttl)
		r.keysChanged()
	case errors.As(err, &rejected):
		c.holder.Rejected(order)
		c.orderFailed("grant", err)
	default:
		c.orderFailed("grant", err)
	}
}

func (c orderCall) release(ctx context.Context) {
	r := c.runner
	// The target answers only once its work on the range has ended, so AnswerTimeout is not used here.
	ctx, cancel := context.WithTimeout(ctx, r.cfg.GrantTTL)
	defer cancel()
	handover, err := r.client.Release(ctx, c.incarnation.Address, c.order.Range)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		c.orderFailed("release", err)
		return
	}
	c.holder.Released(r.clock.Now(), c.order, handover)
	r.sink.Emit(time.Now(), seamevent.KeysReleased, c.fields(seamevent.Fields{"handover": handover != ""}))
	wake(r.heartbeatDue)
}

// orderFailed logs a failed order. After deadConnectFailures refused connections it marks the holder dead. mu must be held.
func (c orderCall) orderFailed(kind string, err error) {
	r := c.runner
	r.sink.Emit(time.Now(), seamevent.KeysFailed, c.fields(seamevent.Fields{"order": kind, "error": err.Error()}))
	var refused *ConnectionRefusedError
	if !errors.As(err, &refused) {
		return
	}
	r.connectFailures++
	if r.connectFailures < deadConnectFailures || r.holder != c.holder || c.holder.Dead() {
		return
	}
	c.holder.MarkDead()
	r.incarnationChanged()
	go r.onDead(c.incarnation.Holder)
}

func (c orderCall) fields(f seamevent.Fields) seamevent.Fields {
	f["service"], f["target"] = c.incarnation.Service, c.incarnation.Holder.String()
	f["from"], f["to"], f["fence"] = c.order.From, c.order.To, c.order.Fence
	return f
}
