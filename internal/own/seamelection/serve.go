package seamelection

import (
	"context"
	"net"
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

// writeTimeout bounds the writing of one reply.
const writeTimeout = 500 * time.Millisecond

// writeLoop lets the assigner do what is due, writes its table and tells the holders.
func (o *Elector) writeLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var told seamassign.Version
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-o.wake:
		}
		if err := o.tick(ctx); err != nil {
			o.failed("table", err)
			var deposed *deposedError
			if errors.As(err, &deposed) {
				return
			}
			seamwait.For(ctx, tickInterval)
		}
		told = o.tell(told)
	}
}

// tick does what is due and writes the table if it changed.
func (o *Elector) tick(ctx context.Context) error {
	o.mu.Lock()
	now := o.clock.Now()
	if !o.authorizedLocked() {
		o.mu.Unlock()
		return nil
	}
	for _, p := range o.assigner.Predecessors() {
		if over, ok := o.registry.ResignationExpiry(o.service, p); ok {
			o.assigner.PredecessorResigned(now, p, over)
		}
	}
	o.assigner.Tick(now)
	table, revision, ok := o.assigner.PendingWrite()
	o.mu.Unlock()
	if !ok {
		return nil
	}
	return o.write(ctx, table, revision)
}

// write writes the table, and settles what a write without an answer has done.
func (o *Elector) write(ctx context.Context, table seamtable.Table, revision int64) error {
	value, err := seamtable.Encode(table)
	if err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	written, err := o.store.Swap(limited, seamstore.Takeover, TablePrefix+o.service, revision, value)
	var conflict *seamstore.ConflictError
	switch {
	case err == nil:
		o.stored(table, written)
		return nil
	case errors.As(err, &conflict):
		return o.settle(conflict.Found)
	}
	var unknown *seamstore.UnknownError
	if !errors.As(err, &unknown) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.assigner.WriteFailed()
		return err
	}
	return o.lookUp(ctx, err)
}

func (o *Elector) stored(table seamtable.Table, revision int64) {
	o.mu.Lock()
	o.assigner.WriteSucceeded(table, revision)
	o.mu.Unlock()
	o.registry.ObserveTable(o.service, VersionedTable{Table: table, Revision: revision})
	o.sink.Emit(time.Now(), seamevent.TableWritten, seamevent.Fields{
		"service": o.service, "epoch": table.Epoch, "revision": revision, "fence": table.Fence, "ranges": len(table.Ranges),
	})
}

// lookUp reads the table after a write without an answer, until the store says what stands there.
func (o *Elector) lookUp(ctx context.Context, cause error) error {
	for ctx.Err() == nil && o.authorized() {
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		entry, err := o.store.Get(limited, seamstore.Takeover, TablePrefix+o.service)
		cancel()
		if err == nil {
			return errors.CombineErrors(o.settle(entry), cause)
		}
		o.failed("read", err)
		seamwait.For(ctx, retryWait)
	}
	return cause
}

// settle goes on from the table that stands in the store.
func (o *Elector) settle(entry seamstore.Entry) error {
	var found seamtable.Table
	if entry.Revision != 0 {
		var err error
		if found, err = seamtable.Decode(entry.Value); err != nil {
			return err
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.assigner.WriteUncertain(o.clock.Now(), found, entry.Revision) {
		return &deposedError{By: LeaderRecord{Epoch: found.Epoch}}
	}
	return nil
}

// tell sends the holders what changed since the version.
func (o *Elector) tell(told seamassign.Version) seamassign.Version {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.assigner == nil {
		return told
	}
	version := o.assigner.Version()
	if version == told {
		return told
	}
	table, err := seamtable.Encode(o.assigner.Table())
	if err != nil {
		o.failed("encode", err)
		return told
	}
	for s := range o.streams {
		r, ok := o.assigner.Update(s.holder())
		if !ok {
			continue
		}
		news := seamassign.ReplyToWire(0, r)
		if version.Revision != told.Revision {
			news.Table = table
		}
		s.push(news)
	}
	return version
}

// beatStream is the stream of one holder.
type beatStream struct {
	conn net.Conn
	news chan *wire.Reply

	mu   sync.Mutex
	last seamtable.Holder
}

func (s *beatStream) holder() seamtable.Holder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

func (s *beatStream) heard(h seamtable.Holder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = h
}

// push queues a reply. One that finds no room is left out: the next beat is answered in full.
func (s *beatStream) push(r *wire.Reply) {
	select {
	case s.news <- r:
	default:
	}
}

// Serve answers the beats of a holder until its stream ends.
func (o *Elector) ServeHeartbeats(ctx context.Context, from seampeer.Peer, conn net.Conn, first *wire.Beat, next func() (*wire.Beat, error)) {
	s := &beatStream{conn: conn, news: make(chan *wire.Reply, 4)}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o.mu.Lock()
	o.streams[s] = true
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		delete(o.streams, s)
		o.mu.Unlock()
	}()
	go s.write(ctx)
	for beat := first; ; {
		s.heard(seamtable.HolderFromWire(beat.GetHolder()))
		s.push(o.answer(from, beat))
		o.signal()
		var err error
		if beat, err = next(); err != nil {
			return
		}
	}
}

// write sends the queued replies.
func (s *beatStream) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-s.news:
			s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if seamframe.Write(s.conn, seamframe.Reply, r) != nil {
				// The reading side sees the end of the stream.
				s.conn.Close()
				return
			}
		}
	}
}

func (o *Elector) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// answer answers one beat, or names the assigner if this node is not.
func (o *Elector) answer(from seampeer.Peer, w *wire.Beat) *wire.Reply {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.authorizedLocked() {
		r := &wire.Reply{Number: w.GetNumber()}
		if record, ok := o.registry.Leader(o.service); ok && !record.Peer.Same(o.self) {
			r.Other = record.Wire()
		}
		return r
	}
	beat := seamassign.HeartbeatFromWire(w)
	beat.Node = from
	if beat.Epoch > o.assigner.Epoch() {
		// Another node became the assigner since.
		return &wire.Reply{Number: w.GetNumber()}
	}
	return seamassign.ReplyToWire(w.GetNumber(), o.assigner.Heartbeat(o.clock.Now(), beat))
}
