package seamnode

import (
	"cardamomseam/internal/member/seampeer"
)

// relaySelector selects the members of the node's own cell through which sessions to other nodes can be relayed.
type relaySelector struct {
	node *Node
}

// Relays returns the members of the cell that can relay to the given node: all that are not draining, except
// that node and this one.
func (r relaySelector) Relays(to seampeer.Peer) []seampeer.Peer {
	if r.node.keeper == nil {
		return nil
	}
	var peers []seampeer.Peer
	for _, m := range r.node.keeper.View().Members {
		if !m.Draining && !m.Peer.Same(r.node.self) && !m.Peer.Same(to) {
			peers = append(peers, m.Peer)
		}
	}
	return peers
}
