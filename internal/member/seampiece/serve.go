package seampiece

import (
	"context"
	"net"
	"time"

	wire "cardamomseam/internal/member/seamfeedwire"
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seamframe"
)

// askTimeout is how long a node that serves pieces waits for the next ask.
const askTimeout = 10 * time.Second

// Server serves the pieces in a cache to other nodes.
type Server struct {
	Cache *Cache
	// OnFailure is called when a stream fails before all pieces of an ask were sent.
	OnFailure func(to seampeer.Peer, err error)
}

// ServeStream answers the asks on one stream until the other node closes it or is silent for askTimeout.
func (s Server) ServeStream(ctx context.Context, from seampeer.Peer, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	frames, release := seamframe.NewReader(conn)
	defer release()
	for {
		conn.SetReadDeadline(time.Now().Add(askTimeout))
		ask := new(wire.PieceAsk)
		if frames.ReadMessage(seamframe.PieceAsk, ask) != nil {
			return // the other node has all pieces, or turns to another node
		}
		if err := s.answer(conn, ask); err != nil {
			s.OnFailure(from, err)
			return
		}
	}
}

func (s Server) answer(conn net.Conn, ask *wire.PieceAsk) error {
	digests, err := splitDigests(ask.GetDigests())
	if err != nil {
		return err
	}
	for _, d := range digests {
		conn.SetWriteDeadline(time.Now().Add(silenceTimeout))
		if err := seamframe.Write(conn, seamframe.Piece, &wire.Piece{Packed: s.Cache.packed(d)}); err != nil {
			return err
		}
	}
	return nil
}
