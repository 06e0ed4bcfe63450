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

// openRelayed opens a stream through the first relay that reaches the peer.
func (p *Pool) openRelayed(ctx context.Context, to seampeer.Peer, k Kind, cause error) (net.Conn, error) {
	for _, r := range p.cfg.Relays.Relays(to) {
		c, err := p.openVia(ctx, r, to, k)
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

func (p *Pool) openVia(ctx context.Context, via, to seampeer.Peer, k Kind) (net.Conn, error) {
	s, err := p.find(via, time.Now())
	if err != nil {
		return nil, err
	}
	if s == nil {
		return nil, &UnreachableError{To: via, Cause: errors.New("the relay has no session")}
	}
	c, err := s.open(relay, time.Now())
	if err != nil {
		return nil, err
	}
	if err := p.askRelay(ctx, c, to, k); err != nil {
		c.Close()
		return nil, err
	}
	return relayed{c}, nil
}

// askRelay bounds the hop by the same time as a dial.
func (p *Pool) askRelay(ctx context.Context, c net.Conn, to seampeer.Peer, k Kind) error {
	limit := time.Now().Add(2 * p.cfg.DialTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(limit) {
		limit = d
	}
	c.SetReadDeadline(limit)
	defer c.SetReadDeadline(time.Time{})
	ask := &seamroutewire.RelayOpen{To: PeerToWire(to), Kind: uint32(k), From: PeerToWire(p.self)}
	if err := seamframe.Write(c, seamframe.RelayOpen, ask); err != nil {
		return err
	}
	answer := new(seamroutewire.RelayOpened)
	if err := readOnly(c, seamframe.RelayOpened, answer); err != nil {
		return err
	}
	got := PeerFromWire(answer.GetGot())
	if !got.Zero() && !fits(got, to) {
		return &StalePeerError{Want: to, Got: got}
	}
	if answer.GetFailure() != "" {
		return &UnreachableError{To: to, Cause: errors.New(answer.GetFailure())}
	}
	return nil
}

// relayed hides the session below a relayed stream, whose time is not that of its end.
type relayed struct {
	net.Conn
}

// relayHandler passes streams on to other peers.
type relayHandler struct {
	pool *Pool
}

// ServeStream connects the stream with one to the peer that it names.
func (h relayHandler) ServeStream(ctx context.Context, _ seampeer.Peer, in net.Conn) {
	ask := new(seamroutewire.RelayOpen)
	if err := readOnly(in, seamframe.RelayOpen, ask); err != nil {
		return
	}
	kind := Kind(ask.GetKind())
	if kind == relay {
		return
	}
	out, err := h.pool.openDirect(ctx, PeerFromWire(ask.GetTo()), kind)
	if err != nil {
		refuseRelay(in, err)
		return
	}
	defer out.Close()
	got := out.(*stream).Peer()
	if err := seamframe.Write(in, seamframe.RelayOpened, &seamroutewire.RelayOpened{Got: PeerToWire(got)}); err != nil {
		return
	}
	join(in, out)
}

func refuseRelay(in net.Conn, cause error) {
	answer := &seamroutewire.RelayOpened{Failure: cause.Error()}
	var stale *StalePeerError
	if errors.As(cause, &stale) {
		answer.Got = PeerToWire(stale.Got)
	}
	// The asking side sees a closed stream if the answer is lost.
	_ = seamframe.Write(in, seamframe.RelayOpened, answer)
}

// join copies both ways until both directions ended.
func join(a, b net.Conn) {
	var wg sync.WaitGroup
	wg.Go(func() { pass(a, b) })
	wg.Go(func() { pass(b, a) })
	wg.Wait()
}

// pass copies until the end and hands the end on: yamux streams close one direction only.
func pass(to, from net.Conn) {
	// Either side sees a closed stream without its end frame if a copy fails.
	_, _ = io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, seamframe.MaxChunkSize))
	to.Close()
}

// readOnly reads one frame without reading ahead.
func readOnly(c net.Conn, t seamframe.Type, m proto.Message) error {
	r, done := seamframe.NewReader(c)
	defer done()
	if err := r.ReadMessage(t, m); err != nil {
		return err
	}
	if r.Buffered() > 0 {
		return &seamframe.Error{Fault: "bytes follow before the answer", Type: t}
	}
	return nil
}
