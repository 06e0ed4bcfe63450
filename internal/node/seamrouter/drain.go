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
	"cardamomseam/internal/route/seamingress"
	"cardamomseam/internal/route/seamstop"
)

// sessionLeaveTimeout bounds the wait until other nodes have stopped using their sessions with this one.
const sessionLeaveTimeout = 300 * time.Millisecond

// StopLimit returns the time limit of a planned stop by the current settings.
func (n *Node) StopLimit() time.Duration { return n.stop.Load().Limit }

func (n *Node) drain(ctx context.Context, started time.Time) error {
	n.sink.Emit(started, seamevent.NodeDraining, seamevent.Fields{"inflight": n.egress.InFlight()})
	n.draining.Store(true)
	if limit, ok := ctx.Deadline(); ok {
		// The egress cancels what is in flight at the same time as the ingress.
		n.egress.PlanStop(seamstop.Plan{Limit: limit.Add(-seamingress.FinalResponseMargin)})
	}
	n.runner.NodeStopping()
	n.withdrawElectors()
	// Heartbeats to the assigner and grants to the target continue until no request is in flight.
	err := errors.Wrap(n.server.Drain(ctx, n.stop.Load().Notice), "callers' requests are in flight")
	err = errors.CombineErrors(err, errors.Wrap(n.egress.Drain(ctx), "requests are in flight at the target"))
	inFlight := n.egress.InFlight()
	n.stopRunner()
	n.stopElectors(ctx)
	// Also after the limit: a request that a peer sends until it leaves the session would be lost.
	leaving, cancel := context.WithTimeout(context.WithoutCancel(ctx), sessionLeaveTimeout)
	defer cancel()
	n.sessions.Shutdown(leaving)
	fields := seamevent.Fields{"took": time.Since(started).String()}
	if err != nil {
		fields["cut"], fields["inflight"] = err.Error(), inFlight
	}
	n.sink.Emit(time.Now(), seamevent.NodeDrained, fields)
	return err
}

// electorStopTimeout bounds the wait until the node has given up its leaderships.
const electorStopTimeout = 500 * time.Millisecond

func (n *Node) withdrawElectors() {
	for _, e := range n.allElectors() {
		e.Withdraw()
	}
}

// stopElectors gives up the remaining leaderships: those that Withdraw kept because the store was unreachable.
func (n *Node) stopElectors(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, electorStopTimeout)
	defer cancel()
	var stopping sync.WaitGroup
	for _, e := range n.allElectors() {
		stopping.Go(func() { e.Stop(ctx) })
	}
	stopping.Wait()
}

func (n *Node) allElectors() []*seamelection.Elector {
	n.electorsMu.Lock()
	defer n.electorsMu.Unlock()
	return slices.Collect(maps.Values(n.electors))
}
