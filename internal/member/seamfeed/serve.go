package seamfeed

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	wire "cardamomseam/internal/member/seamfeedwire"
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/member/seampiece"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/platform/seamwait"
	"cardamomseam/internal/route/seamframe"
)

const (
	// heartbeatInterval is the longest time between two updates of a subscription.
	heartbeatInterval = time.Second
	// servingWait is how long a new subscription waits until the node has read the store.
	servingWait = time.Second
	// maxUpdateBytes is the size of keys and values from which on an update is sent, in bytes.
	maxUpdateBytes = 32 << 10
	// maxInlineBytes is the size of the largest value that an update carries itself, in bytes. Of a larger one it carries the
	// manifest. An update thus stays below seamframe.MaxMessageSize, and a new version of a large value costs a node only the
	// pieces that it lacks.
	maxInlineBytes = 16 << 10
)

// isLarge reports whether a value is sent in pieces.
func isLarge(value []byte) bool { return len(value) > maxInlineBytes }

// PieceServer returns the server of the pieces of the large values that this node knows.
func (f *Feed) PieceServer() seampiece.Server {
	return seampiece.Server{Cache: f.replica.pieces, OnFailure: func(to seampeer.Peer, err error) {
		f.sink.Emit(time.Now(), seamevent.FeedUnsent, seamevent.Fields{"peer": to.String(), "call": "pieces", "error": err.Error()})
	}}
}

// ChangeToWire returns the message for a change. A large value is replaced by its manifest.
func (f *Feed) ChangeToWire(c seamstore.Change) *wire.Change {
	w := &wire.Change{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted}
	if isLarge(c.Value) {
		w.Value, w.Manifest = nil, seampiece.ManifestToWire(f.replica.pieces.Add(c.Key, c.Value))
	}
	return w
}

// ServeStream serves one subscription until it fails or the node no longer reads the store.
func (f *Feed) ServeStream(ctx context.Context, to seampeer.Peer, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	frames, release := seamframe.NewReader(conn)
	conn.SetReadDeadline(time.Now().Add(writeTimeout))
	ask := new(wire.Ask)
	err := frames.ReadMessage(seamframe.FeedAsk, ask)
	if err != nil || !f.awaitServing(ctx) {
		release()
		return
	}
	conn.SetReadDeadline(time.Time{})
	s := &served{conn: conn, tables: !ask.GetNoTables(), answered: make(chan struct{}, 1)}
	go func() {
		defer release()
		defer cancel()
		f.receiveRequests(ctx, frames, s)
	}()
	err = f.send(ctx, s, f.replica.log.after(ask.GetRevision()))
	if err != nil && ctx.Err() == nil {
		f.sink.Emit(time.Now(), seamevent.FeedUnsent, seamevent.Fields{"peer": to.String(), "call": "feed", "error": err.Error()})
	}
}

// served is a subscription that this node serves.
type served struct {
	conn net.Conn
	// tables is whether the subscriber gets the ownership tables.
	tables bool
	// checked and unchecked are the numbers of the latest checks that succeeded and failed.
	checked, unchecked highest
	// answered is signalled when one of them has changed.
	answered chan struct{}
}

// receiveRequests passes on a subscriber's requests for the ownership tables and makes its checks until the subscription ends.
func (f *Feed) receiveRequests(ctx context.Context, frames *seamframe.Reader, s *served) {
	var checking sync.WaitGroup
	defer checking.Wait()
	for {
		ask := new(wire.Ask)
		if frames.ReadMessage(seamframe.FeedAsk, ask) != nil {
			return
		}
		if ask.GetRead() {
			f.handler.TablesWanted()
		}
		if number := ask.GetCheck(); number > 0 {
			checking.Go(func() { f.answerCheck(ctx, s, number) })
		}
	}
}

// answerCheck makes a check for a subscriber.
func (f *Feed) answerCheck(ctx context.Context, s *served, number uint64) {
	result := &s.checked
	if f.Subscribed() || f.Confirm(ctx, time.Now().Add(-maxReaderAge)) != nil {
		result = &s.unchecked
	}
	result.record(number)
	select {
	case s.answered <- struct{}{}:
	default:
	}
}

// awaitServing waits up to servingWait until the node reads the store and knows all keys, and reports whether it does.
func (f *Feed) awaitServing(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, servingWait)
	defer cancel()
	for {
		sourceChanged := f.sourceChange()
		started, changed := f.replica.log.started()
		if started && !f.Subscribed() {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-sourceChanged:
		case <-changed:
		}
	}
}

// send sends updates until the subscription fails or the node no longer reads the store, in which case it returns nil.
func (f *Feed) send(ctx context.Context, s *served, b batch) error {
	checked := uint64(0)
	for {
		if !s.tables {
			b.omitTables()
		}
		if err := f.sendBatch(s, b, checked); err != nil {
			return err
		}
		if !f.awaitChange(ctx, s, b.changed) {
			return nil
		}
		// What the check has found is in the batch that is taken after it.
		checked = s.checked.load()
		b = f.replica.log.from(b.next)
	}
}

// awaitChange waits for a change, the answer to a check or the next heartbeat, and reports whether the subscription goes on.
func (f *Feed) awaitChange(ctx context.Context, s *served, changed <-chan struct{}) bool {
	sourceChanged := f.sourceChange()
	if f.Subscribed() {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-sourceChanged:
		return false
	case <-s.answered:
		return true
	case <-changed:
		return true
	}
}

// sendHeartbeats wakes all subscriptions together once in a heartbeatInterval until ctx ends, which takes less processor
// time than a timer for each.
func (f *Feed) sendHeartbeats(ctx context.Context) {
	seamwait.Every(ctx, heartbeatInterval, func(time.Time) { f.replica.log.wake() })
}

// sendBatch sends a batch as one or more updates. Only the last one has the revision and the answers to checks.
func (f *Feed) sendBatch(s *served, b batch, checked uint64) error {
	update := f.newUpdate(b)
	size := 0
	for _, c := range b.changes {
		if size > maxUpdateBytes {
			if err := writeUpdate(s.conn, update); err != nil {
				return err
			}
			update, size = f.newUpdate(b), 0
		}
		change := f.ChangeToWire(c.Change)
		change.Table = c.table
		update.Changes = append(update.Changes, change)
		size += proto.Size(change)
	}
	update.Revision, update.Checked, update.Unchecked = b.revision, checked, s.unchecked.load()
	return writeUpdate(s.conn, update)
}

func (f *Feed) newUpdate(b batch) *wire.Update {
	now := time.Now()
	update := &wire.Update{List: b.list, Down: !f.network.StoreReachable(now)}
	if contact := f.network.LastContact(); !contact.IsZero() {
		update.Age = now.Sub(contact).Milliseconds()
	}
	return update
}

func writeUpdate(conn net.Conn, update *wire.Update) error {
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return seamframe.Write(conn, seamframe.FeedUpdate, update)
}
