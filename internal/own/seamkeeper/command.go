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

// Locate finds the member of a name in any cell, and the service of its target.
// Errors are *UnknownNodeError and *UnaskedError.
func (k *Keeper) Locate(ctx context.Context, name string) (MemberReport, error) {
	for _, m := range k.View().Members {
		if m.Peer.Name == name {
			return MemberReport{Peer: m.Peer, Service: m.Target.Service}, nil
		}
	}
	known := k.liveCells()
	found, cells, err := k.locate(ctx, name)
	if err != nil || found != nil {
		return valueOf(found), err
	}
	if k.reread(ctx, known) {
		found, cells, err = k.locate(ctx, name)
	}
	if err == nil && found == nil {
		err = &NodeNotFoundError{Node: name, Cells: cells}
	}
	return valueOf(found), err
}

func valueOf(m *MemberReport) MemberReport {
	if m == nil {
		return MemberReport{}
	}
	return *m
}

// locate asks every known cell once. It finds nothing without an error if all cells answered.
func (k *Keeper) locate(ctx context.Context, name string) (found *MemberReport, cells int, err error) {
	reports := k.survey(ctx, name)
	var unasked []string
	for _, r := range reports {
		if len(r.Members) > 0 {
			return &r.Members[0], len(reports), nil
		}
		if r.AnsweredBy == "" {
			unasked = append(unasked, fmt.Sprintf("%s: %v", r.Record.ID, r.Fault))
		}
	}
	if len(unasked) > 0 {
		return nil, len(reports), &UnreachableCellsError{Node: name, Cells: unasked}
	}
	return nil, len(reports), nil
}

// reread reads the records from the store once and reports whether they tell of other cells
// or epochs than those known before.
func (k *Keeper) reread(ctx context.Context, known []seamcell.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.CallTimeout)
	defer cancel()
	entries, _, err := k.listRecords(ctx)
	if err != nil {
		return false
	}
	k.takeRecords(entries)
	return !slices.EqualFunc(known, k.liveCells(), func(a, b seamcell.Record) bool {
		return a.ID == b.ID && a.Epoch == b.Epoch
	})
}

// OrderDrain passes an order to drain on to another node. A repeated order changes nothing.
// The error is an *UndeliveredError.
func (k *Keeper) RequestDrain(ctx context.Context, to seampeer.Peer) error {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.CallTimeout)
	defer cancel()
	question := &seamrosterwire.Ask{Drain: &seamrosterwire.DrainAsk{Incarnation: to.Incarnation}}
	answer := &seamrosterwire.DrainAnswer{}
	err := k.ask(ctx, to, question, answer)
	if err == nil && !answer.GetTaken() {
		err = &IncarnationError{Node: to.Name}
	}
	if err != nil {
		return &UnconfirmedRequestError{Node: to.Name, Address: to.Address, Cause: err}
	}
	return nil
}

// Attest takes an operator's word that the named instances, among them the coordinator and the
// backup of the cell, have ended for good. Any node takes it: what follows is written to the store.
// Errors are *UnknownCellError, *PartiesError and *AliveError.
func (k *Keeper) Attest(ctx context.Context, cell string, lost []string) error {
	known := k.liveCells()
	r, err := k.parties(cell, lost)
	if err != nil && k.reread(ctx, known) {
		r, err = k.parties(cell, lost)
	}
	if err != nil {
		return err
	}
	if p := k.alive(ctx, r); !p.Zero() {
		return &StillRunningError{Cell: cell, Node: p.Name}
	}
	k.step(func(c *seamcell.Cell, now seamclock.Instant) []seamcell.Action { return c.Attest(now, cell, lost) })
	return nil
}

// parties returns the record of the cell if the names are those of its coordinator and its backup.
func (k *Keeper) parties(cell string, lost []string) (seamcell.Record, error) {
	for _, r := range k.liveCells() {
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

// alive returns the coordinator or the backup if the run that the record names answers.
func (k *Keeper) alive(ctx context.Context, r seamcell.Record) seampeer.Peer {
	for _, p := range []seampeer.Peer{r.Coordinator, r.Backup} {
		if p.Zero() {
			continue
		}
		if p.Same(k.self) || k.answers(ctx, p) {
			return p
		}
	}
	return seampeer.Peer{}
}

// answers reports whether the run of the node answers.
func (k *Keeper) answers(ctx context.Context, p seampeer.Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, surveyCall)
	defer cancel()
	answer := &seamrosterwire.CellAnswer{}
	question := &seamrosterwire.Ask{Cell: &seamrosterwire.CellAsk{Only: p.Name}}
	return k.ask(ctx, p, question, answer) == nil && answer.GetIncarnation() == p.Incarnation
}
