package seamholder_test

import (
	"context"
	"net"
	"testing"
	"time"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamassign"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamholder"
	"cardamomseam/internal/own/seamslot"
	"cardamomseam/internal/own/seamtable"
	wire "cardamomseam/internal/own/seamtablewire"
	"cardamomseam/internal/route/seamframe"
)

// patience bounds the wait for what a test expects to happen.
const patience = 10 * time.Second

// link is a stream to an assigner that the test plays.
type link struct {
	streams chan net.Conn
}

func (l link) OpenHeartbeats(ctx context.Context, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.streams <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (link) Redirected(string, *wire.Office)               {}
func (link) ConfirmedEpoch(string) (epoch uint64, ok bool) { return 1, true }
func (link) TableReceived(string, []byte, int64)           {}

// takingOrders notes the ranges that are granted, and answers at once.
type takingOrders struct {
	granted chan seamtable.Range
}

func (o takingOrders) Grant(_ context.Context, _ string, r seamtable.Range, _ time.Duration, _ func() bool) error {
	o.granted <- r
	return nil
}

func (takingOrders) Release(context.Context, string, seamtable.Range) (string, error) { return "", nil }

type idle struct{}

func (idle) Load() (busy, service float64) { return 0, 0 }

func TestNewsIsTakenBetweenBeats(t *testing.T) {
	l, o := link{make(chan net.Conn, 1)}, takingOrders{make(chan seamtable.Range, 64)}
	clock := seamclock.NewClock()
	r := seamholder.NewRunner(seamholder.DefaultConfig(), o, l, clock, idle{}, seamevent.NewStream("n"), func(seamtable.Holder) {})
	ctx, cancel := context.WithCancel(t.Context())
	running := make(chan struct{})
	go func() {
		defer close(running)
		r.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-running
	})
	r.SetIncarnation(seamholder.Incarnation{Service: "calendar", Address: life.Address, Holder: life, Slots: 4})

	conn := <-l.streams
	defer conn.Close()
	answered := make(chan struct{}, 64)
	go answer(conn, answered)
	<-answered
	<-answered
	time.Sleep(50 * time.Millisecond) // no beat is under way, since they are 300 ms apart
	send(t, conn, seamassign.ReplyToWire(0, seamassign.Reply{Epoch: 1, Revision: 6, Changed: true, Ranges: ranges(span(0, 99), 3)}))
	select {
	case got := <-o.granted:
		if got.Span != span(0, 99) || got.Fence != 3 {
			t.Errorf("granted %+v", got)
		}
	case <-time.After(patience):
		t.Fatal("the news was not taken")
	}
	if _, _, err := r.Acquire(t.Context(), seamslot.ID{Service: "calendar", Index: 5}); err != nil {
		t.Error(err)
	}
}

// answer answers each beat with a promise for a list without ranges.
func answer(conn net.Conn, answered chan<- struct{}) {
	reader, done := seamframe.NewReader(conn)
	defer done()
	beat := new(wire.Beat)
	for reader.ReadMessage(seamframe.Beat, beat) == nil {
		reply := seamassign.Reply{Epoch: 1, Lease: time.Minute, Revision: 5, Changed: beat.GetRevision() == 0}
		if seamframe.Write(conn, seamframe.Reply, seamassign.ReplyToWire(beat.GetNumber(), reply)) != nil {
			return // the test is over
		}
		answered <- struct{}{}
	}
}

func send(t *testing.T, conn net.Conn, reply *wire.Reply) {
	t.Helper()
	if err := seamframe.Write(conn, seamframe.Reply, reply); err != nil {
		t.Fatal(err)
	}
}
