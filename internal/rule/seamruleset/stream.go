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
	// streamTime bounds one exchange of rules.
	exchangeTimeout = 5 * time.Second
	// maxBundle is the longest bundle taken from a peer, in bytes.
	maxBundleBytes = 32 << 20
)

// ServeStream answers one Fetch of the peer with the rules in force here.
func (s *Set) ServeStream(ctx context.Context, _ seampeer.Peer, conn net.Conn) error {
	defer boundExchange(ctx, conn)()
	var fetch seamrulewire.Fetch
	if err := protodelim.UnmarshalFrom(bufio.NewReader(conn), &fetch); err != nil {
		return errors.Wrap(err, "read the request for rules")
	}
	bundle, err := s.bundleSince(fetch.GetSince())
	if err != nil {
		return err
	}
	return errors.Wrap(writeFrame(conn, bundle), "send rules")
}

// Fetch asks the peer on the connection for rules later than since and puts them in force.
// The error is a *PeerNotReadyError if the peer has no rules itself.
func (s *Set) Fetch(ctx context.Context, conn net.Conn, since int64) error {
	defer boundExchange(ctx, conn)()
	since = min(since, s.Revision())
	if s.current.Load() == nil {
		since = noRevision
	}
	if err := writeFrame(conn, &seamrulewire.Fetch{Since: since}); err != nil {
		return errors.Wrap(err, "ask for rules")
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

// writeFrame writes the message and its length at once.
func writeFrame(conn net.Conn, m proto.Message) error {
	w := bufio.NewWriter(conn)
	if _, err := protodelim.MarshalTo(w, m); err != nil {
		return err
	}
	return w.Flush()
}

// unknownRevision is lower than any revision; it asks for rules even if there are none.
const noRevision = -1

// PeerNotReadyError says that the asked peer has no rules yet.
type PeerNotReadyError struct{}

// Error says so.
func (e *PeerNotReadyError) Error() string { return "the peer has no rules yet" }

// limit bounds the exchange by ctx and by streamTime.
func boundExchange(ctx context.Context, conn net.Conn) (release func()) {
	conn.SetDeadline(time.Now().Add(exchangeTimeout))
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now()) })
	return func() { stop() }
}

// wire returns the versions in force that are later than since. A set at revision since
// has all others, because a set is always the store's state at one revision.
func (s *Set) bundleSince(since int64) (*seamrulewire.Bundle, error) {
	c := s.current.Load()
	if c == nil {
		return &seamrulewire.Bundle{}, nil
	}
	bundle := &seamrulewire.Bundle{Revision: c.bundle.Revision, Ready: true}
	for _, v := range c.bundle.Versions {
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
