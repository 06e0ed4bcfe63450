package seamfeed

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	wire "cardamomseam/internal/member/seamfeedwire"
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/route/seamframe"
)

const (
	// openTimeout bounds the opening of a subscription.
	openTimeout = time.Second
	// silenceTimeout is the time without a heartbeat after which a subscription is given up. If both readers of a failure
	// domain are lost at once, it is also the time without changes.
	silenceTimeout = 5 * heartbeatInterval / 2
	// writeTimeout bounds one write to the other end of a subscription.
	writeTimeout = 4 * time.Second
	// allowDownTime is how long a node follows a reader that does not reach the store before it looks for another one.
	allowDownTime = 5 * time.Second
)

// ReaderDownError reports that a reader does not reach the store.
type ReaderDownError struct {
	Reader string
	// Age is the time since the store last answered the reader.
	Age time.Duration
}

// Error names the reader and the time since its last contact.
func (e *ReaderDownError) Error() string {
	return "reader " + e.Reader + " has not reached the store for " + e.Age.String()
}

// followReader subscribes to a reader and applies its updates.
func (f *Feed) followReader(ctx context.Context, source Source) error {
	conn, err := f.open(ctx, source)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if err := sendAsk(conn, &wire.Ask{Revision: f.replica.resumeFrom(), NoTables: source.Backup}); err != nil {
		return err
	}
	requestCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	checks, remove := f.checks.subscribe()
	defer remove()
	go f.forwardRequests(requestCtx, conn, source, checks)
	return f.receive(conn, source, checks)
}

func (f *Feed) open(ctx context.Context, source Source) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	return f.network.Open(ctx, source.Reader)
}

func sendAsk(conn net.Conn, ask *wire.Ask) error {
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return seamframe.Write(conn, seamframe.FeedAsk, ask)
}

// forwardRequests sends the checks, and the requests for the ownership tables unless the reader is a second one. The subscription
// ends with an error if it cannot.
func (f *Feed) forwardRequests(ctx context.Context, conn net.Conn, source Source, checks checkChannel) {
	requests := f.requests
	if source.Backup {
		requests = nil
	}
	for {
		ask := new(wire.Ask)
		select {
		case <-ctx.Done():
			return
		case <-requests:
			ask.Read = true
		case ask.Check = <-checks:
		}
		if err := sendAsk(conn, ask); err != nil {
			conn.Close()
			return
		}
	}
}

// receive applies the updates of a subscription until it fails.
func (f *Feed) receive(conn net.Conn, source Source, checks checkChannel) error {
	frames, release := seamframe.NewReader(conn)
	defer release()
	started := time.Now()
	var listed []seamstore.Entry
	for {
		now := time.Now()
		conn.SetReadDeadline(now.Add(silenceTimeout))
		update := new(wire.Update)
		if err := frames.ReadMessage(seamframe.FeedUpdate, update); err != nil {
			return errors.Wrapf(err, "subscription to %s", source)
		}
		now = time.Now()
		age := time.Duration(update.GetAge()) * time.Millisecond
		if update.GetDown() && (!source.AllowDown || now.Sub(started) > allowDownTime) {
			return &ReaderDownError{Reader: source.String(), Age: age}
		}
		f.setReaderContact(now.Add(-age))
		listed = f.take(now, source, update, listed)
		f.checks.answered(checks, update.GetChecked(), update.GetUnchecked())
	}
}

// take applies an update. listed are the entries of the earlier parts of a list; it returns those that the next update
// continues.
func (f *Feed) take(now time.Time, source Source, update *wire.Update, listed []seamstore.Entry) []seamstore.Entry {
	changes := f.takeTables(now, f.takeLarge(now, source.Reader, update.GetChanges()))
	known := f.fetches.knownUpTo(update.GetRevision())
	if !update.GetList() {
		f.replica.apply(now, changes, known)
		return nil
	}
	for _, c := range changes {
		listed = append(listed, c.Entry)
	}
	if update.GetRevision() == 0 {
		return listed
	}
	f.replica.replace(now, listed, update.GetRevision(), known)
	return nil
}

func (f *Feed) setReaderContact(t time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readerContact = t
}

// takeLarge fetches the values of which manifests came, and returns the changes. Those whose value has not arrived have revision 0:
// they keep a key that the node knows at an earlier revision.
func (f *Feed) takeLarge(now time.Time, from seampeer.Peer, received []*wire.Change) []*wire.Change {
	for i, w := range received {
		if w.GetManifest() != nil {
			f.Offer(now, from, w)
			received[i] = &wire.Change{Key: w.GetKey(), Table: w.GetTable()}
		}
	}
	return received
}

// takeTables applies the ownership tables among the changes and returns the other changes.
func (f *Feed) takeTables(now time.Time, received []*wire.Change) []seamstore.Change {
	changes := make([]seamstore.Change, 0, len(received))
	for _, w := range received {
		e := seamstore.Entry{Key: w.GetKey(), Value: w.GetValue(), Revision: w.GetRevision()}
		if !w.GetTable() {
			changes = append(changes, seamstore.Change{Entry: e, Deleted: w.GetDeleted()})
			continue
		}
		if f.replica.log.putTable(e) {
			f.handler.PutTable(now, e)
		}
	}
	return changes
}
