package seamfeed

import (
	"maps"
	"slices"
	"sync"

	"cardamomseam/internal/platform/seamstore"
)

// maxLogLength is the number of changes that a log keeps. A subscriber that is further behind gets a list.
const maxLogLength = 4096

// changeLog keeps the latest changes, from which the subscriptions are served. It is safe for
// concurrent use.
type changeLog struct {
	// entries returns all present entries, which may be newer than the latest change.
	entries func() []seamstore.Entry

	mu      sync.Mutex
	tables  map[string]seamstore.Entry
	changes []loggedChange
	// first is the position of changes[0]; the position after the last change is first+len(changes).
	first int64
	// since is the revision from which on the log holds all changes of the keys other than the tables, and revision
	// the one up to which it does.
	since, revision int64
	// listed is whether the log has got a complete list.
	listed  bool
	changed chan struct{}
}

// loggedChange is a change of a key, or of an ownership table if table is set.
type loggedChange struct {
	seamstore.Change
	table bool
	// overtaken means that a later change of the same key is in the log and that this one is not sent any more.
	overtaken bool
}

// mayBeOvertaken reports whether only the latest one of such changes of a key matters. A log that kept all versions of large
// values would fill the memory.
func (c loggedChange) mayBeOvertaken() bool {
	return c.table || isLarge(c.Value)
}

func newChangeLog(entries func() []seamstore.Entry) *changeLog {
	return &changeLog{entries: entries, tables: map[string]seamstore.Entry{}, changed: make(chan struct{})}
}

// list records a complete list as of a revision. The log starts with the first one; of later ones it takes the changes that
// they brought, so that two nodes that still follow each other while their sources change don't send each other lists
// without end.
func (l *changeLog) list(changes []seamstore.Change, revision int64) {
	if l.start(revision) {
		return
	}
	l.append(changes, revision)
}

// start starts the log at a revision, and reports false if it has started before.
func (l *changeLog) start(revision int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listed {
		return false
	}
	l.listed = true
	l.since, l.revision = revision, revision
	l.signal()
	return true
}

// started reports whether the log can serve subscriptions, and returns a channel that is closed at the next change.
func (l *changeLog) started() (started bool, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listed, l.changed
}

// append adds changes of keys. revision is the one up to which all changes are known then.
func (l *changeLog) append(changes []seamstore.Change, revision int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range changes {
		l.add(loggedChange{Change: c})
	}
	l.revision = max(l.revision, revision)
	if len(changes) > 0 {
		// Without changes, the next heartbeat tells the revision: two nodes that still follow each other while
		// their sources change must not answer each update at once.
		l.signal()
	}
}

// putTable adds an ownership table unless the known one is as new, and reports whether it did.
func (l *changeLog) putTable(e seamstore.Entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.Revision <= l.tables[e.Key].Revision {
		return false
	}
	l.tables[e.Key] = e
	l.add(loggedChange{Change: seamstore.Change{Entry: e}, table: true})
	l.signal()
	return true
}

// tableRevision returns the revision of the latest known version of an ownership table; 0 if none is known.
func (l *changeLog) tableRevision(key string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tables[key].Revision
}

func (l *changeLog) add(c loggedChange) {
	l.overtake(c)
	if len(l.changes) == maxLogLength {
		dropped := maxLogLength / 2
		for _, old := range l.changes[:dropped] {
			if !old.table {
				l.since = max(l.since, old.Revision)
			}
		}
		l.changes = slices.Clone(l.changes[dropped:])
		l.first += int64(dropped)
	}
	l.changes = append(l.changes, c)
}

// overtake drops the value of an earlier change that the given one overtakes.
func (l *changeLog) overtake(by loggedChange) {
	for i := len(l.changes) - 1; i >= 0; i-- {
		c := &l.changes[i]
		if c.Key != by.Key || c.table != by.table || !c.mayBeOvertaken() {
			continue
		}
		c.overtaken, c.Value = true, nil
		return
	}
}

// wake ends the wait of all subscriptions for a change.
func (l *changeLog) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.signal()
}

// signal ends the wait of all subscriptions for a change. The caller holds mu.
func (l *changeLog) signal() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// batch is what a subscription sends next.
type batch struct {
	changes []loggedChange
	// list reports whether the changes are all entries instead of the latest changes.
	list     bool
	revision int64
	// next is the position from which the subscription continues.
	next int64
	// changed is closed at the next change.
	changed <-chan struct{}
}

// omitTables removes the ownership tables.
func (b *batch) omitTables() {
	b.changes = slices.DeleteFunc(b.changes, func(c loggedChange) bool { return c.table })
}

// from returns the changes from a position on, or a list if the log no longer reaches back so far.
func (l *changeLog) from(position int64) batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := batch{revision: l.revision, next: l.first + int64(len(l.changes)), changed: l.changed}
	if position < l.first {
		b.list = true
		b.changes = l.all()
		return b
	}
	for _, c := range l.changes[position-l.first:] {
		if !c.overtaken {
			b.changes = append(b.changes, c)
		}
	}
	return b
}

// after returns the changes after a revision and all tables, or a list if the log does not reach back so far.
func (l *changeLog) after(revision int64) batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := batch{revision: l.revision, next: l.first + int64(len(l.changes)), changed: l.changed}
	if revision < l.since || revision > l.revision {
		b.list = true
		b.changes = l.all()
		return b
	}
	b.changes = l.allTables()
	for _, c := range l.changes {
		if !c.table && !c.overtaken && c.Revision > revision {
			b.changes = append(b.changes, c)
		}
	}
	return b
}

// all returns all entries and tables. The caller holds mu.
func (l *changeLog) all() []loggedChange {
	changes := l.allTables()
	for _, e := range l.entries() {
		changes = append(changes, loggedChange{Change: seamstore.Change{Entry: e}})
	}
	return changes
}

func (l *changeLog) allTables() []loggedChange {
	var changes []loggedChange
	for _, key := range slices.Sorted(maps.Keys(l.tables)) {
		changes = append(changes, loggedChange{Change: seamstore.Change{Entry: l.tables[key]}, table: true})
	}
	return changes
}
