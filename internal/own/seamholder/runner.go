package seamholder

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamassign"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamgrant"
	"cardamomseam/internal/own/seamslot"
	"cardamomseam/internal/own/seamtable"
	wire "cardamomseam/internal/own/seamtablewire"
	"cardamomseam/internal/own/seamusage"
	"cardamomseam/internal/platform/seamwait"
)

const (
	// orderPollInterval is the time between two checks for due orders.
	orderPollInterval = 50 * time.Millisecond
	// maxChunkUtilization is the part of a target's capacity that the requests for one reported chunk of its keys may take,
	// so that the chunks of an overloaded target fit into what others have free.
	maxChunkUtilization = 0.15
	// deadConnectFailures is the number of refused connections since the last confirmed grant at which the target's
	// process is considered dead.
	deadConnectFailures = 2
)

// TargetClient sends orders to the node's target. Errors are *OrderRejectedError if the target rejected the
// order, *ConnectionRefusedError if nothing listens at its address, and others if there was no answer.
type TargetClient interface {
	// Grant grants the range for the duration ttl, or renews it. It calls fresh right before the first byte is
	// sent, and sends nothing if that returns false.
	Grant(ctx context.Context, address string, r seamtable.Range, ttl time.Duration, fresh func() bool) error
	// Release asks the target to release the range, waits until its work on the range has ended, and returns the state
	// that the target hands over.
	Release(ctx context.Context, address string, r seamtable.Range) (handover string, err error)
}

// OrderRejectedError reports that the target rejected an order with an HTTP status.
type OrderRejectedError struct {
	Status int
}

// Error implements error.
func (e *OrderRejectedError) Error() string {
	return fmt.Sprintf("target rejected the order with status %d", e.Status)
}

// ConnectionRefusedError reports that nothing listens at the address of the target.
type ConnectionRefusedError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ConnectionRefusedError) Error() string {
	return fmt.Sprintf("connection to target %s refused: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ConnectionRefusedError) Unwrap() error { return e.Cause }

// AssignerClient connects to the assigner of a service.
type AssignerClient interface {
	// OpenHeartbeats opens a heartbeat stream to the assigner.
	OpenHeartbeats(ctx context.Context, service string) (net.Conn, error)
	// Redirected records the assigner that another node named in its reply.
	Redirected(service string, leader *wire.Office)
	// ConfirmedEpoch returns the highest epoch of the service that this incarnation of the node has read from the store, 0
	// if none. It returns false as long as none was read and an assigner that was superseded before this incarnation
	// started may still grant leases.
	ConfirmedEpoch(service string) (epoch uint64, ok bool)
	// StoreEra returns the latest era of the store that the node knows.
	StoreEra() int64
	// Reader reports whether the node passes ownership tables on to others.
	Reader() bool
	// TableReceived receives the ownership table that the assigner sent.
	TableReceived(service string, table []byte, revision int64)
}

// Clock reads the machine's clocks.
type Clock interface {
	Now() seamclock.Instant
}

// Incarnation is one incarnation of a target that holds keys, with its address and concurrency limit.
type Incarnation struct {
	Service        string
	Address        string
	Holder         seamtable.Holder
	MaxConcurrency int
}

// LoadReporter reports the load of the target.
type LoadReporter interface {
	// Load returns the load of the target, without what depends on its keys.
	Load() seamtable.Load
}

// Runner drives the holder of the node's target: it exchanges heartbeats with the assigner and sends orders to
// the target. It is safe for concurrent use.
type Runner struct {
	cfg          Config
	client       TargetClient
	assigner     AssignerClient
	clock        Clock
	load         LoadReporter
	usage        *seamusage.Usage
	sink         seamevent.Sink
	heartbeatDue chan struct{}
	ordersDue    chan struct{}

	mu          sync.Mutex
	incarnation Incarnation
	// holder is nil if there is no target.
	holder *Holder
	former []*formerIncarnation
	// connectFailures counts refused connections since the last confirmed grant.
	connectFailures int
	// changed is closed at the next change of the keys that the target holds.
	changed chan struct{}
	// started is the time at which the runner was created.
	started seamclock.Instant
	// onDead is called when the target's process is found to be dead.
	onDead func(seamtable.Holder)
}

// formerIncarnation is a former incarnation of the target whose end the assigner has not acknowledged.
type formerIncarnation struct {
	incarnation Incarnation
	holder      *Holder
}

// NewRunner returns a runner without a target. It calls onDead when a target's process is found to be dead.
func NewRunner(cfg Config, client TargetClient, assigner AssignerClient, clock Clock, load LoadReporter, sink seamevent.Sink, onDead func(seamtable.Holder)) *Runner {
	return &Runner{
		cfg:          cfg,
		client:       client,
		assigner:     assigner,
		clock:        clock,
		load:         load,
		usage:        seamusage.New(),
		sink:         sink,
		heartbeatDue: make(chan struct{}, 1),
		ordersDue:    make(chan struct{}, 1),
		changed:      make(chan struct{}),
		started:      clock.Now(),
		onDead:       onDead,
	}
}

// SetIncarnation sets the incarnation of the target that holds keys; a zero Incarnation means none. If it differs from the
// current one, that is retired.
func (r *Runner) SetIncarnation(i Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holder != nil && r.incarnation.Holder == i.Holder && r.incarnation.Service == i.Service {
		r.incarnation = i
		return
	}
	if r.holder != nil {
		if !r.holder.Dead() {
			r.holder.Retire()
		}
		r.former = append(r.former, &formerIncarnation{r.incarnation, r.holder})
	}
	r.incarnation, r.holder, r.connectFailures = i, nil, 0
	if !i.Holder.Zero() {
		r.holder = New(r.cfg, i.Holder, r.started)
	}
	r.incarnationChanged()
}

// TargetStopping reports to the assigner that the target is about to stop, so that all its keys move away.
func (r *Runner) TargetStopping() { r.updateHolder((*Holder).MarkLeaving) }

// NodeStopping reports to the assigner that the node is about to restart, so that the keys move if the other targets have
// enough capacity for them.
func (r *Runner) NodeStopping() { r.updateHolder((*Holder).MarkStopping) }

func (r *Runner) updateHolder(update func(*Holder)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holder != nil {
		update(r.holder)
	}
	wake(r.heartbeatDue)
}

// Empty reports whether the target holds no keys.
func (r *Runner) Empty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holder == nil || r.holder.Dead() || r.holder.AllReleased()
}

// Ranges returns the ranges that the target holds or is being granted.
func (r *Runner) Ranges() []seamtable.Range {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holder == nil {
		return nil
	}
	return r.holder.Ranges()
}

// Acquire returns the grant under which a request for the slot may be sent to the target. It waits, bounded by ctx, while
// the grant is pending. It also rechecks periodically, since the expiry of a lease does not signal Changed.
func (r *Runner) Acquire(ctx context.Context, id seamslot.ID) (seamgrant.Grant, func(), error) {
	for {
		r.mu.Lock()
		grant, err := r.acquire(id)
		release := func() {}
		if err == nil {
			release = r.requestStarted(id.Index)
		}
		changed := r.changed
		r.mu.Unlock()
		var notOwner *seamgrant.NotOwnerError
		if err == nil || !errors.As(err, &notOwner) || !notOwner.GrantPending {
			return grant, release, err
		}
		if !seamwait.Until(ctx, r.cfg.RenewalWait, changed) {
			return grant, nil, err
		}
	}
}

// requestStarted records that a request for the key may be sent, and returns the function that records its end. mu must be
// held.
func (r *Runner) requestStarted(key uint32) (release func()) {
	h := r.holder
	h.RequestStarted(key)
	return sync.OnceFunc(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if h.RequestEnded(key) {
			wake(r.ordersDue)
		}
	})
}

func (r *Runner) acquire(id seamslot.ID) (seamgrant.Grant, error) {
	grant := seamgrant.Grant{Slot: id}
	if r.holder == nil || r.incarnation.Service != id.Service {
		return grant, &seamgrant.NotOwnerError{Slot: id}
	}
	return r.holder.Acquire(r.clock.Now(), grant)
}

// Held returns the end of the confirmed grant of the slot under the epoch, its fencing token; false if the target does not
// hold the slot under it.
func (r *Runner) Held(id seamslot.ID, epoch uint64) (until seamclock.Instant, held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holder == nil {
		return seamclock.Instant{}, false
	}
	return r.holder.GrantExpiry(id.Index, epoch)
}

// Changed returns a channel that is closed at the next change of the keys that the target holds.
func (r *Runner) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Count records a request for a slot in the usage statistics.
func (r *Runner) Count(_ seamclock.Instant, slot seamslot.ID, _, _ string) {
	r.usage.Count(time.Now(), slot.Index)
}

// incarnationChanged signals Changed and wakes the loops that send orders and heartbeats. mu must be held.
func (r *Runner) incarnationChanged() {
	r.keysChanged()
	wake(r.ordersDue)
	wake(r.heartbeatDue)
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run exchanges heartbeats with the assigner and sends due orders to the target until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { r.heartbeatLoop(ctx) })
	defer running.Wait()
	for seamwait.Until(ctx, r.waitFor(orderPollInterval), r.ordersDue) {
		for _, c := range r.dueOrders() {
			running.Go(func() { c.run(ctx) })
		}
	}
}

// waitFor returns the interval, or idleInterval if there are no holders and thus nothing to do until one is signalled.
func (r *Runner) waitFor(interval time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holder == nil && len(r.former) == 0 {
		return idleInterval
	}
	return interval
}

// keysChanged wakes all callers that wait for a change. mu must be held.
func (r *Runner) keysChanged() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// nextHeartbeat returns the next heartbeat to send, with its service and holder; the holder is nil if there is none to
// send. The end of former incarnations is reported first.
func (r *Runner) nextHeartbeat() (service string, hb seamassign.Heartbeat, h *Holder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if len(r.former) > 0 {
		f := r.former[0]
		if !f.holder.Dead() {
			return "", seamassign.Heartbeat{}, nil
		}
		return f.incarnation.Service, f.holder.Heartbeat(now), f.holder
	}
	if r.holder == nil {
		return "", seamassign.Heartbeat{}, nil
	}
	epoch, ok := r.assigner.ConfirmedEpoch(r.incarnation.Service)
	if !ok {
		return "", seamassign.Heartbeat{}, nil
	}
	r.holder.ObserveEra(now, r.assigner.StoreEra())
	r.holder.ObserveEpoch(now, epoch)
	hb = r.holder.Heartbeat(now)
	hb.Load = r.load.Load()
	hb.Load.MaxConcurrency = r.incarnation.MaxConcurrency
	hb.Load.Chunks, hb.Load.Rate = r.usage.Chunks(time.Now(), r.holder.Ranges(), maxChunkUtilization*hb.Load.Capacity())
	return r.incarnation.Service, hb, r.holder
}
