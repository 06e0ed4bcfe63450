// Package seamkeeper connects the state machine of a cell (seamcell) to the
// store, the network, the own target and the request path.
package seamkeeper

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/own/seamcellwire"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/platform/seamstore"
)

// Config holds the settings of a keeper.
type Config struct {
	// Cell holds the settings of the state machine.
	Cell seamcell.Config
	// Tick is the time between ticks of the state machine.
	TickInterval time.Duration
	// Wait is the longest time for which a request waits for a slot that is arriving.
	SlotWaitTimeout time.Duration
	// Waiting is the largest number of requests that wait for arriving slots.
	MaxSlotWaiters int
	// Call bounds one call of the store or of a peer.
	CallTimeout time.Duration
	// Seeds are addresses of other nodes, used while the store is down at the start.
	Seeds []string
	// Fence says that the target is trusted to refuse requests of another epoch.
	TrustFencing bool
}

// publishInterval is the time after which loads that changed alone are published.
const publishInterval = 250 * time.Millisecond

// DefaultConfig returns the settings that the documentation describes.
func DefaultConfig() Config {
	return Config{
		Cell:            seamcell.DefaultConfig(),
		TickInterval:    50 * time.Millisecond,
		SlotWaitTimeout: 1500 * time.Millisecond,
		MaxSlotWaiters:  1024,
		CallTimeout:     2 * time.Second,
	}
}

// Datagrams sends a datagram to a node: the preamble, which may be left out if the node knows it
// from before, and the payload.
type DatagramSender interface {
	Send(to seampeer.Peer, preamble, payload []byte) error
}

// Streams opens a stream to a node on which records and rosters are asked for.
type StreamOpener interface {
	OpenCells(ctx context.Context, to seampeer.Peer) (net.Conn, error)
}

// Rules are the rules in force at this node.
type RuleSource interface {
	// Fetch asks the peer for rules later than those in force and applies them.
	Fetch(ctx context.Context, from seampeer.Peer) error
	// Read reads the rules from the store and applies them.
	Load(ctx context.Context) error
	// Labels returns the labels that operators and target gave to the instance.
	Labels(service string, peer seampeer.Peer, own map[string]string) map[string]string
}

// Orders takes orders that another node passes on.
type DrainHandler interface {
	// OrderedDrain begins the planned stop of this node.
	HandleDrainRequest()
}

// Parts are what a keeper works with.
type Dependencies struct {
	Store        seamstore.Store
	Datagrams    DatagramSender
	Streams      StreamOpener
	Rules        RuleSource
	Placer       seamcell.Placer
	DrainHandler DrainHandler
	// Reachable reports whether this node reaches the store.
	StoreReachable func() bool
	Sink           seamevent.Sink
	Metrics        *metrics.Set
	Clock          *seamclock.Clock
}

// Keeper runs the state machine of one node.
type Keeper struct {
	cfg   Config
	self  seampeer.Peer
	parts Dependencies
	ctx   context.Context
	// starting guards stopped, after which no task is started.
	starting sync.Mutex
	stopped  bool
	tasks    sync.WaitGroup

	// mu guards cell and everything that follows from its actions.
	mu     sync.Mutex
	cell   *seamcell.Cell
	target seamcell.TargetState
	stamp  seamcell.ViewVersion
	// published is the time of the latest snapshot.
	published seamclock.Instant
	watcher   context.CancelFunc

	holdings holdings
	arrivals arrivals
	snapshot atomic.Pointer[snapshot]
	hints    *hints
	rosters  *rosters
	orders   *orders
	fetching [2]atomic.Bool
	// lonely wakes the reading of the directory.
	lonely chan struct{}
}

// New starts a keeper. The clean-up function stops it; grants then lapse by
// themselves. A planned stop calls Drain first.
func New(cfg Config, self seampeer.Peer, parts Dependencies) (*Keeper, func(), error) {
	ctx, cancel := context.WithCancel(context.Background())
	k := &Keeper{
		cfg:    cfg,
		self:   self,
		parts:  parts,
		ctx:    ctx,
		cell:   seamcell.New(cfg.Cell, self, parts.Placer),
		hints:  newHints(),
		lonely: make(chan struct{}, 1),
	}
	k.holdings.slots = map[slotID]*holding{}
	k.rosters = newRosters(k)
	k.orders = newOrders(k)
	k.publish(parts.Clock.Now())
	registerMetrics(k, parts.Metrics)
	k.tasks.Go(k.tickLoop)
	k.tasks.Go(k.bootstrap)
	k.tasks.Go(k.orders.run)
	return k, func() {
		cancel()
		k.refuseTasks()
		k.tasks.Wait()
	}, nil
}

// background runs f as a task that the clean-up waits for. After the clean-up
// began it does nothing.
func (k *Keeper) background(f func()) {
	k.starting.Lock()
	defer k.starting.Unlock()
	if !k.stopped {
		k.tasks.Go(f)
	}
}

func (k *Keeper) refuseTasks() {
	k.starting.Lock()
	defer k.starting.Unlock()
	k.stopped = true
}

// step runs one event through the state machine and performs its actions. A
// stopped keeper takes no part in its cell any more.
func (k *Keeper) step(event func(c *seamcell.Cell, now seamclock.Instant) []seamcell.Action) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ctx.Err() != nil {
		return
	}
	now := k.parts.Clock.Now()
	actions := event(k.cell, now)
	lease := k.lease(now)
	// A slot that is taken away here must not be admitted under the lease that
	// follows: the lease is shortened before the actions and extended after them.
	k.holdings.shortenLease(lease)
	for _, a := range actions {
		k.perform(now, a)
	}
	k.holdings.setLease(lease)
	k.orders.renew(lease)
	if stamp := k.cell.ViewVersion(); stamp != k.stamp || seamclock.MaxElapsed(now, k.published) >= publishInterval {
		k.stamp, k.published = stamp, now
		k.publish(now)
	}
}

func (k *Keeper) tickLoop() {
	ticker := time.NewTicker(k.cfg.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-k.ctx.Done():
			return
		case <-ticker.C:
		}
		k.step(func(c *seamcell.Cell, now seamclock.Instant) []seamcell.Action { return c.Tick(now) })
		k.followRole()
	}
}

// ReceiveDatagram takes a datagram of another node's keeper.
func (k *Keeper) ReceiveDatagram(_ seampeer.Peer, payload []byte) {
	message := &seamcellwire.Message{}
	if err := proto.Unmarshal(payload, message); err != nil {
		k.parts.Metrics.GetOrCreateCounter(`cardamomseam_cell_malformed_total`).Inc()
		return
	}
	k.step(func(c *seamcell.Cell, now seamclock.Instant) []seamcell.Action { return c.Receive(now, message) })
}

// Service tells the state machine about a keyed service in the rules.
func (k *Keeper) UpdateService(s seamcell.ServiceState) {
	k.step(func(c *seamcell.Cell, now seamclock.Instant) []seamcell.Action { return c.UpdateService(now, s) })
}

// Applied tells the state machine which revision of the rules is in force here.
func (k *Keeper) RulesApplied(revision int64) {
	k.step(func(c *seamcell.Cell, now seamclock.Instant) []seamcell.Action { return c.RulesApplied(now, revision) })
}

// Drain begins the planned stop. It returns when the node holds nothing more,
// or when ctx ends.
func (k *Keeper) Drain(ctx context.Context) error {
	k.step(func(c *seamcell.Cell, now seamclock.Instant) []seamcell.Action { return c.Drain(now) })
	ticker := time.NewTicker(k.cfg.TickInterval)
	defer ticker.Stop()
	for {
		if k.drained() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (k *Keeper) drained() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cell.Drained()
}

// View returns what the node knows of its cell.
func (k *Keeper) View() seamcell.View {
	return k.snapshot.Load().view
}

// Records returns the known records of cells, in order of their keys.
func (k *Keeper) Records() []seamcell.Entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cell.Records()
}
