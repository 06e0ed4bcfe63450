package seamelection

import (
	"time"

	"google.golang.org/protobuf/proto"

	"cardamomseam/internal/own/seamassign"
	wire "cardamomseam/internal/own/seamtablewire"
)

// Updates tells which updates are due on the heartbeat stream of one holder.
type Updates struct{ stream heartbeatStream }

// Due reports whether an update is sent after those before it.
func (u *Updates) Due(r seamassign.Reply) bool { return u.stream.updateDue(r) }

// Leader is an elector that leads, with the heartbeat streams of some holders.
type Leader struct {
	elector   *Elector
	streams   []*heartbeatStream
	published publication
}

// NewLeader returns a leader with an assigner and the streams of the nodes that sent the heartbeats.
func NewLeader(a *seamassign.Assigner, heartbeats []*wire.Beat) *Leader {
	l := &Leader{elector: &Elector{assigner: a, streams: map[*heartbeatStream]bool{}}}
	for _, hb := range heartbeats {
		s := &heartbeatStream{replies: make(chan *wire.Reply, 4)}
		s.received(hb)
		l.elector.streams[s] = true
		l.streams = append(l.streams, s)
	}
	return l
}

// Notify sends the updates that are due. It returns the bytes sent and the latest table revision that each holder got in it;
// 0 if none.
func (l *Leader) Notify(now time.Time) (bytes int, tables []int64) {
	l.elector.notifyHolders(now, &l.published)
	tables = make([]int64, len(l.streams))
	for i, s := range l.streams {
		for len(s.replies) > 0 {
			r := <-s.replies
			bytes += proto.Size(r)
			if len(r.GetTable()) > 0 {
				tables[i] = r.GetRevision()
			}
		}
	}
	return bytes, tables
}
