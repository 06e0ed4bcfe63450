package seamkeeper_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"cardamomseam/internal/member/seamrosterwire"
	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/own/seamkeeper"
	"cardamomseam/internal/platform/seamstore"
)

// remoteMember is a member of the cell that fakeCell simulates.
var remoteMember = &seamrosterwire.Member{Name: "distant", Incarnation: 7, Address: "distant:1", Region: "west", Service: "scanner", Slots: 5, Owned: 3, Applied: 9}

// fakeCell simulates the cell west-1, which consists of remoteCoordinator and remoteMember.
type fakeCell struct {
	queries, drains atomic.Int32
	// incarnation is the incarnation that the coordinator states in its responses.
	incarnation atomic.Uint64
}

func newFakeCell() *fakeCell {
	c := &fakeCell{}
	c.incarnation.Store(remoteCoordinator.Incarnation)
	return c
}

func (c *fakeCell) serve(conn net.Conn) {
	defer conn.Close()
	query := &seamrosterwire.Ask{}
	if protodelim.UnmarshalFrom(bufio.NewReader(conn), query) != nil {
		return
	}
	if d := query.GetDrain(); d != nil {
		accepted := d.GetIncarnation() == remoteMember.GetIncarnation()
		if accepted {
			c.drains.Add(1)
		}
		_, _ = protodelim.MarshalTo(conn, &seamrosterwire.DrainAnswer{Taken: accepted})
		return
	}
	c.queries.Add(1)
	response := &seamrosterwire.CellAnswer{Cell: "west-1", Incarnation: c.incarnation.Load(), Coordinates: true, Epoch: 4, Coordinator: "far", Confirmed: 9, Slots: 8, Owned: 3, Reachable: true}
	if only := query.GetCell().GetOnly(); only == "" || only == remoteMember.GetName() {
		response.Members = append(response.Members, remoteMember)
	}
	_, _ = protodelim.MarshalTo(conn, response)
}

// newFleetWithFakeCell returns a fleet of two nodes in one cell that know the cell west-1, and the fake of that cell.
func newFleetWithFakeCell(t *testing.T) (*fleet, *fakeCell) {
	t.Helper()
	f := newFleet(t)
	f.writeRecord(seamcell.Record{ID: "west-1", Region: "west", Epoch: 3, Coordinator: remoteCoordinator, TTLMillis: time.Hour.Milliseconds(), Size: 2, WriteToken: "x"})
	c := newFakeCell()
	f.net.setServeUnknown(c.serve)
	f.add()
	f.add()
	f.awaitServed(f.nodes)
	f.await("the cells are known", func() bool {
		return knowsBothCells(t, f.nodes[0]) && knowsBothCells(t, f.nodes[1])
	})
	return f, c
}

// knowsBothCells reports whether the node knows both cells and the record of its own cell is up to date. While the
// record still changes, Locate queries the cells twice.
func knowsBothCells(t *testing.T, n *node) bool {
	reports := n.keeper.Survey(t.Context())
	if len(reports) != 2 {
		return false
	}
	ownCell := reports[0]
	return ownCell.Backup != "" && ownCell.Record.Backup.Name == ownCell.Backup && ownCell.Record.Epoch == ownCell.Epoch
}

// writeRecord writes the record of a cell to the store.
func (f *fleet) writeRecord(r seamcell.Record) {
	f.t.Helper()
	value, err := r.Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := f.store.Swap(context.Background(), seamstore.Configuration, r.Key(), 0, value); err != nil {
		f.t.Fatal(err)
	}
}

func TestSurveyReportsEveryCell(t *testing.T) {
	t.Parallel()
	f, _ := newFleetWithFakeCell(t)
	for _, n := range f.nodes {
		reports := n.keeper.Survey(t.Context())
		ownCell, remote := reports[0], reports[1]
		if ownCell.Fault != nil || ownCell.OwnedSlots != slots || ownCell.Slots != slots || len(ownCell.Members) != 2 || ownCell.ConfirmedRules == 0 || !ownCell.StoreReachable {
			t.Errorf("%s: own cell is %+v", n.peer, ownCell)
		}
		if ownCell.Members[0].OwnedSlots+ownCell.Members[1].OwnedSlots != slots || ownCell.Members[1].AppliedRules != 1 {
			t.Errorf("%s: members are %+v", n.peer, ownCell.Members)
		}
		if remote.Fault != nil || remote.AnsweredBy != "far" || remote.Epoch != 4 || remote.ConfirmedRules != 9 || len(remote.Members) != 1 || remote.Members[0].OwnedSlots != 3 {
			t.Errorf("%s: remote cell is %+v", n.peer, remote)
		}
	}
}

func TestSurveyReportsUnreachableCell(t *testing.T) {
	t.Parallel()
	f, _ := newFleetWithFakeCell(t)
	f.net.setServeUnknown(nil)
	reports := f.nodes[0].keeper.Survey(t.Context())
	var unreachable *seamkeeper.UnreachableNodeError
	remote := reports[1]
	if remote.AnsweredBy != "" || !errors.As(remote.Fault, &unreachable) || unreachable.Node != "far" || remote.Record.Epoch != 3 {
		t.Errorf("remote cell is %+v", remote)
	}
	if reports[0].AnsweredBy == "" || reports[0].OwnedSlots != slots {
		t.Errorf("own cell is %+v", reports[0])
	}
}

func TestSurveyTimesOutOnUnresponsiveCell(t *testing.T) {
	t.Parallel()
	f, _ := newFleetWithFakeCell(t)
	release := make(chan struct{})
	defer close(release)
	f.net.setServeUnknown(func(conn net.Conn) {
		defer conn.Close()
		<-release
	})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if reports := f.nodes[0].keeper.Survey(ctx); reports[1].Fault == nil || ctx.Err() != nil {
		t.Errorf("remote cell is %+v, %v", reports[1], ctx.Err())
	}
}

func TestDrainRequestReachesNodeOfOtherCell(t *testing.T) {
	t.Parallel()
	f, c := newFleetWithFakeCell(t)
	for range 2 {
		found, err := f.nodes[1].keeper.Locate(t.Context(), "distant")
		if err != nil || found.Service != "scanner" || found.Peer.Address != "distant:1" {
			t.Fatalf("found %+v, %v", found, err)
		}
		if err := f.nodes[1].keeper.RequestDrain(t.Context(), found.Peer); err != nil {
			t.Fatal(err)
		}
	}
	if n := c.drains.Load(); n != 2 {
		t.Errorf("%d drain requests arrived, want 2", n)
	}
}

func TestLocateUnknownNode(t *testing.T) {
	t.Parallel()
	f, c := newFleetWithFakeCell(t)
	before := c.queries.Load()
	var unknown *seamkeeper.NodeNotFoundError
	if _, err := f.nodes[0].keeper.Locate(t.Context(), "nobody"); !errors.As(err, &unknown) || unknown.Cells != 2 {
		t.Errorf("got %v", err)
	}
	if n := c.queries.Load() - before; n != 1 {
		t.Errorf("the remote cell was queried %d times, want 1", n)
	}
}

func TestLocateReportsUnreachableCell(t *testing.T) {
	t.Parallel()
	f, _ := newFleetWithFakeCell(t)
	f.net.setServeUnknown(nil)
	var unreachable *seamkeeper.UnreachableCellsError
	_, err := f.nodes[0].keeper.Locate(t.Context(), "distant")
	if !errors.As(err, &unreachable) || len(unreachable.Cells) != 1 || !strings.HasPrefix(unreachable.Cells[0], "west-1: far (far:1)") {
		t.Errorf("got %v", err)
	}
}

func TestUnconfirmedDrainRequest(t *testing.T) {
	t.Parallel()
	f, _ := newFleetWithFakeCell(t)
	found, err := f.nodes[0].keeper.Locate(t.Context(), "distant")
	if err != nil {
		t.Fatal(err)
	}
	later := found.Peer
	later.Incarnation++
	var unconfirmed *seamkeeper.UnconfirmedRequestError
	var restarted *seamkeeper.IncarnationError
	if err := f.nodes[0].keeper.RequestDrain(t.Context(), later); !errors.As(err, &unconfirmed) || !errors.As(err, &restarted) {
		t.Errorf("got %v", err)
	}
	f.net.setServeUnknown(nil)
	if err := f.nodes[0].keeper.RequestDrain(t.Context(), found.Peer); !errors.As(err, &unconfirmed) || !errors.Is(err, errUnreachable) {
		t.Errorf("got %v", err)
	}
}

// TestLocateRereadsRecords checks that Locate finds a node of a cell that was created after its own node last read the
// cell records.
func TestLocateRereadsRecords(t *testing.T) {
	t.Parallel()
	f := newRunningFleet(t, 2)
	c := newFakeCell()
	f.net.setServeUnknown(c.serve)
	f.writeRecord(seamcell.Record{ID: "west-1", Region: "west", Epoch: 3, Coordinator: remoteCoordinator, TTLMillis: time.Hour.Milliseconds(), Size: 2, WriteToken: "x"})
	if _, err := f.nodes[0].keeper.Locate(t.Context(), "distant"); err != nil {
		t.Error(err)
	}
}

func TestAttest(t *testing.T) {
	t.Parallel()
	f, _ := newFleetWithFakeCell(t)
	n := f.nodes[1].keeper
	var notFound *seamkeeper.CellNotFoundError
	if err := n.Attest(t.Context(), "west-9", []string{"far"}); !errors.As(err, &notFound) {
		t.Errorf("unknown cell: %v", err)
	}
	var incomplete *seamkeeper.IncompleteAttestationError
	if err := n.Attest(t.Context(), "west-1", []string{"near"}); !errors.As(err, &incomplete) || incomplete.Coordinator != "far" {
		t.Errorf("other node attested: %v", err)
	}
	var running *seamkeeper.StillRunningError
	if err := n.Attest(t.Context(), "west-1", []string{"far"}); !errors.As(err, &running) || running.Node != "far" {
		t.Errorf("running coordinator: %v", err)
	}
	f.net.setServeUnknown(nil)
	if err := n.Attest(t.Context(), "west-1", []string{"far"}); err != nil {
		t.Error(err)
	}
	f.await("the record names no coordinator", func() bool {
		e, err := f.store.Get(t.Context(), seamstore.Configuration, seamcell.CellPrefix+"west-1")
		if err != nil {
			return false
		}
		record, err := seamcell.DecodeEntry(e.Key, e.Revision, e.Value)
		return err == nil && record.Record.Coordinator.Zero()
	})
}

// TestAttestEarlierIncarnation checks that the loss of a coordinator can be attested while a later incarnation of it
// responds at its address.
func TestAttestEarlierIncarnation(t *testing.T) {
	t.Parallel()
	f, c := newFleetWithFakeCell(t)
	c.incarnation.Add(1)
	if err := f.nodes[0].keeper.Attest(t.Context(), "west-1", []string{"far"}); err != nil {
		t.Error(err)
	}
}
