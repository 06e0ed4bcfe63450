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

// distant is a member of a cell far away, played by farCell.
var distant = &seamrosterwire.Member{Name: "distant", Incarnation: 7, Address: "distant:1", Region: "west", Service: "scanner", Slots: 5, Owned: 3, Applied: 9}

// farCell plays the nodes of the cell west-1: its coordinator and its member.
type farCell struct {
	asked, drains atomic.Int32
	// incarnation is that of the run which answers.
	incarnation atomic.Uint64
}

func newFarCell() *farCell {
	c := &farCell{}
	c.incarnation.Store(far.Incarnation)
	return c
}

func (c *farCell) serve(conn net.Conn) {
	defer conn.Close()
	question := &seamrosterwire.Ask{}
	if protodelim.UnmarshalFrom(bufio.NewReader(conn), question) != nil {
		return
	}
	if d := question.GetDrain(); d != nil {
		taken := d.GetIncarnation() == distant.GetIncarnation()
		if taken {
			c.drains.Add(1)
		}
		_, _ = protodelim.MarshalTo(conn, &seamrosterwire.DrainAnswer{Taken: taken})
		return
	}
	c.asked.Add(1)
	answer := &seamrosterwire.CellAnswer{Cell: "west-1", Incarnation: c.incarnation.Load(), Coordinates: true, Epoch: 4, Coordinator: "far", Confirmed: 9, Slots: 8, Owned: 3, Reachable: true}
	if only := question.GetCell().GetOnly(); only == "" || only == distant.GetName() {
		answer.Members = append(answer.Members, distant)
	}
	_, _ = protodelim.MarshalTo(conn, answer)
}

// withFarCell returns a fleet of two nodes in one cell that know of the cell west-1, and its player.
func withFarCell(t *testing.T) (*fleet, *farCell) {
	t.Helper()
	f := newFleet(t)
	f.record(seamcell.Record{ID: "west-1", Region: "west", Epoch: 3, Coordinator: far, TTLMillis: time.Hour.Milliseconds(), Size: 2, WriteToken: "x"})
	c := newFarCell()
	f.net.setAnswer(c.serve)
	f.add()
	f.add()
	f.awaitServed(f.nodes)
	f.await("the cells are known", func() bool {
		return knowsBothCells(t, f.nodes[0]) && knowsBothCells(t, f.nodes[1])
	})
	return f, c
}

// knowsBothCells reports whether the node knows the two cells, and its own as it stays: a
// record that still changes makes a node ask twice.
func knowsBothCells(t *testing.T, n *node) bool {
	reports := n.keeper.Survey(t.Context())
	if len(reports) != 2 {
		return false
	}
	near := reports[0]
	return near.Backup != "" && near.Record.Backup.Name == near.Backup && near.Record.Epoch == near.Epoch
}

// record writes a record to the store.
func (f *fleet) record(r seamcell.Record) {
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
	f, _ := withFarCell(t)
	for _, n := range f.nodes {
		reports := n.keeper.Survey(t.Context())
		near, west := reports[0], reports[1]
		if near.Fault != nil || near.OwnedSlots != slots || near.Slots != slots || len(near.Members) != 2 || near.ConfirmedRules == 0 || !near.StoreReachable {
			t.Errorf("%s: own cell is %+v", n.peer, near)
		}
		if near.Members[0].OwnedSlots+near.Members[1].OwnedSlots != slots || near.Members[1].AppliedRules != 1 {
			t.Errorf("%s: members are %+v", n.peer, near.Members)
		}
		if west.Fault != nil || west.AnsweredBy != "far" || west.Epoch != 4 || west.ConfirmedRules != 9 || len(west.Members) != 1 || west.Members[0].OwnedSlots != 3 {
			t.Errorf("%s: far cell is %+v", n.peer, west)
		}
	}
}

func TestSurveyReportsUnreachableCell(t *testing.T) {
	t.Parallel()
	f, _ := withFarCell(t)
	f.net.setAnswer(nil)
	reports := f.nodes[0].keeper.Survey(t.Context())
	var unanswered *seamkeeper.UnreachableNodeError
	west := reports[1]
	if west.AnsweredBy != "" || !errors.As(west.Fault, &unanswered) || unanswered.Node != "far" || west.Record.Epoch != 3 {
		t.Errorf("far cell is %+v", west)
	}
	if reports[0].AnsweredBy == "" || reports[0].OwnedSlots != slots {
		t.Errorf("own cell is %+v", reports[0])
	}
}

func TestSurveyTimesOutOnUnresponsiveCell(t *testing.T) {
	t.Parallel()
	f, _ := withFarCell(t)
	release := make(chan struct{})
	defer close(release)
	f.net.setAnswer(func(conn net.Conn) {
		defer conn.Close()
		<-release
	})
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	if reports := f.nodes[0].keeper.Survey(ctx); reports[1].Fault == nil || ctx.Err() != nil {
		t.Errorf("far cell is %+v, %v", reports[1], ctx.Err())
	}
}

func TestDrainRequestReachesNodeOfOtherCell(t *testing.T) {
	t.Parallel()
	f, c := withFarCell(t)
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
		t.Errorf("%d orders arrived", n)
	}
}

func TestLocateUnknownNode(t *testing.T) {
	t.Parallel()
	f, c := withFarCell(t)
	before := c.asked.Load()
	var unknown *seamkeeper.NodeNotFoundError
	if _, err := f.nodes[0].keeper.Locate(t.Context(), "nobody"); !errors.As(err, &unknown) || unknown.Cells != 2 {
		t.Errorf("got %v", err)
	}
	if n := c.asked.Load() - before; n != 1 {
		t.Errorf("the far cell was asked %d times", n)
	}
}

func TestLocateReportsUnreachableCell(t *testing.T) {
	t.Parallel()
	f, _ := withFarCell(t)
	f.net.setAnswer(nil)
	var unasked *seamkeeper.UnreachableCellsError
	_, err := f.nodes[0].keeper.Locate(t.Context(), "distant")
	if !errors.As(err, &unasked) || len(unasked.Cells) != 1 || !strings.HasPrefix(unasked.Cells[0], "west-1: far (far:1)") {
		t.Errorf("got %v", err)
	}
}

func TestUnconfirmedDrainRequest(t *testing.T) {
	t.Parallel()
	f, _ := withFarCell(t)
	found, err := f.nodes[0].keeper.Locate(t.Context(), "distant")
	if err != nil {
		t.Fatal(err)
	}
	later := found.Peer
	later.Incarnation++
	var undelivered *seamkeeper.UnconfirmedRequestError
	var another *seamkeeper.IncarnationError
	if err := f.nodes[0].keeper.RequestDrain(t.Context(), later); !errors.As(err, &undelivered) || !errors.As(err, &another) {
		t.Errorf("got %v", err)
	}
	f.net.setAnswer(nil)
	if err := f.nodes[0].keeper.RequestDrain(t.Context(), found.Peer); !errors.As(err, &undelivered) || !errors.Is(err, errUnreachable) {
		t.Errorf("got %v", err)
	}
}

// A cell that was founded after the node last read the records is found by reading them again.
func TestLocateRereadsRecords(t *testing.T) {
	t.Parallel()
	f := formed(t, 2)
	c := newFarCell()
	f.net.setAnswer(c.serve)
	f.record(seamcell.Record{ID: "west-1", Region: "west", Epoch: 3, Coordinator: far, TTLMillis: time.Hour.Milliseconds(), Size: 2, WriteToken: "x"})
	if _, err := f.nodes[0].keeper.Locate(t.Context(), "distant"); err != nil {
		t.Error(err)
	}
}

func TestAttest(t *testing.T) {
	t.Parallel()
	f, _ := withFarCell(t)
	n := f.nodes[1].keeper
	var cell *seamkeeper.CellNotFoundError
	if err := n.Attest(t.Context(), "west-9", []string{"far"}); !errors.As(err, &cell) {
		t.Errorf("unknown cell: %v", err)
	}
	var parties *seamkeeper.IncompleteAttestationError
	if err := n.Attest(t.Context(), "west-1", []string{"near"}); !errors.As(err, &parties) || parties.Coordinator != "far" {
		t.Errorf("wrong names: %v", err)
	}
	var alive *seamkeeper.StillRunningError
	if err := n.Attest(t.Context(), "west-1", []string{"far"}); !errors.As(err, &alive) || alive.Node != "far" {
		t.Errorf("of a node that answers: %v", err)
	}
	f.net.setAnswer(nil)
	if err := n.Attest(t.Context(), "west-1", []string{"far"}); err != nil {
		t.Error(err)
	}
	f.await("the cell is given up", func() bool {
		e, err := f.store.Get(t.Context(), seamstore.Configuration, seamcell.CellPrefix+"west-1")
		if err != nil {
			return false
		}
		record, err := seamcell.DecodeEntry(e.Key, e.Revision, e.Value)
		return err == nil && record.Record.Coordinator.Zero()
	})
}

// A later run on the address of a lost one does not refute the loss.
func TestAttestEarlierIncarnation(t *testing.T) {
	t.Parallel()
	f, c := withFarCell(t)
	c.incarnation.Add(1)
	if err := f.nodes[0].keeper.Attest(t.Context(), "west-1", []string{"far"}); err != nil {
		t.Error(err)
	}
}
