package seamholder

import (
	"context"
	"net"
	"slices"
	"time"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamassign"
	"cardamomseam/internal/own/seamclock"
	wire "cardamomseam/internal/own/seamtablewire"
	"cardamomseam/internal/platform/seamwait"
	"cardamomseam/internal/route/seamframe"
)

const (
	// heartbeatInterval is the time between two heartbeats to the assigner.
	heartbeatInterval = 300 * time.Millisecond
	// replyTimeout is the time without a reply after which the stream is reopened.
	replyTimeout = 700 * time.Millisecond
	// reconnectDelay is the delay before a stream is opened again after a failed dial or a reply from a node that is
	// not the assigner.
	reconnectDelay = 100 * time.Millisecond
	// epochPollInterval is the time between two checks whether the assigner is known.
	epochPollInterval = 200 * time.Millisecond
	// idleInterval is the time between two checks for something to do by a node without holders. A new holder is
	// signalled.
	idleInterval = 5 * time.Second
	// minHeartbeatGap is the minimum time between two heartbeats.
	minHeartbeatGap = 5 * time.Millisecond
)

// heartbeatLoop sends heartbeats to the assigner until ctx ends.
func (r *Runner) heartbeatLoop(ctx context.Context) {
	for ctx.Err() == nil {
		service, _, h := r.nextHeartbeat()
		if h == nil {
			seamwait.Until(ctx, r.waitFor(epochPollInterval), r.heartbeatDue)
			continue
		}
		conn, err := r.assigner.OpenHeartbeats(ctx, service)
		if err != nil {
			seamwait.Jittered(ctx, reconnectDelay)
			continue
		}
		r.exchange(ctx, service, conn)
		seamwait.For(ctx, minHeartbeatGap)
	}
}

// sentHeartbeat is a heartbeat that has no reply yet.
type sentHeartbeat struct {
	number uint64
	sentAt seamclock.Instant
	holder *Holder
	// dead reports whether the heartbeat reported the end of the target's process.
	dead bool
}

// exchange sends heartbeats and handles replies on one stream until it fails or the heartbeats of another service are due.
func (r *Runner) exchange(ctx context.Context, service string, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	replies := make(chan *wire.Reply, 4)
	go readReplies(ctx, cancel, conn, replies)
	var pending []sentHeartbeat
	lastReply := time.Now()
	for number := uint64(1); ctx.Err() == nil; number++ {
		current, heartbeat, h := r.nextHeartbeat()
		if current != service || time.Since(lastReply) > replyTimeout {
			return
		}
		sent := sentHeartbeat{number: number, sentAt: r.clock.Now(), holder: h, dead: heartbeat.State == seamassign.Dead}
		conn.SetWriteDeadline(time.Now().Add(replyTimeout))
		beat := seamassign.HeartbeatToWire(service, number, heartbeat)
		beat.Reader = r.assigner.Reader()
		if err := seamframe.Write(conn, seamframe.Beat, beat); err != nil {
			return
		}
		pending = append(pending, sent)
		if pending = r.awaitReplies(ctx, service, replies, pending, h, &lastReply); pending == nil {
			return
		}
	}
}

// readReplies forwards the replies that arrive on the connection.
func readReplies(ctx context.Context, cancel func(), conn net.Conn, replies chan<- *wire.Reply) {
	defer cancel()
	reader, done := seamframe.NewReader(conn)
	defer done()
	for {
		reply := new(wire.Reply)
		if err := reader.ReadMessage(seamframe.Reply, reply); err != nil {
			return
		}
		select {
		case replies <- reply:
		case <-ctx.Done():
			return
		}
	}
}

// awaitReplies handles replies until the next heartbeat is due. It returns the heartbeats that still have no reply, or nil
// if the stream should be closed because ctx has ended or the node at the other end is not the assigner. lastHolder is the
// holder of the last heartbeat.
func (r *Runner) awaitReplies(ctx context.Context, service string, replies <-chan *wire.Reply, pending []sentHeartbeat, lastHolder *Holder, lastReply *time.Time) []sentHeartbeat {
	t := time.NewTimer(heartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			return pending
		case <-r.heartbeatDue:
			seamwait.For(ctx, minHeartbeatGap)
			return pending
		case <-ctx.Done():
			return nil
		case w := <-replies:
			if w.GetEpoch() == 0 {
				if w.GetOther() != nil {
					r.assigner.Redirected(service, w.GetOther())
				}
				seamwait.For(ctx, reconnectDelay)
				return nil
			}
			*lastReply = time.Now()
			if len(w.GetTable()) > 0 {
				r.assigner.TableReceived(service, w.GetTable(), w.GetRevision())
			}
			pending = r.handleReply(w, pending, lastHolder)
		}
	}
}

// handleReply applies a reply and returns the heartbeats that still have none, as a non-nil slice. A reply without a number
// is an update for the holder of the last heartbeat, whether or not that has been answered.
func (r *Runner) handleReply(w *wire.Reply, pending []sentHeartbeat, lastHolder *Holder) []sentHeartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := seamassign.ReplyFromWire(w)
	if w.GetNumber() == 0 {
		r.applyReply(sentHeartbeat{sentAt: r.clock.Now(), holder: lastHolder}, reply)
		return pending
	}
	for i, s := range pending {
		if s.number == w.GetNumber() {
			r.applyReply(s, reply)
			return append([]sentHeartbeat{}, pending[i+1:]...)
		}
	}
	return pending
}

// applyReply applies a reply to the holder whose heartbeat it answers. A former incarnation whose end
// is acknowledged by the reply is dropped. mu must be held.
func (r *Runner) applyReply(s sentHeartbeat, reply seamassign.Reply) {
	h := s.holder
	if s.dead {
		r.former = slices.DeleteFunc(r.former, func(f *formerIncarnation) bool { return f.holder == h })
		wake(r.heartbeatDue)
		return
	}
	formerEpoch := h.Epoch()
	h.HandleReply(r.clock.Now(), s.sentAt, reply)
	if reply.Changed {
		r.sink.Emit(time.Now(), seamevent.KeysListed, seamevent.Fields{
			"target": h.Target().String(), "epoch": reply.Epoch, "former": formerEpoch, "revision": reply.Revision,
			"ranges": len(reply.Ranges), "release": len(reply.Release),
		})
	}
	if reply.Changed || len(reply.Release) > 0 {
		r.keysChanged()
		wake(r.ordersDue)
	}
}
