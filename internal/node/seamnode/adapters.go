package seamnode

import (
	"context"
	"net"
	"time"

	"cardamomseam/internal/member/seamdatagram"
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamkeeper"
	"cardamomseam/internal/route/seampick"
	"cardamomseam/internal/route/seamsession"
	"cardamomseam/internal/rule/seamconfirm"
)

// sender sends the datagrams of one kind.
type sender struct {
	endpoint *seamdatagram.Endpoint
	kind     seamdatagram.Kind
}

// Send sends payload to the node.
func (s sender) Send(to seampeer.Peer, payload []byte) error {
	return s.endpoint.Send(s.kind, to, payload)
}

// cellSender sends the datagrams of cells.
type cellSender struct {
	endpoint *seamdatagram.Endpoint
}

// Send sends the payload to the node, behind the preamble.
func (s cellSender) Send(to seampeer.Peer, preamble, payload []byte) error {
	return s.endpoint.SendWithPreamble(seamdatagram.Cell, to, preamble, payload)
}

// streams opens streams about cells.
type streams struct {
	sessions *seamsession.Pool
}

// OpenCells opens a stream to the node.
func (s streams) OpenCells(ctx context.Context, to seampeer.Peer) (net.Conn, error) {
	return s.sessions.Open(ctx, to, seamsession.Cells)
}

// cells tells about cells what confirmations need.
type cells struct {
	keeper *seamkeeper.Keeper
}

// Cells returns the live cells of the directory.
func (c cells) Cells() []seamconfirm.CellRef {
	var refs []seamconfirm.CellRef
	for _, e := range c.keeper.Records() {
		if e.Deleted || e.Record.ID == "" || e.Record.Coordinator.Zero() {
			continue
		}
		refs = append(refs, seamconfirm.CellRef{ID: e.Record.ID, Coordinator: e.Record.Coordinator})
	}
	return refs
}

// Own returns what the node's own cell has confirmed, and whether the node coordinates it.
func (c cells) OwnCell() (seamconfirm.CellState, bool) {
	v := c.keeper.View()
	state := seamconfirm.CellState{
		Cell:      v.Cell,
		Epoch:     uint64(v.Epoch),
		Confirmed: v.Confirmed,
	}
	return state, v.Role == seamcell.RoleCoordinator
}

// directory is the keeper as the ingress sees it.
type directory struct {
	*seamkeeper.Keeper
}

// Candidates returns the nodes whose targets serve the service.
func (d directory) Candidates(service string) []seampick.Candidate {
	found := d.Keeper.Candidates(service)
	candidates := make([]seampick.Candidate, 0, len(found))
	for _, c := range found {
		candidates = append(candidates, seampick.Candidate(c))
	}
	return candidates
}

// reportInterval is the time between reports of the own load to the cell.
const reportInterval = 250 * time.Millisecond

// reportLoad tells the keeper the load of the target until ctx ends.
func (n *Node) reportLoad(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.keeper.Report(n.load(n.clock.Now()), now.Sub(last))
			last = now
		}
	}
}

// load returns the present load of the target.
func (n *Node) load(now seamclock.Instant) seamkeeper.Load {
	return seamkeeper.Load{
		InFlight: n.egress.InFlight(),
		Hottest:  n.keys.Hottest(now),
		Callers:  n.keys.Callers.Foremost(now, n.self.Region, callerLeast),
	}
}
