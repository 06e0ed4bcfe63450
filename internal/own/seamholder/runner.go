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
	// dueInterval is the time between two looks for orders that are due.
	dueInterval = 50 * time.Millisecond
	// chunks is the number of chunks in which the load is reported.
	chunks = 24
	// deadTries is the number of orders in a row that find nothing listening from which the
	// target's process is taken to have ended.
	deadTries = 2
)

// Orders reaches the target beside the node. Errors are *RefusedError if the target answered that it
// does not take the order, *ClosedError if nothing listens at its address, and others
// if there was no answer.
type TargetClient interface {
	// Grant grants the range for a time, or renews it. It calls fresh right before the first byte is
	// sent, and sends nothing if that returns false.
	Grant(ctx context.Context, address string, r seamtable.Range, hold time.Duration, fresh func() bool) error
	// Release takes the range back, waits for the end of the work on it, and returns
	// what the target hands over.
	Release(ctx context.Context, address string, r seamtable.Range) (handover string, err error)
}

// RefusedError says that the target does not take an order.
type OrderRejectedError struct {
	Status int
}

// Error names the status.
func (e *OrderRejectedError) Error() string {
	return fmt.Sprintf("the target answered an order with status %d", e.Status)
}

// ClosedError says that nothing listens at the address of the target.
type ConnectionRefusedError struct {
	Address string
	Cause   error
}

// Error names the address.
func (e *ConnectionRefusedError) Error() string {
	return fmt.Sprintf("nothing listens at %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ConnectionRefusedError) Unwrap() error { return e.Cause }

// Link reaches the assigner of a service.
type AssignerClient interface {
	// OpenBeats opens a stream to the assigner.
	OpenHeartbeats(ctx context.Context, service string) (net.Conn, error)
	// Redirected takes note of the assigner that another node names.
	Redirected(service string, office *wire.Office)
	// Confirmed returns the epoch of the assigner that the store named since this run of the node began. It
	// returns false as long as an assigner that is known otherwise may have been replaced before.
	ConfirmedEpoch(service string) (epoch uint64, ok bool)
	// Learned takes the table of owners that the assigner sent.
	TableReceived(service string, table []byte, revision int64)
}

// Clock reads the clocks of the machine.
type Clock interface {
	Now() seamclock.Instant
}

// Life is one life of a target that holds keys.
type Incarnation struct {
	Service string
	Address string
	Holder  seamtable.Holder
	Slots   int
}

// Work tells how much work the target has.
type LoadReporter interface {
	// Work returns the mean number of requests at the target, and the mean time of one, in seconds.
	Load() (busy, service float64)
}

// Runner keeps the keys of the target beside the node. It is safe for concurrent use.
type Runner struct {
	cfg    Config
	orders TargetClient
	link   AssignerClient
	clock  Clock
	work   LoadReporter
	usage  *seamusage.Usage
	sink   seamevent.Sink
	beat   chan struct{}
	due    chan struct{}

	mu      sync.Mutex
	life    Incarnation
	holder  *Holder
	former  []*ended
	closed  int
	changed chan struct{}
	started seamclock.Instant
	// onDead is called when the target's process is found to have ended.
	onDead func(seamtable.Holder)
}

// ended is a former life of the target whose end the assigner has not been told of.
type ended struct {
	life   Incarnation
	holder *Holder
}

// NewRunner returns a runner without a target. onDead is told of the end of a target's process.
func NewRunner(cfg Config, orders TargetClient, link AssignerClient, clock Clock, work LoadReporter, sink seamevent.Sink, onDead func(seamtable.Holder)) *Runner {
	return &Runner{
		cfg:     cfg,
		orders:  orders,
		link:    link,
		clock:   clock,
		work:    work,
		usage:   seamusage.New(),
		sink:    sink,
		beat:    make(chan struct{}, 1),
		due:     make(chan struct{}, 1),
		changed: make(chan struct{}),
		started: clock.Now(),
		onDead:  onDead,
	}
}

// Serve sets the life of the target that holds keys; a zero Life means none. A former
// life at another start is over.
func (r *Runner) SetIncarnation(l Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holder != nil && r.life.Holder == l.Holder && r.life.Service == l.Service {
		r.life = l
		return
	}
	if r.holder != nil {
		if !r.holder.Dead() {
			r.holder.Retire()
		}
		r.former = append(r.former, &ended{r.life, r.holder})
	}
	r.life, r.holder, r.closed = l, nil, 0
	if !l.Holder.Zero() {
		r.holder = New(r.cfg, l.Holder, r.started)
	}
	r.lifeChanged()
}

// Leave gives all keys away, because the target is about to end.
func (r *Runner) TargetStopping() { r.say((*Holder).MarkLeaving) }

// Stop lets others have the keys if they have room for them, because the node is about to restart.
func (r *Runner) NodeStopping() { r.say((*Holder).MarkStopping) }

func (r *Runner) say(what func(*Holder)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holder != nil {
		what(r.holder)
	}
	kick(r.beat)
}

// Empty reports whether the target holds no keys.
func (r *Runner) Empty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holder == nil || r.holder.Dead() || r.holder.Empty()
}

// Ranges returns the ranges of the target.
func (r *Runner) Ranges() []seamtable.Range {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holder == nil {
		return nil
	}
	return r.holder.Ranges()
}

// Acquire implements the egress's Owners: it waits, bounded by ctx, while the key arrives. It looks again now and
// then, since the end of a right tells nobody.
func (r *Runner) Acquire(ctx context.Context, id seamslot.ID) (seamgrant.Grant, func(), error) {
	for {
		r.mu.Lock()
		grant, err := r.acquire(id)
		changed := r.changed
		r.mu.Unlock()
		var not *seamgrant.NotOwnerError
		if err == nil || !errors.As(err, &not) || !not.GrantPending {
			return grant, func() {}, err
		}
		if !seamwait.Until(ctx, r.cfg.RenewalWait, changed) {
			return grant, nil, err
		}
	}
}

func (r *Runner) acquire(id seamslot.ID) (seamgrant.Grant, error) {
	grant := seamgrant.Grant{Slot: id}
	if r.holder == nil || r.life.Service != id.Service {
		return grant, &seamgrant.NotOwnerError{Slot: id}
	}
	return r.holder.Acquire(r.clock.Now(), grant)
}

// Held implements the egress's Owners.
func (r *Runner) Held(id seamslot.ID, epoch uint64) (until seamclock.Instant, held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holder == nil {
		return seamclock.Instant{}, false
	}
	return r.holder.Held(id.Index, epoch)
}

// Changed returns a channel that is closed when what the target holds changes.
func (r *Runner) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Count counts a request for a key.
func (r *Runner) Count(_ seamclock.Instant, slot seamslot.ID, _, _ string) {
	r.usage.Count(time.Now(), slot.Index)
}

// lifeChanged wakes those who wait for a change, gives the orders that are due and reports at once. mu is held.
func (r *Runner) lifeChanged() {
	r.keysChanged()
	kick(r.due)
	kick(r.beat)
}

func kick(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run gives the orders that are due until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { r.beats(ctx) })
	defer running.Wait()
	ticker := time.NewTicker(dueInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.due:
		}
		for _, c := range r.dueOrders() {
			running.Go(func() { c.run(ctx) })
		}
	}
}

// call is an order on its way to the target.
type call struct {
	runner *Runner
	holder *Holder
	order  Order
	life   Incarnation
}

func (r *Runner) dueOrders() []call {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	var calls []call
	for _, f := range r.former {
		for _, o := range f.holder.DueOrders(now) {
			calls = append(calls, call{r, f.holder, o, f.life})
		}
		if !f.holder.Dead() && f.holder.FullyReleased(now) {
			f.holder.MarkDead()
			kick(r.beat)
		}
	}
	if r.holder == nil {
		return calls
	}
	before := r.holder.released()
	for _, o := range r.holder.DueOrders(now) {
		calls = append(calls, call{r, r.holder, o, r.life})
	}
	if r.holder.released() != before {
		kick(r.beat)
	}
	return calls
}

func (c call) run(ctx context.Context) {
	if c.order.Kind == Release {
		c.release(ctx)
		return
	}
	c.grant(ctx)
}

func (c call) grant(ctx context.Context) {
	r := c.runner
	r.mu.Lock()
	sent := r.clock.Now()
	order, hold, ok := c.holder.StartGrant(sent, c.order)
	r.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, min(r.cfg.AnswerTimeout, hold))
	defer cancel()
	fresh := func() bool { return seamclock.MaxElapsed(r.clock.Now(), sent) < r.cfg.MaxSendDelay }
	err := r.orders.Grant(ctx, c.life.Address, order.Range, hold, fresh)
	r.mu.Lock()
	defer r.mu.Unlock()
	var refused *OrderRejectedError
	switch {
	case err == nil:
		r.closed = 0
		c.holder.Granted(sent, order, hold)
		r.keysChanged()
	case errors.As(err, &refused):
		c.holder.Refused(order)
		c.failed("grant", err)
	default:
		c.failed("grant", err)
	}
}

// keysChanged wakes those who wait for a change. mu is held.
func (r *Runner) keysChanged() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (c call) release(ctx context.Context) {
	r := c.runner
	// The answer comes when the work on the range has ended.
	ctx, cancel := context.WithTimeout(ctx, r.cfg.GrantTTL)
	defer cancel()
	handover, err := r.orders.Release(ctx, c.life.Address, c.order.Range)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		c.failed("release", err)
		return
	}
	c.holder.Released(r.clock.Now(), c.order, handover)
	r.sink.Emit(time.Now(), seamevent.KeysReleased, c.fields(seamevent.Fields{"handover": handover != ""}))
	kick(r.beat)
}

// failed takes note of an order without effect. mu is held.
func (c call) failed(kind string, err error) {
	r := c.runner
	r.sink.Emit(time.Now(), seamevent.KeysFailed, c.fields(seamevent.Fields{"order": kind, "error": err.Error()}))
	var closed *ConnectionRefusedError
	if !errors.As(err, &closed) {
		return
	}
	r.closed++
	if r.closed < deadTries || r.holder != c.holder || c.holder.Dead() {
		return
	}
	c.holder.MarkDead()
	r.lifeChanged()
	go r.onDead(c.life.Holder)
}

func (c call) fields(f seamevent.Fields) seamevent.Fields {
	f["service"], f["target"] = c.life.Service, c.life.Holder.String()
	f["from"], f["to"], f["fence"] = c.order.From, c.order.To, c.order.Fence
	return f
}

// report returns the beat of the present life.
func (r *Runner) report() (service string, b seamassign.Heartbeat, h *Holder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if len(r.former) > 0 {
		f := r.former[0]
		if !f.holder.Dead() {
			return "", seamassign.Heartbeat{}, nil
		}
		return f.life.Service, f.holder.Heartbeat(now), f.holder
	}
	if r.holder == nil {
		return "", seamassign.Heartbeat{}, nil
	}
	epoch, ok := r.link.ConfirmedEpoch(r.life.Service)
	if !ok {
		return "", seamassign.Heartbeat{}, nil
	}
	r.holder.ObserveEpoch(now, epoch)
	b = r.holder.Heartbeat(now)
	b.Load.Slots = r.life.Slots
	b.Load.Concurrency, b.Load.ServiceTime = r.work.Load()
	b.Load.Chunks, b.Load.Rate = r.usage.Chunks(time.Now(), r.holder.Ranges(), chunks)
	return r.life.Service, b, r.holder
}
