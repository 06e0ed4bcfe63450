package seamrouter

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamelection"
)

// farewellTime bounds the wait until other nodes have stopped using their sessions with this one.
const farewellTime = 300 * time.Millisecond

func (n *Node) drain(ctx context.Context, started time.Time) error {
	n.sink.Emit(started, seamevent.NodeDraining, seamevent.Fields{"inflight": n.egress.InFlight()})
	n.leaving.Store(true)
	if limit, ok := ctx.Deadline(); ok {
		n.egress.SetShutdownDeadline(limit)
	}
	n.runner.NodeStopping()
	n.leaveOffices()
	// Until callers have left, the target is served as before; then the node leaves it alone.
	err := errors.Wrap(n.server.Drain(ctx, n.stop.Load().Notice), "callers' requests are in flight")
	err = errors.CombineErrors(err, errors.Wrap(n.egress.Drain(ctx), "requests are in flight at the target"))
	n.stopRunner()
	n.endOffices(ctx)
	leaving, cancel := context.WithTimeout(ctx, farewellTime)
	defer cancel()
	n.sessions.Shutdown(leaving)
	fields := seamevent.Fields{"took": time.Since(started).String()}
	if err != nil {
		fields["cut"] = err.Error()
	}
	n.sink.Emit(time.Now(), seamevent.NodeDrained, fields)
	return err
}

// officeTime bounds the wait until the node has given its offices up.
const officeTime = 500 * time.Millisecond

func (n *Node) leaveOffices() {
	for _, o := range n.openedOffices() {
		o.Withdraw()
	}
}

// endOffices gives up the offices that were kept while the store is away.
func (n *Node) endOffices(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, officeTime)
	defer cancel()
	var ending sync.WaitGroup
	for _, o := range n.openedOffices() {
		ending.Go(func() { o.Stop(ctx) })
	}
	ending.Wait()
}

func (n *Node) openedOffices() []*seamelection.Elector {
	n.officeMu.Lock()
	defer n.officeMu.Unlock()
	return slices.Collect(maps.Values(n.offices))
}
