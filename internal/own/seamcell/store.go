package seamcell

import (
	"fmt"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/platform/seamstore"
)

// directory holds the known records of the store.
type directory struct {
	// loaded says that records have been received from the store or a peer at least once.
	loaded  bool
	entries map[string]Entry
	// seenAt is when the current revision of a key became known.
	seenAt map[string]seamclock.Instant
	// revision is the highest revision reported by a watch, a list or a peer. Results of single
	// calls do not raise it, because they leave gaps.
	revision int64
	// changes counts the applied entries.
	changes uint64
	// sortedEntries are the entries sorted by key, or nil after a change.
	sortedEntries []Entry
}

func newDirectory() directory {
	return directory{entries: map[string]Entry{}, seenAt: map[string]seamclock.Instant{}}
}

func (d *directory) sorted() []Entry {
	if d.sortedEntries == nil {
		d.sortedEntries = make([]Entry, 0, len(d.entries))
		for _, k := range sortedKeys(d.entries) {
			d.sortedEntries = append(d.sortedEntries, d.entries[k])
		}
	}
	return d.sortedEntries
}

// get returns the entry of a key that exists.
func (d *directory) get(key string) (Entry, bool) {
	e, ok := d.entries[key]
	return e, ok && !e.Deleted
}

// calls are the pending store calls, at most one per key.
type calls struct {
	counter uint64
	pending map[string]*call
	// retryAt is the instant before which no new call is made after a failed one.
	retryAt seamclock.Instant
}

// call is a store call that is repeated until its outcome is known.
type call struct {
	id     uint64
	action Action
	key    string
	expect int64
	record Record
	write  bool
	remove bool
	// firstSent is when the call was first sent.
	firstSent seamclock.Instant
	// maybeApplied says that an attempt may have taken effect.
	maybeApplied bool
	// waiting says that the next attempt is due at due.
	waiting bool
	due     seamclock.Instant
	done    func(outcome Outcome, e Entry, first seamclock.Instant)
}

// observe applies an entry if its revision is higher than the known one.
func (c *Cell) observe(e Entry) {
	known, ok := c.directory.entries[e.Key]
	if ok && e.Revision <= known.Revision {
		return
	}
	c.directory.entries[e.Key] = e
	c.directory.sortedEntries = nil
	c.directory.seenAt[e.Key] = c.now
	c.directory.changes++
	if p := c.calls.pending[e.Key]; p != nil && p.write && e.Revision > p.expect {
		c.finishSwap(p, e)
	}
	c.recordChanged(e)
}

// recordChanged notifies the roles of this node of a new revision of a record.
func (c *Cell) recordChanged(e Entry) {
	if e.Record.ID == "" && !e.Deleted {
		return
	}
	if c.coordination != nil && e.Key == c.coordination.entry.Key {
		c.adoptRecord(e)
		return
	}
	if c.backup != nil && e.Key == CellPrefix+c.backup.cell {
		c.updateBackup(e)
	}
	if c.member != nil && e.Key == CellPrefix+c.member.cell {
		c.memberRecord(e)
	}
}

// canCall reports whether a call for the key can be made now.
func (c *Cell) canCall(key string) bool {
	return c.calls.pending[key] == nil && seamclock.MaxElapsed(c.now, c.calls.retryAt) >= 0
}

// swap writes the record if the key's revision is expect, and calls done with OK, Conflict or
// Unavailable.
func (c *Cell) swap(expect int64, r Record, p seamstore.Priority, done func(Outcome, Entry, seamclock.Instant)) {
	c.calls.counter++
	r.WriteToken = fmt.Sprintf("%s/%d", c.self, c.calls.counter)
	id := c.calls.counter
	a := CompareAndSwap{ID: id, Key: r.Key(), Expect: expect, Record: r, Priority: p}
	x := &call{id: id, action: a, key: r.Key(), expect: expect, record: r, write: true, firstSent: c.now, done: done}
	c.calls.pending[x.key] = x
	c.addAction(a)
}

// read reads the key and calls done with OK or Unavailable.
func (c *Cell) read(key string, p seamstore.Priority, done func(Outcome, Entry, seamclock.Instant)) {
	c.calls.counter++
	a := Read{ID: c.calls.counter, Key: key, Priority: p}
	c.calls.pending[key] = &call{id: a.ID, action: a, key: key, firstSent: c.now, done: done}
	c.addAction(a)
}

// delete deletes the key if its revision is expect.
func (c *Cell) delete(key string, expect int64) {
	c.calls.counter++
	a := Remove{ID: c.calls.counter, Key: key, Expect: expect}
	done := func(o Outcome, e Entry, _ seamclock.Instant) {
		if o == OK {
			c.observe(Entry{Key: key, Revision: max(e.Revision, expect+1), Deleted: true})
		}
	}
	c.calls.pending[key] = &call{id: a.ID, action: a, key: key, remove: true, firstSent: c.now, done: done}
	c.addAction(a)
}

func (c *Cell) stored(r StoreResult) {
	for _, key := range sortedKeys(c.calls.pending) {
		if x := c.calls.pending[key]; x.id == r.ID {
			c.storedCall(x, r)
			return
		}
	}
}

func (c *Cell) storedCall(x *call, r StoreResult) {
	switch {
	case r.Outcome == Unknown && x.write, r.Outcome == Unavailable && x.maybeApplied:
		x.maybeApplied = true
		x.waiting = true
		x.due = c.now.Add(c.cfg.RetryInterval)
	case r.Outcome == Unknown || r.Outcome == Unavailable:
		c.calls.retryAt = c.now.Add(c.cfg.RetryInterval)
		c.finish(x, Unavailable, Entry{})
	case x.write && r.Outcome == OK:
		c.finishSwap(x, Entry{Key: x.key, Revision: r.Entry.Revision, Record: x.record})
	case x.write:
		c.finishSwap(x, r.Entry)
	default:
		c.finish(x, r.Outcome, r.Entry)
	}
}

// finishSwap completes a CompareAndSwap; found is the entry in the store. If it has the token of
// the write, the write took effect although a response was lost.
func (c *Cell) finishSwap(x *call, found Entry) {
	outcome := Conflict
	if found.Record.WriteToken == x.record.WriteToken && !found.Deleted {
		outcome = OK
	}
	found.Key = x.key
	c.finish(x, outcome, found)
}

func (c *Cell) finish(x *call, o Outcome, e Entry) {
	delete(c.calls.pending, x.key)
	if o == Conflict && x.write && e.Revision == 0 {
		e.Deleted = true
	}
	if o == OK && x.write {
		x.done(o, e, x.firstSent)
		c.observe(e)
		return
	}
	if e.Revision > 0 && !x.remove {
		c.observe(e)
	}
	x.done(o, e, x.firstSent)
}

// retryCalls repeats calls whose outcome is unknown. A repeated write has the same token and the
// same expected revision, so it takes effect at most once.
func (c *Cell) retryCalls() {
	for _, key := range sortedKeys(c.calls.pending) {
		x := c.calls.pending[key]
		if x.waiting && seamclock.MaxElapsed(c.now, x.due) >= 0 {
			x.waiting = false
			c.addAction(x.action)
		}
	}
}
