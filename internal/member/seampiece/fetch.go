package seampiece

import (
	"context"
	"fmt"
	"net"
	"time"

	wire "cardamomseam/internal/member/seamfeedwire"
	"cardamomseam/internal/route/seamframe"
)

const (
	// piecesPerAsk is the number of pieces that a node asks for at once. A version that a newer one has overtaken costs no more
	// than these.
	piecesPerAsk = 16
	// silenceTimeout is the time without a piece after which a transfer is given up. A transfer over a slow link takes as long
	// as it takes.
	silenceTimeout = 2500 * time.Millisecond
)

// NotHeldError reports that a node does not hold a piece that it was asked for.
type NotHeldError struct {
	Digest Digest
}

// Error gives the digest of the piece.
func (e *NotHeldError) Error() string {
	return fmt.Sprintf("the node does not hold the piece %s", e.Digest)
}

// Transfer counts what a fetch has received.
type Transfer struct {
	Pieces int
	// Bytes is the size of the pieces as they were sent.
	Bytes int
}

// Fetch asks the node at the other end of conn for the pieces of a value that the cache lacks, until it holds all of them.
// Pieces that have arrived stay in the cache if it fails. It closes conn when ctx ends.
func Fetch(ctx context.Context, conn net.Conn, c *Cache, m Manifest) (Transfer, error) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	frames, release := seamframe.NewReader(conn)
	defer release()
	var t Transfer
	for {
		missing := c.Missing(m)
		if len(missing) == 0 {
			return t, nil
		}
		if err := t.fetch(conn, frames, c, missing[:min(len(missing), piecesPerAsk)]); err != nil {
			return t, err
		}
	}
}

// fetch asks for some pieces and adds them to the cache as they arrive.
func (t *Transfer) fetch(conn net.Conn, frames *seamframe.Reader, c *Cache, digests []Digest) error {
	conn.SetWriteDeadline(time.Now().Add(silenceTimeout))
	if err := seamframe.Write(conn, seamframe.PieceAsk, &wire.PieceAsk{Digests: joinDigests(digests)}); err != nil {
		return err
	}
	for _, d := range digests {
		conn.SetReadDeadline(time.Now().Add(silenceTimeout))
		received := new(wire.Piece)
		if err := frames.ReadMessage(seamframe.Piece, received); err != nil {
			return err
		}
		if len(received.GetPacked()) == 0 {
			return &NotHeldError{Digest: d}
		}
		raw, err := unpack(received.GetPacked(), d)
		if err != nil {
			return err
		}
		c.put(d, raw)
		t.Pieces++
		t.Bytes += len(received.GetPacked())
	}
	return nil
}
