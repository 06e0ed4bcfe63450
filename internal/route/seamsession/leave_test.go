package seamsession_test

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seamsession"
)

// turns answers each byte with the same byte, one after the other on a stream.
type turns struct{}

func (turns) ServeStream(_ context.Context, _ seampeer.Peer, conn net.Conn) {
	for b := make([]byte, 1); ; {
		if _, err := io.ReadFull(conn, b); err != nil {
			return
		}
		time.Sleep(100 * time.Microsecond)
		if _, err := conn.Write(b); err != nil {
			return
		}
	}
}

// exchange sends one byte on a stream that is kept for reuse afterwards. It
// reports whether a stream was opened, and the error of what was sent on it.
func (m *member) exchange(ctx context.Context, to seampeer.Peer) (opened bool, err error) {
	conn, err := m.pool.Open(ctx, to, seamsession.Rules)
	if err != nil {
		return false, err
	}
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	b := []byte{7}
	if _, err := conn.Write(b); err != nil {
		conn.Close()
		return true, err
	}
	if _, err := io.ReadFull(conn, b); err != nil {
		conn.Close()
		return true, err
	}
	conn.(interface{ Release() }).Release()
	return true, nil
}

func TestShutdownLosesNoRequests(t *testing.T) {
	const rounds, senders = 20, 16
	for range rounds {
		a, b := newMember(t, "a", seamsession.Config{}), newMember(t, "b", seamsession.Config{})
		b.pool.Register(seamsession.Rules, turns{})
		var sending sync.WaitGroup
		for range senders {
			sending.Go(func() {
				for {
					opened, err := a.exchange(t.Context(), b.peer)
					if !opened {
						return
					}
					if err != nil {
						t.Errorf("sent and not answered: %v", err)
						return
					}
				}
			})
		}
		time.Sleep(20 * time.Millisecond)
		b.pool.Shutdown(t.Context())
		b.close()
		sending.Wait()
		a.close()
	}
}

func TestShutdownWaitsForStreamsInUse(t *testing.T) {
	a, b := newMember(t, "a", seamsession.Config{}), newMember(t, "b", seamsession.Config{})
	conn, err := a.pool.Open(t.Context(), b.peer, seamsession.Rules)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, "x"); err != nil {
		t.Fatal(err)
	}
	left := make(chan struct{})
	go func() {
		defer close(left)
		b.pool.Shutdown(t.Context())
	}()
	select {
	case <-left:
		t.Fatal("left with a stream in use")
	case <-time.After(100 * time.Millisecond):
	}
	if _, err := a.pool.Open(t.Context(), b.peer, seamsession.Rules); err == nil {
		t.Error("a stream was opened to a node that leaves")
	}
	conn.Close()
	select {
	case <-left:
	case <-time.After(5 * time.Second):
		t.Fatal("did not leave when the stream had ended")
	}
}
