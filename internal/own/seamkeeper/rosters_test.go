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

// question sends bytes to the keeper's stream and returns what it answers.
func question(t *testing.T, n *node, sent []byte) []byte {
	t.Helper()
	here, there := net.Pipe()
	defer here.Close()
	_ = here.SetDeadline(time.Now().Add(patience))
	go n.keeper.ServeStream(context.Background(), seampeer.Peer{}, there)
	go func() { _, _ = here.Write(sent) }()
	answer, err := io.ReadAll(here)
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

func TestMalformedQueryGetsNoResponse(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	n := f.start()
	malformed := n.set.GetOrCreateCounter("cardamomseam_roster_malformed_total")
	for i, sent := range [][]byte{
		{3, 0xff, 0xff, 0xff},
		binary.AppendUvarint(nil, 1<<40),
	} {
		if answer := question(t, n, sent); len(answer) > 0 {
			t.Errorf("%x was answered by %x", sent, answer)
		}
		if got := malformed.Get(); got != uint64(i+1) {
			t.Errorf("%d malformed questions counted after %d", got, i+1)
		}
	}
}

func TestQueriesAreAnswered(t *testing.T) {
	t.Parallel()
	f := formed(t, 2)
	ask := func(q *seamrosterwire.Ask, answer proto.Message) {
		t.Helper()
		here, there := net.Pipe()
		defer here.Close()
		_ = here.SetDeadline(time.Now().Add(patience))
		go f.nodes[0].keeper.ServeStream(context.Background(), seampeer.Peer{}, there)
		if _, err := protodelim.MarshalTo(here, q); err != nil {
			t.Fatal(err)
		}
		if err := protodelim.UnmarshalFrom(bufio.NewReader(here), answer); err != nil {
			t.Fatal(err)
		}
	}
	directory := &seamrosterwire.DirectoryAnswer{}
	// The node serves already while its watch brings the records of its ranges.
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
			t.Errorf("entry %s of revision %d is not later than %d", e.GetKey(), e.GetRevision(), latest)
		}
	}
	roster := &seamrosterwire.RosterAnswer{}
	ask(&seamrosterwire.Ask{Roster: &seamrosterwire.RosterAsk{}}, roster)
	if len(roster.GetMembers()) != 2 || roster.GetCell() == "" {
		t.Errorf("roster is %v", roster)
	}
}

func TestDrainRequestChecksIncarnation(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	a, b := f.start(), f.start()
	later := b.peer
	later.Incarnation++
	if err := a.keeper.RequestDrain(context.Background(), later); err == nil {
		t.Error("an order to another run was taken")
	}
	if err := a.keeper.RequestDrain(context.Background(), b.peer); err != nil {
		t.Error(err)
	}
	if n := b.drains.count.Load(); n != 1 {
		t.Errorf("%d drains were ordered", n)
	}
}

var far = seampeer.Peer{Name: "far", Incarnation: 1, Address: "far:1", Region: "west", Domain: "west-1"}

func TestOversizedResponseIsRejected(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	n := f.start()
	f.net.setAnswer(func(conn net.Conn) {
		defer conn.Close()
		_ = protodelim.UnmarshalFrom(bufio.NewReader(conn), &seamrosterwire.Ask{})
		_, _ = conn.Write(binary.AppendUvarint(nil, 8<<20+1))
	})
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var large *protodelim.SizeTooLargeError
	if err := n.keeper.RequestDrain(ctx, far); !errors.As(err, &large) {
		t.Errorf("got %v, want a SizeTooLargeError", err)
	}
}

func TestCandidatesFromOtherCell(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	record := seamcell.Record{ID: "west-1", Region: "west", Epoch: 1, Coordinator: far, Services: []string{"scanner"}, TTLMillis: time.Hour.Milliseconds(), Size: 8, WriteToken: "x"}
	value, err := record.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.store.Swap(context.Background(), seamstore.Configuration, record.Key(), 0, value); err != nil {
		t.Fatal(err)
	}
	var asked, answered atomic.Int64
	var last atomic.Pointer[time.Time]
	f.net.setAnswer(func(conn net.Conn) {
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
		return len(c) == 1 && c[0].Peer.Same(far) && c[0].Slots == 5
	}
	f.await("the other cell's target is known", found)
	before, start := asked.Load(), time.Now()
	for range 1000 {
		if !found() {
			t.Fatal("a roster that was just read is not used")
		}
	}
	// A roster is read again after a second at the earliest.
	if got := asked.Load() - before; got > 1+int64(time.Since(start)/time.Second) {
		t.Errorf("1000 looks asked %d times", got)
	}
	f.net.setAnswer(nil)
	f.await("the roster is not used any more", func() bool { return !found() })
	if age := time.Since(*last.Load()); age < 5*time.Second {
		t.Errorf("the roster was dropped after %s", age)
	}
}
