package seamholder_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamassign"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamholder"
	"cardamomseam/internal/own/seamslot"
	"cardamomseam/internal/own/seamtable"
)

// busyTarget is a target that runs a request until workEnd. It answers a release once the request has ended.
type busyTarget struct {
	granted, releasing chan struct{}
	workEnd            time.Time

	mu        sync.Mutex
	expiresAt time.Time
}

// Grant implements seamholder.TargetClient.
func (b *busyTarget) Grant(_ context.Context, _ string, _ seamtable.Range, ttl time.Duration, _ func() bool) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expiresAt = time.Now().Add(ttl)
	signal(b.granted)
	return nil
}

// Release implements seamholder.TargetClient.
func (b *busyTarget) Release(ctx context.Context, _ string, _ seamtable.Range) (string, error) {
	signal(b.releasing)
	select {
	case <-time.After(time.Until(b.workEnd)):
		return "state", nil
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func TestKeysThatMoveAreHeldUntilTheRunningRequestEnds(t *testing.T) {
	const work = 2500 * time.Millisecond
	assigner := fakeAssigner{make(chan net.Conn, 1)}
	target := &busyTarget{granted: make(chan struct{}, 1), releasing: make(chan struct{}, 1), workEnd: time.Now().Add(work)}
	r := seamholder.NewRunner(seamholder.DefaultConfig(), target, assigner, seamclock.NewClock(), idleLoad{}, seamevent.NewStream("n"), func(seamtable.Holder) {})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { r.Run(ctx) })
	defer running.Wait()
	defer cancel()
	r.SetIncarnation(seamholder.Incarnation{Service: "calendar", Address: incarnation.Address, Holder: incarnation, MaxConcurrency: 4})
	conn := <-assigner.streams
	defer conn.Close()
	answered := make(chan struct{}, 64)
	go answerHeartbeats(conn, answered)
	<-answered
	<-answered
	time.Sleep(50 * time.Millisecond) // no heartbeat is in flight, see TestUpdateIsAppliedBetweenHeartbeats
	send(t, conn, seamassign.ReplyToWire(0, seamassign.Reply{Epoch: 1, Revision: 6, Changed: true, Ranges: ranges(span(0, 99), 3)}))
	<-target.granted
	_, ended, err := r.Acquire(ctx, seamslot.ID{Service: "calendar", Index: 7})
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(time.Until(target.workEnd), ended)
	send(t, conn, seamassign.ReplyToWire(0, seamassign.Reply{Epoch: 1, Revision: 6, Release: ranges(span(0, 99), 3)}))
	time.Sleep(time.Until(target.workEnd))
	target.mu.Lock()
	defer target.mu.Unlock()
	if early := target.workEnd.Sub(target.expiresAt); early > 0 {
		t.Errorf("the target's hold of the keys ended %v before the request that was running when they began to move: its caller gets 500", early.Round(time.Millisecond))
	}
	if _, _, err := r.Acquire(ctx, seamslot.ID{Service: "calendar", Index: 7}); err == nil {
		t.Error("a request was sent to keys that move")
	}
	select {
	case <-target.releasing:
	case <-time.After(time.Second):
		t.Error("the keys were not released after the request had ended")
	}
}
