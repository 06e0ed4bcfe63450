package seampiece_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	wire "cardamomseam/internal/member/seamfeedwire"
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/member/seampiece"
	"cardamomseam/internal/route/seamframe"
)

// randomBytes returns n bytes that can't be compressed.
func randomBytes(seed uint64, n int) []byte {
	random := rand.New(rand.NewPCG(seed, 0))
	p := make([]byte, n)
	for i := range p {
		p[i] = byte(random.Uint32())
	}
	return p
}

// serve returns a connection on which the cache serves its pieces.
func serve(t *testing.T, c *seampiece.Cache) net.Conn {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close() })
	go func() {
		defer far.Close()
		seampiece.Server{Cache: c, OnFailure: func(seampeer.Peer, error) {}}.ServeStream(t.Context(), seampeer.Peer{Name: "b"}, far)
	}()
	return near
}

// fetch fetches a value and returns it with what was sent.
func fetch(t *testing.T, from, to *seampiece.Cache, m seampiece.Manifest) ([]byte, seampiece.Transfer) {
	t.Helper()
	to.Expect("key", m)
	received, err := seampiece.Fetch(t.Context(), serve(t, from), to, m)
	if err != nil {
		t.Fatal(err)
	}
	value, err := to.Assemble("key", m)
	if err != nil {
		t.Fatal(err)
	}
	return value, received
}

func TestValuesArriveWhole(t *testing.T) {
	for _, size := range []int{0, 1, 2 << 10, 16 << 10, 256 << 10, 1 << 20} {
		for name, value := range map[string][]byte{
			"random": randomBytes(1, size), "zeros": make([]byte, size), "text": bytes.Repeat([]byte("route "), size/6),
		} {
			from, to := seampiece.NewCache(), seampiece.NewCache()
			got, _ := fetch(t, from, to, from.Add("key", value))
			if !bytes.Equal(got, value) {
				t.Errorf("%s, %d bytes: %d bytes arrived that differ", name, size, len(got))
			}
		}
	}
}

func TestSmallChangeSendsFewPieces(t *testing.T) {
	const size = 1 << 20
	value := randomBytes(1, size)
	inserted := append(bytes.Clone(value[:size/2]), append([]byte("a new route"), value[size/2:]...)...)
	for name, changed := range map[string][]byte{
		"inserted": inserted,
		"removed":  append(bytes.Clone(value[:1000]), value[1500:]...),
		"added":    append(bytes.Clone(value), "at the end"...),
		"replaced": append([]byte("version 2"), value[9:]...),
	} {
		from, to := seampiece.NewCache(), seampiece.NewCache()
		fetch(t, from, to, from.Add("key", value))
		got, received := fetch(t, from, to, from.Add("key", changed))
		if !bytes.Equal(got, changed) {
			t.Errorf("%s: another value arrived", name)
		}
		if received.Pieces > 3 {
			t.Errorf("%s: %d pieces were sent", name, received.Pieces)
		}
	}
}

func TestFetchResumesAfterACut(t *testing.T) {
	value := randomBytes(1, 1<<20)
	from, to := seampiece.NewCache(), seampiece.NewCache()
	m := from.Add("key", value)
	to.Expect("key", m)
	pieces, cuts := 0, 0
	for {
		received, err := seampiece.Fetch(t.Context(), &cutConn{Conn: serve(t, from), left: 300 << 10}, to, m)
		pieces += received.Pieces
		if err == nil {
			break
		}
		if cuts++; cuts > 10 {
			t.Fatal(err)
		}
	}
	if cuts == 0 || pieces != len(m.Pieces) {
		t.Errorf("%d pieces arrived over %d cuts, want each of %d once", pieces, cuts, len(m.Pieces))
	}
	if got, err := to.Assemble("key", m); err != nil || !bytes.Equal(got, value) {
		t.Errorf("got %d bytes, %v", len(got), err)
	}
}

// cutConn is a connection that is cut once a number of bytes has arrived.
type cutConn struct {
	net.Conn
	left int
}

var errCut = errors.New("cut")

// Read implements net.Conn.
func (c *cutConn) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, errCut
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

func TestPiecesThatAreNotHeldOrDamagedAreErrors(t *testing.T) {
	value := randomBytes(1, 100<<10)
	from, to := seampiece.NewCache(), seampiece.NewCache()
	m := from.Add("key", value)
	var notHeld *seampiece.NotHeldError
	if _, err := seampiece.Fetch(t.Context(), serve(t, seampiece.NewCache()), to, m); !errors.As(err, &notHeld) {
		t.Errorf("a node without the pieces: %v", err)
	}
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		frames, release := seamframe.NewReader(far)
		defer release()
		_ = frames.ReadMessage(seamframe.PieceAsk, new(wire.PieceAsk))
		_ = seamframe.Write(far, seamframe.Piece, &wire.Piece{Packed: []byte{1, 0, 0, 0xff, 0xff}})
	}()
	var damaged *seampiece.DamagedError
	if _, err := seampiece.Fetch(t.Context(), near, to, m); !errors.As(err, &damaged) {
		t.Errorf("a damaged piece: %v", err)
	}
	var incomplete *seampiece.IncompleteError
	if _, err := to.Assemble("key", m); !errors.As(err, &incomplete) {
		t.Errorf("a value without its pieces: %v", err)
	}
	other := m
	other.Sum = seampiece.Sum([]byte("another value"))
	if _, err := from.Assemble("key", other); !errors.As(err, &damaged) {
		t.Errorf("pieces that make up another value: %v", err)
	}
}

func TestFetchEndsWithItsContext(t *testing.T) {
	from := seampiece.NewCache()
	m := from.Add("key", randomBytes(1, 100<<10))
	near, far := net.Pipe()
	defer far.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	start := time.Now()
	if _, err := seampiece.Fetch(ctx, near, seampiece.NewCache(), m); err == nil || time.Since(start) > time.Second {
		t.Errorf("ended with %v after %v", err, time.Since(start))
	}
}

func TestOnlyPiecesOfTheLatestVersionsAreKept(t *testing.T) {
	c := seampiece.NewCache()
	var manifests []seampiece.Manifest
	for i := range 6 {
		manifests = append(manifests, c.Add("key", randomBytes(uint64(i), 64<<10)))
	}
	kept := 0
	for _, m := range manifests {
		if len(c.Missing(m)) == 0 {
			kept++
		}
	}
	if kept != 3 || len(c.Missing(manifests[5])) > 0 {
		t.Errorf("%d of 6 versions are kept, want the latest 3", kept)
	}
}

func FuzzManifest(f *testing.F) {
	f.Add(int64(1), make([]byte, 16), make([]byte, 32))
	f.Add(int64(-1), make([]byte, 15), make([]byte, 17))
	f.Fuzz(func(t *testing.T, size int64, sum, pieces []byte) {
		w := &wire.Manifest{Size: size, Sum: sum, Pieces: pieces}
		m, err := seampiece.ManifestFromWire(w)
		if err != nil {
			return
		}
		back := seampiece.ManifestToWire(m)
		if d := cmp.Diff([]any{size, fmt.Sprintf("%x", sum), fmt.Sprintf("%x", pieces)}, []any{back.Size, fmt.Sprintf("%x", back.Sum), fmt.Sprintf("%x", back.Pieces)}); d != "" {
			t.Error(d)
		}
		if _, err := seampiece.NewCache().Assemble("key", m); err == nil && (len(pieces) > 0 || size != 0) {
			t.Errorf("a value of %d bytes was made up of nothing", size)
		}
	})
}
