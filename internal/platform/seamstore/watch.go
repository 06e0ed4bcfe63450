package seamstore

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	wire "cardamomseam/internal/platform/seamstorewire"
)

const (
	// watchLifetime is the time after which a watch is reopened, so that a connection
	// that was lost without an error is detected. This adds no cost: an open watch
	// counts as one call per minute.
	watchLifetime = time.Minute
	// openTimeout limits the time until the store confirms a watch.
	openTimeout = 3 * time.Second
	// maxMessageBytes limits the size of a watch message.
	maxMessageBytes = 16 << 20
)

// CompactedError reports that the store has compacted the changes after a revision.
// The caller must list the keys again and watch from the revision of the list.
type CompactedError struct {
	Prefix string
	// From is the requested revision.
	From int64
	// Compacted is the oldest revision that the store may still have.
	Compacted int64
}

// Error gives the prefix and both revisions.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("store watch of %s cannot resume after revision %d: compacted up to revision %d", e.Prefix, e.From, e.Compacted)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, from int64, f func([]Change)) error {
	for attempt := 0; ; attempt++ {
		last, err := c.watchOnce(ctx, prefix, from, f)
		var compacted *CompactedError
		switch {
		case errors.As(err, &compacted):
			return err
		case ctx.Err() != nil:
			return ctx.Err()
		case c.closed.Err() != nil:
			return c.closed.Err()
		case last > from || err == nil:
			attempt = 0
		}
		from = last
		if err != nil && !c.waitBackoff(ctx, attempt) {
			return context.Canceled
		}
	}
}

// watchOnce watches over one connection for at most watchLifetime. It returns the revision
// up to which changes were delivered to f.
func (c *Client) watchOnce(ctx context.Context, prefix string, from int64, f func([]Change)) (int64, error) {
	if err := c.budget.acquire(time.Now(), Configuration, prefix); err != nil {
		c.callMetrics.refused.Inc()
		return from, err
	}
	ctx, cancel := context.WithTimeout(ctx, watchLifetime)
	defer cancel()
	stop := context.AfterFunc(c.closed, cancel)
	defer stop()
	confirm := time.AfterFunc(openTimeout, cancel)
	defer confirm.Stop()
	response, _, err := c.open(ctx, "/v3/watch", watchRequest(prefix, from))
	if err != nil {
		c.callMetrics.failed("/v3/watch")
		return from, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		c.callMetrics.failed("/v3/watch")
		return from, &StatusError{Status: response.StatusCode}
	}
	c.callMetrics.succeeded("/v3/watch", 0)
	last, err := readWatch(response.Body, prefix, from, f, func() { confirm.Stop() })
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return last, nil
	}
	return last, err
}

func watchRequest(prefix string, from int64) *wire.WatchRequest {
	return &wire.WatchRequest{RequestUnion: &wire.WatchRequest_CreateRequest{
		CreateRequest: &wire.WatchCreateRequest{
			Key:           []byte(prefix),
			RangeEnd:      prefixEnd(prefix),
			StartRevision: from + 1,
		},
	}}
}

// readWatch reads the watch messages of one connection. It calls confirm after each message that is not an error.
func readWatch(body io.Reader, prefix string, from int64, f func([]Change), confirm func()) (int64, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxMessageBytes)
	last := from
	for lines.Scan() {
		m := &wire.WatchResult{}
		if err := lenient.Unmarshal(lines.Bytes(), m); err != nil {
			return last, errors.Wrap(err, "decode store watch message")
		}
		r := m.GetResult()
		if r.GetCompactRevision() > 0 {
			return last, &CompactedError{Prefix: prefix, From: last, Compacted: r.GetCompactRevision()}
		}
		confirm()
		if changes := changesAfter(last, r.GetEvents()); len(changes) > 0 {
			f(changes)
			last = changes[len(changes)-1].Revision
		}
	}
	if err := lines.Err(); err != nil {
		return last, err
	}
	return last, io.ErrUnexpectedEOF
}

// changesAfter converts the events with a revision above last.
func changesAfter(last int64, events []*wire.Event) []Change {
	changes := make([]Change, 0, len(events))
	for _, e := range events {
		if e.GetKv().GetModRevision() <= last {
			continue
		}
		changes = append(changes, Change{
			Entry:   entry(e.Kv),
			Deleted: e.Type == wire.Event_DELETE,
		})
	}
	return changes
}
