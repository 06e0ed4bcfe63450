package seamkeeper

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/platform/seamwait"
)

const (
	// directoryReadInterval is the average interval at which a node without a cell reads the directory.
	directoryReadInterval = time.Second
	// watchRetryDelay is the delay before a failed watch is restarted.
	watchRetryDelay = time.Second
)

func (k *Keeper) swapRecord(a seamcell.CompareAndSwap) {
	value, err := a.Record.Encode()
	if err != nil {
		k.reportInvariant("cell record cannot be encoded", err)
		return
	}
	ctx, cancel := context.WithTimeout(k.ctx, k.cfg.CallTimeout)
	defer cancel()
	revision, err := k.deps.Store.Swap(ctx, a.Priority, a.Key, a.Expect, value)
	result := storeResult(a.ID, err)
	if result.Outcome == seamcell.OK {
		result.Entry = seamcell.Entry{Key: a.Key, Revision: revision, Record: a.Record}
	}
	k.storeCompleted(result)
}

func (k *Keeper) readRecord(a seamcell.Read) {
	ctx, cancel := context.WithTimeout(k.ctx, k.cfg.CallTimeout)
	defer cancel()
	entry, err := k.deps.Store.Get(ctx, a.Priority, a.Key)
	result := storeResult(a.ID, err)
	if result.Outcome == seamcell.OK {
		result.Entry = decodeEntry(entry)
		result.Entry.Key = a.Key
	}
	k.storeCompleted(result)
}

func (k *Keeper) removeRecord(a seamcell.Remove) {
	ctx, cancel := context.WithTimeout(k.ctx, k.cfg.CallTimeout)
	defer cancel()
	k.storeCompleted(storeResult(a.ID, k.deps.Store.Delete(ctx, seamstore.Configuration, a.Key, a.Expect)))
}

func (k *Keeper) storeCompleted(r seamcell.StoreResult) {
	k.step(func(c *seamcell.Cell, now seamclock.Instant) []seamcell.Action { return c.StoreCompleted(now, r) })
}

func storeResult(id uint64, err error) seamcell.StoreResult {
	var conflict *seamstore.ConflictError
	var unknown *seamstore.UnknownError
	r := seamcell.StoreResult{ID: id}
	switch {
	case err == nil:
		r.Outcome = seamcell.OK
	case errors.As(err, &conflict):
		r.Outcome = seamcell.Conflict
		r.Entry = decodeEntry(conflict.Found)
	case errors.As(err, &unknown):
		r.Outcome = seamcell.Unknown
	default:
		r.Outcome = seamcell.Unavailable
	}
	return r
}

// decodeEntry decodes a store entry. An entry that cannot be decoded becomes an empty record that keeps its
// revision, so that it is not overwritten by accident.
func decodeEntry(e seamstore.Entry) seamcell.Entry {
	if e.Revision == 0 {
		return seamcell.Entry{Key: e.Key}
	}
	entry, err := seamcell.DecodeEntry(e.Key, e.Revision, e.Value)
	if err != nil {
		return seamcell.Entry{Key: e.Key, Revision: e.Revision}
	}
	return entry
}

// bootstrap reads the directory repeatedly while this node has no cell. If the store is unavailable, it passes
// the seeds to the state machine.
func (k *Keeper) bootstrap() {
	for {
		if k.withoutCell() {
			k.readDirectory()
		}
		select {
		case <-k.ctx.Done():
			return
		case <-k.bootstrapWake:
		case <-time.After(directoryReadInterval/2 + rand.N(directoryReadInterval)):
		}
	}
}

// wakeBootstrap triggers a read of the directory.
func (k *Keeper) wakeBootstrap() {
	select {
	case k.bootstrapWake <- struct{}{}:
	default:
	}
}

func (k *Keeper) withoutCell() bool {
	role := k.View().Role
	return role == seamcell.RoleNone || role == seamcell.RoleJoining
}

func (k *Keeper) readDirectory() {
	ctx, cancel := context.WithTimeout(k.ctx, k.cfg.CallTimeout)
	defer cancel()
	entries, _, err := k.listRecords(ctx)
	if err != nil {
		k.step(func(c *seamcell.Cell, now seamclock.Instant) []seamcell.Action { return c.SetSeeds(now, k.seeds()) })
		return
	}
	k.updateRecords(entries)
}

func (k *Keeper) listRecords(ctx context.Context) ([]seamcell.Entry, int64, error) {
	entries, revision, err := k.deps.Store.List(ctx, seamstore.Configuration, seamcell.KeyPrefix)
	if err != nil {
		return nil, 0, err
	}
	records := make([]seamcell.Entry, 0, len(entries))
	for _, e := range entries {
		records = append(records, decodeEntry(e))
	}
	return records, revision, nil
}

// updateRecords passes records to the state machine.
func (k *Keeper) updateRecords(entries []seamcell.Entry) {
	k.step(func(c *seamcell.Cell, now seamclock.Instant) []seamcell.Action { return c.UpdateRecords(now, entries) })
}

// updateWatch starts the directory watch when this node becomes a coordinator, and stops it when it no longer is one.
func (k *Keeper) updateWatch() {
	coordinates := k.View().Role == seamcell.RoleCoordinator
	k.mu.Lock()
	defer k.mu.Unlock()
	watching := k.stopWatch != nil
	if coordinates && !watching {
		ctx, cancel := context.WithCancel(k.ctx)
		k.stopWatch = cancel
		k.startTask(func() { k.watchDirectory(ctx) })
	}
	if !coordinates && watching {
		k.stopWatch()
		k.stopWatch = nil
	}
}

func (k *Keeper) watchDirectory(ctx context.Context) {
	for ctx.Err() == nil {
		entries, revision, err := k.listRecords(ctx)
		if err == nil {
			k.updateRecords(entries)
			_ = k.deps.Store.Watch(ctx, seamcell.KeyPrefix, revision, k.recordsChanged) // the loop restarts a failed watch
		}
		seamwait.Jittered(ctx, watchRetryDelay)
	}
}

func (k *Keeper) recordsChanged(changes []seamstore.Change) {
	entries := make([]seamcell.Entry, 0, len(changes))
	for _, c := range changes {
		entry := seamcell.Entry{Key: c.Key, Revision: c.Revision, Deleted: true}
		if !c.Deleted {
			entry = decodeEntry(c.Entry)
		}
		entries = append(entries, entry)
	}
	k.updateRecords(entries)
}
