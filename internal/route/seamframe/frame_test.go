package seamframe_test

import (
	"bytes"
	"io"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"cardamomseam/internal/route/seamframe"
	"cardamomseam/internal/route/seamroutewire"
)

func encodeRequest(t testing.TB) []byte {
	t.Helper()
	b, done := seamframe.NewBuffer()
	defer done()
	head := &seamroutewire.RequestHead{Id: []byte("0123456789abcdef"), Service: "booker", Path: "/book", Length: 4}
	if err := b.AppendMessage(seamframe.RequestHead, head); err != nil {
		t.Fatal(err)
	}
	b.AppendChunks([]byte("room"))
	if err := b.AppendMessage(seamframe.RequestEnd, &seamroutewire.RequestEnd{}); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := b.Flush(&out); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

func TestFramesRoundTrip(t *testing.T) {
	r, done := seamframe.NewReader(bytes.NewReader(encodeRequest(t)))
	defer done()
	head := new(seamroutewire.RequestHead)
	if err := r.ReadMessage(seamframe.RequestHead, head); err != nil {
		t.Fatal(err)
	}
	want := &seamroutewire.RequestHead{Id: []byte("0123456789abcdef"), Service: "booker", Path: "/book", Length: 4}
	if d := cmp.Diff(want, head, protocmp.Transform()); d != "" {
		t.Error(d)
	}
	f, err := r.Next()
	if err != nil || f.Type != seamframe.Chunk || string(f.Payload) != "room" {
		t.Errorf("got %v, %v", f, err)
	}
	if f, err = r.Next(); err != nil || f.Type != seamframe.RequestEnd {
		t.Errorf("got %v, %v", f, err)
	}
	if _, err = r.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("got %v at the end of the stream, want io.EOF", err)
	}
}

func TestTruncatedStreamIsNeverComplete(t *testing.T) {
	whole := encodeRequest(t)
	for n := range whole {
		types, err := readAll(whole[:n])
		if len(types) == 3 {
			t.Errorf("all frames were read from %d of %d bytes", n, len(whole))
		}
		if n > 0 && err == nil {
			t.Errorf("no error after %d bytes", n)
		}
	}
}

func readAll(p []byte) (types []seamframe.Type, err error) {
	r, done := seamframe.NewReader(bytes.NewReader(p))
	defer done()
	for {
		f, err := r.Next()
		if err != nil {
			return types, err
		}
		types = append(types, f.Type)
	}
}

func TestBadFrames(t *testing.T) {
	for name, p := range map[string][]byte{
		"unknown type":     {0xa2, 0x01, 0}, // one above the highest type
		"wrong wire type":  {0x08, 1},
		"unterminated tag": bytes.Repeat([]byte{0xff}, 16),
		"chunk too long":   {0x2a, 0xff, 0xff, 0xff, 0x7f},
		"head too long":    {0x0a, 0xff, 0xff, 0xff, 0xff, 0x7f},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := readAll(p)
			var bad *seamframe.Error
			if !errors.As(err, &bad) {
				t.Errorf("got %v", err)
			}
		})
	}
}

func FuzzReader(f *testing.F) {
	f.Add(encodeRequest(f))
	f.Add([]byte{0x2a, 3, 'a', 'b'})
	f.Add([]byte{0x0a, 0xff, 0xff, 0x03})
	f.Fuzz(func(t *testing.T, p []byte) {
		r, done := seamframe.NewReader(bytes.NewReader(p))
		defer done()
		read := 0
		for {
			frame, err := r.Next()
			if err != nil {
				return
			}
			read += len(frame.Payload)
			if read > len(p) {
				t.Fatalf("read %d payload bytes from an input of %d bytes", read, len(p))
			}
			if frame.Type == seamframe.RequestHead {
				// A malformed head must return an error, never panic.
				_ = frame.Decode(new(seamroutewire.RequestHead))
			}
		}
	})
}
