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

// waitTimeout is the time after which a test stops waiting for an expected result.
const waitTimeout = 10 * time.Second

// fakeAssigner hands the test the assigner's end of each heartbeat stream.
type fakeAssigner struct {
	streams chan net.Conn
}

func (fakeAssigner) StoreEra() int64 { return 0 }

func (a fakeAssigner) OpenHeartbeats(ctx context.Context, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case a.streams <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (fakeAssigner) Redirected(string, *wire.Office)               {}
func (fakeAssigner) ConfirmedEpoch(string) (epoch uint64, ok bool) { return 1, true }
func (fakeAssigner) Reader() bool                                  { return false }
func (fakeAssigner) TableReceived(string, []byte, int64)           {}

// acceptingTarget records the granted ranges and accepts every order at once.
type acceptingTarget struct {
	granted chan seamtable.Range
}

func (t acceptingTarget) Grant(_ context.Context, _ string, r seamtable.Range, _ time.Duration, _ func() bool) error {
	t.granted <- r
	return nil
}

func (acceptingTarget) Release(context.Context, string, seamtable.Range) (string, error) {
	return "", nil
}

type idleLoad struct{}

func (idleLoad) Load() seamtable.Load { return seamtable.Load{} }

func TestUpdateIsAppliedBetweenHeartbeats(t *testing.T) {
	assigner, target := fakeAssigner{make(chan net.Conn, 1)}, acceptingTarget{make(chan seamtable.Range, 64)}
	clock := seamclock.NewClock()
	r := seamholder.NewRunner(seamholder.DefaultConfig(), target, assigner, clock, idleLoad{}, seamevent.NewStream("n"), func(seamtable.Holder) {})
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
	r.SetIncarnation(seamholder.Incarnation{Service: "calendar", Address: incarnation.Address, Holder: incarnation, MaxConcurrency: 4})

	conn := <-assigner.streams
	defer conn.Close()
	answered := make(chan struct{}, 64)
	go answerHeartbeats(conn, answered)
	<-answered
	<-answered
	time.Sleep(50 * time.Millisecond) // the next heartbeat is due 300 ms after the last, so none is in flight when the update is sent
	send(t, conn, seamassign.ReplyToWire(0, seamassign.Reply{Epoch: 1, Revision: 6, Changed: true, Ranges: ranges(span(0, 99), 3)}))
	select {
	case got := <-target.granted:
		if got.Span != span(0, 99) || got.Fence != 3 {
			t.Errorf("granted %+v, want span 0-99 with fence 3", got)
		}
	case <-time.After(waitTimeout):
		t.Fatal("the update was not applied")
	}
	if _, _, err := r.Acquire(t.Context(), seamslot.ID{Service: "calendar", Index: 5}); err != nil {
		t.Error(err)
	}
}

// answerHeartbeats answers each heartbeat with a lease on an empty list of ranges.
func answerHeartbeats(conn net.Conn, answered chan<- struct{}) {
	reader, done := seamframe.NewReader(conn)
	defer done()
	heartbeat := new(wire.Beat)
	for reader.ReadMessage(seamframe.Beat, heartbeat) == nil {
		reply := seamassign.Reply{Epoch: 1, Lease: time.Minute, Revision: 5, Changed: heartbeat.GetRevision() == 0}
		if seamframe.Write(conn, seamframe.Reply, seamassign.ReplyToWire(heartbeat.GetNumber(), reply)) != nil {
			return // the test has closed the stream
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
