package seamsession

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seamframe"
	"cardamomseam/internal/route/seamroutewire"
)

// openRelayed opens a stream through the first relay that reaches the peer. Relays and peers that are not allowed are not used; nil
// allows all.
func (p *Pool) openRelayed(ctx context.Context, to seampeer.Peer, k Kind, allowed func(seampeer.Peer) bool, cause error) (net.Conn, error) {
	for _, r := range p.cfg.Relays.Relays(to) {
		c, err := p.openThrough(ctx, r, to, k, allowed)
		if err == nil {
			p.stats.relayed.Inc()
			return c, nil
		}
		var stale *StalePeerError
		if errors.As(err, &stale) && stale.Want == to {
			return nil, err
		}
		cause = err
	}
	return nil, &UnreachableError{To: to, Cause: cause}
}

func (p *Pool) openThrough(ctx context.Context, via, to seampeer.Peer, k Kind, allowed func(seampeer.Peer) bool) (net.Conn, error) {
	s, err := p.find(via, time.Now())
	if err != nil {
		return nil, err
	}
	if s == nil {
		return nil, &UnreachableError{To: via, Cause: errors.New("the relay has no session")}
	}
	if allowed != nil && !allowed(s.peer) {
		return nil, &ForbiddenPeerError{Peer: s.peer}
	}
	c, err := s.open(ctx, relayKind, time.Now())
	if err != nil {
		return nil, err
	}
	got, err := p.requestRelay(ctx, c, to, k)
	if err == nil && allowed != nil && !allowed(got) {
		err = &ForbiddenPeerError{Peer: got}
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return relayedConn{c}, nil
}

// requestRelay asks the relay to connect the stream to the peer, and returns the peer that answered. It waits for up to two dial
// timeouts.
func (p *Pool) requestRelay(ctx context.Context, c net.Conn, to seampeer.Peer, k Kind) (seampeer.Peer, error) {
	deadline := time.Now().Add(2 * p.cfg.DialTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	c.SetReadDeadline(deadline)
	defer c.SetReadDeadline(time.Time{})
	request := &seamroutewire.RelayOpen{To: PeerToWire(to), Kind: uint32(k), From: PeerToWire(p.self)}
	if err := seamframe.Write(c, seamframe.RelayOpen, request); err != nil {
		return seampeer.Peer{}, err
	}
	reply := new(seamroutewire.RelayOpened)
	if err := readSingleFrame(c, seamframe.RelayOpened, reply); err != nil {
		return seampeer.Peer{}, err
	}
	got := PeerFromWire(reply.GetGot())
	if !got.Zero() && !matchesPeer(got, to) {
		return got, &StalePeerError{Want: to, Got: got}
	}
	if reply.GetFailure() != "" {
		return got, &UnreachableError{To: to, Cause: errors.New(reply.GetFailure())}
	}
	return got, nil
}

// relayedConn hides the session of a relayed stream: its age is that of the session with the relay, not of one
// with the peer.
type relayedConn struct {
	net.Conn
}

// relayHandler relays streams to other peers.
type relayHandler struct {
	pool *Pool
}

// ServeStream connects the stream to one that it opens to the requested peer.
func (h relayHandler) ServeStream(ctx context.Context, _ seampeer.Peer, in net.Conn) {
	request := new(seamroutewire.RelayOpen)
	if err := readSingleFrame(in, seamframe.RelayOpen, request); err != nil {
		return
	}
	kind := Kind(request.GetKind())
	if kind == relayKind {
		return
	}
	out, err := h.pool.openDirect(ctx, PeerFromWire(request.GetTo()), kind)
	if err != nil {
		refuseRelay(in, err)
		return
	}
	defer out.Close()
	got := out.(*stream).Peer()
	if err := seamframe.Write(in, seamframe.RelayOpened, &seamroutewire.RelayOpened{Got: PeerToWire(got)}); err != nil {
		return
	}
	copyBoth(in, out)
}

func refuseRelay(in net.Conn, cause error) {
	reply := &seamroutewire.RelayOpened{Failure: cause.Error()}
	var stale *StalePeerError
	if errors.As(cause, &stale) {
		reply.Got = PeerToWire(stale.Got)
	}
	// If the reply is lost, the requesting side sees a closed stream.
	_ = seamframe.Write(in, seamframe.RelayOpened, reply)
}

// copyBoth copies in both directions until both have ended.
func copyBoth(a, b net.Conn) {
	var wg sync.WaitGroup
	wg.Go(func() { copyDirection(a, b) })
	wg.Go(func() { copyDirection(b, a) })
	wg.Wait()
}

// copyDirection copies until the end of from and then closes to. Closing a yamux stream closes one direction only.
func copyDirection(to, from net.Conn) {
	// If a copy fails, either side sees a closed stream without its end frame.
	_, _ = io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, seamframe.MaxChunkSize))
	to.Close()
}

// readSingleFrame reads one frame, and fails if bytes beyond it were read ahead.
func readSingleFrame(c net.Conn, t seamframe.Type, m proto.Message) error {
	r, done := seamframe.NewReader(c)
	defer done()
	if err := r.ReadMessage(t, m); err != nil {
		return err
	}
	if r.Buffered() > 0 {
		return &seamframe.Error{Fault: "unexpected bytes after the frame", Type: t}
	}
	return nil
}
