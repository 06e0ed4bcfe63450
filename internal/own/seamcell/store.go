package seamcell

import (
	"fmt"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/platform/seamstore"
)

// directory holds the known records of the store.
type directory struct {
	// loaded says that the store or a peer has told its records at least once.
	loaded  bool
	entries map[string]Entry
	// seen is when the present revision of a key became known.
	seen map[string]seamclock.Instant
	// revision is the highest that a watch, a list or a peer has told. Results of single calls
	// do not raise it, for they leave gaps.
	revision int64
	// changes counts the entries that were taken.
	changes uint64
	// order are the entries in order of their keys; nil after a change.
	order []Entry
}

func newDirectory() directory {
	return directory{entries: map[string]Entry{}, seen: map[string]seamclock.Instant{}}
}

func (d *directory) sorted() []Entry {
	if d.order == nil {
		d.order = make([]Entry, 0, len(d.entries))
		for _, k := range sortedKeys(d.entries) {
			d.order = append(d.order, d.entries[k])
		}
	}
	return d.order
}

// get returns the entry of a key that exists.
func (d *directory) get(key string) (Entry, bool) {
	e, ok := d.entries[key]
	return e, ok && !e.Deleted
}

// calls are the calls of the store under way, at most one for each key.
type calls struct {
	counter uint64
	pending map[string]*call
	// wait is the instant before which no new call is made, after one that failed.
	wait seamclock.Instant
}

// call is one call of the store, repeated until its outcome is known.
type call struct {
	id     uint64
	action Action
	key    string
	expect int64
	record Record
	write  bool
	remove bool
	// first is when the call was made first.
	first seamclock.Instant
	// unsure says that an attempt may have taken effect.
	unsure bool
	// waiting says that the next attempt is due at due.
	waiting bool
	due     seamclock.Instant
	done    func(outcome Outcome, e Entry, first seamclock.Instant)
}

// learn takes an entry if its revision is higher than the known one.
func (c *Cell) learn(e Entry) {
	known, ok := c.directory.entries[e.Key]
	if ok && e.Revision <= known.Revision {
		return
	}
	c.directory.entries[e.Key] = e
	c.directory.order = nil
	c.directory.seen[e.Key] = c.now
	c.directory.changes++
	if p := c.calls.pending[e.Key]; p != nil && p.write && e.Revision > p.expect {
		c.finishSwap(p, e)
	}
	c.recordChanged(e)
}

// recordChanged tells the roles of this node about a new revision of a record.
func (c *Cell) recordChanged(e Entry) {
	if e.Record.ID == "" && !e.Deleted {
		return
	}
	if c.coordination != nil && e.Key == c.coordination.entry.Key {
		c.adoptRecord(e)
		return
	}
	if c.watch != nil && e.Key == CellPrefix+c.watch.cell {
		c.watchRecord(e)
	}
	if c.member != nil && e.Key == CellPrefix+c.member.cell {
		c.memberRecord(e)
	}
}

// mayCall reports whether a call for the key can be made now.
func (c *Cell) mayCall(key string) bool {
	return c.calls.pending[key] == nil && seamclock.MaxElapsed(c.now, c.calls.wait) >= 0
}

// swap writes the record if the key's revision is expect, and calls done with OK, Conflict
// or Unavailable.
func (c *Cell) swap(expect int64, r Record, p seamstore.Priority, done func(Outcome, Entry, seamclock.Instant)) {
	c.calls.counter++
	r.WriteToken = fmt.Sprintf("%s/%d", c.self, c.calls.counter)
	id := c.calls.counter
	a := CompareAndSwap{ID: id, Key: r.Key(), Expect: expect, Record: r, Priority: p}
	x := &call{id: id, action: a, key: r.Key(), expect: expect, record: r, write: true, first: c.now, done: done}
	c.calls.pending[x.key] = x
	c.do(a)
}

// read reads the key and calls done with OK or Unavailable.
func (c *Cell) read(key string, p seamstore.Priority, done func(Outcome, Entry, seamclock.Instant)) {
	c.calls.counter++
	a := Read{ID: c.calls.counter, Key: key, Priority: p}
	c.calls.pending[key] = &call{id: a.ID, action: a, key: key, first: c.now, done: done}
	c.do(a)
}

// delete removes the key if its revision is expect.
func (c *Cell) delete(key string, expect int64) {
	c.calls.counter++
	a := Remove{ID: c.calls.counter, Key: key, Expect: expect}
	done := func(o Outcome, e Entry, _ seamclock.Instant) {
		if o == OK {
			c.learn(Entry{Key: key, Revision: max(e.Revision, expect+1), Deleted: true})
		}
	}
	c.calls.pending[key] = &call{id: a.ID, action: a, key: key, remove: true, first: c.now, done: done}
	c.do(a)
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
	case r.Outcome == Unknown && x.write, r.Outcome == Unavailable && x.unsure:
		x.unsure = true
		x.waiting = true
		x.due = c.now.Add(c.cfg.RetryInterval)
	case r.Outcome == Unknown || r.Outcome == Unavailable:
		c.calls.wait = c.now.Add(c.cfg.RetryInterval)
		c.finish(x, Unavailable, Entry{})
	case x.write && r.Outcome == OK:
		c.finishSwap(x, Entry{Key: x.key, Revision: r.Entry.Revision, Record: x.record})
	case x.write:
		c.finishSwap(x, r.Entry)
	default:
		c.finish(x, r.Outcome, r.Entry)
	}
}

// finishSwap ends a Swap; found is what stands in the store. If it bears the token of the
// write, the write took effect although an answer was lost.
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
		x.done(o, e, x.first)
		c.learn(e)
		return
	}
	if e.Revision > 0 && !x.remove {
		c.learn(e)
	}
	x.done(o, e, x.first)
}

// retryCalls repeats calls whose outcome is unknown. The repeated write has the same token and
// the same expected revision, so that it takes effect at most once.
func (c *Cell) retryCalls() {
	for _, key := range sortedKeys(c.calls.pending) {
		x := c.calls.pending[key]
		if x.waiting && seamclock.MaxElapsed(c.now, x.due) >= 0 {
			x.waiting = false
			c.do(x.action)
		}
	}
}
