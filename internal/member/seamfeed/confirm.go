package seamfeed

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/singleflight"

	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/platform/seamwait"
)

const (
	// MaxAge is how long before a request a change may have been acknowledged that a node need not know to decide the request.
	MaxAge = time.Second
	// maxReaderAge is the same for the readers that a node asks.
	maxReaderAge = 500 * time.Millisecond
	// confirmTimeout bounds the time until a node knows that there are no other changes.
	confirmTimeout = time.Second
	// askInterval is the interval at which subscriptions that were opened meanwhile are asked too.
	askInterval = 100 * time.Millisecond
)

// UnfinishedError reports that a value has been announced and has not arrived.
type UnfinishedError struct {
	Key      string
	Revision int64
}

// Error gives the key and the revision.
func (e *UnfinishedError) Error() string {
	return fmt.Sprintf("revision %d of %s has not arrived yet", e.Revision, e.Key)
}

// errUnchecked reports that no reader got an answer from the store.
var errUnchecked = errors.New("no reader got an answer from the store")

// Confirm returns nil once the node knows all changes that were acknowledged until the given time, and has the values of those that
// it knows of. It asks the store or the readers if need be, once for many callers, and waits for at most confirmTimeout.
func (f *Feed) Confirm(ctx context.Context, until time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for f.checks.asOf().Before(until) {
		result := f.checks.running.DoChan("", func() (any, error) { return nil, f.makeCheck() })
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-result:
			if r.Err != nil {
				return r.Err
			}
		}
	}
	return f.fetches.await(ctx)
}

// Confirmed records that a watch has delivered all changes up to a revision, which are all that were acknowledged before a time.
func (f *Feed) Confirmed(asOf time.Time, revision int64) {
	f.replica.apply(time.Now(), nil, revision)
	f.checks.confirm(asOf)
}

// CurrentAsOf returns the time before which all acknowledged changes are known; zero if that is not known of any.
func (f *Feed) CurrentAsOf() time.Time { return f.checks.asOf() }

// makeCheck finds out whether there are changes that the node does not know, and applies them.
func (f *Feed) makeCheck() error {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	if f.Subscribed() {
		return f.checks.ask(ctx, time.Now())
	}
	started := time.Now()
	changes, revision, err := f.store.Changes(ctx, f.prefix, f.replica.resumeFrom())
	var compacted *seamstore.CompactedError
	switch {
	case errors.As(err, &compacted):
		entries, revision, err := f.store.List(ctx, seamstore.Configuration, f.prefix)
		if err != nil {
			return err
		}
		f.replica.replace(time.Now(), entries, revision, revision)
	case err != nil:
		return err
	default:
		f.replica.apply(time.Now(), changes, revision)
	}
	f.checks.confirm(started)
	return nil
}

// checks tracks up to when a node knows all changes. It is safe for concurrent use.
type checks struct {
	running singleflight.Group

	mu sync.Mutex
	// confirmed is the time up to which all acknowledged changes are known.
	confirmed time.Time
	// asked is the number of the latest check that readers were asked for, and done that of the latest one that one has made.
	asked, done uint64
	// subscriptions are those on which readers can be asked, with the number of the latest check that the reader could not
	// make.
	subscriptions map[checkChannel]uint64
	changed       chan struct{}
}

// checkChannel carries the numbers of the checks that a reader is asked for.
type checkChannel chan uint64

func newChecks() *checks {
	return &checks{subscriptions: map[checkChannel]uint64{}, changed: make(chan struct{})}
}

// asOf returns the time up to which all acknowledged changes are known.
func (c *checks) asOf() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmed
}

func (c *checks) confirm(asOf time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if asOf.After(c.confirmed) {
		c.confirmed = asOf
	}
}

// subscribe returns a channel with the checks to ask a reader for, and a function that ends the subscription.
func (c *checks) subscribe() (ch checkChannel, remove func()) {
	ch = make(checkChannel, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscriptions[ch] = 0
	return ch, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.subscriptions, ch)
	}
}

// answered records the latest checks that a reader has made and could not make, after the changes that it found were applied.
func (c *checks) answered(ch checkChannel, checked, unchecked uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if checked <= c.done && unchecked <= c.subscriptions[ch] {
		return
	}
	c.done = max(c.done, checked)
	c.subscriptions[ch] = unchecked
	close(c.changed)
	c.changed = make(chan struct{})
}

// ask asks all readers for a check and waits until one of them has made it, or all of them have failed to.
func (c *checks) ask(ctx context.Context, now time.Time) error {
	c.mu.Lock()
	c.asked++
	number := c.asked
	c.mu.Unlock()
	asked := map[checkChannel]bool{}
	for {
		done, failed, changed := c.askOthers(number, asked)
		switch {
		case done:
			// The changes that the reader knew may be older than the ask.
			c.confirm(now.Add(-maxReaderAge))
			return nil
		case failed:
			return errUnchecked
		case !seamwait.Until(ctx, askInterval, changed):
			return errors.CombineErrors(errUnchecked, ctx.Err())
		}
	}
}

// askOthers asks the readers that have not been asked yet. It reports whether a reader has made the check, and whether all of
// them have failed to, and returns a channel that is closed at the next answer.
func (c *checks) askOthers(number uint64, asked map[checkChannel]bool) (done, failed bool, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	failed = len(c.subscriptions) > 0
	for ch, unchecked := range c.subscriptions {
		if !asked[ch] {
			asked[ch] = true
			replace(ch, number)
		}
		failed = failed && unchecked >= number
	}
	return c.done >= number, failed, c.changed
}

// replace puts a number into the channel in place of an earlier one.
func replace(ch checkChannel, number uint64) {
	select {
	case <-ch:
	default:
	}
	ch <- number
}
