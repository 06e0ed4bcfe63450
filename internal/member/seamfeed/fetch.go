package seamfeed

import (
	"context"
	"sync"
	"time"

	wire "cardamomseam/internal/member/seamfeedwire"
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/member/seampiece"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/platform/seamwait"
)

const (
	// fetchBackoffInitial and fetchBackoffMax bound the delay after all nodes that announced a value have failed to send it.
	fetchBackoffInitial = 50 * time.Millisecond
	fetchBackoffMax     = time.Second
)

// Offer takes a written key that another node has sent. It fetches the value first if the message has only the manifest.
func (f *Feed) Offer(now time.Time, from seampeer.Peer, w *wire.Change) {
	if w.GetManifest() == nil {
		e := seamstore.Entry{Key: w.GetKey(), Value: w.GetValue(), Revision: w.GetRevision()}
		f.replica.applyValue(now, e, w.GetTable())
		return
	}
	m, err := seampiece.ManifestFromWire(w.GetManifest())
	if err != nil {
		f.fetches.report(now, from, w.GetKey(), w.GetRevision(), err)
		return
	}
	f.fetches.add(now, from, &fetch{key: w.GetKey(), revision: w.GetRevision(), table: w.GetTable(), manifest: m})
}

// fetches are the large values that a node knows of and does not have yet. It is safe for concurrent use.
type fetches struct {
	replica *replica
	network Network
	sink    seamevent.Sink
	added   chan struct{}

	mu    sync.Mutex
	byKey map[string]*fetch
}

// fetch is a value that is fetched.
type fetch struct {
	key      string
	revision int64
	// table is set if the value is an ownership table.
	table    bool
	manifest seampiece.Manifest
	since    time.Time
	// sources are the nodes that have announced the value.
	sources []seampeer.Peer
	running bool
	// ended is closed when the value has arrived or a newer one is fetched in its place.
	ended chan struct{}
}

func newFetches(r *replica, n Network, sink seamevent.Sink) *fetches {
	return &fetches{replica: r, network: n, sink: sink, added: make(chan struct{}, 1), byKey: map[string]*fetch{}}
}

// add fetches a value unless it is known or a newer one is being fetched.
func (f *fetches) add(now time.Time, from seampeer.Peer, x *fetch) {
	if f.isKnown(x) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.byKey[x.key]
	switch {
	case known != nil && known.revision > x.revision:
		return
	case known != nil && known.revision == x.revision:
		known.addSource(from)
		return
	case known != nil:
		close(known.ended)
	}
	x.since, x.ended = now, make(chan struct{})
	x.addSource(from)
	f.replica.pieces.Expect(x.key, x.manifest)
	f.byKey[x.key] = x
	select {
	case f.added <- struct{}{}:
	default:
	}
}

// isKnown reports whether the value of a fetch has arrived in another way.
func (f *fetches) isKnown(x *fetch) bool {
	if x.table {
		return f.replica.log.tableRevision(x.key) >= x.revision
	}
	return f.replica.revisionOf(x.key) >= x.revision
}

func (x *fetch) addSource(p seampeer.Peer) {
	for _, known := range x.sources {
		if known.Name == p.Name {
			return
		}
	}
	x.sources = append(x.sources, p)
}

// knownUpTo returns the revision up to which all changes are known if those of messages up to the given revision were taken.
func (f *fetches) knownUpTo(revision int64) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range f.byKey {
		if !x.table && !f.isKnown(x) {
			revision = min(revision, x.revision-1)
		}
	}
	return revision
}

// run fetches the values that are added until ctx ends.
func (f *fetches) run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for ctx.Err() == nil {
		for _, x := range f.startable() {
			running.Go(func() { f.fetch(ctx, x) })
		}
		select {
		case <-ctx.Done():
		case <-f.added:
		}
	}
}

// startable returns the values that are not being fetched yet, and marks them as running.
func (f *fetches) startable() []*fetch {
	f.mu.Lock()
	defer f.mu.Unlock()
	var startable []*fetch
	for _, x := range f.byKey {
		if !x.running {
			x.running = true
			startable = append(startable, x)
		}
	}
	return startable
}

// fetch asks one source after the other until the value has arrived, a newer one is fetched in its place, or ctx ends.
func (f *fetches) fetch(ctx context.Context, x *fetch) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-ctx.Done():
		case <-x.ended:
			cancel()
		}
	}()
	for attempt := 0; ctx.Err() == nil; attempt++ {
		from, tried := f.source(x, attempt)
		err := f.fetchFrom(ctx, from, x)
		if f.isKnown(x) {
			f.remove(x)
			return
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.report(time.Now(), from, x.key, x.revision, err)
		}
		if tried {
			seamwait.Jittered(ctx, min(fetchBackoffInitial<<min(attempt, 8), fetchBackoffMax))
		}
	}
}

// source returns the node to ask in an attempt, and whether all nodes have been asked since the last one that was added.
func (f *fetches) source(x *fetch, attempt int) (from seampeer.Peer, tried bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return x.sources[attempt%len(x.sources)], attempt >= len(x.sources)-1
}

// fetchFrom fetches a value from a node and applies it.
func (f *fetches) fetchFrom(ctx context.Context, from seampeer.Peer, x *fetch) error {
	received, err := f.receive(ctx, from, x)
	if err != nil {
		return err
	}
	value, err := f.replica.pieces.Assemble(x.key, x.manifest)
	if err != nil {
		return err
	}
	now := time.Now()
	f.sink.Emit(now, seamevent.FeedFetched, seamevent.Fields{
		"key": x.key, "revision": x.revision, "from": from.String(), "bytes": received.Bytes, "pieces": received.Pieces,
		"size": x.manifest.Size, "took": now.Sub(x.since).Milliseconds(),
	})
	f.replica.applyValue(now, seamstore.Entry{Key: x.key, Value: value, Revision: x.revision}, x.table)
	return nil
}

// receive fetches the missing pieces of a value from a node.
func (f *fetches) receive(ctx context.Context, from seampeer.Peer, x *fetch) (seampiece.Transfer, error) {
	pieces := f.replica.pieces
	if len(pieces.Missing(x.manifest)) == 0 {
		return seampiece.Transfer{}, nil
	}
	openCtx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	conn, err := f.network.OpenPieces(openCtx, from)
	if err != nil {
		return seampiece.Transfer{}, err
	}
	defer conn.Close()
	return seampiece.Fetch(ctx, conn, pieces, x.manifest)
}

func (f *fetches) remove(x *fetch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byKey[x.key] == x {
		delete(f.byKey, x.key)
		close(x.ended)
	}
}

// await waits until no value of a key other than a table is being fetched.
func (f *fetches) await(ctx context.Context) error {
	for {
		x := f.unfinished()
		if x == nil {
			return nil
		}
		select {
		case <-x.ended:
		case <-ctx.Done():
			return &UnfinishedError{Key: x.key, Revision: x.revision}
		}
	}
}

// unfinished returns a value that is being fetched and is no table; nil if there is none.
func (f *fetches) unfinished() *fetch {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range f.byKey {
		if !x.table {
			return x
		}
	}
	return nil
}

// report logs why a value did not arrive.
func (f *fetches) report(now time.Time, from seampeer.Peer, key string, revision int64, err error) {
	f.sink.Emit(now, seamevent.FeedFetchFailed, seamevent.Fields{"key": key, "revision": revision, "from": from.String(), "error": err.Error()})
}
