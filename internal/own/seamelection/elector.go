package seamelection

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

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
	}
}

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

// shouldCampaign reports whether this node should campaign now. If not, it first waits until the next check is due.
func (e *Elector) shouldCampaign(ctx context.Context) bool {
	changed := e.registry.Changed()
	if e.ownRecordRevision() != 0 {
		return true
	}
	now := time.Now()
	since, vacant := e.registry.VacantSince(e.service, now)
	if vacant {
		wait := since.Add(e.campaignDelay()).Sub(now)
		if wait <= 0 {
			return true
		}
		seamwait.For(ctx, wait)
		return false
	}
	seamwait.Until(ctx, pollInterval, changed)
	return false
}

// ownRecordRevision returns the revision of the leader record if it names this node, which does not lead; 0 if not. An
// earlier incarnation wrote it, or it stands in the copy from which the store came back.
func (e *Elector) ownRecordRevision() int64 {
	record, ok := e.registry.Leader(e.service)
	if !ok || record.Peer.Name != e.self.Name {
		return 0
	}
	era, _ := seamstore.SplitEra(record.Revision)
	ofCopy := record.Peer.Incarnation == e.self.Incarnation && seamtable.EpochEra(record.Epoch) < era
	if record.Peer.Incarnation < e.self.Incarnation || ofCopy {
		return record.Revision
	}
	return 0
}

// campaignDelay returns how long a vacancy must last before this node campaigns.
func (e *Elector) campaignDelay() time.Duration {
	rank, known := e.peers.Rank(e.service)
	switch {
	case !known:
		spread := time.Duration(xxhash.Sum64String(e.self.Name+"\x00"+e.service) % uint64(startupJitterMax))
		return spread + time.Duration(rank)*startupJitterMax
	case rank < ImmediateCandidates:
		return time.Duration(rank) * rankDelayStep
	default:
		return lateCandidateDelay + time.Duration(rank)*rankDelayStep
	}
}

// campaign writes this node's leader record and starts a new epoch.
func (e *Elector) campaign(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	sent := e.clock.Now()
	lease, _, err := e.store.GrantLease(ctx, leaderLeaseTTL)
	if err != nil {
		return err
	}
	era := e.store.Era()
	table, epoch, err := e.beginEpoch(ctx, lease, era)
	if err != nil {
		e.revokeLease(lease, era)
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease, e.era = lease, era
	e.assigner = seamassign.New(e.cfg, e.clock.Now(), e.identity(epoch), e.earlierLeaseEnd, table.Table, table.Revision)
	e.setRenewedLocked(sent)
	e.sink.Emit(time.Now(), seamevent.LeaderElected, seamevent.Fields{
		"service": e.service, "epoch": epoch, "revision": table.Revision, "era": era, "written": table.Era, "former": table.Epoch,
		"fence": table.Fence, "ranges": len(table.Ranges),
	})
	return nil
}

// beginEpoch reads the table and writes this node's leader record, both in the given era of the store.
func (e *Elector) beginEpoch(ctx context.Context, lease seamstore.Lease, era int64) (table VersionedTable, epoch uint64, err error) {
	table, err = e.readTable(ctx)
	if err != nil {
		return table, 0, err
	}
	epoch = seamtable.NextEpoch(table.Epoch, era, rand.Uint64())
	record := LeaderRecord{Epoch: epoch, Peer: e.self}
	value, err := proto.Marshal(record.ToWire())
	if err != nil {
		return table, 0, err
	}
	if _, err := e.store.SwapLeased(ctx, seamstore.Takeover, LeaderPrefix+e.service, e.ownRecordRevision(), value, lease); err != nil {
		return table, 0, err
	}
	return table, epoch, e.checkEra(era)
}

// checkEra returns *seamstore.EraChangedError if the store has come back from a copy since the given era: what this node
// read or wrote in it may be lost, and its lease too.
func (e *Elector) checkEra(era int64) error {
	if latest := e.store.Era(); latest != era {
		return &seamstore.EraChangedError{From: era, To: latest}
	}
	return nil
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

func (e *Elector) readTable(ctx context.Context) (VersionedTable, error) {
	entry, err := e.store.Get(ctx, seamstore.Takeover, TablePrefix+e.service)
	if err != nil {
		return VersionedTable{}, err
	}
	if entry.Revision == 0 {
		return VersionedTable{Table: e.missingTable()}, nil
	}
	t, err := seamtable.Decode(entry.Value)
	return VersionedTable{Table: t, Revision: entry.Revision}, err
}

// missingTable returns the table of a service that has none in the store. If this node knows of an assigner, the store came
// back from a copy that is older than the first table.
func (e *Elector) missingTable() seamtable.Table {
	t := seamtable.Table{Service: e.service}
	if epoch, ok := e.registry.ConfirmedEpoch(e.service); ok {
		t.Epoch, t.Era = epoch, e.registry.firstEra(e.service)
	}
	return t
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

// supersededError reports that the store holds another leader record, or a table of a later epoch.
type supersededError struct {
	// By is that record. If a table was found, only its Epoch is set.
	By LeaderRecord
}

// Error implements error.
func (e *supersededError) Error() string {
	return fmt.Sprintf("node %s is the assigner in epoch %d", e.By.Peer, e.By.Epoch)
}

// endsLeadership reports whether an error means that this node leads no more: another node was elected, or the store
// came back from a copy, so that another one may have been elected in what it lost.
func endsLeadership(err error) bool {
	var superseded *supersededError
	var eraChanged *seamstore.EraChangedError
	return errors.As(err, &superseded) || errors.As(err, &eraChanged)
}

// renewLoop renews the leader record. It returns when another node is the leader, when the store has come back from a copy, or
// when the store has been unreachable for so long that another node may soon be elected.
func (e *Elector) renewLoop(ctx context.Context) {
	for {
		seamwait.For(ctx, renewInterval)
		if ctx.Err() != nil {
			return
		}
		err := e.renew(ctx)
		if err != nil {
			e.logFailure("renew", err)
		}
		if endsLeadership(err) || !e.authorized() {
			return
		}
	}
}

// authorized reports whether the assigner may still grant leases.
func (e *Elector) authorized() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.authorizedLocked()
}

func (e *Elector) authorizedLocked() bool {
	return e.assigner != nil && seamclock.MaxElapsed(e.clock.Now(), e.renewed) < e.cfg.MaxStoreOutage
}

// renew renews the store lease, or writes the record again if the lease has expired and no other node was elected.
func (e *Elector) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := e.clock.Now()
	e.mu.Lock()
	lease, era := e.lease, e.era
	e.mu.Unlock()
	err := e.store.RenewLease(ctx, lease)
	if changed := e.checkEra(era); changed != nil {
		return changed
	}
	var leaseErr *seamstore.LeaseNotFoundError
	if errors.As(err, &leaseErr) {
		return e.restore(ctx, era)
	}
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setRenewedLocked(sent)
	return nil
}

// restore writes the leader record again under a new store lease. Then it reads the table, since another node may have been
// elected and have lost the leadership meanwhile. If the table has no later epoch, the leadership counts as confirmed at
// the start of that read.
func (e *Elector) restore(ctx context.Context, era int64) error {
	lease, _, err := e.store.GrantLease(ctx, leaderLeaseTTL)
	if err != nil {
		return err
	}
	e.mu.Lock()
	epoch := e.assigner.Epoch()
	e.mu.Unlock()
	record := LeaderRecord{Epoch: epoch, Peer: e.self}
	value, err := proto.Marshal(record.ToWire())
	if err != nil {
		return err
	}
	_, err = e.store.SwapLeased(ctx, seamstore.Takeover, LeaderPrefix+e.service, 0, value, lease)
	var conflict *seamstore.ConflictError
	if errors.As(err, &conflict) {
		e.revokeLease(lease, era)
		return &supersededError{By: conflictRecord(conflict)}
	}
	if err != nil {
		return err
	}
	sent := e.clock.Now()
	table, err := e.readTable(ctx)
	if err != nil {
		return err
	}
	if err := e.checkEra(era); err != nil {
		return err
	}
	if table.Epoch > epoch {
		e.revokeLease(lease, era)
		return &supersededError{By: LeaderRecord{Epoch: table.Epoch}}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease = lease
	e.setRenewedLocked(sent)
	e.sink.Emit(time.Now(), seamevent.LeaderElected, seamevent.Fields{"service": e.service, "epoch": epoch, "again": true})
	return nil
}

// conflictRecord returns the leader record that was found in the store in place of the expected one.
func conflictRecord(c *seamstore.ConflictError) LeaderRecord {
	r := LeaderRecord{}
	if decoded, err := decodeLeaderRecord(c.Found.Value); err == nil {
		r = decoded
	}
	r.Revision = c.Found.Revision
	return r
}

func (e *Elector) logFailure(call string, err error) {
	e.sink.Emit(time.Now(), seamevent.LeadershipCallFailed, seamevent.Fields{"service": e.service, "call": call, "error": err.Error()})
}
