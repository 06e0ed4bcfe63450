package seamkeeper

import (
	"context"
	"fmt"
	"slices"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/member/seamrosterwire"
	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/own/seamclock"
)

// Locate finds the member with the name in any cell, and the service of its target. Errors are *NodeNotFoundError
// and *UnreachableCellsError.
func (k *Keeper) Locate(ctx context.Context, name string) (MemberReport, error) {
	for _, m := range k.View().Members {
		if m.Peer.Name == name {
			return MemberReport{Peer: m.Peer, Service: m.Target.Service}, nil
		}
	}
	known := k.coordinatedCells()
	found, cells, err := k.locate(ctx, name)
	if err != nil || found != nil {
		return reportOrZero(found), err
	}
	if k.refreshRecords(ctx, known) {
		found, cells, err = k.locate(ctx, name)
	}
	if err == nil && found == nil {
		err = &NodeNotFoundError{Node: name, Cells: cells}
	}
	return reportOrZero(found), err
}

func reportOrZero(m *MemberReport) MemberReport {
	if m == nil {
		return MemberReport{}
	}
	return *m
}

// locate queries every known cell once. If all cells answered and none has the node, it returns no member and no error.
func (k *Keeper) locate(ctx context.Context, name string) (found *MemberReport, cells int, err error) {
	reports := k.survey(ctx, name)
	var unreachable []string
	for _, r := range reports {
		if len(r.Members) > 0 {
			return &r.Members[0], len(reports), nil
		}
		if r.AnsweredBy == "" {
			unreachable = append(unreachable, fmt.Sprintf("%s: %v", r.Record.ID, r.Fault))
		}
	}
	if len(unreachable) > 0 {
		return nil, len(reports), &UnreachableCellsError{Node: name, Cells: unreachable}
	}
	return nil, len(reports), nil
}

// refreshRecords reads the cell records from the store once and reports whether their cells or epochs differ
// from those known before.
func (k *Keeper) refreshRecords(ctx context.Context, before []seamcell.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.CallTimeout)
	defer cancel()
	entries, _, err := k.listRecords(ctx)
	if err != nil {
		return false
	}
	k.updateRecords(entries)
	return !slices.EqualFunc(before, k.coordinatedCells(), func(a, b seamcell.Record) bool {
		return a.ID == b.ID && a.Epoch == b.Epoch
	})
}

// RequestDrain forwards a drain request to another node. The request is idempotent. The error is an
// *UnconfirmedRequestError.
func (k *Keeper) RequestDrain(ctx context.Context, to seampeer.Peer) error {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.CallTimeout)
	defer cancel()
	request := &seamrosterwire.Ask{Drain: &seamrosterwire.DrainAsk{Incarnation: to.Incarnation}}
	response := &seamrosterwire.DrainAnswer{}
	err := k.query(ctx, to, request, response)
	if err == nil && !response.GetTaken() {
		err = &IncarnationError{Node: to.Name}
	}
	if err != nil {
		return &UnconfirmedRequestError{Node: to.Name, Address: to.Address, Cause: err}
	}
	return nil
}

// Attest records an operator's confirmation that the named instances, which must include the coordinator and the
// backup of the cell, are permanently lost. Any node accepts it, because the result is written to the store.
// Errors are *CellNotFoundError, *IncompleteAttestationError and *StillRunningError.
func (k *Keeper) Attest(ctx context.Context, cell string, lost []string) error {
	known := k.coordinatedCells()
	r, err := k.checkAttestation(cell, lost)
	if err != nil && k.refreshRecords(ctx, known) {
		r, err = k.checkAttestation(cell, lost)
	}
	if err != nil {
		return err
	}
	if p := k.findRunning(ctx, r); !p.Zero() {
		return &StillRunningError{Cell: cell, Node: p.Name}
	}
	k.step(func(c *seamcell.Cell, now seamclock.Instant) []seamcell.Action { return c.Attest(now, cell, lost) })
	return nil
}

// checkAttestation returns the record of the cell if lost includes its coordinator and its backup.
func (k *Keeper) checkAttestation(cell string, lost []string) (seamcell.Record, error) {
	for _, r := range k.coordinatedCells() {
		if r.ID != cell {
			continue
		}
		if !slices.Contains(lost, r.Coordinator.Name) || !r.Backup.Zero() && !slices.Contains(lost, r.Backup.Name) {
			return r, &IncompleteAttestationError{Cell: cell, Coordinator: r.Coordinator.Name, Backup: r.Backup.Name}
		}
		return r, nil
	}
	return seamcell.Record{}, &CellNotFoundError{Cell: cell}
}

// findRunning returns the coordinator or the backup if the incarnation in the record is still running.
func (k *Keeper) findRunning(ctx context.Context, r seamcell.Record) seampeer.Peer {
	for _, p := range []seampeer.Peer{r.Coordinator, r.Backup} {
		if p.Zero() {
			continue
		}
		if p.Same(k.self) || k.isRunning(ctx, p) {
			return p
		}
	}
	return seampeer.Peer{}
}

// isRunning reports whether the node answers and has the same incarnation.
func (k *Keeper) isRunning(ctx context.Context, p seampeer.Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, nodeQueryTimeout)
	defer cancel()
	response := &seamrosterwire.CellAnswer{}
	request := &seamrosterwire.Ask{Cell: &seamrosterwire.CellAsk{Only: p.Name}}
	return k.query(ctx, p, request, response) == nil && response.GetIncarnation() == p.Incarnation
}
