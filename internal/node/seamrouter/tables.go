package seamrouter

import (
	"context"
	"time"

	"cardamomseam/internal/own/seamelection"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/platform/seamwait"
)

const (
	// glanceInterval is the time between two cheap readings of the tables of owners. A table that is out of
	// date costs a request one hop more: the former owner names the present one.
	glanceInterval = time.Second
	// readLeast is the least time from one reading of the tables to the next one.
	readLeast = 400 * time.Millisecond
)

// awaitOwners has the tables read soon, because a request waits for another owner.
func (n *Node) awaitOwners() {
	select {
	case n.awaited <- struct{}{}:
	default:
	}
}

// followTables reads the tables of owners again and again: as they stand if a request waits for another owner
// than one that is lost, and as they stood a short time ago otherwise.
func (n *Node) followTables(ctx context.Context) {
	present := true
	for ctx.Err() == nil {
		for _, e := range n.readTables(ctx, present) {
			n.registry.Put(time.Now(), e)
		}
		seamwait.For(ctx, readLeast)
		present = seamwait.ForWake(ctx, glanceInterval-readLeast, n.awaited)
	}
}

// readTables returns the tables, or nothing if the store can't be reached; its client logs why.
func (n *Node) readTables(ctx context.Context, present bool) []seamstore.Entry {
	if present {
		entries, _, err := n.store.List(ctx, seamstore.Configuration, seamelection.TablePrefix)
		if err == nil {
			return entries
		}
	}
	entries, err := n.store.ListStale(ctx, seamelection.TablePrefix)
	if err != nil {
		return nil
	}
	return entries
}
