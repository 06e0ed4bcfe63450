package seamruleset

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/rule/seamrule"
	"cardamomseam/internal/rule/seamrulewire"
)

const (
	// exchangeTimeout is the maximum duration of one Fetch exchange with a peer.
	exchangeTimeout = 5 * time.Second
	// maxBundleBytes is the maximum size of a bundle received from a peer.
	maxBundleBytes = 32 << 20
)

// ServeStream answers one Fetch request of a peer with the active rules of this node.
func (s *Set) ServeStream(ctx context.Context, _ seampeer.Peer, conn net.Conn) error {
	defer limitExchange(ctx, conn)()
	var fetch seamrulewire.Fetch
	if err := protodelim.UnmarshalFrom(bufio.NewReader(conn), &fetch); err != nil {
		return errors.Wrap(err, "read rules request")
	}
	bundle, err := s.bundleSince(fetch.GetSince())
	if err != nil {
		return err
	}
	return errors.Wrap(writeMessage(conn, bundle), "send rules")
}

// Fetch requests the rules that are newer than revision since from the peer on the connection and
// activates them. If since is higher than the set's revision, it requests the rules after the set's
// revision, so that none are skipped. If the set has no rules, it requests all. The error is a *PeerNotReadyError if the peer has no rules itself.
func (s *Set) Fetch(ctx context.Context, conn net.Conn, since int64) error {
	defer limitExchange(ctx, conn)()
	since = min(since, s.Revision())
	if s.current.Load() == nil {
		since = noRevision
	}
	if err := writeMessage(conn, &seamrulewire.Fetch{Since: since}); err != nil {
		return errors.Wrap(err, "request rules")
	}
	var bundle seamrulewire.Bundle
	options := protodelim.UnmarshalOptions{MaxSize: maxBundleBytes}
	if err := options.UnmarshalFrom(bufio.NewReader(conn), &bundle); err != nil {
		return errors.Wrap(err, "receive rules")
	}
	if !bundle.GetReady() {
		return &PeerNotReadyError{}
	}
	return s.applyBundle(&bundle)
}

// writeMessage writes m preceded by its length, and flushes once.
func writeMessage(conn net.Conn, m proto.Message) error {
	w := bufio.NewWriter(conn)
	if _, err := protodelim.MarshalTo(w, m); err != nil {
		return err
	}
	return w.Flush()
}

// noRevision is lower than every revision, including 0, the revision of a store without rules. A Fetch
// with it requests all rules.
const noRevision = -1

// PeerNotReadyError reports that the peer has not loaded any rules yet.
type PeerNotReadyError struct{}

// Error states that the peer has no rules yet.
func (e *PeerNotReadyError) Error() string { return "the peer has no rules yet" }

// limitExchange makes reads and writes on conn fail when ctx is done or after exchangeTimeout. The
// returned function stops watching ctx.
func limitExchange(ctx context.Context, conn net.Conn) (release func()) {
	conn.SetDeadline(time.Now().Add(exchangeTimeout))
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now()) })
	return func() { stop() }
}

// bundleSince returns the active versions that are newer than since. A peer at revision since already
// has all others, because a set always equals the store's state at one revision.
func (s *Set) bundleSince(since int64) (*seamrulewire.Bundle, error) {
	active := s.current.Load()
	if active == nil {
		return &seamrulewire.Bundle{}, nil
	}
	bundle := &seamrulewire.Bundle{Revision: active.bundle.Revision, Ready: true}
	for _, v := range active.bundle.Versions {
		if v.Revision <= since {
			continue
		}
		text, err := json.Marshal(v.Document)
		if err != nil {
			return nil, errors.Wrapf(err, "encode the document of service %q", v.Service)
		}
		bundle.Documents = append(bundle.Documents, &seamrulewire.Document{
			Service: v.Service, Revision: v.Revision, Deleted: v.Deleted, Text: text,
		})
	}
	return bundle, nil
}

func (s *Set) applyBundle(bundle *seamrulewire.Bundle) error {
	versions := make([]seamrule.Version, 0, len(bundle.GetDocuments()))
	for _, d := range bundle.GetDocuments() {
		v := seamrule.Version{Service: d.GetService(), Revision: d.GetRevision(), Deleted: d.GetDeleted()}
		if err := json.Unmarshal(d.GetText(), &v.Document); err != nil {
			return errors.Wrapf(err, "decode the document of service %q", v.Service)
		}
		versions = append(versions, v)
	}
	_, err := s.ApplyVersions(time.Now(), versions)
	return err
}
