package seamrouter

import (
	"context"
	"time"

	"cardamomseam/internal/own/seamelection"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/platform/seamwait"
)

const (
	// staleReadInterval is the interval between cheap stale reads of the owner tables. An outdated table costs
	// a request one extra hop, because the former owner redirects it to the present one.
	staleReadInterval = time.Second
	// minReadInterval is the minimum interval between two reads of the tables.
	minReadInterval = 400 * time.Millisecond
)

// requestTableRead triggers a current read of the tables, because a request waits for another owner.
func (n *Node) requestTableRead() {
	select {
	case n.tablesWanted <- struct{}{}:
	default:
	}
}

// pollTables keeps the owner tables up to date and passes them on to subscribers. A node that subscribes to a reader gets
// them from there, and asks for a current read when a request waits for a new owner.
func (n *Node) pollTables(ctx context.Context) {
	current := false
	for ctx.Err() == nil {
		switch {
		case !n.feed.Subscribed():
			n.updateTables(ctx, current)
		case current:
			n.feed.RequestTables()
		}
		seamwait.For(ctx, minReadInterval)
		current = seamwait.ForWake(ctx, staleReadInterval-minReadInterval, n.tablesWanted)
	}
}

// updateTables reads the tables. It makes a current read if a request waits for a new owner because the known one is lost,
// and a stale read otherwise.
func (n *Node) updateTables(ctx context.Context, current bool) {
	for _, e := range n.readTables(ctx, current) {
		n.registry.Put(time.Now(), e)
		n.feed.PublishTable(e)
	}
}

// readTables returns the tables, or nothing if the store is unreachable; the store's client logs the reason.
// If a current read fails, it falls back to a stale one.
func (n *Node) readTables(ctx context.Context, current bool) []seamstore.Entry {
	if current {
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
