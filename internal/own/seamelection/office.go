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
	leaseTime = 1200 * time.Millisecond
	// renewInterval is the time between two renewals of the record.
	renewInterval = 350 * time.Millisecond
	// lookInterval is the time between two looks of a node that is not the assigner.
	lookInterval = 500 * time.Millisecond
	// tickInterval is the time between two looks of the assigner.
	tickInterval = 50 * time.Millisecond
	// callTimeout bounds one call of the store.
	callTimeout = 600 * time.Millisecond
	// rankStep is the time by which each further candidate waits longer.
	rankStep = 120 * time.Millisecond
	// startSpread is the time over which nodes that know no others yet spread their candidacies.
	startSpread = 1500 * time.Millisecond
	// reserve is the additional wait of nodes beyond the first candidates, so that few try at once.
	reserve = time.Second
	// retryWait is the wait after a failed attempt to take the office.
	retryWait = 400 * time.Millisecond
	// epochBits is the number of low bits of an epoch that are random, so that two assigners that read
	// the same table differ.
	epochBits = 16
)

// First is the number of candidates that try to take a vacant office without an additional wait.
const ImmediateCandidates = 3

// Store is where records and tables are kept.
type Store interface {
	seamstore.LeaseManager
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
	leaving, ending chan struct{}
	leave, end      func()
	// ended is closed when the node stands for the office no more.
	ended chan struct{}

	mu sync.Mutex
	// assigner is nil while another node holds the office.
	assigner *seamassign.Assigner
	lease    seamstore.Lease
	// renewed is the time at which the last renewal that succeeded was sent.
	renewed seamclock.Instant
	// promised is the end of what this run of the node has promised in epochs that are over.
	promised seamclock.Instant
	streams  map[*beatStream]bool
	// wake is signalled when the assigner has something to do.
	wake chan struct{}
}

// New returns the office of a service at this node.
func New(service string, self seampeer.Peer, store Store, registry *Registry, clock Clock, peers Peers, sink seamevent.Sink) *Elector {
	leaving, ending := make(chan struct{}), make(chan struct{})
	return &Elector{
		service:  service,
		self:     self,
		store:    store,
		registry: registry,
		clock:    clock,
		sink:     sink,
		cfg:      seamassign.DefaultConfig(),
		peers:    peers,
		leaving:  leaving,
		ending:   ending,
		leave:    sync.OnceFunc(func() { close(leaving) }),
		end:      sync.OnceFunc(func() { close(ending) }),
		ended:    make(chan struct{}),
		streams:  map[*beatStream]bool{},
		wake:     make(chan struct{}, 1),
	}
}

// Service returns the service whose assigner the office is.
func (o *Elector) Service() string { return o.service }

// Leave has the node stand for the office no more. An assigner that reaches the store gives the office up at once;
// one that does not goes on until End, since nobody can succeed it before.
func (o *Elector) Withdraw() { o.leave() }

// End gives the office up, and waits until that is done or ctx ends.
func (o *Elector) Stop(ctx context.Context) {
	o.leave()
	o.end()
	select {
	case <-o.ended:
	case <-ctx.Done():
	}
}

// until returns a context that ends with ctx, or when the channel is closed.
func until(ctx context.Context, closed <-chan struct{}) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-closed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// Run stands for the office and holds it until ctx ends.
func (o *Elector) Run(ctx context.Context) {
	defer close(o.ended)
	candidate, cancel := until(ctx, o.leaving)
	defer cancel()
	for candidate.Err() == nil {
		if !o.due(candidate) {
			continue
		}
		if err := o.take(candidate); err != nil {
			o.failed("take", err)
			seamwait.Jittered(candidate, retryWait)
			continue
		}
		o.serve(ctx)
		o.resign()
	}
}

// due waits until this node should try to take the office, and reports whether that is now.
func (o *Elector) due(ctx context.Context) bool {
	changed := o.registry.Changed()
	if o.former() != 0 {
		return true
	}
	now := time.Now()
	since, vacant := o.registry.VacantSince(o.service, now)
	if vacant {
		wait := since.Add(o.delay()).Sub(now)
		if wait <= 0 {
			return true
		}
		seamwait.For(ctx, wait)
		return false
	}
	seamwait.Until(ctx, lookInterval, changed)
	return false
}

// former returns the revision of the record if an earlier run of this node wrote it, which has ended; 0 if not.
func (o *Elector) former() int64 {
	record, ok := o.registry.Leader(o.service)
	if ok && record.Peer.Name == o.self.Name && record.Peer.Incarnation < o.self.Incarnation {
		return record.Revision
	}
	return 0
}

// delay is the time for which this node leaves the office to others.
func (o *Elector) delay() time.Duration {
	rank, known := o.peers.Rank(o.service)
	switch {
	case !known:
		spread := time.Duration(xxhash.Sum64String(o.self.Name+"\x00"+o.service) % uint64(startSpread))
		return spread + time.Duration(rank)*startSpread
	case rank < ImmediateCandidates:
		return time.Duration(rank) * rankStep
	default:
		return reserve + time.Duration(rank)*rankStep
	}
}

// take writes the record of this node and begins an epoch.
func (o *Elector) take(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	sent := o.clock.Now()
	lease, _, err := o.store.GrantLease(ctx, leaseTime)
	if err != nil {
		return err
	}
	table, err := o.readTable(ctx)
	if err != nil {
		o.endLease(lease)
		return err
	}
	epoch := (table.Epoch>>epochBits+1)<<epochBits | uint64(rand.N(1<<epochBits))
	record := LeaderRecord{Epoch: epoch, Peer: o.self}
	value, err := proto.Marshal(record.Wire())
	if err != nil {
		return err
	}
	if _, err := o.store.SwapLeased(ctx, seamstore.Takeover, LeaderPrefix+o.service, o.former(), value, lease); err != nil {
		o.endLease(lease)
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lease = lease
	o.assigner = seamassign.New(o.cfg, o.clock.Now(), o.identity(epoch), o.promised, table.Table, table.Revision)
	o.confirmed(sent)
	o.sink.Emit(time.Now(), seamevent.OfficeTaken, seamevent.Fields{"service": o.service, "epoch": epoch, "revision": table.Revision})
	return nil
}

// confirmed takes note that the store has confirmed the office by a call that was sent at a time. mu is held.
func (o *Elector) confirmed(sent seamclock.Instant) {
	o.renewed = sent
	o.assigner.ConfirmLeadership(sent)
}

// identity returns this run of the node as the assigner of an epoch.
func (o *Elector) identity(epoch uint64) seamtable.Assigner {
	return seamtable.Assigner{Name: o.self.Name, Incarnation: o.self.Incarnation, Epoch: epoch}
}

func (o *Elector) endLease(l seamstore.Lease) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := o.store.RevokeLease(ctx, l); err != nil {
		o.failed("end", err)
	}
}

func (o *Elector) readTable(ctx context.Context) (VersionedTable, error) {
	entry, err := o.store.Get(ctx, seamstore.Takeover, TablePrefix+o.service)
	if err != nil {
		return VersionedTable{}, err
	}
	if entry.Revision == 0 {
		return VersionedTable{Table: seamtable.Table{Service: o.service}}, nil
	}
	t, err := seamtable.Decode(entry.Value)
	return VersionedTable{Table: t, Revision: entry.Revision}, err
}

// serve runs the assigner until the office is lost or ctx ends.
func (o *Elector) serve(ctx context.Context) {
	ctx, cancel := until(ctx, o.ending)
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() {
		defer cancel()
		o.renewLoop(ctx)
	})
	running.Go(func() {
		defer cancel()
		o.awaitLeave(ctx)
	})
	running.Go(func() {
		defer cancel()
		o.writeLoop(ctx)
	})
	running.Wait()
}

// awaitLeave waits until this node leaves and a successor can be elected.
func (o *Elector) awaitLeave(ctx context.Context) {
	select {
	case <-o.leaving:
	case <-ctx.Done():
	}
	for !o.reachesStore() && seamwait.For(ctx, tickInterval) {
	}
}

// reachesStore reports whether the record was renewed lately.
func (o *Elector) reachesStore() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return seamclock.MaxElapsed(o.clock.Now(), o.renewed) < leaseTime
}

// resign gives the office up. The store, or else other nodes, learn that this one promises nothing any more.
func (o *Elector) resign() {
	reachable := o.reachesStore()
	o.mu.Lock()
	authorized := o.authorizedLocked()
	last := o.assigner.FinalTable(o.clock.Now())
	revision := o.assigner.Version().Revision
	o.promised = seamclock.Later(o.promised, o.assigner.LastLeaseEnd())
	word := Resignation{Service: o.service, Assigner: o.identity(o.assigner.Epoch()), ExpiresAt: o.promised}
	o.assigner = nil
	lease := o.lease
	o.lease = 0
	o.mu.Unlock()
	o.sink.Emit(time.Now(), seamevent.OfficeLost, seamevent.Fields{"service": o.service, "epoch": last.Epoch})
	written := authorized && reachable && o.writeFinal(last, revision)
	if !written || slices.Contains(last.Assigners, word.Assigner) {
		o.peers.AnnounceResignation(word)
	}
	if lease != 0 && reachable {
		o.endLease(lease)
	}
}

// writeFinal writes that this node promises nothing any more, so that its successor need not wait. It reports
// whether that was written.
func (o *Elector) writeFinal(last seamtable.Table, revision int64) bool {
	value, err := seamtable.Encode(last)
	if err != nil {
		o.failed("resign", err)
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if _, err := o.store.Swap(ctx, seamstore.Takeover, TablePrefix+o.service, revision, value); err != nil {
		o.failed("resign", err)
		return false
	}
	return true
}

// deposedError says that another node is the assigner.
type deposedError struct {
	By LeaderRecord
}

// Error names the other node.
func (e *deposedError) Error() string {
	return fmt.Sprintf("node %s is the assigner in epoch %d", e.By.Peer, e.By.Epoch)
}

// renewLoop renews the record. It ends when another node holds the office, or when the
// store was away for so long that another may soon.
func (o *Elector) renewLoop(ctx context.Context) {
	for {
		seamwait.For(ctx, renewInterval)
		if ctx.Err() != nil {
			return
		}
		err := o.renew(ctx)
		var deposed *deposedError
		if errors.As(err, &deposed) {
			o.failed("renew", err)
			return
		}
		if err != nil {
			o.failed("renew", err)
		}
		if !o.authorized() {
			return
		}
	}
}

// authorized reports whether the assigner may still promise.
func (o *Elector) authorized() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.authorizedLocked()
}

func (o *Elector) authorizedLocked() bool {
	return o.assigner != nil && seamclock.MaxElapsed(o.clock.Now(), o.renewed) < o.cfg.MaxStoreOutage
}

// renew renews the lease, or writes the record anew if the lease has ended
// although no other node took the office.
func (o *Elector) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := o.clock.Now()
	o.mu.Lock()
	lease := o.lease
	o.mu.Unlock()
	err := o.store.RenewLease(ctx, lease)
	var ended *seamstore.LeaseNotFoundError
	if errors.As(err, &ended) {
		return o.restore(ctx)
	}
	if err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.confirmed(sent)
	return nil
}

// restore writes the record anew under a new lease. The authority is as old as
// the reading of the table that still names this epoch.
func (o *Elector) restore(ctx context.Context) error {
	lease, _, err := o.store.GrantLease(ctx, leaseTime)
	if err != nil {
		return err
	}
	o.mu.Lock()
	epoch := o.assigner.Epoch()
	o.mu.Unlock()
	record := LeaderRecord{Epoch: epoch, Peer: o.self}
	value, err := proto.Marshal(record.Wire())
	if err != nil {
		return err
	}
	_, err = o.store.SwapLeased(ctx, seamstore.Takeover, LeaderPrefix+o.service, 0, value, lease)
	var conflict *seamstore.ConflictError
	if errors.As(err, &conflict) {
		o.endLease(lease)
		return &deposedError{By: conflictRecord(conflict)}
	}
	if err != nil {
		return err
	}
	sent := o.clock.Now()
	table, err := o.readTable(ctx)
	if err != nil {
		return err
	}
	if table.Epoch > epoch {
		o.endLease(lease)
		return &deposedError{By: LeaderRecord{Epoch: table.Epoch}}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lease = lease
	o.confirmed(sent)
	o.sink.Emit(time.Now(), seamevent.OfficeTaken, seamevent.Fields{"service": o.service, "epoch": epoch, "again": true})
	return nil
}

func conflictRecord(c *seamstore.ConflictError) LeaderRecord {
	r := LeaderRecord{}
	if w, err := decodeOffice(c.Found.Value); err == nil {
		r = w
	}
	r.Revision = c.Found.Revision
	return r
}

func (o *Elector) failed(call string, err error) {
	o.sink.Emit(time.Now(), seamevent.OfficeFailed, seamevent.Fields{"service": o.service, "call": call, "error": err.Error()})
}
