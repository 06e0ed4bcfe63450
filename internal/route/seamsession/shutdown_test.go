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

// byteEchoHandler echoes each byte with a small delay.
type byteEchoHandler struct{}

func (byteEchoHandler) ServeStream(_ context.Context, _ seampeer.Peer, conn net.Conn) {
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

// exchange sends one byte, reads its echo and releases the stream for reuse. It
// reports whether a stream was opened, and the error of the exchange on it.
func (m *testNode) exchange(ctx context.Context, to seampeer.Peer) (opened bool, err error) {
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
		a, b := newTestNode(t, "a", seamsession.Config{}), newTestNode(t, "b", seamsession.Config{})
		b.pool.Register(seamsession.Rules, byteEchoHandler{})
		var sending sync.WaitGroup
		for range senders {
			sending.Go(func() {
				for {
					opened, err := a.exchange(t.Context(), b.peer)
					if !opened {
						return
					}
					if err != nil {
						t.Errorf("request was sent but not answered: %v", err)
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
	a, b := newTestNode(t, "a", seamsession.Config{}), newTestNode(t, "b", seamsession.Config{})
	conn, err := a.pool.Open(t.Context(), b.peer, seamsession.Rules)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, "x"); err != nil {
		t.Fatal(err)
	}
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		b.pool.Shutdown(t.Context())
	}()
	select {
	case <-returned:
		t.Fatal("shutdown returned with a stream in use")
	case <-time.After(100 * time.Millisecond):
	}
	if _, err := a.pool.Open(t.Context(), b.peer, seamsession.Rules); err == nil {
		t.Error("a stream was opened to a node that is shutting down")
	}
	conn.Close()
	select {
	case <-returned:
	case <-time.After(5 * time.Second):
		t.Fatal("shutdown did not return after the stream had ended")
	}
}
