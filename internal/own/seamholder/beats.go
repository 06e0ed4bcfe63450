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
	// beatInterval is the time between two reports to the assigner.
	beatInterval = 300 * time.Millisecond
	// answerTimeout is the time without an answer after which the stream is opened anew.
	answerTimeout = 700 * time.Millisecond
	// openWait is the wait after a stream that could not be opened.
	openWait = 100 * time.Millisecond
	// idleWait is the time between looks of a node that has nothing to report.
	idleWait = 200 * time.Millisecond
	// leastGap is the least time between two beats.
	leastGap = 5 * time.Millisecond
)

// beats reports to the assigner until ctx ends.
func (r *Runner) beats(ctx context.Context) {
	for ctx.Err() == nil {
		service, _, h := r.report()
		if h == nil {
			seamwait.Until(ctx, idleWait, r.beat)
			continue
		}
		conn, err := r.link.OpenHeartbeats(ctx, service)
		if err != nil {
			seamwait.Jittered(ctx, openWait)
			continue
		}
		r.talk(ctx, service, conn)
		seamwait.For(ctx, leastGap)
	}
}

// sentBeat is a beat that has no answer.
type sentBeat struct {
	number uint64
	at     seamclock.Instant
	holder *Holder
	// dead says that the beat told the end of the life.
	dead bool
}

// talk exchanges beats and replies on one stream until it fails or another service is due.
func (r *Runner) talk(ctx context.Context, service string, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	replies := make(chan *wire.Reply, 4)
	go read(ctx, cancel, conn, replies)
	var open []sentBeat
	heard := time.Now()
	for number := uint64(1); ctx.Err() == nil; number++ {
		now, beat, h := r.report()
		if now != service || time.Since(heard) > answerTimeout {
			return
		}
		sent := sentBeat{number: number, at: r.clock.Now(), holder: h, dead: beat.State == seamassign.Dead}
		conn.SetWriteDeadline(time.Now().Add(answerTimeout))
		if err := seamframe.Write(conn, seamframe.Beat, seamassign.HeartbeatToWire(service, number, beat)); err != nil {
			return
		}
		open = append(open, sent)
		if open = r.listen(ctx, service, replies, open, h, &heard); open == nil {
			return
		}
	}
}

// read hands on the replies that arrive.
func read(ctx context.Context, cancel func(), conn net.Conn, replies chan<- *wire.Reply) {
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

// listen takes replies until the next beat is due, and returns the beats that still have
// none; nil if the node at the other end is not the assigner. The last beat was that of the holder.
func (r *Runner) listen(ctx context.Context, service string, replies <-chan *wire.Reply, open []sentBeat, last *Holder, heard *time.Time) []sentBeat {
	t := time.NewTimer(beatInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			return open
		case <-r.beat:
			seamwait.For(ctx, leastGap)
			return open
		case <-ctx.Done():
			return nil
		case w := <-replies:
			if w.GetEpoch() == 0 {
				if w.GetOther() != nil {
					r.link.Redirected(service, w.GetOther())
				}
				seamwait.For(ctx, openWait)
				return nil
			}
			*heard = time.Now()
			if len(w.GetTable()) > 0 {
				r.link.TableReceived(service, w.GetTable(), w.GetRevision())
			}
			open = r.replied(w, open, last)
		}
	}
}

// replied applies a reply and returns the beats that still have none. A reply without a number is news for the
// holder of the last beat, whether that has been answered or not.
func (r *Runner) replied(w *wire.Reply, open []sentBeat, last *Holder) []sentBeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := seamassign.ReplyFromWire(w)
	if w.GetNumber() == 0 {
		r.apply(sentBeat{at: r.clock.Now(), holder: last}, reply)
		return open
	}
	for i, s := range open {
		if s.number == w.GetNumber() {
			r.apply(s, reply)
			return append([]sentBeat{}, open[i+1:]...)
		}
	}
	return open
}

// apply applies a reply to the life that it answers. A life whose end was told is forgotten. mu is held.
func (r *Runner) apply(s sentBeat, reply seamassign.Reply) {
	h := s.holder
	if s.dead {
		r.former = slices.DeleteFunc(r.former, func(f *ended) bool { return f.holder == h })
		kick(r.beat)
		return
	}
	before := h.Epoch()
	h.HandleReply(r.clock.Now(), s.at, reply)
	if reply.Changed {
		r.sink.Emit(time.Now(), seamevent.KeysListed, seamevent.Fields{
			"target": h.Target().String(), "epoch": reply.Epoch, "former": before, "revision": reply.Revision,
			"ranges": len(reply.Ranges), "release": len(reply.Release),
		})
	}
	if reply.Changed || len(reply.Release) > 0 {
		r.keysChanged()
		kick(r.due)
	}
}
