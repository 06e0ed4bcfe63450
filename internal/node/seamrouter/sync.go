package seamrouter

import (
	"context"
	"io"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	wire "cardamomseam/internal/member/seamentrywire"
	"cardamomseam/internal/member/seammembership"
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamelection"
	"cardamomseam/internal/own/seamtable"
	"cardamomseam/internal/platform/seamwait"
	"cardamomseam/internal/route/seamframe"
	"cardamomseam/internal/route/seamsession"
)

const (
	// firstByteTimeout bounds the wait for the first byte of a peer's response, which echoes the request.
	firstByteTimeout = 500 * time.Millisecond
	// responseTimeout bounds the whole response, because many routes can take long over a slow link.
	responseTimeout = 3 * time.Second
	// syncRetryInterval is the interval at which a node without routes requests the full state.
	syncRetryInterval = 250 * time.Millisecond
	// storeCatchUpDelay is how long to wait for the store to deliver a revision that a peer reported
	// before requesting it from the peer.
	storeCatchUpDelay = 300 * time.Millisecond
)

// syncRequest is the first byte of a sync stream and selects what the peer returns.
type syncRequest byte

const (
	// fullState requests the routes, members, tables and resignations of former assigners.
	fullState syncRequest = iota
	// routesOnly requests the routes.
	routesOnly
)

// onRoutesRevision schedules a refresh of the routes if the peer has a newer revision.
func (n *Node) onRoutesRevision(revision int64, peer seampeer.Peer) {
	if revision <= n.routes.Revision() {
		return
	}
	select {
	case n.newerRoutesPeer <- peer:
	default:
	}
}

// syncFromPeers fetches from other nodes what the store has not delivered: the full state after a start
// while the store is unreachable, and newer routes.
func (n *Node) syncFromPeers(ctx context.Context) {
	for ctx.Err() == nil {
		if n.routes.Current() == nil {
			n.syncFromAnyPeer(ctx)
			seamwait.For(ctx, syncRetryInterval)
			continue
		}
		select {
		case <-ctx.Done():
		case peer := <-n.newerRoutesPeer:
			n.refreshRoutes(ctx, peer)
		}
	}
}

// refreshRoutes fetches the routes from the given peer unless the store delivers them within storeCatchUpDelay.
// The watch stays open: its reply may be in transit.
func (n *Node) refreshRoutes(ctx context.Context, peer seampeer.Peer) {
	before := n.routes.Revision()
	seamwait.For(ctx, storeCatchUpDelay)
	if n.routes.Revision() == before {
		n.syncFrom(ctx, peer, routesOnly)
	}
}

// syncFromAnyPeer requests the full state from each node with an open session until one provides routes. A node that
// has just started knows only the nodes that opened a session to it.
func (n *Node) syncFromAnyPeer(ctx context.Context) {
	for _, p := range n.sessions.Peers() {
		if n.syncFrom(ctx, p, fullState); n.routes.Current() != nil {
			return
		}
	}
}

// syncFrom requests the full state or the routes from a peer and merges the response into this node's view.
func (n *Node) syncFrom(ctx context.Context, peer seampeer.Peer, request syncRequest) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	state, err := n.requestState(ctx, peer, request)
	if err != nil {
		n.sink.Emit(time.Now(), seamevent.PeerDown, seamevent.Fields{"peer": peer.String(), "call": "sync", "error": err.Error()})
		return
	}
	now := time.Now()
	if len(state.GetRules()) > 0 {
		n.applyRoutes(now, state.GetRules(), "node "+peer.Name)
	}
	for _, e := range state.GetMembers() {
		if m, err := seammembership.MemberFromWire(e); err == nil {
			n.members.AddUnconfirmed(now, m)
		}
	}
	for _, encoded := range state.GetFarewells() {
		resignation, err := seamelection.DecodeResignation(n.clock.Now(), encoded)
		if err != nil {
			n.sink.Emit(now, seamevent.PeerDown, seamevent.Fields{"peer": peer.String(), "call": "sync", "error": err.Error()})
			continue
		}
		n.registry.AddResignation(resignation)
	}
	for _, entry := range state.GetTables() {
		if table, err := seamtable.Decode(entry.GetValue()); err == nil {
			n.registry.ObserveTable(entry.GetService(), seamelection.VersionedTable{Table: table, Revision: entry.GetRevision()})
		}
	}
}

func (n *Node) requestState(ctx context.Context, peer seampeer.Peer, request syncRequest) (*wire.Told, error) {
	conn, err := n.sessions.Open(ctx, peer, seamsession.Sync)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	deadline, _ := ctx.Deadline()
	conn.SetDeadline(time.Now().Add(firstByteTimeout))
	if _, err := conn.Write([]byte{byte(request)}); err != nil {
		return nil, err
	}
	first := make([]byte, 1)
	if _, err := io.ReadFull(conn, first); err != nil {
		return nil, err
	}
	conn.SetDeadline(deadline)
	reader, done := seamframe.NewReader(conn)
	defer done()
	state := new(wire.Told)
	return state, reader.ReadMessage(seamframe.Told, state)
}

// syncHandler serves the sync requests of other nodes.
type syncHandler struct {
	node *Node
}

// ServeStream responds to one sync request.
func (h syncHandler) ServeStream(_ context.Context, _ seampeer.Peer, conn net.Conn) {
	conn.SetDeadline(time.Now().Add(responseTimeout))
	first := make([]byte, 1)
	if _, err := io.ReadFull(conn, first); err != nil {
		h.logFailure(err)
		return
	}
	// The byte is echoed at once: the requesting node waits only firstByteTimeout for it, but longer for the rest.
	if _, err := conn.Write(first); err != nil {
		h.logFailure(err)
		return
	}
	state := &wire.Told{}
	if raw := h.node.rawRoutes.Load(); raw != nil {
		state.Rules = raw.value
	}
	if syncRequest(first[0]) == fullState {
		h.addState(state)
	}
	if err := seamframe.Write(conn, seamframe.Told, state); err != nil {
		h.logFailure(err)
	}
}

// addState adds the members, tables and resignations that this node knows to the response.
func (h syncHandler) addState(state *wire.Told) {
	for _, m := range h.node.members.View().Members {
		state.Members = append(state.Members, seammembership.MemberToWire(m))
	}
	for service, t := range h.node.registry.Tables() {
		value, err := seamtable.Encode(t.Table)
		if err != nil {
			h.logFailure(err) // the response still contains the rest
			continue
		}
		state.Tables = append(state.Tables, &wire.Kept{Service: service, Value: value, Revision: t.Revision})
	}
	for _, f := range h.node.registry.Resignations() {
		value, err := proto.Marshal(f.ToWire(h.node.clock.Now()))
		if err != nil {
			h.logFailure(err) // the response still contains the rest
			continue
		}
		state.Farewells = append(state.Farewells, value)
	}
}

// logFailure logs an error that occurred while serving a sync request.
func (h syncHandler) logFailure(err error) {
	h.node.sink.Emit(time.Now(), seamevent.PeerDown, seamevent.Fields{"call": "sync", "error": err.Error()})
}
