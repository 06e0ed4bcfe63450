package seamstore

import (
	"context"
	"strings"
	"sync"
)

// Root precedes all keys of this program, so that one watch sees them.
const Root = "seam/"

// Joint is a Store that watches all prefixes under Root by one watch of the store beneath.
type SharedWatch struct {
	Store

	// delivering is held while changes are handed over.
	delivering sync.Mutex
	// mu guards what follows. It is taken after delivering.
	mu      sync.Mutex
	readers map[*reader]bool
	// round counts the watches of the store beneath; changes of an earlier one are dropped.
	round int
	stop  context.CancelFunc
}

// reader is one caller of Watch.
type reader struct {
	prefix string
	// from is the revision up to which changes were handed over.
	from int64
	f    func([]Change)
	// end gets the error that ends the watch.
	end chan error
}

// Join wraps a store.
func NewSharedWatch(s Store) *SharedWatch {
	return &SharedWatch{Store: s, readers: map[*reader]bool{}}
}

// Watch implements Store.
func (j *SharedWatch) Watch(ctx context.Context, prefix string, from int64, f func([]Change)) error {
	if !strings.HasPrefix(prefix, Root) {
		return j.Store.Watch(ctx, prefix, from, f)
	}
	r := &reader{prefix: prefix, from: from, f: f, end: make(chan error, 1)}
	j.add(r)
	defer j.remove(r)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case err := <-r.end:
		return err
	}
}

// add takes a reader in and watches from the earliest revision that a reader needs.
func (j *SharedWatch) add(r *reader) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.readers[r] = true
	if j.stop != nil {
		j.stop()
	}
	from := r.from
	for o := range j.readers {
		from = min(from, o.from)
	}
	j.round++
	ctx, stop := context.WithCancel(context.Background())
	j.stop = stop
	go j.run(ctx, j.round, from)
}

// remove takes a reader out. No changes are handed to it after that.
func (j *SharedWatch) remove(r *reader) {
	j.delivering.Lock()
	defer j.delivering.Unlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.readers, r)
	if len(j.readers) == 0 && j.stop != nil {
		j.stop()
		j.stop = nil
	}
}

// run watches until it is stopped or the store gives up; then all readers end.
func (j *SharedWatch) run(ctx context.Context, round int, from int64) {
	err := j.Store.Watch(ctx, Root, from, func(changes []Change) { j.deliver(round, changes) })
	j.mu.Lock()
	defer j.mu.Unlock()
	if round != j.round || ctx.Err() != nil {
		return
	}
	for r := range j.readers {
		select {
		case r.end <- err:
		default:
		}
	}
}

// deliver hands changes to the readers that have not had them.
func (j *SharedWatch) deliver(round int, changes []Change) {
	j.delivering.Lock()
	defer j.delivering.Unlock()
	last := changes[len(changes)-1].Revision
	for _, r := range j.present(round) {
		if news := r.news(changes); len(news) > 0 {
			r.f(news)
		}
		j.mu.Lock()
		r.from = max(r.from, last)
		j.mu.Unlock()
	}
}

// present returns the readers if the round is still the latest.
func (j *SharedWatch) present(round int) []*reader {
	j.mu.Lock()
	defer j.mu.Unlock()
	if round != j.round {
		return nil
	}
	list := make([]*reader, 0, len(j.readers))
	for r := range j.readers {
		list = append(list, r)
	}
	return list
}

// news returns the changes that the reader asked for and has not had.
func (r *reader) news(changes []Change) []Change {
	var news []Change
	for _, c := range changes {
		if c.Revision > r.from && strings.HasPrefix(c.Key, r.prefix) {
			news = append(news, c)
		}
	}
	return news
}
