package seamstore

import (
	"context"
	"strings"
	"sync"
)

// Root is the common prefix of the keys of cells and rules, so that one watch covers all of them.
const Root = "seam/"

// SharedWatch is a Store that serves all watches under Root from one watch of the underlying store.
type SharedWatch struct {
	Store

	// delivering is locked while changes are delivered.
	delivering sync.Mutex
	// mu guards the fields below. It is locked after delivering.
	mu          sync.Mutex
	subscribers map[*subscriber]bool
	// generation counts the watches of the underlying store. Changes of an earlier watch are dropped.
	generation int
	stop       context.CancelFunc
}

// subscriber is one call of Watch.
type subscriber struct {
	prefix string
	// from is the revision up to which changes were delivered.
	from int64
	f    func([]Change)
	// done receives the error that ends the watch.
	done chan error
}

// NewSharedWatch wraps a store.
func NewSharedWatch(s Store) *SharedWatch {
	return &SharedWatch{Store: s, subscribers: map[*subscriber]bool{}}
}

// Watch implements Store.
func (w *SharedWatch) Watch(ctx context.Context, prefix string, from int64, f func([]Change)) error {
	if !strings.HasPrefix(prefix, Root) {
		return w.Store.Watch(ctx, prefix, from, f)
	}
	r := &subscriber{prefix: prefix, from: from, f: f, done: make(chan error, 1)}
	w.add(r)
	defer w.remove(r)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case err := <-r.done:
		return err
	}
}

// add adds a subscriber and restarts the watch from the earliest revision that a subscriber needs.
func (w *SharedWatch) add(r *subscriber) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.subscribers[r] = true
	if w.stop != nil {
		w.stop()
	}
	from := r.from
	for o := range w.subscribers {
		from = min(from, o.from)
	}
	w.generation++
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	go w.run(ctx, w.generation, from)
}

// remove removes a subscriber. No changes are delivered to it after remove returns.
func (w *SharedWatch) remove(r *subscriber) {
	w.delivering.Lock()
	defer w.delivering.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.subscribers, r)
	if len(w.subscribers) == 0 && w.stop != nil {
		w.stop()
		w.stop = nil
	}
}

// run watches until it is stopped or the watch of the store fails. After a failure, all subscribers receive the
// error.
func (w *SharedWatch) run(ctx context.Context, generation int, from int64) {
	err := w.Store.Watch(ctx, Root, from, func(changes []Change) { w.deliver(generation, changes) })
	w.mu.Lock()
	defer w.mu.Unlock()
	if generation != w.generation || ctx.Err() != nil {
		return
	}
	for r := range w.subscribers {
		select {
		case r.done <- err:
		default:
		}
	}
}

// deliver delivers changes to the subscribers that have not received them.
func (w *SharedWatch) deliver(generation int, changes []Change) {
	w.delivering.Lock()
	defer w.delivering.Unlock()
	last := changes[len(changes)-1].Revision
	for _, r := range w.currentSubscribers(generation) {
		if pending := r.pending(changes); len(pending) > 0 {
			r.f(pending)
		}
		w.mu.Lock()
		r.from = max(r.from, last)
		w.mu.Unlock()
	}
}

// currentSubscribers returns the subscribers, or nil if the generation is outdated.
func (w *SharedWatch) currentSubscribers(generation int) []*subscriber {
	w.mu.Lock()
	defer w.mu.Unlock()
	if generation != w.generation {
		return nil
	}
	list := make([]*subscriber, 0, len(w.subscribers))
	for r := range w.subscribers {
		list = append(list, r)
	}
	return list
}

// pending returns the changes under the subscriber's prefix that it has not received.
func (r *subscriber) pending(changes []Change) []Change {
	var pending []Change
	for _, c := range changes {
		if c.Revision > r.from && strings.HasPrefix(c.Key, r.prefix) {
			pending = append(pending, c)
		}
	}
	return pending
}
