package seamelection

import (
	"context"
	"slices"
	"sync"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamassign"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamtable"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/platform/seamwait"
)

const (
	// leaderLeaseTTL is the duration of the store lease on a leader record.
	leaderLeaseTTL = 1200 * time.Millisecond
	// renewInterval is the time between two renewals of that lease.
	renewInterval = 350 * time.Millisecond
	// pollInterval is the time between two checks for a vacancy by a node that is not the leader.
	pollInterval = 500 * time.Millisecond
	// tickInterval is the time between two ticks of the assigner.
	tickInterval = 50 * time.Millisecond
	// callTimeout bounds one call to the store.
	callTimeout = 600 * time.Millisecond
	// rankDelayStep is the additional campaign delay per rank.
	rankDelayStep = 120 * time.Millisecond
	// startupJitterMax is the range over which nodes that know no other nodes yet spread their campaigns.
	startupJitterMax = 1500 * time.Millisecond
	// lateCandidateDelay is the additional delay of nodes beyond ImmediateCandidates, so that few campaign at once.
	lateCandidateDelay = time.Second
	// retryDelay is the delay after a failed campaign or a failed read of the table.
	retryDelay = 400 * time.Millisecond
)

// ImmediateCandidates is the number of candidates that campaign for a vacant leadership without lateCandidateDelay.
const ImmediateCandidates = 3

// Store holds the leader records and the tables.
type Store interface {
	seamstore.LeaseManager
	seamstore.EraReader
	Get(ctx context.Context, p seamstore.Priority, key string) (seamstore.Entry, error)
	Swap(ctx context.Context, p seamstore.Priority, key string, expect int64, value []byte) (int64, error)
}

// Clock reads the machine's clocks.
type Clock interface {
	Now() seamclock.Instant
}

// Peers ranks this node among the candidates and reaches the other nodes.
type Peers interface {
	// Rank returns the rank of this node among the candidates for a service, from 0. Nodes whose target holds keys of
	// the service rank last, since the loss of one machine would take out both the assigner and a holder. If no other
	// node is known, it returns false, and rank 1 for a holder's node.
	Rank(service string) (rank int, known bool)
	// AnnounceResignation sends the resignation to the nodes that may be elected next.
	AnnounceResignation(r Resignation)
}

// Elector campaigns for the leadership of one service's assignment and runs the assigner while this node is the leader.
// It is safe for concurrent use.
type Elector struct {
	service  string
	self     seampeer.Peer
	store    Store
	registry *Registry
	clock    Clock
	sink     seamevent.Sink
	cfg      seamassign.Config
	peers    Peers
	// withdrawn is closed when the node stops campaigning, and stopping when a leader must resign even though the
	// store is unreachable.
	withdrawn, stopping chan struct{}
	withdraw, stop      func()
	// stopped is closed when Run returns.
	stopped chan struct{}

	mu sync.Mutex
	// assigner is nil while this node is not the leader.
	assigner *seamassign.Assigner
	// era is the era of the store in which this node was elected.
	era int64
	// lease is the store lease on the leader record; 0 while this node is not the leader.
	lease seamstore.Lease
	// renewed is the time at which the last successful renewal was sent.
	renewed seamclock.Instant
	// earlierLeaseEnd is the latest end of the leases that this incarnation of the node granted in earlier epochs.
	earlierLeaseEnd seamclock.Instant
	// streams are the open heartbeat streams of holders.
	streams map[*heartbeatStream]bool
	// wake is signalled when the assigner has work.
	wake chan struct{}
	// placement returns the restriction of the holders that may have keys.
	placement func() seamtable.Placement
	placed    placed
}

// New returns this node's elector for a service.
func New(service string, self seampeer.Peer, store Store, registry *Registry, clock Clock, peers Peers, sink seamevent.Sink) *Elector {
	withdrawn, stopping := make(chan struct{}), make(chan struct{})
	return &Elector{
		service:   service,
		self:      self,
		store:     store,
		registry:  registry,
		clock:     clock,
		sink:      sink,
		cfg:       seamassign.DefaultConfig(),
		peers:     peers,
		withdrawn: withdrawn,
		stopping:  stopping,
		withdraw:  sync.OnceFunc(func() { close(withdrawn) }),
		stop:      sync.OnceFunc(func() { close(stopping) }),
		stopped:   make(chan struct{}),
		streams:   map[*heartbeatStream]bool{},
		wake:      make(chan struct{}, 1),
		placement: func() seamtable.Placement { return seamtable.Placement{} },
	}
}

// UsePlacement sets the function that returns the restriction of the holders that may have keys. It must be called before Run.
func (e *Elector) UsePlacement(placement func() seamtable.Placement) { e.placement = placement }

// Service returns the service whose assigner is elected.
func (e *Elector) Service() string { return e.service }

// Withdraw stops campaigning. A leader that can reach the store resigns at once. One that cannot continues until the
// store is reachable again or Stop is called, since no successor can be elected without the store.
func (e *Elector) Withdraw() { e.withdraw() }

// Stop resigns any leadership and waits until Run has returned or ctx ends.
func (e *Elector) Stop(ctx context.Context) {
	e.withdraw()
	e.stop()
	select {
	case <-e.stopped:
	case <-ctx.Done():
	}
}

// cancelOn returns a context that ends with ctx or when done is closed.
func cancelOn(ctx context.Context, done <-chan struct{}) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-done:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// Run campaigns for the leadership, and leads while this node is elected. It returns when ctx ends or when the elector
// is withdrawn and leads no more.
func (e *Elector) Run(ctx context.Context) {
	defer close(e.stopped)
	campaignCtx, cancel := cancelOn(ctx, e.withdrawn)
	defer cancel()
	for campaignCtx.Err() == nil {
		if !e.shouldCampaign(campaignCtx) {
			continue
		}
		if err := e.campaign(campaignCtx); err != nil {
			e.logFailure("take", err)
			seamwait.Jittered(campaignCtx, retryDelay)
			continue
		}
		e.lead(ctx)
		e.resign()
	}
}

// setRenewedLocked records that the store confirmed the leadership by a call that was sent at the given time. mu must
// be held.
func (e *Elector) setRenewedLocked(sent seamclock.Instant) {
	e.renewed = sent
	e.assigner.ConfirmLeadership(sent)
}

// identity returns this incarnation of the node as the assigner of the epoch.
func (e *Elector) identity(epoch uint64) seamtable.Assigner {
	return seamtable.Assigner{Name: e.self.Name, Incarnation: e.self.Incarnation, Epoch: epoch}
}

// revokeLease ends a lease that the store granted in the given era. In a later era, its id may be that of another lease.
func (e *Elector) revokeLease(l seamstore.Lease, era int64) {
	if e.checkEra(era) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := e.store.RevokeLease(ctx, l); err != nil {
		e.logFailure("end", err)
	}
}

// lead runs the assigner until leadership is lost or ctx ends.
func (e *Elector) lead(ctx context.Context) {
	ctx, cancel := cancelOn(ctx, e.stopping)
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() {
		defer cancel()
		e.renewLoop(ctx)
	})
	running.Go(func() {
		defer cancel()
		e.awaitWithdrawal(ctx)
	})
	running.Go(func() {
		defer cancel()
		e.writeLoop(ctx)
	})
	running.Wait()
}

// awaitWithdrawal waits until the elector is withdrawn and the store is reachable, so that a successor can be elected.
func (e *Elector) awaitWithdrawal(ctx context.Context) {
	select {
	case <-e.withdrawn:
	case <-ctx.Done():
	}
	for !e.storeReachable() && seamwait.For(ctx, tickInterval) {
	}
}

// storeReachable reports whether the record was renewed within the last leaderLeaseTTL.
func (e *Elector) storeReachable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return seamclock.MaxElapsed(e.clock.Now(), e.renewed) < leaderLeaseTTL
}

// resign ends the leadership. It records in the store that this node grants no more leases. If that fails, or if the
// leases already granted outlast one of Config.Lease, it announces the resignation to other nodes.
func (e *Elector) resign() {
	reachable := e.storeReachable()
	e.mu.Lock()
	authorized := e.authorizedLocked()
	final := e.assigner.FinalTable(e.clock.Now())
	revision := e.assigner.Version().Revision
	e.earlierLeaseEnd = seamclock.Later(e.earlierLeaseEnd, e.assigner.LastLeaseEnd())
	resignation := Resignation{Service: e.service, Assigner: e.identity(e.assigner.Epoch()), ExpiresAt: e.earlierLeaseEnd}
	e.assigner = nil
	lease, era := e.lease, e.era
	e.lease = 0
	e.mu.Unlock()
	e.sink.Emit(time.Now(), seamevent.LeadershipLost, seamevent.Fields{
		"service": e.service, "epoch": final.Epoch, "era": era, "latest": e.store.Era(), "fence": final.Fence,
	})
	written := authorized && reachable && e.checkEra(era) == nil && e.writeFinalTable(final, revision)
	if !written || slices.Contains(final.Assigners, resignation.Assigner) {
		e.peers.AnnounceResignation(resignation)
	}
	if lease != 0 && reachable {
		e.revokeLease(lease, era)
	}
}

// writeFinalTable writes the assigner's final table, and reports whether that succeeded. A successor does not wait for the
// leases of assigners that the table no longer lists.
func (e *Elector) writeFinalTable(final seamtable.Table, revision int64) bool {
	value, err := seamtable.Encode(final)
	if err != nil {
		e.logFailure("resign", err)
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if _, err := e.store.Swap(ctx, seamstore.Takeover, TablePrefix+e.service, revision, value); err != nil {
		e.logFailure("resign", err)
		return false
	}
	return true
}

func (e *Elector) logFailure(call string, err error) {
	e.sink.Emit(time.Now(), seamevent.LeadershipCallFailed, seamevent.Fields{"service": e.service, "call": call, "error": err.Error()})
}
