package seamrouter

import (
	"context"
	"io"
	"net"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	wire "cardamomseam/internal/member/seamentrywire"
	feedwire "cardamomseam/internal/member/seamfeedwire"
	"cardamomseam/internal/member/seammembership"
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamelection"
	"cardamomseam/internal/own/seamtable"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/platform/seamwait"
	"cardamomseam/internal/route/seamframe"
	"cardamomseam/internal/route/seamsession"
)

const (
	// messageTimeout bounds the wait for each message of a peer's response. The whole response may take longer over a slow link.
	messageTimeout = 1500 * time.Millisecond
	// syncRetryInterval is the interval at which a node without routes requests the full state.
	syncRetryInterval = 250 * time.Millisecond
	// storeCatchUpDelay is how long to wait for the store to deliver a revision that a peer reported
	// before requesting it from the peer.
	storeCatchUpDelay = 300 * time.Millisecond
	// membersPerMessage is the number of members, or of resignations, in one message of a response.
	membersPerMessage = 100
)

// syncRequest is the first byte of a sync stream and selects what the peer returns.
type syncRequest byte

const (
	// fullState requests the routes, evacuations, members, tables and resignations of former assigners.
	fullState syncRequest = iota
	// routesOnly requests the routes. The evacuations come with them.
	routesOnly
)

// onRoutesRevision schedules a refresh of the routes if the peer has a newer revision.
func (n *Node) onRoutesRevision(revision int64, peer seampeer.Peer) {
	if revision > n.routes.Revision() {
		n.newerRoutes.add(revision, peer)
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
		case <-n.newerRoutes.added:
			n.refreshRoutes(ctx)
		}
	}
}

// refreshRoutes requests the routes from the nodes that have newer ones, unless they arrive within storeCatchUpDelay.
// The watch stays open: its reply may be in transit.
func (n *Node) refreshRoutes(ctx context.Context) {
	seamwait.For(ctx, storeCatchUpDelay)
	revision, peers := n.newerRoutes.latest()
	for _, p := range peers {
		if n.routes.Revision() >= revision {
			return
		}
		n.syncFrom(ctx, p, routesOnly)
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
	if err := n.receiveState(ctx, peer, request); err != nil {
		n.sink.Emit(time.Now(), seamevent.PeerDown, seamevent.Fields{"peer": peer.String(), "call": "sync", "error": err.Error()})
	}
}

// receiveState requests state from a peer and merges each message of the response as it arrives.
func (n *Node) receiveState(ctx context.Context, peer seampeer.Peer, request syncRequest) error {
	openCtx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	conn, err := n.sessions.Open(openCtx, peer, seamsession.Sync)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	conn.SetWriteDeadline(time.Now().Add(messageTimeout))
	if _, err := conn.Write([]byte{byte(request)}); err != nil {
		return err
	}
	reader, done := seamframe.NewReader(conn)
	defer done()
	for {
		conn.SetReadDeadline(time.Now().Add(messageTimeout))
		state := new(wire.Told)
		if err := reader.ReadMessage(seamframe.Told, state); err != nil {
			return err
		}
		n.merge(time.Now(), peer, state)
		if state.GetLast() {
			return nil
		}
	}
}

// merge merges a message of a peer's response into this node's view. Large routes and tables are fetched in the background.
func (n *Node) merge(now time.Time, peer seampeer.Peer, state *wire.Told) {
	n.evacuateFromPeer(now, peer.String(), state.GetEvacuated())
	if state.GetRoutes() != nil {
		n.feed.Offer(now, peer, state.GetRoutes())
	}
	for _, e := range state.GetMembers() {
		if m, err := seammembership.MemberFromWire(e); err == nil {
			n.members.AddUnconfirmed(now, m)
			n.hearPoison(m.Peer.Name)
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
	for _, table := range state.GetTables() {
		n.feed.Offer(now, peer, table)
	}
}

// syncHandler serves the sync requests of other nodes.
type syncHandler struct {
	node *Node
}

// ServeStream responds to one sync request.
func (h syncHandler) ServeStream(_ context.Context, _ seampeer.Peer, conn net.Conn) {
	conn.SetReadDeadline(time.Now().Add(messageTimeout))
	first := make([]byte, 1)
	if _, err := io.ReadFull(conn, first); err != nil {
		h.logFailure(err)
		return
	}
	for _, state := range h.response(syncRequest(first[0])) {
		conn.SetWriteDeadline(time.Now().Add(messageTimeout))
		if err := seamframe.Write(conn, seamframe.Told, state); err != nil {
			h.logFailure(err)
			return
		}
	}
}

// response returns the messages that answer a request, each of which is small.
func (h syncHandler) response(request syncRequest) []*wire.Told {
	state := &wire.Told{Evacuated: h.node.evacuations.Snapshot().Domains()}
	if e := h.node.routesEntry.Load(); e != nil {
		state.Routes = h.node.feed.ChangeToWire(seamstore.Change{Entry: e.Entry})
	}
	messages := []*wire.Told{state}
	if request == fullState {
		messages = append(messages, h.memberMessages()...)
		messages = append(messages, h.tableMessages()...)
		messages = append(messages, h.resignationMessages()...)
	}
	messages[len(messages)-1].Last = true
	return messages
}

// memberMessages returns the members that this node knows.
func (h syncHandler) memberMessages() []*wire.Told {
	var members []*wire.Entry
	for _, m := range h.node.members.View().Members {
		members = append(members, seammembership.MemberToWire(m))
	}
	var messages []*wire.Told
	for part := range slices.Chunk(members, membersPerMessage) {
		messages = append(messages, &wire.Told{Members: part})
	}
	return messages
}

// tableMessages returns the ownership tables that this node knows, one in each message.
func (h syncHandler) tableMessages() []*wire.Told {
	var messages []*wire.Told
	for service, t := range h.node.registry.Tables() {
		value, err := seamtable.Encode(t.Table)
		if err != nil {
			h.logFailure(err) // the response still contains the rest
			continue
		}
		change := h.node.feed.ChangeToWire(seamstore.Change{Entry: seamstore.Entry{Key: seamelection.TablePrefix + service, Value: value, Revision: t.Revision}})
		change.Table = true
		messages = append(messages, &wire.Told{Tables: []*feedwire.Change{change}})
	}
	return messages
}

// resignationMessages returns the resignations that this node knows.
func (h syncHandler) resignationMessages() []*wire.Told {
	var resignations [][]byte
	for _, f := range h.node.registry.Resignations() {
		value, err := proto.Marshal(f.ToWire(h.node.clock.Now()))
		if err != nil {
			h.logFailure(err) // the response still contains the rest
			continue
		}
		resignations = append(resignations, value)
	}
	var messages []*wire.Told
	for part := range slices.Chunk(resignations, membersPerMessage) {
		messages = append(messages, &wire.Told{Farewells: part})
	}
	return messages
}

// logFailure logs an error that occurred while serving a sync request.
func (h syncHandler) logFailure(err error) {
	h.node.sink.Emit(time.Now(), seamevent.PeerDown, seamevent.Fields{"call": "sync", "error": err.Error()})
}
