package seamrouter

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"cardamomseam/internal/member/seamroll"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/platform/seamwait"
)

const (
	// handTime bounds the wait until the keys of the target are held elsewhere.
	handTime = 2500 * time.Millisecond
	// handLook is the time between looks whether they are.
	handLook = 20 * time.Millisecond
	// farewellTime bounds the wait until other nodes have stopped using their sessions with this one.
	farewellTime = time.Second
)

func (n *Node) drain(ctx context.Context, started time.Time) error {
	n.sink.Emit(started, seamevent.NodeDraining, seamevent.Fields{"inflight": n.egress.InFlight()})
	n.leaving.Store(true)
	n.entry.Update(func(m *seamroll.Member) { m.Leaving = true })
	n.egress.Leave()
	n.runner.Leave()
	n.leaveOffices()
	var stopping errgroup.Group
	stopping.Go(func() error {
		return errors.Wrap(n.server.Drain(ctx, n.stop.Load().Notice), "callers' requests are in flight")
	})
	stopping.Go(func() error {
		n.handOver(ctx)
		return errors.Wrap(n.egress.Drain(ctx), "requests are in flight at the target")
	})
	err := stopping.Wait()
	leaving, cancel := context.WithTimeout(ctx, farewellTime)
	defer cancel()
	n.sessions.Leave(leaving)
	fields := seamevent.Fields{"took": time.Since(started).String()}
	if err != nil {
		fields["cut"] = err.Error()
	}
	n.sink.Emit(time.Now(), seamevent.NodeDrained, fields)
	return err
}

// handOver waits until the target holds no keys.
func (n *Node) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handTime)
	defer cancel()
	for !n.runner.Empty() && seamwait.For(ctx, handLook) {
	}
}

func (n *Node) leaveOffices() {
	n.officeMu.Lock()
	defer n.officeMu.Unlock()
	for _, o := range n.offices {
		o.Leave()
	}
}
