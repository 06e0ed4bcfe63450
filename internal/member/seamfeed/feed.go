package seamfeed

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/platform/seammirror"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/platform/seamwait"
)

const (
	// checkInterval is the interval between checks for a better source.
	checkInterval = time.Second
	// settleTime is how long a node that knows no other node of its failure domain waits before it lists the keys again,
	// unless SkipSettling is called: nodes that start together register meanwhile.
	settleTime = 1600 * time.Millisecond
	// backoffInitial and backoffMax bound the delay after a failed list.
	backoffInitial = 100 * time.Millisecond
	backoffMax     = time.Second
)

// Store is the part of seamstore.Store that a feed uses.
type Store interface {
	List(ctx context.Context, p seamstore.Priority, prefix string) ([]seamstore.Entry, int64, error)
	Watch(ctx context.Context, prefix string, from int64, f func([]seamstore.Change)) error
	seamstore.ChangeLister
}

// Network gives a feed its view of the other nodes and connects it to them.
type Network interface {
	View(now time.Time) View
	// StoreReachable reports whether this node's own calls reach the store.
	StoreReachable(now time.Time) bool
	// LastContact returns when the store last answered a call of this node.
	LastContact() time.Time
	Open(ctx context.Context, reader seampeer.Peer) (net.Conn, error)
	// OpenPieces opens a stream on which a node serves pieces of large values.
	OpenPieces(ctx context.Context, from seampeer.Peer) (net.Conn, error)
}

// Handler receives the changes from a feed. Put, Delete and Synced are not called concurrently.
type Handler interface {
	seammirror.Handler
	// Synced is called after each complete list, except one after which the node still waits for others to register.
	Synced(now time.Time)
	// PutTable is called for an ownership table that a reader sent.
	PutTable(now time.Time, e seamstore.Entry)
	// TablesWanted is called when a subscriber asks for a current read of the tables.
	TablesWanted()
}

// Status tells where a node gets the changes from, and how current they are.
type Status struct {
	// Source is "store" or the reader.
	Source string
	// Revision is the store revision up to which all changes are known.
	Revision int64
	// Contact is when the store last answered the node, or the reader that it subscribes to.
	Contact time.Time
}

// Feed follows the keys under a prefix, from the store or from a reader, and serves subscribers while it follows the
// store itself. It is safe for concurrent use.
type Feed struct {
	store   Store
	prefix  string
	handler Handler
	network Network
	sink    seamevent.Sink
	replica *replica
	fetches *fetches
	checks  *checks
	// requests is signalled when the subscription should ask for the tables.
	requests chan struct{}
	// settled is whether the node has waited for the other nodes of its failure domain. It is used by Run only.
	settled bool
	// settlingSkipped is closed when the node must not wait for them.
	settlingSkipped chan struct{}
	skipSettling    func()

	// mu guards the fields below.
	mu       sync.Mutex
	selector *Selector
	source   Source
	// sourceChanged is closed when source changes.
	sourceChanged chan struct{}
	// readerContact is when the store last answered the reader in use.
	readerContact time.Time
}

// New returns a feed of the keys under the prefix.
func New(store Store, prefix string, handler Handler, network Network, sink seamevent.Sink) *Feed {
	settlingSkipped := make(chan struct{})
	replica := newReplica(handler)
	return &Feed{
		store:           store,
		prefix:          prefix,
		handler:         handler,
		network:         network,
		sink:            sink,
		replica:         replica,
		fetches:         newFetches(replica, network, sink),
		checks:          newChecks(),
		requests:        make(chan struct{}, 1),
		settlingSkipped: settlingSkipped,
		skipSettling:    sync.OnceFunc(func() { close(settlingSkipped) }),
		selector:        NewSelector(),
		sourceChanged:   make(chan struct{}),
	}
}

// SkipSettling makes the feed follow the store at once even if the node knows no other node of its failure domain, because
// requests need its view of the other nodes.
func (f *Feed) SkipSettling() { f.skipSettling() }

// Run follows the keys until ctx ends. While it follows a reader, it also follows a second one, so that changes keep
// arriving when the first one is lost or cut off from the store.
func (f *Feed) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { f.runBackup(ctx) })
	running.Go(func() { f.sendHeartbeats(ctx) })
	running.Go(func() { f.fetches.run(ctx) })
	defer running.Wait()
	for attempt := 0; ctx.Err() == nil; {
		now := time.Now()
		source := f.selectSource(now)
		f.setSource(source)
		better := func(now time.Time, v View) bool { return f.selector.ShouldSwitch(now, v, source) }
		err := f.followUntil(ctx, better, source)
		if err == nil {
			attempt = 0
			continue
		}
		f.failed(now, source, err)
		if source.FromStore() || source.AllowDown {
			// These sources are selected again although they failed.
			seamwait.Jittered(ctx, min(backoffInitial<<min(attempt, 8), backoffMax))
			attempt++
		}
	}
}

// runBackup follows a second reader while the feed follows a reader.
func (f *Feed) runBackup(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		source, ok := f.selectBackup(now)
		if !ok {
			seamwait.For(ctx, checkInterval)
			continue
		}
		useless := func(now time.Time, v View) bool {
			best, ok := f.selector.SelectBackup(now, v, f.source)
			return !ok || best != source
		}
		if err := f.followUntil(ctx, useless, source); err != nil {
			f.failed(now, source, err)
		}
	}
}

func (f *Feed) selectSource(now time.Time) Source {
	v := f.network.View(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.selector.Select(now, v)
}

func (f *Feed) selectBackup(now time.Time) (Source, bool) {
	v := f.network.View(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.selector.SelectBackup(now, v, f.source)
}

// failed records that following a source since the given time ended with an error.
func (f *Feed) failed(since time.Time, source Source, err error) {
	f.report(source, err)
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.selector.Failed(now, source.Reader.Name, now.Sub(since))
}

// Status returns where the feed gets the changes from and how current they are.
func (f *Feed) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	contact := f.readerContact
	if f.source.FromStore() {
		contact = f.network.LastContact()
	}
	return Status{Source: f.source.String(), Revision: f.replica.revision.Load(), Contact: contact}
}

// Subscribed reports whether the feed follows a reader, which also sends the ownership tables.
func (f *Feed) Subscribed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.source.FromStore()
}

// RequestTables asks the reader for a current read of the ownership tables.
func (f *Feed) RequestTables() {
	select {
	case f.requests <- struct{}{}:
	default:
	}
}

// PublishTable sends an ownership table to the subscribers, unless they have one as new.
func (f *Feed) PublishTable(e seamstore.Entry) {
	f.replica.log.putTable(e)
}

func (f *Feed) setSource(s Source) {
	f.mu.Lock()
	changed := f.source != s
	f.source = s
	if changed {
		close(f.sourceChanged)
		f.sourceChanged = make(chan struct{})
	}
	f.mu.Unlock()
	if changed {
		f.report(s, nil)
	}
}

// report logs the source in use, or why it was left.
func (f *Feed) report(s Source, err error) {
	status := f.Status()
	fields := seamevent.Fields{"source": s.String(), "revision": status.Revision, "contact": status.Contact}
	if err != nil {
		fields["error"] = err.Error()
		f.sink.Emit(time.Now(), seamevent.FeedFailed, fields)
		return
	}
	f.sink.Emit(time.Now(), seamevent.FeedSource, fields)
}

// followUntil follows the source until it fails, or until stop returns true, in which case it returns nil.
func (f *Feed) followUntil(ctx context.Context, stop func(now time.Time, v View) bool, source Source) error {
	followCtx, cancel := context.WithCancel(ctx)
	var checking sync.WaitGroup
	changed := f.sourceChange()
	checking.Go(func() {
		for seamwait.Until(followCtx, checkInterval, changed) {
			changed = f.sourceChange()
			if f.check(stop) {
				cancel()
			}
		}
	})
	err := f.follow(followCtx, source)
	if followCtx.Err() != nil {
		err = nil
	}
	cancel()
	checking.Wait()
	return err
}

// sourceChange returns a channel that is closed when the source changes.
func (f *Feed) sourceChange() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sourceChanged
}

func (f *Feed) check(stop func(now time.Time, v View) bool) bool {
	now := time.Now()
	v := f.network.View(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	return stop(now, v)
}

func (f *Feed) follow(ctx context.Context, source Source) error {
	if source.FromStore() {
		return f.followStore(ctx)
	}
	return f.followReader(ctx, source)
}

// followStore lists the keys unless they are known, and watches them. It returns nil if the changes since the last
// known revision must be listed again.
func (f *Feed) followStore(ctx context.Context) error {
	if f.replica.resumeFrom() == 0 {
		if err := f.list(ctx); err != nil {
			return err
		}
	}
	err := f.store.Watch(ctx, f.prefix, f.replica.resumeFrom(), func(changes []seamstore.Change) {
		f.replica.apply(time.Now(), changes, latestRevision(changes))
	})
	var compacted *seamstore.CompactedError
	if errors.As(err, &compacted) {
		f.replica.requireList()
		f.report(Source{}, err)
		return nil
	}
	return err
}

// list reads all keys. A node that knows no other node of its failure domain then waits once and lists again, because
// nodes that start together don't know each other yet.
func (f *Feed) list(ctx context.Context) error {
	started := time.Now()
	entries, revision, err := f.store.List(ctx, seamstore.Configuration, f.prefix)
	if err != nil {
		return err
	}
	now := time.Now()
	if f.settled {
		f.replica.replace(now, entries, revision, revision)
		f.checks.confirm(started)
		return nil
	}
	f.settled = true
	f.replica.preview(now, entries, revision)
	if v := f.network.View(now); len(Readers(v.Candidates, v.Self.Domain)) <= 1 {
		seamwait.Until(ctx, settleTime, f.settlingSkipped)
		return f.list(ctx)
	}
	f.replica.replace(now, entries, revision, revision)
	f.checks.confirm(started)
	return nil
}

func latestRevision(changes []seamstore.Change) int64 {
	revision := int64(0)
	for _, c := range changes {
		revision = max(revision, c.Revision)
	}
	return revision
}
