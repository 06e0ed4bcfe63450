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
	// lonelyInterval is the time between readings of the directory by a node without a cell.
	lonelyInterval = time.Second
	// watchPause is the time before a broken watch is started again.
	watchPause = time.Second
)

func (k *Keeper) swap(a seamcell.CompareAndSwap) {
	value, err := a.Record.Encode()
	if err != nil {
		k.invariant("unwritable record", err)
		return
	}
	ctx, cancel := context.WithTimeout(k.ctx, k.cfg.CallTimeout)
	defer cancel()
	revision, err := k.parts.Store.Swap(ctx, a.Priority, a.Key, a.Expect, value)
	result := resultOf(a.ID, err)
	if result.Outcome == seamcell.OK {
		result.Entry = seamcell.Entry{Key: a.Key, Revision: revision, Record: a.Record}
	}
	k.stored(result)
}

func (k *Keeper) readRecord(a seamcell.Read) {
	ctx, cancel := context.WithTimeout(k.ctx, k.cfg.CallTimeout)
	defer cancel()
	entry, err := k.parts.Store.Get(ctx, a.Priority, a.Key)
	result := resultOf(a.ID, err)
	if result.Outcome == seamcell.OK {
		result.Entry = decode(entry)
		result.Entry.Key = a.Key
	}
	k.stored(result)
}

func (k *Keeper) remove(a seamcell.Remove) {
	ctx, cancel := context.WithTimeout(k.ctx, k.cfg.CallTimeout)
	defer cancel()
	k.stored(resultOf(a.ID, k.parts.Store.Delete(ctx, seamstore.Configuration, a.Key, a.Expect)))
}

func (k *Keeper) stored(r seamcell.StoreResult) {
	k.step(func(c *seamcell.Cell, now seamclock.Instant) []seamcell.Action { return c.StoreCompleted(now, r) })
}

func resultOf(id uint64, err error) seamcell.StoreResult {
	var conflict *seamstore.ConflictError
	var unknown *seamstore.UnknownError
	r := seamcell.StoreResult{ID: id}
	switch {
	case err == nil:
		r.Outcome = seamcell.OK
	case errors.As(err, &conflict):
		r.Outcome = seamcell.Conflict
		r.Entry = decode(conflict.Found)
	case errors.As(err, &unknown):
		r.Outcome = seamcell.Unknown
	default:
		r.Outcome = seamcell.Unavailable
	}
	return r
}

// decode returns the record of a store entry; an unreadable one counts as absent content
// at its revision, so that it is never overwritten by accident.
func decode(e seamstore.Entry) seamcell.Entry {
	if e.Revision == 0 {
		return seamcell.Entry{Key: e.Key}
	}
	entry, err := seamcell.DecodeEntry(e.Key, e.Revision, e.Value)
	if err != nil {
		return seamcell.Entry{Key: e.Key, Revision: e.Revision}
	}
	return entry
}

// bootstrap reads the directory until this node has a cell, and offers the
// seeds to the state machine meanwhile.
func (k *Keeper) bootstrap() {
	for {
		if k.isLonely() {
			k.readDirectory()
		}
		select {
		case <-k.ctx.Done():
			return
		case <-k.lonely:
		case <-time.After(lonelyInterval/2 + rand.N(lonelyInterval)):
		}
	}
}

// wakeBootstrap has the directory read soon.
func (k *Keeper) wakeBootstrap() {
	select {
	case k.lonely <- struct{}{}:
	default:
	}
}

func (k *Keeper) isLonely() bool {
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
	k.takeRecords(entries)
}

func (k *Keeper) listRecords(ctx context.Context) ([]seamcell.Entry, int64, error) {
	entries, revision, err := k.parts.Store.List(ctx, seamstore.Configuration, seamcell.KeyPrefix)
	if err != nil {
		return nil, 0, err
	}
	records := make([]seamcell.Entry, 0, len(entries))
	for _, e := range entries {
		records = append(records, decode(e))
	}
	return records, revision, nil
}

// takeRecords gives records to the state machine.
func (k *Keeper) takeRecords(entries []seamcell.Entry) {
	k.step(func(c *seamcell.Cell, now seamclock.Instant) []seamcell.Action { return c.UpdateRecords(now, entries) })
}

// followRole watches the directory while this node is a coordinator.
func (k *Keeper) followRole() {
	coordinates := k.View().Role == seamcell.RoleCoordinator
	k.mu.Lock()
	defer k.mu.Unlock()
	watching := k.watcher != nil
	if coordinates && !watching {
		ctx, cancel := context.WithCancel(k.ctx)
		k.watcher = cancel
		k.background(func() { k.watchDirectory(ctx) })
	}
	if !coordinates && watching {
		k.watcher()
		k.watcher = nil
	}
}

func (k *Keeper) watchDirectory(ctx context.Context) {
	for ctx.Err() == nil {
		entries, revision, err := k.listRecords(ctx)
		if err == nil {
			k.takeRecords(entries)
			_ = k.parts.Store.Watch(ctx, seamcell.KeyPrefix, revision, k.changed) // it is started again
		}
		seamwait.Jittered(ctx, watchPause)
	}
}

func (k *Keeper) changed(changes []seamstore.Change) {
	entries := make([]seamcell.Entry, 0, len(changes))
	for _, c := range changes {
		entry := seamcell.Entry{Key: c.Key, Revision: c.Revision, Deleted: true}
		if !c.Deleted {
			entry = decode(c.Entry)
		}
		entries = append(entries, entry)
	}
	k.takeRecords(entries)
}
