package seamrouter

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"cardamomseam/internal/member/seammembership"
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamelection"
	wire "cardamomseam/internal/own/seamtablewire"
	"cardamomseam/internal/route/seamframe"
	"cardamomseam/internal/route/seamsession"
)

const (
	// successors is the number of nodes that are told of an assigner that resigns: those that stand first for
	// the office after it.
	successors = 8
	// tellTime bounds the telling.
	tellTime = 300 * time.Millisecond
)

// TellResigned tells the next candidates for the assigner of a service that this run of the node promises nothing any
// more. One of them that takes the office need not wait until the promises of this run are over at the latest.
func (k knownPeers) AnnounceResignation(f seamelection.Resignation) {
	n := k.node
	ctx, cancel := context.WithTimeout(context.Background(), tellTime)
	defer cancel()
	var telling sync.WaitGroup
	for _, m := range k.candidates(f.Service, successors) {
		telling.Go(func() {
			if err := n.tellResigned(ctx, m.Peer, f.Wire(n.clock.Now())); err != nil {
				n.sink.Emit(time.Now(), seamevent.PeerDown, seamevent.Fields{"peer": m.Peer.String(), "call": "farewell", "error": err.Error()})
			}
		})
	}
	telling.Wait()
}

// candidates returns the other nodes that stand first for the assigner of a service.
func (k knownPeers) candidates(service string, most int) []seammembership.Member {
	var list []seammembership.Member
	for _, m := range k.node.roll.View().Members {
		if m.Peer.Name != k.node.self.Name {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(x, y seammembership.Member) int { return cmp.Compare(candidacy(x, service), candidacy(y, service)) })
	return list[:min(most, len(list))]
}

func (n *Node) tellResigned(ctx context.Context, to seampeer.Peer, word *wire.Farewell) error {
	conn, err := n.sessions.Open(ctx, to, seamsession.Resignations)
	if err != nil {
		return err
	}
	defer conn.Close()
	if limit, ok := ctx.Deadline(); ok {
		conn.SetDeadline(limit)
	}
	if err := seamframe.Write(conn, seamframe.Farewell, word); err != nil {
		return err
	}
	reader, done := seamframe.NewReader(conn)
	defer done()
	// The answer repeats the word once it is noted.
	return reader.ReadMessage(seamframe.Farewell, new(wire.Farewell))
}

// farewellHandler takes note of assigners that resign.
type farewellHandler struct {
	node *Node
}

// ServeStream takes one word.
func (h farewellHandler) ServeStream(_ context.Context, from seampeer.Peer, conn net.Conn) {
	conn.SetDeadline(time.Now().Add(tellTime))
	reader, done := seamframe.NewReader(conn)
	defer done()
	word := new(wire.Farewell)
	if err := reader.ReadMessage(seamframe.Farewell, word); err != nil {
		return // the node at the other end counts it as not told
	}
	h.node.registry.AddResignation(seamelection.ResignationOf(h.node.clock.Now(), word))
	h.node.sink.Emit(time.Now(), seamevent.LeaderResigned, seamevent.Fields{
		"service": word.GetService(), "assigner": word.GetAssigner().GetName(), "epoch": word.GetAssigner().GetEpoch(),
		"over": word.GetOver(), "from": from.String(),
	})
	_ = seamframe.Write(conn, seamframe.Farewell, word) // a sender that misses it counts it as not told
}
