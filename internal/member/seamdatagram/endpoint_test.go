package seamdatagram_test

import (
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"

	"cardamomseam/internal/member/seamdatagram"
	"cardamomseam/internal/member/seampeer"
)

// arrival is one datagram as its handler saw it.
type arrival struct {
	From    seampeer.Peer
	Payload string
}

const patience = 10 * time.Second

func open(t *testing.T, name string, listen string, incarnation uint64) (*seamdatagram.Endpoint, seampeer.Peer, chan arrival, func()) {
	t.Helper()
	if listen == "" {
		listen = freeAddress(t)
	}
	self := seampeer.Peer{Name: name, Incarnation: incarnation, Address: listen, Region: "erie", Domain: "erie-1"}
	e, cleanup, err := seamdatagram.New(listen, self, metrics.NewSet())
	if err != nil {
		t.Fatal(err)
	}
	arrivals := make(chan arrival, 16)
	e.Register(seamdatagram.Confirm, seamdatagram.HandlerFunc(func(from seampeer.Peer, payload []byte) {
		arrivals <- arrival{From: from, Payload: string(payload)}
	}))
	return e, self, arrivals, cleanup
}

func freeAddress(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

func receive(t *testing.T, arrivals chan arrival) arrival {
	t.Helper()
	select {
	case a := <-arrivals:
		return a
	case <-time.After(patience):
		t.Fatal("no datagram arrived")
		return arrival{}
	}
}

func TestSendIncludesSenderIdentity(t *testing.T) {
	a, self, _, closeA := open(t, "a", "", 7)
	defer closeA()
	_, b, arrivals, closeB := open(t, "b", "", 8)
	defer closeB()
	for range 5 {
		if err := a.Send(seamdatagram.Confirm, b, []byte("beat")); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(arrival{From: self, Payload: "beat"}, receive(t, arrivals)); diff != "" {
			t.Fatal(diff)
		}
	}
}

func TestRestartedReceiverRequestsIdentity(t *testing.T) {
	a, _, _, closeA := open(t, "a", "", 7)
	defer closeA()
	_, b, arrivals, closeB := open(t, "b", "", 8)
	for range 5 {
		if err := a.Send(seamdatagram.Confirm, b, []byte("beat")); err != nil {
			t.Fatal(err)
		}
		receive(t, arrivals)
	}
	closeB()
	_, b, arrivals, closeB = open(t, "b", b.Address, 9)
	defer closeB()
	deadline := time.After(patience)
	for {
		if err := a.Send(seamdatagram.Confirm, b, []byte("again")); err != nil {
			t.Fatal(err)
		}
		select {
		case got := <-arrivals:
			if got.From.Incarnation != 7 || got.From.Domain != "erie-1" {
				t.Fatalf("sender is %+v", got.From)
			}
			return
		case <-time.After(10 * time.Millisecond):
		case <-deadline:
			t.Fatal("the restarted receiver never learned the sender")
		}
	}
}

func TestSendRejectsLargePayload(t *testing.T) {
	a, self, _, cleanup := open(t, "a", "", 1)
	defer cleanup()
	err := a.Send(seamdatagram.Confirm, self, make([]byte, seamdatagram.MaxPayload+1))
	var large *seamdatagram.TooLargeError
	if !errors.As(err, &large) {
		t.Fatalf("got %v", err)
	}
}

func TestAnonymousKindCarriesOnlyItsPayload(t *testing.T) {
	a, _, _, closeA := open(t, "a", "", 7)
	defer closeA()
	e, b, _, closeB := open(t, "b", "", 8)
	defer closeB()
	arrivals := make(chan arrival, 1)
	e.Register(seamdatagram.Cell, seamdatagram.HandlerFunc(func(from seampeer.Peer, payload []byte) {
		arrivals <- arrival{From: from, Payload: string(payload)}
	}))
	if err := a.Send(seamdatagram.Cell, b, []byte("renew")); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(arrival{Payload: "renew"}, receive(t, arrivals)); diff != "" {
		t.Fatal(diff)
	}
}

// openCell opens an endpoint that takes datagrams of cells.
func openCell(t *testing.T, name, listen string, incarnation uint64) (*seamdatagram.Endpoint, seampeer.Peer, chan arrival, *metrics.Set, func()) {
	t.Helper()
	if listen == "" {
		listen = freeAddress(t)
	}
	set := metrics.NewSet()
	self := seampeer.Peer{Name: name, Incarnation: incarnation, Address: listen}
	e, cleanup, err := seamdatagram.New(listen, self, set)
	if err != nil {
		t.Fatal(err)
	}
	arrivals := make(chan arrival, 16)
	e.Register(seamdatagram.Cell, seamdatagram.HandlerFunc(func(from seampeer.Peer, payload []byte) {
		arrivals <- arrival{From: from, Payload: string(payload)}
	}))
	return e, self, arrivals, set, cleanup
}

func TestPreambleIsSentInFullOnlyAtFirst(t *testing.T) {
	const rounds = 10
	a, _, _, set, closeA := openCell(t, "a", "", 7)
	defer closeA()
	_, b, arrivals, _, closeB := openCell(t, "b", "", 8)
	defer closeB()
	preambles := []string{strings.Repeat("x", 100), strings.Repeat("y", 100)}
	for range rounds {
		for _, p := range preambles {
			if err := a.SendWithPreamble(seamdatagram.Cell, b, []byte(p), []byte("renew")); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(arrival{Payload: p + "renew"}, receive(t, arrivals)); diff != "" {
				t.Fatal(diff)
			}
		}
	}
	sent := set.GetOrCreateCounter(`cardamomseam_datagram_bytes_total{kind="cell",way="sent"}`).Get()
	if limit := uint64(rounds * len(preambles) * 75); sent > limit {
		t.Errorf("%d bytes were sent, want at most %d", sent, limit)
	}
}

func TestRestartedReceiverRequestsPreamble(t *testing.T) {
	a, _, _, _, closeA := openCell(t, "a", "", 7)
	defer closeA()
	_, b, arrivals, _, closeB := openCell(t, "b", "", 8)
	send := func() {
		if err := a.SendWithPreamble(seamdatagram.Cell, b, []byte("preamble "), []byte("renew")); err != nil {
			t.Fatal(err)
		}
	}
	for range 5 {
		send()
		receive(t, arrivals)
	}
	closeB()
	_, b, arrivals, _, closeB = openCell(t, "b", b.Address, 9)
	defer closeB()
	deadline := time.After(patience)
	for {
		send()
		select {
		case got := <-arrivals:
			if diff := cmp.Diff(arrival{Payload: "preamble renew"}, got); diff != "" {
				t.Fatal(diff)
			}
			return
		case <-time.After(10 * time.Millisecond):
		case <-deadline:
			t.Fatal("the restarted receiver never learned the preamble")
		}
	}
}

func TestMalformedPreambleIsRejected(t *testing.T) {
	for _, frame := range [][]byte{{0x41}, {0x41, 5, 'x'}, {0x41, 0xff}, {0x21}, {0x21, 1, 2, 3}, {0x61, 0, 0, 0, 0, 0}} {
		var malformed *seamdatagram.MalformedError
		if err := seamdatagram.ParseForTest(frame); !errors.As(err, &malformed) {
			t.Errorf("%x: got %v", frame, err)
		}
	}
}

func FuzzParseHeader(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x81, 0xff, 0xff, 0xff})
	f.Add([]byte{0x01, 0x05, 0x01, 'a', 'x'})
	f.Add([]byte{0x41, 0x02, 'a', 'b', 'x'})
	f.Add([]byte{0x21, 0x01, 0x02, 0x03, 0x04, 'x'})
	f.Fuzz(func(t *testing.T, frame []byte) {
		var malformed *seamdatagram.MalformedError
		if err := seamdatagram.ParseForTest(frame); err != nil && !errors.As(err, &malformed) {
			t.Fatalf("untyped error %v", err)
		}
	})
}
