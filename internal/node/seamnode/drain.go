package seamnode

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/observe/seamevent"
)

// quietLimit bounds the wait for the last requests of nodes that do not know yet that this one leaves.
const quietLimit = 2 * time.Second

// Ordered is closed when an operator ordered this node to drain.
func (n *Node) Ordered() <-chan struct{} { return n.ordered }

// order takes an operator's order to drain.
func (n *Node) order() {
	n.orderOnce.Do(func() { close(n.ordered) })
}

// Drain stops the node as planned: it hands its slots over, takes no new work
// for its target, tells callers to use other nodes, and returns when nothing is
// in flight. If ctx ends before, the rest is cut and the error says so.
func (n *Node) Drain(ctx context.Context) error {
	started := time.Now()
	n.sink.Emit(started, seamevent.NodeDraining, seamevent.Fields{"inflight": n.egress.InFlight()})
	n.egress.Leave()
	if err := n.keeper.Drain(ctx); err != nil {
		return n.cut(err, "slots are not handed over")
	}
	if err := n.egress.Drain(ctx); err != nil {
		return n.cut(err, "requests are in flight at the target")
	}
	if server := n.server.Load(); server != nil {
		if err := server.Drain(ctx, n.settings.Drain.Grace); err != nil {
			return n.cut(err, "callers' requests are in flight")
		}
	}
	quiet, cancel := context.WithTimeout(ctx, quietLimit)
	defer cancel()
	n.egress.Quiet(quiet)
	n.sink.Emit(time.Now(), seamevent.NodeDrained, seamevent.Fields{"took": time.Since(started).String()})
	return nil
}

func (n *Node) cut(err error, what string) error {
	n.sink.Emit(time.Now(), seamevent.NodeStopped, seamevent.Fields{"cut": what, "limit": n.settings.Drain.Limit.String()})
	return errors.Wrapf(err, "drain limit reached: %s", what)
}
