package seamelection

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamassign"
	"cardamomseam/internal/own/seamtable"
	wire "cardamomseam/internal/own/seamtablewire"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/platform/seamwait"
	"cardamomseam/internal/route/seamframe"
)

const (
	// writeTimeout bounds the write of one reply.
	writeTimeout = 500 * time.Millisecond
	// tableWriteInterval is the minimum time between two writes of the table, so that a write covers many releases while
	// many keys move.
	tableWriteInterval = 100 * time.Millisecond
)

// writeLoop ticks the assigner, writes its table to the store and sends changes to the holders.
func (e *Elector) writeLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var published publication
	var lastWrite time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.wake:
		}
		seamwait.For(ctx, time.Until(lastWrite.Add(tableWriteInterval)))
		wrote, err := e.tick(ctx)
		if wrote {
			lastWrite = time.Now()
		}
		if err != nil {
			e.logFailure("table", err)
			if endsLeadership(err) {
				return
			}
			seamwait.For(ctx, tickInterval)
		}
		e.notifyHolders(time.Now(), &published)
	}
}

// tick advances the assigner and writes the table if it changed. It reports whether it wrote it. It returns an error that ends
// the leadership if the store has come back from a copy.
func (e *Elector) tick(ctx context.Context) (wrote bool, err error) {
	e.mu.Lock()
	if err := e.checkEra(e.era); err != nil {
		e.mu.Unlock()
		return false, err
	}
	now := e.clock.Now()
	if !e.authorizedLocked() {
		e.mu.Unlock()
		return false, nil
	}
	for _, predecessor := range e.assigner.Predecessors() {
		if expiresAt, ok := e.registry.ResignationExpiry(e.service, predecessor); ok {
			e.assigner.PredecessorResigned(now, predecessor, expiresAt)
		}
	}
	e.applyPlacement(time.Now())
	e.assigner.Tick(now)
	table, revision, ok := e.assigner.PendingWrite()
	e.mu.Unlock()
	if !ok {
		return false, nil
	}
	return true, e.writeTable(ctx, table, revision)
}

// writeTable writes the table to the store and resolves the outcome of a write that got no answer.
func (e *Elector) writeTable(ctx context.Context, table seamtable.Table, revision int64) error {
	value, err := seamtable.Encode(table)
	if err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	written, err := e.store.Swap(limited, seamstore.Takeover, TablePrefix+e.service, revision, value)
	var conflict *seamstore.ConflictError
	switch {
	case err == nil:
		e.tableStored(table, written)
		return nil
	case errors.As(err, &conflict):
		return e.reconcile(conflict.Found)
	}
	var unknown *seamstore.UnknownError
	if !errors.As(err, &unknown) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.assigner.WriteFailed()
		return err
	}
	return e.resolveUnknownWrite(ctx, err)
}

func (e *Elector) tableStored(table seamtable.Table, revision int64) {
	e.mu.Lock()
	e.assigner.WriteSucceeded(table, revision)
	e.mu.Unlock()
	e.registry.ObserveTable(e.service, VersionedTable{Table: table, Revision: revision})
	e.sink.Emit(time.Now(), seamevent.TableWritten, seamevent.Fields{
		"service": e.service, "epoch": table.Epoch, "revision": revision, "fence": table.Fence, "ranges": len(table.Ranges),
	})
}

// resolveUnknownWrite reads the table after a write that got no answer, and continues from it. It retries failed reads
// while the assigner may grant leases.
func (e *Elector) resolveUnknownWrite(ctx context.Context, cause error) error {
	for ctx.Err() == nil && e.authorized() {
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		entry, err := e.store.Get(limited, seamstore.Takeover, TablePrefix+e.service)
		cancel()
		if err == nil {
			return errors.CombineErrors(e.reconcile(entry), cause)
		}
		e.logFailure("read", err)
		seamwait.For(ctx, retryDelay)
	}
	return cause
}

// reconcile continues from the table found in the store. It fails with *supersededError if that has a later epoch.
func (e *Elector) reconcile(entry seamstore.Entry) error {
	var found seamtable.Table
	if entry.Revision != 0 {
		var err error
		if found, err = seamtable.Decode(entry.Value); err != nil {
			return err
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkEra(e.era); err != nil {
		return err
	}
	if !e.assigner.WriteUncertain(e.clock.Now(), found, entry.Revision) {
		return &supersededError{By: LeaderRecord{Epoch: found.Epoch}}
	}
	return nil
}

const (
	// maxBroadcastBytes is the size of the tables sent to all holders after one write, in bytes. Above it, only readers get
	// the table, and a holder whose keys have not changed gets no update: the tables of a large service would fill the
	// link of the assigner's node.
	maxBroadcastBytes = 64 << 10
	// maxReplyTableBytes is the size of the largest table that is sent with a reply, in bytes. A larger one would not fit a message;
	// readers read it from the store once a second.
	maxReplyTableBytes = seamframe.MaxMessageSize / 2
	// tableInterval is the minimum time between two tables that readers get above maxBroadcastBytes.
	tableInterval = time.Second
)

// publication is what the holders were sent last.
type publication struct {
	version seamassign.Version
	// tableRevision is the revision of the last table, and tableSent the time at which it was sent.
	tableRevision int64
	tableSent     time.Time
}

// tableDue reports whether a table of the revision is due, and records it. broadcast means that all holders get it.
func (p *publication) tableDue(now time.Time, revision int64, broadcast bool) bool {
	if revision == p.tableRevision || !broadcast && now.Sub(p.tableSent) < tableInterval {
		return false
	}
	p.tableRevision, p.tableSent = revision, now
	return true
}

// notifyHolders sends each connected holder its current ranges if the version differs from the published one, and the table
// if it is due. In a large service only those get an update whose ranges or releases have changed.
func (e *Elector) notifyHolders(now time.Time, p *publication) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.assigner == nil {
		return
	}
	version := e.assigner.Version()
	if version == p.version && version.Revision == p.tableRevision {
		return
	}
	table, err := seamtable.Encode(e.assigner.Table())
	if err != nil {
		e.logFailure("encode", err)
		return
	}
	broadcast := len(table)*len(e.streams) <= maxBroadcastBytes
	tableDue := p.tableDue(now, version.Revision, broadcast)
	p.version = version
	for s := range e.streams {
		e.notifyHolder(s, table, tableDue && (broadcast || s.reader()), broadcast)
	}
}

// notifyHolder sends an update to a holder, with the table if withTable is set. Unless all holders get one, it leaves out
// an update that brings nothing new.
func (e *Elector) notifyHolder(s *heartbeatStream, table []byte, withTable, broadcast bool) {
	r, ok := e.assigner.Update(s.holder())
	if !ok {
		return
	}
	if !s.updateDue(r) && !withTable && !broadcast {
		return
	}
	reply := seamassign.ReplyToWire(0, r)
	if withTable && len(table) <= maxReplyTableBytes {
		reply.Table = table
	}
	s.push(reply)
}

// heartbeatStream is the stream on which the node of one holder sends heartbeats.
type heartbeatStream struct {
	conn    net.Conn
	replies chan *wire.Reply

	// sentRanges and sentRelease are those of the last update.
	sentRanges, sentRelease []seamtable.Range

	mu sync.Mutex
	// lastHolder is the holder of the last heartbeat, and passesOn whether its node passes tables on to others.
	lastHolder seamtable.Holder
	passesOn   bool
}

// updateDue reports whether an update differs from the last one, and records it.
func (s *heartbeatStream) updateDue(r seamassign.Reply) bool {
	if slices.Equal(s.sentRanges, r.Ranges) && slices.Equal(s.sentRelease, r.Release) {
		return false
	}
	s.sentRanges, s.sentRelease = r.Ranges, r.Release
	return true
}

func (s *heartbeatStream) holder() seamtable.Holder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastHolder
}

// reader reports whether the holder's node passes tables on to others.
func (s *heartbeatStream) reader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.passesOn
}

// received records the sender of a heartbeat.
func (s *heartbeatStream) received(heartbeat *wire.Beat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastHolder = seamtable.HolderFromWire(heartbeat.GetHolder())
	s.passesOn = heartbeat.GetReader()
}

// push queues a reply. If the queue is full, the reply is dropped: the reply to the next heartbeat repeats its ranges and
// releases.
func (s *heartbeatStream) push(r *wire.Reply) {
	select {
	case s.replies <- r:
	default:
	}
}

// ServeHeartbeats answers the heartbeats of a holder until its stream ends. first is the heartbeat that was already read;
// next reads the following ones.
func (e *Elector) ServeHeartbeats(ctx context.Context, from seampeer.Peer, conn net.Conn, first *wire.Beat, next func() (*wire.Beat, error)) {
	s := &heartbeatStream{conn: conn, replies: make(chan *wire.Reply, 4)}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.mu.Lock()
	e.streams[s] = true
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.streams, s)
		e.mu.Unlock()
	}()
	go s.write(ctx)
	for heartbeat := first; ; {
		s.received(heartbeat)
		s.push(e.handleHeartbeat(from, heartbeat))
		var err error
		if heartbeat, err = next(); err != nil {
			return
		}
	}
}

// write sends the queued replies.
func (s *heartbeatStream) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-s.replies:
			s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if seamframe.Write(s.conn, seamframe.Reply, r) != nil {
				// The reader sees the closed connection and returns.
				s.conn.Close()
				return
			}
		}
	}
}

func (e *Elector) wakeWriter() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// handleHeartbeat answers one heartbeat, or names the assigner if it is another node.
func (e *Elector) handleHeartbeat(from seampeer.Peer, w *wire.Beat) *wire.Reply {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.authorizedLocked() {
		r := &wire.Reply{Number: w.GetNumber()}
		if record, ok := e.registry.Leader(e.service); ok && !record.Peer.Same(e.self) {
			r.Other = record.ToWire()
		}
		return r
	}
	heartbeat := seamassign.HeartbeatFromWire(w)
	heartbeat.Node = from
	if heartbeat.Epoch > e.assigner.Epoch() {
		// Another node has been elected since.
		return &wire.Reply{Number: w.GetNumber()}
	}
	e.logClaims(heartbeat)
	reply := e.assigner.Heartbeat(e.clock.Now(), heartbeat)
	if e.assigner.WritePending() {
		e.wakeWriter()
	}
	return seamassign.ReplyToWire(w.GetNumber(), reply)
}

// logClaims logs what a holder claims after the store came back from a copy. mu must be held.
func (e *Elector) logClaims(hb seamassign.Heartbeat) {
	if len(hb.Claims) == 0 {
		return
	}
	keys, fence := 0, uint64(0)
	for _, c := range hb.Claims {
		keys += c.Len()
		fence = max(fence, c.Fence)
	}
	e.sink.Emit(time.Now(), seamevent.KeysClaimed, seamevent.Fields{
		"service": e.service, "epoch": e.assigner.Epoch(), "accepted": hb.Epoch, "holder": hb.Holder.String(),
		"claims": len(hb.Claims), "keys": keys, "fence": fence,
	})
}
