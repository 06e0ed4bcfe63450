package seamnode

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/observe/seamevent"
)

// leaveLimit bounds the wait until other nodes have stopped using their sessions with this one.
const leaveLimit = 2 * time.Second

// Ordered is closed when an operator ordered this node to drain.
func (n *Node) DrainRequested() <-chan struct{} { return n.ordered }

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
	n.egress.RefuseUnkeyed()
	if err := n.keeper.Drain(ctx); err != nil {
		return n.cut(err, "slots are not handed over")
	}
	handed := time.Now()
	if err := n.egress.Drain(ctx); err != nil {
		return n.cut(err, "requests are in flight at the target")
	}
	if server := n.server.Load(); server != nil {
		if err := server.Drain(ctx, n.settings.Drain.Grace); err != nil {
			return n.cut(err, "callers' requests are in flight")
		}
	}
	served := time.Now()
	leaving, cancel := context.WithTimeout(ctx, leaveLimit)
	defer cancel()
	n.sessions.Shutdown(leaving)
	n.sink.Emit(time.Now(), seamevent.NodeDrained, seamevent.Fields{
		"took":    time.Since(started).String(),
		"slots":   handed.Sub(started).String(),
		"callers": served.Sub(handed).String(),
	})
	return nil
}

func (n *Node) cut(err error, what string) error {
	n.sink.Emit(time.Now(), seamevent.NodeStopped, seamevent.Fields{"cut": what, "limit": n.settings.Drain.Limit.String()})
	return errors.Wrapf(err, "drain limit reached: %s", what)
}
