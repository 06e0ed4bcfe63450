package seamrouter

import (
	"context"
	"net"
	"slices"
	"time"

	"cardamomseam/internal/member/seamfeed"
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seamsession"
)

// feedNetwork gives the feed the node's view of the other nodes and connects it to them.
type feedNetwork struct {
	node *Node
}

// View returns the live nodes that are not shutting down, and whether the store is reachable. A node that shuts down is not
// among the candidates, so that its subscribers turn to another reader.
func (f feedNetwork) View(now time.Time) seamfeed.View {
	v := seamfeed.View{Self: f.node.self, Candidates: f.node.currentCandidates().readers, StoreReachable: f.StoreReachable(now)}
	if !f.node.draining.Load() {
		v.Candidates = append(slices.Clip(v.Candidates), seamfeed.Candidate{Peer: f.node.self, Capacity: f.node.settings.Memory})
	}
	return v
}

// StoreReachable reports whether this node's own calls reach the store. A node that has made no call yet assumes so.
func (f feedNetwork) StoreReachable(now time.Time) bool {
	return f.node.health.mayBeReachable(now)
}

// LastContact returns when the store last answered a call of this node.
func (f feedNetwork) LastContact() time.Time { return f.node.health.lastContact() }

// Open opens a subscription to a reader.
func (f feedNetwork) Open(ctx context.Context, reader seampeer.Peer) (net.Conn, error) {
	return f.open(ctx, reader, seamsession.Feed)
}

// OpenPieces opens a stream on which a node serves pieces of large values.
func (f feedNetwork) OpenPieces(ctx context.Context, from seampeer.Peer) (net.Conn, error) {
	return f.open(ctx, from, seamsession.Pieces)
}

// open opens a stream to a node, which may have restarted since it registered.
func (f feedNetwork) open(ctx context.Context, to seampeer.Peer, k seamsession.Kind) (net.Conn, error) {
	to.Incarnation = 0
	return f.node.sessions.Open(ctx, to, k)
}
