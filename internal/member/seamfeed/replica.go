package seamfeed

import (
	"sync"
	"sync/atomic"
	"time"

	"cardamomseam/internal/platform/seammirror"
	"cardamomseam/internal/platform/seamstore"
)

// replica is a node's copy of the keys, with the log from which subscriptions are served. It is safe for concurrent use.
type replica struct {
	handler Handler
	mirror  *seammirror.Mirror
	log     *changeLog
	// revision is the one up to which all changes are known. It changes while mu is held.
	revision atomic.Int64

	// mu is held while changes are applied, so that the mirror and the log take them in the same order.
	mu sync.Mutex
	// complete is whether changes can be followed without another list.
	complete bool
}

func newReplica(handler Handler) *replica {
	mirror := seammirror.New(handler)
	return &replica{handler: handler, mirror: mirror, log: newChangeLog(mirror.Entries)}
}

// replace takes a complete list as of a revision.
func (r *replica) replace(now time.Time, entries []seamstore.Entry, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changes := r.mirror.Replace(now, entries, revision)
	r.complete = true
	r.advance(revision)
	r.log.list(changes, r.revision.Load())
	r.handler.Synced(now)
}

// preview takes a complete list without completing the replica: another one follows.
func (r *replica) preview(now time.Time, entries []seamstore.Entry, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mirror.Replace(now, entries, revision)
}

// apply takes changes, after which all changes up to the revision are known.
func (r *replica) apply(now time.Time, changes []seamstore.Change, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(revision)
	r.log.append(r.mirror.Apply(now, changes), revision)
}

// advance records that all changes up to the revision are known. The caller holds mu.
func (r *replica) advance(revision int64) {
	r.revision.Store(max(r.revision.Load(), revision))
}

// resumeFrom returns the revision from which changes can be followed; 0 if the replica is not complete.
func (r *replica) resumeFrom() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.complete {
		return 0
	}
	return r.revision.Load()
}

// requireList makes the replica incomplete until the next list.
func (r *replica) requireList() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.complete = false
}
