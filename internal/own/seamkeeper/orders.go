package seamkeeper

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
	"cardamomseam/internal/platform/seamwait"
)

const (
	// orderTimeout bounds one call that gives orders to the own target.
	orderTimeout = 500 * time.Millisecond
	// orderRetry is the time between attempts to give orders.
	orderRetry = 20 * time.Millisecond
	// handoverTime bounds all attempts to hand the state of a slot over. Meanwhile
	// nobody serves the slot.
	handoverTime = 2 * time.Second
	// renewStep is the smallest gain of a lease that is passed on to the target.
	renewStep = 100 * time.Millisecond
)

// NoSuccessorError says that a slot is to be handed over to a node without a target.
type NoSuccessorError struct {
	Slot seamslot.ID
}

// Error names the slot.
func (e *NoSuccessorError) Error() string {
	return fmt.Sprintf("slot %s has no successor that could take its state", e.Slot)
}

// OrderError says that the target did not take an order.
type OrderRejectedError struct {
	Path   string
	Status int
}

// Error names the path and the status.
func (e *OrderRejectedError) Error() string {
	return fmt.Sprintf("target answered %d to %s", e.Status, e.Path)
}

// orders keeps the own target informed of its grants. One goroutine sends them,
// so that they arrive in order.
type orders struct {
	keeper *Keeper
	client *http.Client
	wake   chan struct{}

	mu sync.Mutex
	// address of the target; empty if it takes no orders.
	address string
	until   seamclock.Instant
	// version counts changes of the set of slots, sent the last one that the target has taken.
	version uint64
	sent    uint64
	// renewed is the lease that the target has been told.
	renewed  seamclock.Instant
	sequence uint64
	taken    chan struct{}
}

func newOrders(k *Keeper) *orders {
	return &orders{
		keeper: k,
		client: &http.Client{},
		wake:   make(chan struct{}, 1),
		taken:  make(chan struct{}),
	}
}

// setTarget names the target that takes orders, or none. For a new run the state
// machine releases all slots, so that each is granted, and ordered, anew.
func (o *orders) setTarget(address string) {
	o.mu.Lock()
	changed := o.address != address
	o.address = address
	if changed {
		o.version++
	}
	o.mu.Unlock()
	if changed {
		o.signal()
	}
}

// change says that the set of slots is another one.
func (o *orders) change() {
	o.mu.Lock()
	o.version++
	o.mu.Unlock()
	o.signal()
}

// renew says that the lease ends at until.
func (o *orders) renew(until seamclock.Instant) {
	o.mu.Lock()
	o.until = until
	due := seamclock.MinElapsed(until, o.renewed) >= renewStep
	o.mu.Unlock()
	if due {
		o.signal()
	}
}

func (o *orders) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// changeAndWait passes a change on and waits until the target has taken it,
// bounded by the time for one call.
func (o *orders) changeAndWait(ctx context.Context) {
	o.mu.Lock()
	o.version++
	version := o.version
	o.mu.Unlock()
	o.signal()
	timeout := time.NewTimer(orderTimeout)
	defer timeout.Stop()
	for {
		o.mu.Lock()
		done, taken := o.sent >= version || o.address == "", o.taken
		o.mu.Unlock()
		if done {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timeout.C:
			return
		case <-taken:
		}
	}
}

func (o *orders) run() {
	for {
		select {
		case <-o.keeper.ctx.Done():
			return
		case <-o.wake:
		}
		if !o.push() {
			time.Sleep(orderRetry)
			o.signal()
		}
	}
}

// push gives the target what it lacks and reports whether that succeeded.
func (o *orders) push() bool {
	now := o.keeper.parts.Clock.Now()
	o.mu.Lock()
	address, until, version := o.address, o.until, o.version
	full := version != o.sent
	o.sequence++
	sequence := o.sequence
	o.mu.Unlock()
	slots, served := o.keeper.holdings.orders()
	if address == "" {
		o.took(version, until, served)
		return true
	}
	body := seamtarget.GrantRequest{
		Incarnation:     o.keeper.self.Incarnation,
		Sequence:        sequence,
		TTLMillis:       int(remaining(now, until).Milliseconds()),
		ExpiresAtMillis: int64(until.Wall / time.Millisecond),
		Full:            full,
	}
	if full {
		body.Slots = slots
	} else {
		served = nil // a slot that has just come is not in the orders
	}
	ctx, cancel := context.WithTimeout(o.keeper.ctx, orderTimeout)
	defer cancel()
	if err := o.call(ctx, http.MethodPut, address, seamtarget.GrantPath, body); err != nil {
		o.failed()
		return o.keeper.ctx.Err() != nil
	}
	o.took(version, until, served)
	return true
}

// failed makes the next orders complete, because the target may be a new one.
func (o *orders) failed() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
}

// took notes that the target has taken orders with the holdings.
func (o *orders) took(version uint64, until seamclock.Instant, served []*holding) {
	for _, h := range served {
		h.ready.Store(true)
	}
	o.mu.Lock()
	o.sent = max(o.sent, version)
	o.renewed = until
	close(o.taken)
	o.taken = make(chan struct{})
	o.mu.Unlock()
	o.keeper.arrivals.wake()
}

// handOver lets the target send the state of a slot to the successor's target.
// It repeats failed attempts for a bounded time, while the slot is not released,
// and reports whether the successor has the state.
func (o *orders) handOver(ctx context.Context, a seamcell.StopServing, h *holding) bool {
	o.mu.Lock()
	address := o.address
	o.mu.Unlock()
	if address == "" {
		return true // the target takes no orders and keeps no state by slot
	}
	if a.SuccessorAddress == "" {
		o.failedHandover(a, &NoSuccessorError{Slot: a.Slot})
		return false
	}
	body := seamtarget.Handover{Slot: a.Slot.Index, Epoch: a.Epoch, Successor: a.SuccessorAddress}
	ctx, cancel := context.WithTimeout(ctx, handoverTime)
	defer cancel()
	for {
		err := o.call(ctx, http.MethodPost, address, seamtarget.HandoverPath, body)
		if err == nil {
			return true
		}
		if !seamwait.For(ctx, orderRetry) || !o.keeper.holdings.has(a.Slot, h) {
			o.failedHandover(a, err)
			return false
		}
	}
}

// failedHandover reports that the state of a slot stays where it is.
func (o *orders) failedHandover(a seamcell.StopServing, err error) {
	k := o.keeper
	k.parts.Metrics.GetOrCreateCounter(`cardamomseam_handover_failed_total`).Inc()
	k.parts.Sink.Emit(time.Now(), seamevent.HandoverFailed, seamevent.Fields{
		"slot":      a.Slot.String(),
		"epoch":     a.Epoch,
		"successor": a.Successor.String(),
		"error":     err.Error(),
	})
}

func (o *orders) call(ctx context.Context, method, address, path string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode orders")
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return errors.Wrap(err, "orders")
	}
	q.Header.Set("Content-Type", "application/json")
	p, err := o.client.Do(q)
	if err != nil {
		return errors.Wrap(err, "give orders to target")
	}
	defer p.Body.Close()
	_, _ = io.Copy(io.Discard, p.Body) // so that the connection is used again
	if p.StatusCode >= http.StatusMultipleChoices {
		return &OrderRejectedError{Path: path, Status: p.StatusCode}
	}
	return nil
}

// orders returns the slots as orders, in order of slot, and their holdings.
func (h *holdings) orders() ([]seamtarget.SlotGrant, []*holding) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	slots := make([]seamtarget.SlotGrant, 0, len(h.slots))
	served := make([]*holding, 0, len(h.slots))
	for id, x := range h.slots {
		slots = append(slots, seamtarget.SlotGrant{Slot: id.Index, Epoch: x.epoch, Standby: x.standby})
		served = append(served, x)
	}
	slices.SortFunc(slots, func(a, b seamtarget.SlotGrant) int { return int(a.Slot) - int(b.Slot) })
	return slots, served
}

// remaining returns the time left until end by the clock that leaves less, at least 0.
func remaining(now, end seamclock.Instant) time.Duration {
	return max(0, -seamclock.MaxElapsed(now, end))
}
