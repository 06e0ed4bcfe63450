package seamfeed

import (
	"sync"
	"sync/atomic"
	"time"

	"cardamomseam/internal/member/seampiece"
	"cardamomseam/internal/platform/seammirror"
	"cardamomseam/internal/platform/seamstore"
)

// replica is a node's copy of the keys, with the log from which subscriptions are served. It is safe for concurrent use.
type replica struct {
	handler Handler
	mirror  *seammirror.Mirror
	log     *changeLog
	pieces  *seampiece.Cache
	// revision is the one up to which all changes are known. It changes while mu is held.
	revision atomic.Int64

	// mu is held while changes are applied, so that the mirror and the log take them in the same order.
	mu sync.Mutex
	// complete is whether changes can be followed without another list.
	complete bool
}

func newReplica(handler Handler) *replica {
	mirror := seammirror.New(handler)
	return &replica{handler: handler, mirror: mirror, log: newChangeLog(mirror.Entries), pieces: seampiece.NewCache()}
}

// replace takes a complete list as of a revision. All changes up to known are known then: it is less than revision if values
// in the list have not arrived yet.
func (r *replica) replace(now time.Time, entries []seamstore.Entry, revision, known int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changes := r.mirror.Replace(now, entries, revision)
	r.splitLarge(changes)
	r.complete = true
	r.advance(known)
	r.log.list(changes, r.revision.Load())
	r.handler.Synced(now)
}

// preview takes a complete list without completing the replica: another one follows.
func (r *replica) preview(now time.Time, entries []seamstore.Entry, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.splitLarge(r.mirror.Replace(now, entries, revision))
}

// apply takes changes, after which all changes up to the revision are known.
func (r *replica) apply(now time.Time, changes []seamstore.Change, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(revision)
	applied := r.mirror.Apply(now, changes)
	r.splitLarge(applied)
	r.log.append(applied, revision)
}

// splitLarge keeps the pieces of large values, of which later versions share most.
func (r *replica) splitLarge(changes []seamstore.Change) {
	for _, c := range changes {
		if isLarge(c.Value) {
			r.pieces.Add(c.Key, c.Value)
		}
	}
}

// revisionOf returns the revision at which a key is known; 0 if it is not.
func (r *replica) revisionOf(key string) int64 { return r.mirror.Revision(key) }

// applyValue takes a large value whose pieces have arrived.
func (r *replica) applyValue(now time.Time, e seamstore.Entry, table bool) {
	if !table {
		r.apply(now, []seamstore.Change{{Entry: e}}, 0)
		return
	}
	if r.log.putTable(e) {
		r.handler.PutTable(now, e)
	}
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
