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
	askTime = 500 * time.Millisecond
	// answerTime bounds the whole answer: many routes may take long over a small link.
	answerTime = 3 * time.Second
	// askInterval is the time between questions of a node that knows no routes.
	askInterval = 250 * time.Millisecond
	// refreshTime is the time that the store has to show a revision of which another node has told,
	// before that node is asked for it.
	refreshTime = 300 * time.Millisecond
)

// question is the first byte of a stream that asks a node.
type question byte

const (
	// everything asks for the routes, the members, the tables and the words of former assigners.
	everything question = iota
	// onlyRoutes asks for the routes.
	onlyRoutes
)

// heardRules is told of the revision of the routes at another node.
func (n *Node) heardRules(revision int64, at seampeer.Peer) {
	if revision <= n.book.Revision() {
		return
	}
	select {
	case n.behind <- at:
	default:
	}
}

// catchUp gets from other nodes what the store does not show: all that a node knows after a start
// while the store is away, and routes that are newer than the store has shown.
func (n *Node) catchUp(ctx context.Context) {
	for ctx.Err() == nil {
		if n.book.Current() == nil {
			n.askAny(ctx)
			seamwait.For(ctx, askInterval)
			continue
		}
		select {
		case <-ctx.Done():
		case at := <-n.behind:
			n.refresh(ctx, at)
		}
	}
}

// refresh gets the routes from the node that has them if the store does not show them soon. The watch
// of the store stays open: its answer may be on the way.
func (n *Node) refresh(ctx context.Context, at seampeer.Peer) {
	before := n.book.Revision()
	seamwait.For(ctx, refreshTime)
	if n.book.Revision() == before {
		n.ask(ctx, at, onlyRoutes)
	}
}

// askAny asks the nodes that have opened sessions to this one.
func (n *Node) askAny(ctx context.Context) {
	for _, p := range n.sessions.Peers() {
		if n.ask(ctx, p, everything); n.book.Current() != nil {
			return
		}
	}
}

// ask takes over what another node knows.
func (n *Node) ask(ctx context.Context, at seampeer.Peer, q question) {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	told, err := n.askOnce(ctx, at, q)
	if err != nil {
		n.sink.Emit(time.Now(), seamevent.PeerDown, seamevent.Fields{"peer": at.String(), "call": "sync", "error": err.Error()})
		return
	}
	now := time.Now()
	if len(told.GetRules()) > 0 {
		n.applyRules(now, told.GetRules(), "node "+at.Name)
	}
	for _, e := range told.GetMembers() {
		if m, err := seammembership.Decode(e); err == nil {
			n.roll.AddUnconfirmed(now, m)
		}
	}
	for _, w := range told.GetFarewells() {
		f, err := seamelection.DecodeResignation(n.clock.Now(), w)
		if err != nil {
			n.sink.Emit(now, seamevent.PeerDown, seamevent.Fields{"peer": at.String(), "call": "sync", "error": err.Error()})
			continue
		}
		n.registry.AddResignation(f)
	}
	for _, k := range told.GetTables() {
		if t, err := seamtable.Decode(k.GetValue()); err == nil {
			n.registry.ObserveTable(k.GetService(), seamelection.VersionedTable{Table: t, Revision: k.GetRevision()})
		}
	}
}

func (n *Node) askOnce(ctx context.Context, at seampeer.Peer, q question) (*wire.Told, error) {
	conn, err := n.sessions.Open(ctx, at, seamsession.Sync)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	limit, _ := ctx.Deadline()
	conn.SetDeadline(time.Now().Add(askTime))
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
	told := new(wire.Told)
	return told, reader.ReadMessage(seamframe.Told, told)
}

// syncHandler tells other nodes what this one knows.
type syncHandler struct {
	node *Node
}

// ServeStream answers one question.
func (h syncHandler) ServeStream(_ context.Context, _ seampeer.Peer, conn net.Conn) {
	conn.SetDeadline(time.Now().Add(answerTime))
	first := make([]byte, 1)
	if _, err := io.ReadFull(conn, first); err != nil {
		h.failed(err)
		return
	}
	// The byte is returned at once: the node that asks waits longer for the rest.
	if _, err := conn.Write(first); err != nil {
		h.failed(err)
		return
	}
	told := &wire.Told{}
	if raw := h.node.raw.Load(); raw != nil {
		told.Rules = raw.value
	}
	if question(first[0]) == everything {
		h.addRest(told)
	}
	if err := seamframe.Write(conn, seamframe.Told, told); err != nil {
		h.failed(err)
	}
}

// addRest adds what the node knows besides the routes.
func (h syncHandler) addRest(told *wire.Told) {
	for _, m := range h.node.roll.View().Members {
		told.Members = append(told.Members, seammembership.Encode(m))
	}
	for service, t := range h.node.registry.Tables() {
		value, err := seamtable.Encode(t.Table)
		if err != nil {
			h.failed(err) // the other node learns the rest
			continue
		}
		told.Tables = append(told.Tables, &wire.Kept{Service: service, Value: value, Revision: t.Revision})
	}
	for _, f := range h.node.registry.Resignations() {
		value, err := proto.Marshal(f.Wire(h.node.clock.Now()))
		if err != nil {
			h.failed(err) // the other node learns the rest
			continue
		}
		told.Farewells = append(told.Farewells, value)
	}
}

// failed logs what could not be told.
func (h syncHandler) failed(err error) {
	h.node.sink.Emit(time.Now(), seamevent.PeerDown, seamevent.Fields{"call": "sync", "error": err.Error()})
}
