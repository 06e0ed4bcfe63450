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
	maxResignationPeers = 8
	// tellTime bounds the telling.
	resignationTimeout = 300 * time.Millisecond
)

// TellResigned tells the next candidates for the assigner of a service that this run of the node promises nothing any
// more. One of them that takes the office need not wait until the promises of this run are over at the latest.
func (k knownPeers) AnnounceResignation(r seamelection.Resignation) {
	n := k.node
	ctx, cancel := context.WithTimeout(context.Background(), resignationTimeout)
	defer cancel()
	var sending sync.WaitGroup
	for _, m := range k.candidates(r.Service, maxResignationPeers) {
		sending.Go(func() {
			if err := n.sendResignation(ctx, m.Peer, r.Wire(n.clock.Now())); err != nil {
				n.sink.Emit(time.Now(), seamevent.PeerDown, seamevent.Fields{"peer": m.Peer.String(), "call": "farewell", "error": err.Error()})
			}
		})
	}
	sending.Wait()
}

// candidates returns the other nodes that stand first for the assigner of a service.
func (k knownPeers) candidates(service string, limit int) []seammembership.Member {
	var list []seammembership.Member
	for _, m := range k.node.members.View().Members {
		if m.Peer.Name != k.node.self.Name {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(x, y seammembership.Member) int { return cmp.Compare(candidateOrder(x, service), candidateOrder(y, service)) })
	return list[:min(limit, len(list))]
}

func (n *Node) sendResignation(ctx context.Context, to seampeer.Peer, resignation *wire.Farewell) error {
	conn, err := n.sessions.Open(ctx, to, seamsession.Farewells)
	if err != nil {
		return err
	}
	defer conn.Close()
	if limit, ok := ctx.Deadline(); ok {
		conn.SetDeadline(limit)
	}
	if err := seamframe.Write(conn, seamframe.Farewell, resignation); err != nil {
		return err
	}
	reader, done := seamframe.NewReader(conn)
	defer done()
	// The answer repeats the word once it is noted.
	return reader.ReadMessage(seamframe.Farewell, new(wire.Farewell))
}

// farewellHandler takes note of assigners that resign.
type resignationHandler struct {
	node *Node
}

// ServeStream takes one word.
func (h resignationHandler) ServeStream(_ context.Context, from seampeer.Peer, conn net.Conn) {
	conn.SetDeadline(time.Now().Add(resignationTimeout))
	reader, done := seamframe.NewReader(conn)
	defer done()
	resignation := new(wire.Farewell)
	if err := reader.ReadMessage(seamframe.Farewell, resignation); err != nil {
		return // the node at the other end counts it as not told
	}
	h.node.registry.AddResignation(seamelection.ResignationOf(h.node.clock.Now(), resignation))
	h.node.sink.Emit(time.Now(), seamevent.OfficeResigned, seamevent.Fields{
		"service": resignation.GetService(), "assigner": resignation.GetAssigner().GetName(), "epoch": resignation.GetAssigner().GetEpoch(),
		"over": resignation.GetOver(), "from": from.String(),
	})
	_ = seamframe.Write(conn, seamframe.Farewell, resignation) // a sender that misses it counts it as not told
}
