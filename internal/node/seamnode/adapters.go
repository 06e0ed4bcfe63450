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

// datagramSender sends datagrams of one kind.
type datagramSender struct {
	endpoint *seamdatagram.Endpoint
	kind     seamdatagram.Kind
}

// Send sends a payload to a node.
func (s datagramSender) Send(to seampeer.Peer, payload []byte) error {
	return s.endpoint.Send(s.kind, to, payload)
}

// cellSender sends cell datagrams.
type cellSender struct {
	endpoint *seamdatagram.Endpoint
}

// Send sends a payload to a node, preceded by the preamble.
func (s cellSender) Send(to seampeer.Peer, preamble, payload []byte) error {
	return s.endpoint.SendWithPreamble(seamdatagram.Cell, to, preamble, payload)
}

// cellStreams opens cell streams over sessions.
type cellStreams struct {
	sessions *seamsession.Pool
}

// OpenCells opens a cell stream to a node.
func (s cellStreams) OpenCells(ctx context.Context, to seampeer.Peer) (net.Conn, error) {
	return s.sessions.Open(ctx, to, seamsession.Cells)
}

// cellDirectory provides the confirmer with the state of cells.
type cellDirectory struct {
	keeper *seamkeeper.Keeper
}

// Cells returns the cells in the directory that have a coordinator.
func (c cellDirectory) Cells() []seamconfirm.CellRef {
	var refs []seamconfirm.CellRef
	for _, e := range c.keeper.Records() {
		if e.Deleted || e.Record.ID == "" || e.Record.Coordinator.Zero() {
			continue
		}
		refs = append(refs, seamconfirm.CellRef{ID: e.Record.ID, Coordinator: e.Record.Coordinator})
	}
	return refs
}

// OwnCell returns what the node's own cell has confirmed, and whether the node coordinates it.
func (c cellDirectory) OwnCell() (seamconfirm.CellState, bool) {
	v := c.keeper.View()
	state := seamconfirm.CellState{
		Cell:      v.Cell,
		Epoch:     uint64(v.Epoch),
		Confirmed: v.ConfirmedRules,
	}
	return state, v.Role == seamcell.RoleCoordinator
}

// ingressDirectory adapts the keeper to the ingress.
type ingressDirectory struct {
	*seamkeeper.Keeper
}

// Candidates returns the nodes whose targets serve the service.
func (d ingressDirectory) Candidates(service string) []seampick.Candidate {
	found := d.Keeper.Candidates(service)
	candidates := make([]seampick.Candidate, 0, len(found))
	for _, c := range found {
		candidates = append(candidates, seampick.Candidate(c))
	}
	return candidates
}

// loadReportInterval is the interval between load reports to the keeper.
const loadReportInterval = 250 * time.Millisecond

// reportLoad reports the load of the target to the keeper until ctx ends.
func (n *Node) reportLoad(ctx context.Context) {
	ticker := time.NewTicker(loadReportInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.keeper.ReportLoad(n.load(n.clock.Now()), now.Sub(last))
			last = now
		}
	}
}

// load returns the current load of the target.
func (n *Node) load(now seamclock.Instant) seamkeeper.Load {
	return seamkeeper.Load{
		InFlight:        n.egress.InFlight(),
		HottestKeyRates: n.keyUsage.HottestKeyRates(now),
		CallerRegions:   n.keyUsage.Regions.DominantRegions(now, n.self.Region, minCallerShare),
	}
}
