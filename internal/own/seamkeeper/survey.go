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
	// surveyTimeout bounds a survey of all cells.
	surveyTimeout = 4 * time.Second
	// nodeQueryTimeout bounds the query to one node.
	nodeQueryTimeout = 600 * time.Millisecond
	// maxConcurrentQueries is the maximum number of cells that are queried concurrently.
	maxConcurrentQueries = 32
)

// CellReport is the state of a cell as one of its nodes reported it, or the reason why none answered.
type CellReport struct {
	// Record is the cell's record as known to this node.
	Record seamcell.Record
	// AnsweredBy is the name of the node that answered. If none did, it is empty and all fields after Fault are zero.
	AnsweredBy string
	// Fault is the reason why the cell's coordinator did not answer, or nil if it did. It is a NotCoordinatorError if
	// the queried node answered but is not the coordinator.
	Fault error
	Epoch uint32
	// Coordinator and Backup are node names; they are empty if there is none.
	Coordinator, Backup string
	// ConfirmedRules is the rules revision that the cell has confirmed; 0 if its coordinator did not answer.
	ConfirmedRules int64
	// Slots is the number of slots of the cell, and OwnedSlots the number of those with an owner.
	Slots, OwnedSlots int
	// ChangedAt is the time of the last change of the cell's epoch, members or owners.
	ChangedAt time.Time
	// StoreReachable says that the node that answered can reach the store.
	StoreReachable bool
	// Members are sorted by name.
	Members []MemberReport
}

// MemberReport is the state of a member as reported by its cell.
type MemberReport struct {
	Peer    seampeer.Peer
	Service string
	// Concurrency is the number of requests that the target runs concurrently.
	Concurrency int
	InFlight    int
	Draining    bool
	// OwnedSlots is the number of slots that the member owns.
	OwnedSlots int
	// AppliedRules is the rules revision in effect at the member; 0 if the cell's coordinator did not answer.
	AppliedRules int64
}

// Survey queries the state of every cell that has a coordinator, with bounded concurrency and without caching. The
// reports are sorted by the names of the cells.
func (k *Keeper) Survey(ctx context.Context) []CellReport {
	return k.survey(ctx, "")
}

// survey does the same, with only the member of the name in the reports unless the name is empty.
func (k *Keeper) survey(ctx context.Context, name string) []CellReport {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	records := k.coordinatedCells()
	reports := make([]CellReport, len(records))
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	for i, r := range records {
		group.Go(func() error {
			reports[i] = k.queryCell(ctx, r, name)
			return nil
		})
	}
	_ = group.Wait() // the reports contain the errors
	return reports
}

// coordinatedCells returns the records of the cells that have a coordinator.
func (k *Keeper) coordinatedCells() []seamcell.Record {
	var records []seamcell.Record
	for _, e := range k.Records() {
		if !e.Deleted && e.Record.ID != "" && !e.Record.Coordinator.Zero() {
			records = append(records, e.Record)
		}
	}
	return records
}

// queryCell queries the node that the record names as the coordinator. If it does not answer, queryCell queries the
// backup, and if that does not answer either and this node is a member of the cell, it reports its own view.
func (k *Keeper) queryCell(ctx context.Context, r seamcell.Record, name string) CellReport {
	answer, fault := k.queryMember(ctx, r.Coordinator, r.ID, name)
	if fault == nil && answer.GetCoordinates() {
		return reportOf(r, r.Coordinator.Name, nil, answer)
	}
	if fault == nil {
		return reportOf(r, r.Coordinator.Name, &NotCoordinatorError{Node: r.Coordinator.Name, Cell: r.ID}, answer)
	}
	if !r.Backup.Zero() {
		if answer, err := k.queryMember(ctx, r.Backup, r.ID, name); err == nil {
			return reportOf(r, r.Backup.Name, fault, answer)
		}
	}
	if own := k.cellAnswer(name); own.GetCell() == r.ID {
		return reportOf(r, k.self.Name, fault, own)
	}
	return CellReport{Record: r, Fault: fault}
}

// queryMember queries a node for the state of its cell. It is an error if the node is in another cell.
func (k *Keeper) queryMember(ctx context.Context, to seampeer.Peer, cell, name string) (*seamrosterwire.CellAnswer, error) {
	answer := k.cellAnswer(name)
	if !to.Same(k.self) {
		ctx, cancel := context.WithTimeout(ctx, nodeQueryTimeout)
		defer cancel()
		answer = &seamrosterwire.CellAnswer{}
		request := &seamrosterwire.Ask{Cell: &seamrosterwire.CellAsk{Only: name}}
		if err := k.query(ctx, to, request, answer); err != nil {
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

// cellAnswer returns the state of this node's cell, with only the named member unless the name is empty.
func (k *Keeper) cellAnswer(name string) *seamrosterwire.CellAnswer {
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
		Changed:     snap.changedAt.UnixMilli(),
		Reachable:   k.deps.StoreReachable(),
	}
	owned := map[string]uint32{}
	for _, x := range view.Slots {
		if !x.Owner.Zero() {
			owned[x.Owner.Name]++
			answer.Owned++
		}
	}
	for _, m := range view.Members {
		if name != "" && m.Peer.Name != name {
			continue
		}
		member := memberOf(m)
		member.Owned = owned[m.Peer.Name]
		member.Applied = m.AppliedRules
		answer.Members = append(answer.Members, member)
	}
	return answer
}
