package seamstore

import (
	"context"
	"strings"
	"sync"
)

// Root is the common prefix of the router's keys.
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
func (j *SharedWatch) Watch(ctx context.Context, prefix string, from int64, f func([]Change)) error {
	if !strings.HasPrefix(prefix, Root) {
		return j.Store.Watch(ctx, prefix, from, f)
	}
	r := &subscriber{prefix: prefix, from: from, f: f, done: make(chan error, 1)}
	j.add(r)
	defer j.remove(r)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case err := <-r.done:
		return err
	}
}

// add adds a subscriber and restarts the watch from the earliest revision that a subscriber needs.
func (j *SharedWatch) add(r *subscriber) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.subscribers[r] = true
	if j.stop != nil {
		j.stop()
	}
	from := r.from
	for o := range j.subscribers {
		from = min(from, o.from)
	}
	j.generation++
	ctx, stop := context.WithCancel(context.Background())
	j.stop = stop
	go j.run(ctx, j.generation, from)
}

// remove removes a subscriber. No changes are delivered to it after remove returns.
func (j *SharedWatch) remove(r *subscriber) {
	j.delivering.Lock()
	defer j.delivering.Unlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.subscribers, r)
	if len(j.subscribers) == 0 && j.stop != nil {
		j.stop()
		j.stop = nil
	}
}

// run watches until it is stopped or the watch of the store fails. After a failure, all subscribers receive the
// error.
func (j *SharedWatch) run(ctx context.Context, generation int, from int64) {
	err := j.Store.Watch(ctx, Root, from, func(changes []Change) { j.deliver(generation, changes) })
	j.mu.Lock()
	defer j.mu.Unlock()
	if generation != j.generation || ctx.Err() != nil {
		return
	}
	for r := range j.subscribers {
		select {
		case r.done <- err:
		default:
		}
	}
}

// deliver delivers changes to the subscribers that have not received them.
func (j *SharedWatch) deliver(generation int, changes []Change) {
	j.delivering.Lock()
	defer j.delivering.Unlock()
	last := changes[len(changes)-1].Revision
	for _, r := range j.currentSubscribers(generation) {
		if pending := r.pending(changes); len(pending) > 0 {
			r.f(pending)
		}
		j.mu.Lock()
		r.from = max(r.from, last)
		j.mu.Unlock()
	}
}

// currentSubscribers returns the subscribers, or nil if the generation is outdated.
func (j *SharedWatch) currentSubscribers(generation int) []*subscriber {
	j.mu.Lock()
	defer j.mu.Unlock()
	if generation != j.generation {
		return nil
	}
	list := make([]*subscriber, 0, len(j.subscribers))
	for r := range j.subscribers {
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
