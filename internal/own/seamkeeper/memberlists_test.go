package seamkeeper_test

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/member/seamrosterwire"
	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/platform/seamstore"
)

// exchangeRaw sends bytes on a stream to the keeper and returns the response.
func exchangeRaw(t *testing.T, n *node, sent []byte) []byte {
	t.Helper()
	client, server := net.Pipe()
	defer client.Close()
	_ = client.SetDeadline(time.Now().Add(testTimeout))
	go n.keeper.ServeStream(context.Background(), seampeer.Peer{}, server)
	go func() { _, _ = client.Write(sent) }()
	response, err := io.ReadAll(client)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

func TestMalformedQueryGetsNoResponse(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	n := f.start()
	malformed := n.metrics.GetOrCreateCounter("cardamomseam_roster_malformed_total")
	for i, sent := range [][]byte{
		{3, 0xff, 0xff, 0xff},
		binary.AppendUvarint(nil, 1<<40),
	} {
		if response := exchangeRaw(t, n, sent); len(response) > 0 {
			t.Errorf("malformed query %x got response %x", sent, response)
		}
		if got := malformed.Get(); got != uint64(i+1) {
			t.Errorf("counter is %d after %d malformed queries", got, i+1)
		}
	}
}

func TestQueriesAreAnswered(t *testing.T) {
	t.Parallel()
	f := newRunningFleet(t, 2)
	query := func(q *seamrosterwire.Ask, response proto.Message) {
		t.Helper()
		client, server := net.Pipe()
		defer client.Close()
		_ = client.SetDeadline(time.Now().Add(testTimeout))
		go f.nodes[0].keeper.ServeStream(context.Background(), seampeer.Peer{}, server)
		if _, err := protodelim.MarshalTo(client, q); err != nil {
			t.Fatal(err)
		}
		if err := protodelim.UnmarshalFrom(bufio.NewReader(client), response); err != nil {
			t.Fatal(err)
		}
	}
	directory := &seamrosterwire.DirectoryAnswer{}
	// The node serves slots before its watch delivers the records of its ranges.
	f.await("a directory with the cell and its ranges", func() bool {
		directory.Reset()
		query(&seamrosterwire.Ask{Directory: &seamrosterwire.DirectoryAsk{}}, directory)
		return len(directory.GetEntries()) >= 2
	})
	latest := int64(0)
	for _, e := range directory.GetEntries() {
		latest = max(latest, e.GetRevision())
	}
	newer := &seamrosterwire.DirectoryAnswer{}
	query(&seamrosterwire.Ask{Directory: &seamrosterwire.DirectoryAsk{Since: latest}}, newer)
	for _, e := range newer.GetEntries() {
		if e.GetRevision() <= latest {
			t.Errorf("entry %s of revision %d is not newer than %d", e.GetKey(), e.GetRevision(), latest)
		}
	}
	memberList := &seamrosterwire.RosterAnswer{}
	query(&seamrosterwire.Ask{Roster: &seamrosterwire.RosterAsk{}}, memberList)
	if len(memberList.GetMembers()) != 2 || memberList.GetCell() == "" {
		t.Errorf("member list is %v", memberList)
	}
}

func TestDrainRequestChecksIncarnation(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	a, b := f.start(), f.start()
	later := b.peer
	later.Incarnation++
	if err := a.keeper.RequestDrain(context.Background(), later); err == nil {
		t.Error("a drain request for another incarnation was accepted")
	}
	if err := a.keeper.RequestDrain(context.Background(), b.peer); err != nil {
		t.Error(err)
	}
	if n := b.drainCounter.count.Load(); n != 1 {
		t.Errorf("%d drain requests were received, want 1", n)
	}
}

// remoteCoordinator is the coordinator of the cell west-1, which the tests simulate.
var remoteCoordinator = seampeer.Peer{Name: "far", Incarnation: 1, Address: "far:1", Region: "west", Domain: "west-1"}

func TestOversizedResponseIsRejected(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	n := f.start()
	f.net.setServeUnknown(func(conn net.Conn) {
		defer conn.Close()
		_ = protodelim.UnmarshalFrom(bufio.NewReader(conn), &seamrosterwire.Ask{})
		_, _ = conn.Write(binary.AppendUvarint(nil, 8<<20+1)) // one byte above the size limit
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var large *protodelim.SizeTooLargeError
	if err := n.keeper.RequestDrain(ctx, remoteCoordinator); !errors.As(err, &large) {
		t.Errorf("got %v, want a SizeTooLargeError", err)
	}
}

func TestCandidatesFromOtherCell(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	record := seamcell.Record{ID: "west-1", Region: "west", Epoch: 1, Coordinator: remoteCoordinator, Services: []string{"scanner"}, TTLMillis: time.Hour.Milliseconds(), Size: 8, WriteToken: "x"}
	value, err := record.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.store.Swap(context.Background(), seamstore.Configuration, record.Key(), 0, value); err != nil {
		t.Fatal(err)
	}
	var queries, answered atomic.Int64
	var lastQuery atomic.Pointer[time.Time]
	f.net.setServeUnknown(func(conn net.Conn) {
		defer conn.Close()
		_ = protodelim.UnmarshalFrom(bufio.NewReader(conn), &seamrosterwire.Ask{})
		queries.Add(1)
		now := time.Now()
		lastQuery.Store(&now)
		member := &seamrosterwire.Member{Name: "far", Incarnation: 1, Address: "far:1", Service: "scanner", Slots: 5}
		_, _ = protodelim.MarshalTo(conn, &seamrosterwire.RosterAnswer{Cell: "west-1", Members: []*seamrosterwire.Member{member}})
		answered.Add(1)
	})
	n := f.start()
	found := func() bool {
		c := n.keeper.Candidates("scanner")
		return len(c) == 1 && c[0].Peer.Same(remoteCoordinator) && c[0].Slots == 5
	}
	f.await("the target of the other cell is a candidate", found)
	queriesBefore, start := queries.Load(), time.Now()
	for range 1000 {
		if !found() {
			t.Fatal("a member list that was just received is not used")
		}
	}
	// A member list is refreshed at most once a second.
	if got := queries.Load() - queriesBefore; got > 1+int64(time.Since(start)/time.Second) {
		t.Errorf("1000 lookups sent %d queries", got)
	}
	f.net.setServeUnknown(nil)
	f.await("the member list is no longer used", func() bool { return !found() })
	if age := time.Since(*lastQuery.Load()); age < 5*time.Second {
		t.Errorf("the member list was dropped after %s", age)
	}
}
