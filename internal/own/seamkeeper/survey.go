package seamkeeper

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/member/seamrosterwire"
	"cardamomseam/internal/own/seamcell"
)

const (
	// surveyTime bounds the questions to all cells together.
	surveyTime = 4 * time.Second
	// surveyCall bounds the question to one node.
	surveyCall = 600 * time.Millisecond
	// surveyLimit is the number of nodes that are asked at a time.
	surveyLimit = 32
)

// CellReport is what a cell told about itself, or why it told nothing.
type CellReport struct {
	// Record is the cell's record as this node knows it.
	Record seamcell.Record
	// Answered is the name of the node that answered; empty if none did, and what follows Fault is zero then.
	AnsweredBy string
	// Fault says why the coordinator did not answer; nil if it did.
	Fault error
	Epoch uint32
	// Coordinator and Backup are names, empty if there is none.
	Coordinator, Backup string
	// Confirmed is the revision of the rules that the cell has confirmed; 0 if its coordinator did not answer.
	ConfirmedRules int64
	// Slots is the number of slots of the cell, Owned that of slots with an owner.
	Slots, OwnedSlots int
	// Changed is the time of the last change of the cell's epoch, members or owners.
	ChangedAt time.Time
	// Reachable says that the node that answered reaches the store.
	StoreReachable bool
	// Members are in order of their names.
	Members []MemberReport
}

// MemberReport is what a cell told about one of its members.
type MemberReport struct {
	Peer    seampeer.Peer
	Service string
	// Slots is the number of requests that the target runs at once.
	Concurrency int
	InFlight    int
	Draining    bool
	// Owned is the number of slots of keys that the member owns.
	OwnedSlots int
	// Applied is the revision of the rules at the member; 0 if the cell's coordinator did not answer.
	AppliedRules int64
}

// Survey asks every cell for its state, a bounded number at a time, and keeps nothing.
// The reports are in order of the cells' names.
func (k *Keeper) Survey(ctx context.Context) []CellReport {
	return k.survey(ctx, "")
}

// survey asks every cell about the member of a name, or about all if the name is empty.
func (k *Keeper) survey(ctx context.Context, only string) []CellReport {
	ctx, cancel := context.WithTimeout(ctx, surveyTime)
	defer cancel()
	records := k.liveCells()
	reports := make([]CellReport, len(records))
	var group errgroup.Group
	group.SetLimit(surveyLimit)
	for i, r := range records {
		group.Go(func() error {
			reports[i] = k.askCell(ctx, r, only)
			return nil
		})
	}
	_ = group.Wait() // faults stand in the reports
	return reports
}

// liveCells returns the records of the cells that have a coordinator.
func (k *Keeper) liveCells() []seamcell.Record {
	var live []seamcell.Record
	for _, e := range k.Records() {
		if !e.Deleted && e.Record.ID != "" && !e.Record.Coordinator.Zero() {
			live = append(live, e.Record)
		}
	}
	return live
}

// askCell asks the coordinator, then the backup. A member of the cell answers by itself if neither does.
func (k *Keeper) askCell(ctx context.Context, r seamcell.Record, only string) CellReport {
	answer, fault := k.askMember(ctx, r.Coordinator, r.ID, only)
	if fault == nil && answer.GetCoordinates() {
		return reportOf(r, r.Coordinator.Name, nil, answer)
	}
	if fault == nil {
		return reportOf(r, r.Coordinator.Name, &NotCoordinatorError{Node: r.Coordinator.Name, Cell: r.ID}, answer)
	}
	if !r.Backup.Zero() {
		if answer, err := k.askMember(ctx, r.Backup, r.ID, only); err == nil {
			return reportOf(r, r.Backup.Name, fault, answer)
		}
	}
	if own := k.cellAnswer(only); own.GetCell() == r.ID {
		return reportOf(r, k.self.Name, fault, own)
	}
	return CellReport{Record: r, Fault: fault}
}

// askMember asks a node for the state of its cell, which must be the named one.
func (k *Keeper) askMember(ctx context.Context, to seampeer.Peer, cell, only string) (*seamrosterwire.CellAnswer, error) {
	answer := k.cellAnswer(only)
	if !to.Same(k.self) {
		ctx, cancel := context.WithTimeout(ctx, surveyCall)
		defer cancel()
		answer = &seamrosterwire.CellAnswer{}
		question := &seamrosterwire.Ask{Cell: &seamrosterwire.CellAsk{Only: only}}
		if err := k.ask(ctx, to, question, answer); err != nil {
			return nil, &UnreachableNodeError{Node: to.Name, Address: to.Address, Cause: err}
		}
	}
	if answer.GetCell() != cell {
		return nil, &CellMismatchError{Node: to.Name, Cell: answer.GetCell()}
	}
	return answer, nil
}

func reportOf(r seamcell.Record, by string, fault error, a *seamrosterwire.CellAnswer) CellReport {
	report := CellReport{
		Record:         r,
		AnsweredBy:     by,
		Fault:          fault,
		Epoch:          a.GetEpoch(),
		Coordinator:    a.GetCoordinator(),
		Backup:         a.GetBackup(),
		ConfirmedRules: a.GetConfirmed(),
		Slots:          int(a.GetSlots()),
		OwnedSlots:     int(a.GetOwned()),
		ChangedAt:      time.UnixMilli(a.GetChanged()),
		StoreReachable: a.GetReachable(),
	}
	for _, m := range a.GetMembers() {
		report.Members = append(report.Members, MemberReport{
			Peer:         peerOf(m),
			Service:      m.GetService(),
			Concurrency:  int(m.GetSlots()),
			InFlight:     int(m.GetInflight()),
			Draining:     m.GetDraining(),
			OwnedSlots:   int(m.GetOwned()),
			AppliedRules: m.GetApplied(),
		})
	}
	return report
}

// cellAnswer tells the state of the own cell, with the member of a name only unless it is empty.
func (k *Keeper) cellAnswer(only string) *seamrosterwire.CellAnswer {
	snap := k.snapshot.Load()
	view := snap.view
	answer := &seamrosterwire.CellAnswer{
		Cell:        view.Cell,
		Incarnation: k.self.Incarnation,
		Coordinates: view.Role == seamcell.RoleCoordinator,
		Epoch:       view.Epoch,
		Coordinator: view.Coordinator.Name,
		Backup:      view.Backup.Name,
		Confirmed:   view.ConfirmedRules,
		Slots:       uint32(len(view.Slots)),
		Changed:     snap.changed.UnixMilli(),
		Reachable:   k.parts.StoreReachable(),
	}
	owned := map[string]uint32{}
	for _, x := range view.Slots {
		if !x.Owner.Zero() {
			owned[x.Owner.Name]++
			answer.Owned++
		}
	}
	for _, m := range view.Members {
		if only != "" && m.Peer.Name != only {
			continue
		}
		member := memberOf(m)
		member.Owned = owned[m.Peer.Name]
		member.Applied = m.AppliedRules
		answer.Members = append(answer.Members, member)
	}
	return answer
}
