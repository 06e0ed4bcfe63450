package seamsession_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/route/seamsession"
)

// regionNode is a pool in a region with the metrics of its sessions.
type regionNode struct {
	pool *seamsession.Pool
	peer seampeer.Peer
	set  *metrics.Set
	// stop closes the pool.
	stop func()
}

func newRegionNode(t *testing.T, name, region string, c seamsession.Compression) regionNode {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := regionNode{
		peer: seampeer.Peer{Name: name, Incarnation: 1, Address: l.Addr().String(), Region: region},
		set:  metrics.NewSet(),
	}
	pool, stop, err := seamsession.New(seamsession.Config{Listener: l, Compression: c}, n.peer, n.set, seamevent.NewStream(name))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	pool.Register(seamsession.Rules, echoBytesHandler{})
	n.pool, n.stop = pool, stop
	return n
}

// echoBytesHandler echoes what it reads.
type echoBytesHandler struct{}

func (echoBytesHandler) ServeStream(_ context.Context, _ seampeer.Peer, conn net.Conn) {
	_, _ = io.Copy(conn, conn) // the peer sees a broken stream
}

// echo sends a message to the peer and checks its echo.
func (n regionNode) echo(t *testing.T, to seampeer.Peer, message []byte) {
	t.Helper()
	conn, err := n.pool.Open(t.Context(), to, seamsession.Rules)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	go func() { _, _ = conn.Write(message) }() // a lost write shows as a missing echo
	got := make([]byte, len(message))
	if _, err := io.ReadFull(conn, got); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, message) {
		t.Fatal("the echo differs from the message")
	}
}

// sentBytes returns the number of bytes sent to the region.
func (n regionNode) sentBytes(region string) uint64 {
	return n.set.GetOrCreateCounter(fmt.Sprintf("cardamomseam_session_bytes_total{from=%q,to=%q}", n.peer.Region, region)).Get()
}

// requestHead returns a message like the head of a request: fields that repeat, with an id of its own.
func requestHead(i int) []byte {
	return fmt.Appendf(nil, "id=%016x GET /visits/day/%d host=calendar.example accept=application/json caller=booker %s",
		rand.Uint64(), i%7, strings.Repeat("header-that-repeats: value; ", 12))
}

// TestSessionsBetweenRegionsAreCompressedIfBothSidesDo guards against peers that don't agree on the compression, and against compressed
// sessions within a region or beyond the memory for them.
func TestSessionsBetweenRegionsAreCompressedIfBothSidesDo(t *testing.T) {
	const requests = 200
	on := seamsession.Compression{OtherRegions: true, MaxBytes: 64 << 20}
	for _, tt := range []struct {
		name       string
		from, to   seamsession.Compression
		region     string
		compressed bool
	}{
		{"both", on, on, "west", true},
		{"caller only", on, seamsession.Compression{}, "west", false},
		{"peer only", seamsession.Compression{}, on, "west", false},
		{"same region", on, on, "ost", false},
		{"no memory", on, seamsession.Compression{OtherRegions: true, MaxBytes: 1}, "west", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			from := newRegionNode(t, "from", "ost", tt.from)
			to := newRegionNode(t, "to", tt.region, tt.to)
			sent := uint64(0)
			for i := range requests {
				head := requestHead(i)
				sent += uint64(len(head))
				from.echo(t, to.peer, head)
			}
			if got := from.sentBytes(tt.region); (got < sent/2) != tt.compressed {
				t.Errorf("%d bytes were sent for %d bytes of messages, want compressed: %v", got, sent, tt.compressed)
			}
		})
	}
}

// TestCompressedSessionKeepsBodies guards against bytes that a compressed session loses or holds back: bodies that can't be
// compressed, larger than a write and than a stream's window, on many streams at once.
func TestCompressedSessionKeepsBodies(t *testing.T) {
	on := seamsession.Compression{OtherRegions: true, MaxBytes: 64 << 20}
	from, to := newRegionNode(t, "from", "ost", on), newRegionNode(t, "to", "west", on)
	random := rand.NewChaCha8([32]byte{1})
	for _, size := range []int{1, 4 << 10, 40<<10 + 1, 3 << 20} {
		body := make([]byte, size)
		_, _ = random.Read(body) // never fails
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			for range 4 {
				t.Run("stream", func(t *testing.T) {
					t.Parallel()
					from.echo(t, to.peer, body)
				})
			}
		})
	}
}

// TestMemoryOfEndedSessionsIsFree guards against sessions that stay uncompressed because those that have ended still count.
func TestMemoryOfEndedSessionsIsFree(t *testing.T) {
	one := seamsession.Compression{OtherRegions: true, MaxBytes: 1 << 20}
	from := newRegionNode(t, "from", "ost", one)
	for i := range 3 {
		to := newRegionNode(t, fmt.Sprint("to-", i), "west", one)
		before := from.sentBytes("west")
		message := bytes.Repeat([]byte("repeated "), 2000)
		from.echo(t, to.peer, message)
		if sent := from.sentBytes("west") - before; sent > uint64(len(message))/4 {
			t.Errorf("session %d was not compressed: %d bytes for %d", i, sent, len(message))
		}
		to.stop()
		from.waitForNoCompressedSession(t)
	}
}

func (n regionNode) waitForNoCompressedSession(t *testing.T) {
	t.Helper()
	for range 500 {
		if n.set.GetOrCreateGauge("cardamomseam_sessions_compressed", nil).Get() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the session has not ended")
}
