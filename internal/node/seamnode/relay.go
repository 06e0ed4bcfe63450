package seamnode

import (
	"cardamomseam/internal/member/seampeer"
)

// relayPeers selects members of the node's own cell as relays to other nodes.
type relayPeers struct {
	node *Node
}

// Relays returns the other members of the cell that are not draining.
func (r relayPeers) Relays(to seampeer.Peer) []seampeer.Peer {
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
