package seamnode

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/observe/seamevent"
)

// sessionLeaveTimeout bounds the wait until other nodes have stopped using their sessions with this one.
const sessionLeaveTimeout = 2 * time.Second

// DrainRequested returns a channel that is closed when an operator or a failure to serve callers requests
// a drain of this node.
func (n *Node) DrainRequested() <-chan struct{} { return n.drainRequested }

// requestDrain closes the channel of DrainRequested. Further calls have no effect.
func (n *Node) requestDrain() {
	n.drainOnce.Do(func() { close(n.drainRequested) })
}

// Drain shuts the node down gracefully: it hands over its slots, admits no new requests
// for its target, tells callers to use other nodes, and returns when no request is
// in flight. If ctx ends first, it returns an error that names what is left.
func (n *Node) Drain(ctx context.Context) error {
	started := time.Now()
	n.sink.Emit(started, seamevent.NodeDraining, seamevent.Fields{"inflight": n.egress.InFlight()})
	n.egress.RefuseUnkeyed()
	if err := n.keeper.Drain(ctx); err != nil {
		return n.drainFailed(err, "slots are not handed over")
	}
	slotsHandedOver := time.Now()
	if err := n.egress.Drain(ctx); err != nil {
		return n.drainFailed(err, "requests are in flight at the target")
	}
	if server := n.server.Load(); server != nil {
		if err := server.Drain(ctx, n.settings.Drain.Grace); err != nil {
			return n.drainFailed(err, "callers' requests are in flight")
		}
	}
	callersDrained := time.Now()
	leaving, cancel := context.WithTimeout(ctx, sessionLeaveTimeout)
	defer cancel()
	n.sessions.Shutdown(leaving)
	n.sink.Emit(time.Now(), seamevent.NodeDrained, seamevent.Fields{
		"took":    time.Since(started).String(),
		"slots":   slotsHandedOver.Sub(started).String(),
		"callers": callersDrained.Sub(slotsHandedOver).String(),
	})
	return nil
}

func (n *Node) drainFailed(err error, remaining string) error {
	n.sink.Emit(time.Now(), seamevent.NodeStopped, seamevent.Fields{"cut": remaining, "limit": n.settings.Drain.Limit.String()})
	return errors.Wrapf(err, "drain limit reached: %s", remaining)
}
