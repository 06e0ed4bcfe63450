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
	// targetCallTimeout bounds one call that sends grants to this node's target.
	targetCallTimeout = 500 * time.Millisecond
	// targetRetryInterval is the delay before a failed call to the target is retried.
	targetRetryInterval = 20 * time.Millisecond
	// handoverTimeout bounds all attempts to hand over the state of a slot. The slot is not served
	// in the meantime.
	handoverTimeout = 2 * time.Second
	// minLeaseExtension is the smallest lease extension that is sent to the target without a
	// change of the slots.
	minLeaseExtension = 100 * time.Millisecond
)

// NoSuccessorError reports that a slot should be handed over to a node without a target.
type NoSuccessorError struct {
	Slot seamslot.ID
}

// Error implements error.
func (e *NoSuccessorError) Error() string {
	return fmt.Sprintf("slot %s has no successor target that could receive its state", e.Slot)
}

// OrderRejectedError reports that the target rejected a grant or a handover.
type OrderRejectedError struct {
	Path   string
	Status int
}

// Error implements error.
func (e *OrderRejectedError) Error() string {
	return fmt.Sprintf("target returned status %d for %s", e.Status, e.Path)
}

// grantSender sends the current grants to this node's target. A single goroutine sends them, so that they
// arrive in order.
type grantSender struct {
	keeper *Keeper
	client *http.Client
	wake   chan struct{}

	mu sync.Mutex
	// address is that of the target; it is empty if the target does not support grants.
	address  string
	leaseEnd seamclock.Instant
	// slotsVersion counts changes of the set of slots; acceptedVersion is the last one that the target accepted.
	slotsVersion    uint64
	acceptedVersion uint64
	// acceptedLease is the end of the lease that the target last accepted.
	acceptedLease seamclock.Instant
	sequence      uint64
	accepted      chan struct{}
}

func newGrantSender(k *Keeper) *grantSender {
	return &grantSender{
		keeper:   k,
		client:   &http.Client{},
		wake:     make(chan struct{}, 1),
		accepted: make(chan struct{}),
	}
}

// setTarget sets the address of the target that receives grants; it is empty for none. When a target restarts,
// the state machine releases all slots, so that each one is granted and sent again.
func (o *grantSender) setTarget(address string) {
	o.mu.Lock()
	changed := o.address != address
	o.address = address
	if changed {
		o.slotsVersion++
	}
	o.mu.Unlock()
	if changed {
		o.wakeSender()
	}
}

// slotsChanged records that the set of slots has changed.
func (o *grantSender) slotsChanged() {
	o.mu.Lock()
	o.slotsVersion++
	o.mu.Unlock()
	o.wakeSender()
}

// setLease sets the end of the lease.
func (o *grantSender) setLease(until seamclock.Instant) {
	o.mu.Lock()
	o.leaseEnd = until
	due := seamclock.MinElapsed(until, o.acceptedLease) >= minLeaseExtension
	o.mu.Unlock()
	if due {
		o.wakeSender()
	}
}

func (o *grantSender) wakeSender() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// sendAndWait sends a change of the set of slots and waits until the target has accepted it, for at most
// targetCallTimeout.
func (o *grantSender) sendAndWait(ctx context.Context) {
	o.mu.Lock()
	o.slotsVersion++
	version := o.slotsVersion
	o.mu.Unlock()
	o.wakeSender()
	timeout := time.NewTimer(targetCallTimeout)
	defer timeout.Stop()
	for {
		o.mu.Lock()
		done, accepted := o.acceptedVersion >= version || o.address == "", o.accepted
		o.mu.Unlock()
		if done {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timeout.C:
			return
		case <-accepted:
		}
	}
}

func (o *grantSender) run() {
	for {
		select {
		case <-o.keeper.ctx.Done():
			return
		case <-o.wake:
		}
		if !o.send() {
			time.Sleep(targetRetryInterval)
			o.wakeSender()
		}
	}
}

// send sends the target the grants that it lacks and reports whether that succeeded.
func (o *grantSender) send() bool {
	now := o.keeper.deps.Clock.Now()
	o.mu.Lock()
	address, until, version := o.address, o.leaseEnd, o.slotsVersion
	full := version != o.acceptedVersion
	o.sequence++
	sequence := o.sequence
	o.mu.Unlock()
	slots, served := o.keeper.heldSlots.slotGrants()
	if address == "" {
		o.markAccepted(version, until, served)
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
		served = nil // a slot that was granted since is not part of this request
	}
	ctx, cancel := context.WithTimeout(o.keeper.ctx, targetCallTimeout)
	defer cancel()
	if err := o.call(ctx, http.MethodPut, address, seamtarget.GrantPath, body); err != nil {
		o.resendAll()
		return o.keeper.ctx.Err() != nil
	}
	o.markAccepted(version, until, served)
	return true
}

// resendAll makes the next request list all slots, because the target may have restarted.
func (o *grantSender) resendAll() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.slotsVersion++
}

// markAccepted records that the target has accepted the grants of the served slots.
func (o *grantSender) markAccepted(version uint64, until seamclock.Instant, served []*heldSlot) {
	for _, h := range served {
		h.ready.Store(true)
	}
	o.mu.Lock()
	o.acceptedVersion = max(o.acceptedVersion, version)
	o.acceptedLease = until
	close(o.accepted)
	o.accepted = make(chan struct{})
	o.mu.Unlock()
	o.keeper.slotWaiters.wake()
}

// transferState has the target send the state of a slot to the successor's target. It retries failed attempts
// until handoverTimeout or until the slot is released, and reports whether the successor has the state.
func (o *grantSender) transferState(ctx context.Context, a seamcell.StopServing, h *heldSlot) bool {
	o.mu.Lock()
	address := o.address
	o.mu.Unlock()
	if address == "" {
		return true // the target supports no grants and keeps no state for each slot
	}
	if a.SuccessorAddress == "" {
		o.reportHandoverFailure(a, &NoSuccessorError{Slot: a.Slot})
		return false
	}
	body := seamtarget.Handover{Slot: a.Slot.Index, Epoch: a.Epoch, Successor: a.SuccessorAddress}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for {
		err := o.call(ctx, http.MethodPost, address, seamtarget.HandoverPath, body)
		if err == nil {
			return true
		}
		if !seamwait.For(ctx, targetRetryInterval) || !o.keeper.heldSlots.contains(a.Slot, h) {
			o.reportHandoverFailure(a, err)
			return false
		}
	}
}

// reportHandoverFailure reports that the state of a slot was not transferred.
func (o *grantSender) reportHandoverFailure(a seamcell.StopServing, err error) {
	k := o.keeper
	k.deps.Metrics.GetOrCreateCounter(`cardamomseam_handover_failed_total`).Inc()
	k.deps.Sink.Emit(time.Now(), seamevent.HandoverFailed, seamevent.Fields{
		"slot":      a.Slot.String(),
		"epoch":     a.Epoch,
		"successor": a.Successor.String(),
		"error":     err.Error(),
	})
}

func (o *grantSender) call(ctx context.Context, method, address, path string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode request to target")
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return errors.Wrap(err, "create request to target")
	}
	q.Header.Set("Content-Type", "application/json")
	p, err := o.client.Do(q)
	if err != nil {
		return errors.Wrap(err, "send request to target")
	}
	defer p.Body.Close()
	_, _ = io.Copy(io.Discard, p.Body) // allows the connection to be reused
	if p.StatusCode >= http.StatusMultipleChoices {
		return &OrderRejectedError{Path: path, Status: p.StatusCode}
	}
	return nil
}

// slotGrants returns the grants of all held slots, sorted by slot, and the entries of these slots.
func (h *heldSlots) slotGrants() ([]seamtarget.SlotGrant, []*heldSlot) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	slots := make([]seamtarget.SlotGrant, 0, len(h.slots))
	served := make([]*heldSlot, 0, len(h.slots))
	for id, x := range h.slots {
		slots = append(slots, seamtarget.SlotGrant{Slot: id.Index, Epoch: x.epoch, Standby: x.standby})
		served = append(served, x)
	}
	slices.SortFunc(slots, func(a, b seamtarget.SlotGrant) int { return int(a.Slot) - int(b.Slot) })
	return slots, served
}

// remaining returns the time left until end by the clock on which less is left, or 0 if end has passed.
func remaining(now, end seamclock.Instant) time.Duration {
	return max(0, -seamclock.MaxElapsed(now, end))
}
