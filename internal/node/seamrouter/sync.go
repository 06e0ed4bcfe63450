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
	// askTime bounds the wait for the first byte of the answer to a question to another node.
	firstByteTimeout = 500 * time.Millisecond
	// answerTime bounds the whole answer: many routes may take long over a small link.
	answerTimeout = 3 * time.Second
	// askInterval is the time between questions of a node that knows no routes.
	syncRetryInterval = 250 * time.Millisecond
	// refreshTime is the time that the store has to show a revision of which another node has told,
	// before that node is asked for it.
	storeCatchUpDelay = 300 * time.Millisecond
)

// question is the first byte of a stream that asks a node.
type syncRequest byte

const (
	// everything asks for the routes, the members, the tables and the words of former assigners.
	fullState syncRequest = iota
	// onlyRoutes asks for the routes.
	routesOnly
)

// heardRules is told of the revision of the routes at another node.
func (n *Node) onRoutesRevision(revision int64, at seampeer.Peer) {
	if revision <= n.routes.Revision() {
		return
	}
	select {
	case n.newerRoutesAt <- at:
	default:
	}
}

// catchUp gets from other nodes what the store does not show: all that a node knows after a start
// while the store is away, and routes that are newer than the store has shown.
func (n *Node) syncFromPeers(ctx context.Context) {
	for ctx.Err() == nil {
		if n.routes.Current() == nil {
			n.syncFromAnyPeer(ctx)
			seamwait.For(ctx, syncRetryInterval)
			continue
		}
		select {
		case <-ctx.Done():
		case at := <-n.newerRoutesAt:
			n.refreshRoutes(ctx, at)
		}
	}
}

// refresh gets the routes from the node that has them if the store does not show them soon. The watch
// of the store stays open: its answer may be on the way.
func (n *Node) refreshRoutes(ctx context.Context, at seampeer.Peer) {
	before := n.routes.Revision()
	seamwait.For(ctx, storeCatchUpDelay)
	if n.routes.Revision() == before {
		n.syncFrom(ctx, at, routesOnly)
	}
}

// askAny asks the nodes that have opened sessions to this one.
func (n *Node) syncFromAnyPeer(ctx context.Context) {
	for _, p := range n.sessions.Peers() {
		if n.syncFrom(ctx, p, fullState); n.routes.Current() != nil {
			return
		}
	}
}

// ask takes over what another node knows.
func (n *Node) syncFrom(ctx context.Context, at seampeer.Peer, q syncRequest) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	state, err := n.requestState(ctx, at, q)
	if err != nil {
		n.sink.Emit(time.Now(), seamevent.PeerDown, seamevent.Fields{"peer": at.String(), "call": "sync", "error": err.Error()})
		return
	}
	now := time.Now()
	if len(state.GetRules()) > 0 {
		n.applyRoutes(now, state.GetRules(), "node "+at.Name)
	}
	for _, e := range state.GetMembers() {
		if m, err := seammembership.Decode(e); err == nil {
			n.members.AddUnconfirmed(now, m)
		}
	}
	for _, w := range state.GetFarewells() {
		f, err := seamelection.DecodeResignation(n.clock.Now(), w)
		if err != nil {
			n.sink.Emit(now, seamevent.PeerDown, seamevent.Fields{"peer": at.String(), "call": "sync", "error": err.Error()})
			continue
		}
		n.registry.AddResignation(f)
	}
	for _, k := range state.GetTables() {
		if t, err := seamtable.Decode(k.GetValue()); err == nil {
			n.registry.ObserveTable(k.GetService(), seamelection.VersionedTable{Table: t, Revision: k.GetRevision()})
		}
	}
}

func (n *Node) requestState(ctx context.Context, at seampeer.Peer, q syncRequest) (*wire.Told, error) {
	conn, err := n.sessions.Open(ctx, at, seamsession.Sync)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	limit, _ := ctx.Deadline()
	conn.SetDeadline(time.Now().Add(firstByteTimeout))
	if _, err := conn.Write([]byte{byte(q)}); err != nil {
		return nil, err
	}
	first := make([]byte, 1)
	if _, err := io.ReadFull(conn, first); err != nil {
		return nil, err
	}
	conn.SetDeadline(limit)
	reader, done := seamframe.NewReader(conn)
	defer done()
	state := new(wire.Told)
	return state, reader.ReadMessage(seamframe.Told, state)
}

// syncHandler tells other nodes what this one knows.
type syncHandler struct {
	node *Node
}

// ServeStream answers one question.
func (h syncHandler) ServeStream(_ context.Context, _ seampeer.Peer, conn net.Conn) {
	conn.SetDeadline(time.Now().Add(answerTimeout))
	first := make([]byte, 1)
	if _, err := io.ReadFull(conn, first); err != nil {
		h.logFailure(err)
		return
	}
	// The byte is returned at once: the node that asks waits longer for the rest.
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

// addRest adds what the node knows besides the routes.
func (h syncHandler) addState(state *wire.Told) {
	for _, m := range h.node.members.View().Members {
		state.Members = append(state.Members, seammembership.Encode(m))
	}
	for service, t := range h.node.registry.Tables() {
		value, err := seamtable.Encode(t.Table)
		if err != nil {
			h.logFailure(err) // the other node learns the rest
			continue
		}
		state.Tables = append(state.Tables, &wire.Kept{Service: service, Value: value, Revision: t.Revision})
	}
	for _, f := range h.node.registry.Resignations() {
		value, err := proto.Marshal(f.Wire(h.node.clock.Now()))
		if err != nil {
			h.logFailure(err) // the other node learns the rest
			continue
		}
		state.Farewells = append(state.Farewells, value)
	}
}

// failed logs what could not be told.
func (h syncHandler) logFailure(err error) {
	h.node.sink.Emit(time.Now(), seamevent.PeerDown, seamevent.Fields{"call": "sync", "error": err.Error()})
}
