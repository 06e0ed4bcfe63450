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
	answer, err := io.ReadAll(client)
	if err != nil {
		t.Fatal(err)
	}
	return answer
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
		if answer := exchangeRaw(t, n, sent); len(answer) > 0 {
			t.Errorf("%x was answered by %x", sent, answer)
		}
		if got := malformed.Get(); got != uint64(i+1) {
			t.Errorf("%d malformed queries counted after %d", got, i+1)
		}
	}
}

func TestQueriesAreAnswered(t *testing.T) {
	t.Parallel()
	f := newRunningFleet(t, 2)
	ask := func(q *seamrosterwire.Ask, answer proto.Message) {
		t.Helper()
		client, server := net.Pipe()
		defer client.Close()
		_ = client.SetDeadline(time.Now().Add(testTimeout))
		go f.nodes[0].keeper.ServeStream(context.Background(), seampeer.Peer{}, server)
		if _, err := protodelim.MarshalTo(client, q); err != nil {
			t.Fatal(err)
		}
		if err := protodelim.UnmarshalFrom(bufio.NewReader(client), answer); err != nil {
			t.Fatal(err)
		}
	}
	directory := &seamrosterwire.DirectoryAnswer{}
	// The node serves slots before its watch delivers the records of its ranges.
	f.await("a directory with the cell and its ranges", func() bool {
		directory.Reset()
		ask(&seamrosterwire.Ask{Directory: &seamrosterwire.DirectoryAsk{}}, directory)
		return len(directory.GetEntries()) >= 2
	})
	latest := int64(0)
	for _, e := range directory.GetEntries() {
		latest = max(latest, e.GetRevision())
	}
	rest := &seamrosterwire.DirectoryAnswer{}
	ask(&seamrosterwire.Ask{Directory: &seamrosterwire.DirectoryAsk{Since: latest}}, rest)
	for _, e := range rest.GetEntries() {
		if e.GetRevision() <= latest {
			t.Errorf("entry %s of revision %d is not newer than %d", e.GetKey(), e.GetRevision(), latest)
		}
	}
	roster := &seamrosterwire.RosterAnswer{}
	ask(&seamrosterwire.Ask{Roster: &seamrosterwire.RosterAsk{}}, roster)
	if len(roster.GetMembers()) != 2 || roster.GetCell() == "" {
		t.Errorf("member list is %v", roster)
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

var remoteCoordinator = seampeer.Peer{Name: "far", Incarnation: 1, Address: "far:1", Region: "west", Domain: "west-1"}

func TestOversizedResponseIsRejected(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	n := f.start()
	f.net.setServeUnknown(func(conn net.Conn) {
		defer conn.Close()
		_ = protodelim.UnmarshalFrom(bufio.NewReader(conn), &seamrosterwire.Ask{})
		_, _ = conn.Write(binary.AppendUvarint(nil, 8<<20+1))
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
	var asked, answered atomic.Int64
	var last atomic.Pointer[time.Time]
	f.net.setServeUnknown(func(conn net.Conn) {
		defer conn.Close()
		_ = protodelim.UnmarshalFrom(bufio.NewReader(conn), &seamrosterwire.Ask{})
		asked.Add(1)
		now := time.Now()
		last.Store(&now)
		member := &seamrosterwire.Member{Name: "far", Incarnation: 1, Address: "far:1", Service: "scanner", Slots: 5}
		_, _ = protodelim.MarshalTo(conn, &seamrosterwire.RosterAnswer{Cell: "west-1", Members: []*seamrosterwire.Member{member}})
		answered.Add(1)
	})
	n := f.start()
	found := func() bool {
		c := n.keeper.Candidates("scanner")
		return len(c) == 1 && c[0].Peer.Same(remoteCoordinator) && c[0].Slots == 5
	}
	f.await("the other cell's target is known", found)
	before, start := asked.Load(), time.Now()
	for range 1000 {
		if !found() {
			t.Fatal("a member list that was just read is not used")
		}
	}
	// A member list is refreshed at most once a second.
	if got := asked.Load() - before; got > 1+int64(time.Since(start)/time.Second) {
		t.Errorf("1000 lookups sent %d queries", got)
	}
	f.net.setServeUnknown(nil)
	f.await("the member list is no longer used", func() bool { return !found() })
	if age := time.Since(*last.Load()); age < 5*time.Second {
		t.Errorf("the member list was dropped after %s", age)
	}
}
