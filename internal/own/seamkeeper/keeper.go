// Package seamkeeper runs a node's part of a cell: it drives the cell's state machine (seamcell), performs
// its store, network and grant actions, and admits requests to the slots that the node owns.
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
	// Cell configures the state machine.
	Cell seamcell.Config
	// TickInterval is the interval between ticks of the state machine.
	TickInterval time.Duration
	// SlotWaitTimeout bounds how long a request waits for a slot whose grant is pending.
	SlotWaitTimeout time.Duration
	// MaxSlotWaiters is the maximum number of requests that wait for pending grants.
	MaxSlotWaiters int
	// CallTimeout bounds one call to the store or to a peer.
	CallTimeout time.Duration
	// Seeds are addresses of other nodes, used to join a cell if the store is unavailable at startup.
	Seeds []string
	// TrustFencing says that the target can be relied on to reject requests of another epoch.
	TrustFencing bool
}

// publishInterval is the minimum interval between snapshots that differ only in loads.
const publishInterval = 250 * time.Millisecond

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		Cell:            seamcell.DefaultConfig(),
		TickInterval:    50 * time.Millisecond,
		SlotWaitTimeout: 1500 * time.Millisecond,
		MaxSlotWaiters:  1024,
		CallTimeout:     2 * time.Second,
	}
}

// DatagramSender sends a datagram to a node. It consists of a preamble, which may be omitted if the node
// has received it before, and a payload.
type DatagramSender interface {
	Send(to seampeer.Peer, preamble, payload []byte) error
}

// StreamOpener opens streams to nodes for queries of cell records and member lists.
type StreamOpener interface {
	OpenCells(ctx context.Context, to seampeer.Peer) (net.Conn, error)
}

// RuleSource provides the rules in effect at this node.
type RuleSource interface {
	// Fetch requests rules newer than those in effect from the peer and applies them.
	Fetch(ctx context.Context, from seampeer.Peer) error
	// Load reads the rules from the store and applies them.
	Load(ctx context.Context) error
	// Labels returns the instance's labels, as set by operators and by its target.
	Labels(service string, peer seampeer.Peer, own map[string]string) map[string]string
}

// DrainHandler handles drain requests that another node forwards.
type DrainHandler interface {
	// HandleDrainRequest starts the planned stop of this node.
	HandleDrainRequest()
}

// Dependencies are the components that a keeper uses.
type Dependencies struct {
	Store        seamstore.Store
	Datagrams    DatagramSender
	Streams      StreamOpener
	Rules        RuleSource
	Placer       seamcell.Placer
	DrainHandler DrainHandler
	// StoreReachable reports whether this node can reach the store.
	StoreReachable func() bool
	Sink           seamevent.Sink
	Metrics        *metrics.Set
	Clock          *seamclock.Clock
}

// Keeper runs the cell state machine of one node.
type Keeper struct {
	cfg  Config
	self seampeer.Peer
	deps Dependencies
	ctx  context.Context
	// tasksMu guards stopped; no task starts after it is set.
	tasksMu sync.Mutex
	stopped bool
	tasks   sync.WaitGroup

	// mu guards cell and the state that its actions change.
	mu          sync.Mutex
	cell        *seamcell.Cell
	target      seamcell.TargetState
	viewVersion seamcell.ViewVersion
	// publishedAt is the time of the latest snapshot.
	publishedAt seamclock.Instant
	stopWatch   context.CancelFunc

	heldSlots   heldSlots
	slotWaiters slotWaiters
	snapshot    atomic.Pointer[snapshot]
	ownerCache  *ownerCache
	memberLists *memberLists
	grantSender *grantSender
	fetching    [2]atomic.Bool
	// bootstrapWake triggers a read of the directory.
	bootstrapWake chan struct{}
}

// New starts a keeper. The returned function stops it without releasing its grants, which then expire.
// Call Drain first for a planned stop.
func New(cfg Config, self seampeer.Peer, deps Dependencies) (*Keeper, func(), error) {
	ctx, cancel := context.WithCancel(context.Background())
	k := &Keeper{
		cfg:           cfg,
		self:          self,
		deps:          deps,
		ctx:           ctx,
		cell:          seamcell.New(cfg.Cell, self, deps.Placer),
		ownerCache:    newOwnerCache(),
		bootstrapWake: make(chan struct{}, 1),
	}
	k.heldSlots.slots = map[slotID]*heldSlot{}
	k.memberLists = newMemberLists(k)
	k.grantSender = newGrantSender(k)
	k.publish(deps.Clock.Now())
	registerMetrics(k, deps.Metrics)
	k.tasks.Go(k.tickLoop)
	k.tasks.Go(k.bootstrap)
	k.tasks.Go(k.grantSender.run)
	return k, func() {
		cancel()
		k.stopTasks()
		k.tasks.Wait()
	}, nil
}

// startTask runs f in a goroutine that the cleanup function waits for. It does nothing once cleanup has begun.
func (k *Keeper) startTask(f func()) {
	k.tasksMu.Lock()
	defer k.tasksMu.Unlock()
	if !k.stopped {
		k.tasks.Go(f)
	}
}

func (k *Keeper) stopTasks() {
	k.tasksMu.Lock()
	defer k.tasksMu.Unlock()
	k.stopped = true
}

// step passes one event to the state machine and performs the resulting actions. A stopped keeper
// ignores all events.
func (k *Keeper) step(event func(c *seamcell.Cell, now seamclock.Instant) []seamcell.Action) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ctx.Err() != nil {
		return
	}
	now := k.deps.Clock.Now()
	actions := event(k.cell, now)
	lease := k.leaseEnd(now)
	// The lease is shortened before the actions and extended after them, so that no request is admitted
	// under the new lease to a slot that these actions release.
	k.heldSlots.shortenLease(lease)
	for _, a := range actions {
		k.perform(now, a)
	}
	k.heldSlots.setLease(lease)
	k.grantSender.setLease(lease)
	if stamp := k.cell.ViewVersion(); stamp != k.viewVersion || seamclock.MaxElapsed(now, k.publishedAt) >= publishInterval {
		k.viewVersion, k.publishedAt = stamp, now
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
		k.updateWatch()
	}
}

// ReceiveDatagram handles a datagram from another node's keeper.
func (k *Keeper) ReceiveDatagram(_ seampeer.Peer, payload []byte) {
	message := &seamcellwire.Message{}
	if err := proto.Unmarshal(payload, message); err != nil {
		k.deps.Metrics.GetOrCreateCounter(`cardamomseam_cell_malformed_total`).Inc()
		return
	}
	k.step(func(c *seamcell.Cell, now seamclock.Instant) []seamcell.Action { return c.Receive(now, message) })
}

// UpdateService passes the configuration of a keyed service to the state machine.
func (k *Keeper) UpdateService(s seamcell.ServiceState) {
	k.step(func(c *seamcell.Cell, now seamclock.Instant) []seamcell.Action { return c.UpdateService(now, s) })
}

// RulesApplied informs the state machine of the rules revision in effect at this node.
func (k *Keeper) RulesApplied(revision int64) {
	k.step(func(c *seamcell.Cell, now seamclock.Instant) []seamcell.Action { return c.RulesApplied(now, revision) })
}

// Drain starts the planned stop. It returns when the node holds no more slots, or when ctx ends.
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

// View returns the node's current view of its cell.
func (k *Keeper) View() seamcell.View {
	return k.snapshot.Load().view
}

// Records returns the known cell records, sorted by key.
func (k *Keeper) Records() []seamcell.Entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cell.Records()
}
