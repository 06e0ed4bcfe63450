package seamrouter

import (
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
	// maxResignationPeers is the number of nodes that are notified of a resignation: the first candidates to
	// succeed the assigner.
	maxResignationPeers = 8
	// resignationTimeout bounds the exchange of a resignation.
	resignationTimeout = 300 * time.Millisecond
)

// AnnounceResignation notifies the next candidates for the assigner of a service that this incarnation of the node
// grants no more leases. The candidate that is elected next then need not wait until the latest time at which a
// lease of this incarnation can expire.
func (k knownPeers) AnnounceResignation(r seamelection.Resignation) {
	n := k.node
	ctx, cancel := context.WithTimeout(context.Background(), resignationTimeout)
	defer cancel()
	var sending sync.WaitGroup
	for _, m := range k.candidates(r.Service, maxResignationPeers) {
		sending.Go(func() {
			if err := n.sendResignation(ctx, m.Peer, r.ToWire(n.clock.Now())); err != nil {
				n.sink.Emit(time.Now(), seamevent.PeerDown, seamevent.Fields{"peer": m.Peer.String(), "call": "farewell", "error": err.Error()})
			}
		})
	}
	sending.Wait()
}

// candidates returns the first candidates for the assigner of a service, without this node.
func (k knownPeers) candidates(service string, limit int) []seammembership.Member {
	var list []seammembership.Member
	for _, m := range k.node.members.View().Members {
		if m.Peer.Name != k.node.self.Name {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(x, y seammembership.Member) int { return compareCandidates(service, x, y) })
	return list[:min(limit, len(list))]
}

func (n *Node) sendResignation(ctx context.Context, to seampeer.Peer, resignation *wire.Farewell) error {
	conn, err := n.sessions.Open(ctx, to, seamsession.Resignations)
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
	// The peer echoes the resignation once it is recorded.
	return reader.ReadMessage(seamframe.Farewell, new(wire.Farewell))
}

// resignationHandler records the resignations of assigners.
type resignationHandler struct {
	node *Node
}

// ServeStream receives one resignation and echoes it.
func (h resignationHandler) ServeStream(_ context.Context, from seampeer.Peer, conn net.Conn) {
	conn.SetDeadline(time.Now().Add(resignationTimeout))
	reader, done := seamframe.NewReader(conn)
	defer done()
	resignation := new(wire.Farewell)
	if err := reader.ReadMessage(seamframe.Farewell, resignation); err != nil {
		return // the sender gets no reply and treats it as not delivered
	}
	h.node.registry.AddResignation(seamelection.ResignationFromWire(h.node.clock.Now(), resignation))
	h.node.sink.Emit(time.Now(), seamevent.LeaderResigned, seamevent.Fields{
		"service": resignation.GetService(), "assigner": resignation.GetAssigner().GetName(), "epoch": resignation.GetAssigner().GetEpoch(),
		"over": resignation.GetOver(), "from": from.String(),
	})
	_ = seamframe.Write(conn, seamframe.Farewell, resignation) // a sender that gets no reply treats it as not delivered
}
