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
	// leaseTime is the duration of the lease of an assigner's record.
	leaderLeaseTTL = 1200 * time.Millisecond
	// renewInterval is the time between two renewals of the record.
	renewInterval = 350 * time.Millisecond
	// lookInterval is the time between two looks of a node that is not the assigner.
	pollInterval = 500 * time.Millisecond
	// tickInterval is the time between two looks of the assigner.
	tickInterval = 50 * time.Millisecond
	// callTimeout bounds one call of the store.
	callTimeout = 600 * time.Millisecond
	// rankStep is the time by which each further candidate waits longer.
	rankDelayStep = 120 * time.Millisecond
	// startSpread is the time over which nodes that know no others yet spread their candidacies.
	startupJitterMax = 1500 * time.Millisecond
	// reserve is the additional wait of nodes beyond the first candidates, so that few try at once.
	lateCandidateDelay = time.Second
	// retryWait is the wait after a failed attempt to take the office.
	retryDelay = 400 * time.Millisecond
	// epochBits is the number of low bits of an epoch that are random, so that two assigners that read
	// the same table differ.
	epochBits = 16
)

// First is the number of candidates that try to take a vacant office without an additional wait.
const ImmediateCandidates = 3

// Store is where records and tables are kept.
type Store interface {
	seamstore.Leases
	Get(ctx context.Context, p seamstore.Priority, key string) (seamstore.Entry, error)
	Swap(ctx context.Context, p seamstore.Priority, key string, expect int64, value []byte) (int64, error)
}

// Clock reads the clocks of the machine.
type Clock interface {
	Now() seamclock.Instant
}

// Peers tells what the node knows of itself and of other nodes.
type Peers interface {
	// Rank returns the place of this node among the candidates for the assigner of a service, from 0. Nodes
	// beside a holder come last, since a machine that is lost takes both with it. If no other node is known, it
	// returns false, and 1 beside a holder.
	Rank(service string) (rank int, known bool)
	// TellResigned tells those that may be the next assigner that this node promises nothing any more.
	AnnounceResignation(f Resignation)
}

// Office runs the candidacy of this node for the assigner of one service, and
// the assigner while the node holds the office. It is safe for concurrent use.
type Elector struct {
	service  string
	self     seampeer.Peer
	store    Store
	registry *Registry
	clock    Clock
	sink     seamevent.Sink
	cfg      seamassign.Config
	peers    Peers
	// leaving is closed when the node stops, and ending when that can't wait for the store any longer.
	withdrawn, stopping chan struct{}
	withdraw, stop      func()
	// ended is closed when the node stands for the office no more.
	stopped chan struct{}

	mu sync.Mutex
	// assigner is nil while another node holds the office.
	assigner *seamassign.Assigner
	lease    seamstore.Lease
	// renewed is the time at which the last renewal that succeeded was sent.
	renewed seamclock.Instant
	// promised is the end of what this run of the node has promised in epochs that are over.
	formerLeaseExpiry seamclock.Instant
	streams           map[*heartbeatStream]bool
	// wake is signalled when the assigner has something to do.
	wake chan struct{}
}

// New returns the office of a service at this node.
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

// Service returns the service whose assigner the office is.
func (e *Elector) Service() string { return e.service }

// Leave has the node stand for the office no more. An assigner that reaches the store gives the office up at once;
// one that does not goes on until End, since nobody can succeed it before.
func (e *Elector) Withdraw() { e.withdraw() }

// End gives the office up, and waits until that is done or ctx ends.
func (e *Elector) Stop(ctx context.Context) {
	e.withdraw()
	e.stop()
	select {
	case <-e.stopped:
	case <-ctx.Done():
	}
}

// until returns a context that ends with ctx, or when the channel is closed.
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

// Run stands for the office and holds it until ctx ends.
func (e *Elector) Run(ctx context.Context) {
	defer close(e.stopped)
	candidate, cancel := cancelOn(ctx, e.withdrawn)
	defer cancel()
	for candidate.Err() == nil {
		if !e.shouldCampaign(candidate) {
			continue
		}
		if err := e.campaign(candidate); err != nil {
			e.logFailure("take", err)
			seamwait.Jittered(candidate, retryDelay)
			continue
		}
		e.lead(ctx)
		e.resign()
	}
}

// due waits until this node should try to take the office, and reports whether that is now.
func (e *Elector) shouldCampaign(ctx context.Context) bool {
	changed := e.registry.Changed()
	if e.previousRunRevision() != 0 {
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

// former returns the revision of the record if an earlier run of this node wrote it, which has ended; 0 if not.
func (e *Elector) previousRunRevision() int64 {
	record, ok := e.registry.Leader(e.service)
	if ok && record.Peer.Name == e.self.Name && record.Peer.Incarnation < e.self.Incarnation {
		return record.Revision
	}
	return 0
}

// delay is the time for which this node leaves the office to others.
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

// take writes the record of this node and begins an epoch.
func (e *Elector) campaign(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	sent := e.clock.Now()
	lease, _, err := e.store.Begin(ctx, leaderLeaseTTL)
	if err != nil {
		return err
	}
	table, err := e.readTable(ctx)
	if err != nil {
		e.revokeLease(lease)
		return err
	}
	epoch := (table.Epoch>>epochBits+1)<<epochBits | uint64(rand.N(1<<epochBits))
	record := LeaderRecord{Epoch: epoch, Peer: e.self}
	value, err := proto.Marshal(record.Wire())
	if err != nil {
		return err
	}
	if _, err := e.store.SwapLeased(ctx, seamstore.Takeover, LeaderPrefix+e.service, e.previousRunRevision(), value, lease); err != nil {
		e.revokeLease(lease)
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease = lease
	e.assigner = seamassign.New(e.cfg, e.clock.Now(), e.identity(epoch), e.formerLeaseExpiry, table.Table, table.Revision)
	e.setRenewedLocked(sent)
	e.sink.Emit(time.Now(), seamevent.OfficeTaken, seamevent.Fields{"service": e.service, "epoch": epoch, "revision": table.Revision})
	return nil
}

// confirmed takes note that the store has confirmed the office by a call that was sent at a time. mu is held.
func (e *Elector) setRenewedLocked(sent seamclock.Instant) {
	e.renewed = sent
	e.assigner.Renew(sent)
}

// identity returns this run of the node as the assigner of an epoch.
func (e *Elector) identity(epoch uint64) seamtable.Assigner {
	return seamtable.Assigner{Name: e.self.Name, Incarnation: e.self.Incarnation, Epoch: epoch}
}

func (e *Elector) revokeLease(l seamstore.Lease) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := e.store.End(ctx, l); err != nil {
		e.logFailure("end", err)
	}
}

func (e *Elector) readTable(ctx context.Context) (VersionedTable, error) {
	entry, err := e.store.Get(ctx, seamstore.Takeover, TablePrefix+e.service)
	if err != nil {
		return VersionedTable{}, err
	}
	if entry.Revision == 0 {
		return VersionedTable{Table: seamtable.Table{Service: e.service}}, nil
	}
	t, err := seamtable.Decode(entry.Value)
	return VersionedTable{Table: t, Revision: entry.Revision}, err
}

// serve runs the assigner until the office is lost or ctx ends.
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

// awaitLeave waits until this node leaves and a successor can be elected.
func (e *Elector) awaitWithdrawal(ctx context.Context) {
	select {
	case <-e.withdrawn:
	case <-ctx.Done():
	}
	for !e.storeReachable() && seamwait.For(ctx, tickInterval) {
	}
}

// reachesStore reports whether the record was renewed lately.
func (e *Elector) storeReachable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return seamclock.Most(e.clock.Now(), e.renewed) < leaderLeaseTTL
}

// resign gives the office up. The store, or else other nodes, learn that this one promises nothing any more.
func (e *Elector) resign() {
	reachable := e.storeReachable()
	e.mu.Lock()
	authorized := e.authorizedLocked()
	final := e.assigner.Final(e.clock.Now())
	revision := e.assigner.Version().Revision
	e.formerLeaseExpiry = seamclock.Later(e.formerLeaseExpiry, e.assigner.Longest())
	resignation := Resignation{Service: e.service, Assigner: e.identity(e.assigner.Epoch()), ExpiresAt: e.formerLeaseExpiry}
	e.assigner = nil
	lease := e.lease
	e.lease = 0
	e.mu.Unlock()
	e.sink.Emit(time.Now(), seamevent.OfficeLost, seamevent.Fields{"service": e.service, "epoch": final.Epoch})
	written := authorized && reachable && e.writeFinalTable(final, revision)
	if !written || slices.Contains(final.Assigners, resignation.Assigner) {
		e.peers.AnnounceResignation(resignation)
	}
	if lease != 0 && reachable {
		e.revokeLease(lease)
	}
}

// writeFinal writes that this node promises nothing any more, so that its successor need not wait. It reports
// whether that was written.
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

// deposedError says that another node is the assigner.
type supersededError struct {
	By LeaderRecord
}

// Error names the other node.
func (e *supersededError) Error() string {
	return fmt.Sprintf("node %s is the assigner in epoch %d", e.By.Peer, e.By.Epoch)
}

// renewLoop renews the record. It ends when another node holds the office, or when the
// store was away for so long that another may soon.
func (e *Elector) renewLoop(ctx context.Context) {
	for {
		seamwait.For(ctx, renewInterval)
		if ctx.Err() != nil {
			return
		}
		err := e.renew(ctx)
		var superseded *supersededError
		if errors.As(err, &superseded) {
			e.logFailure("renew", err)
			return
		}
		if err != nil {
			e.logFailure("renew", err)
		}
		if !e.authorized() {
			return
		}
	}
}

// authorized reports whether the assigner may still promise.
func (e *Elector) authorized() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.authorizedLocked()
}

func (e *Elector) authorizedLocked() bool {
	return e.assigner != nil && seamclock.Most(e.clock.Now(), e.renewed) < e.cfg.Alone
}

// renew renews the lease, or writes the record anew if the lease has ended
// although no other node took the office.
func (e *Elector) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := e.clock.Now()
	e.mu.Lock()
	lease := e.lease
	e.mu.Unlock()
	err := e.store.Renew(ctx, lease)
	var leaseErr *seamstore.LeaseError
	if errors.As(err, &leaseErr) {
		return e.restore(ctx)
	}
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setRenewedLocked(sent)
	return nil
}

// restore writes the record anew under a new lease. The authority is as old as
// the reading of the table that still names this epoch.
func (e *Elector) restore(ctx context.Context) error {
	lease, _, err := e.store.Begin(ctx, leaderLeaseTTL)
	if err != nil {
		return err
	}
	e.mu.Lock()
	epoch := e.assigner.Epoch()
	e.mu.Unlock()
	record := LeaderRecord{Epoch: epoch, Peer: e.self}
	value, err := proto.Marshal(record.Wire())
	if err != nil {
		return err
	}
	_, err = e.store.SwapLeased(ctx, seamstore.Takeover, LeaderPrefix+e.service, 0, value, lease)
	var conflict *seamstore.ConflictError
	if errors.As(err, &conflict) {
		e.revokeLease(lease)
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
	if table.Epoch > epoch {
		e.revokeLease(lease)
		return &supersededError{By: LeaderRecord{Epoch: table.Epoch}}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease = lease
	e.setRenewedLocked(sent)
	e.sink.Emit(time.Now(), seamevent.OfficeTaken, seamevent.Fields{"service": e.service, "epoch": epoch, "again": true})
	return nil
}

func conflictRecord(c *seamstore.ConflictError) LeaderRecord {
	r := LeaderRecord{}
	if w, err := decodeLeaderRecord(c.Found.Value); err == nil {
		r = w
	}
	r.Revision = c.Found.Revision
	return r
}

func (e *Elector) logFailure(call string, err error) {
	e.sink.Emit(time.Now(), seamevent.OfficeFailed, seamevent.Fields{"service": e.service, "call": call, "error": err.Error()})
}
