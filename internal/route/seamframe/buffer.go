package seamframe

import (
	"io"
	"sync"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// Buffer gathers frames that are written together.
type Buffer struct {
	bytes []byte
}

var buffers = sync.Pool{New: func() any { return new(Buffer) }}

// NewBuffer returns an empty buffer and a function that gives it back.
func NewBuffer() (b *Buffer, done func()) {
	b = buffers.Get().(*Buffer)
	return b, func() {
		b.bytes = b.bytes[:0]
		if cap(b.bytes) > 2*MaxChunkSize {
			b.bytes = nil
		}
		buffers.Put(b)
	}
}

// Message appends m as a frame of type t.
func (b *Buffer) AppendMessage(t Type, m proto.Message) error {
	size := proto.Size(m)
	if size > MaxMessageSize {
		return &Error{Fault: "too long", Type: t, Length: uint64(size)}
	}
	b.tag(t, size)
	bytes, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b.bytes, m)
	if err != nil {
		return err
	}
	b.bytes = bytes
	return nil
}

// Chunk appends p as chunks of a body.
func (b *Buffer) AppendChunks(p []byte) {
	for len(p) > 0 {
		n := min(len(p), MaxChunkSize)
		b.tag(Chunk, n)
		b.bytes = append(b.bytes, p[:n]...)
		p = p[n:]
	}
}

// Len returns the number of bytes in the buffer.
func (b *Buffer) Len() int {
	return len(b.bytes)
}

// Flush writes the frames to w in one call and empties the buffer.
func (b *Buffer) Flush(w io.Writer) error {
	if len(b.bytes) == 0 {
		return nil
	}
	_, err := w.Write(b.bytes)
	b.bytes = b.bytes[:0]
	return err
}

func (b *Buffer) tag(t Type, length int) {
	b.bytes = protowire.AppendTag(b.bytes, protowire.Number(t), protowire.BytesType)
	b.bytes = protowire.AppendVarint(b.bytes, uint64(length))
}

// Write writes m to w as one frame of type t.
func Write(w io.Writer, t Type, m proto.Message) error {
	b, done := NewBuffer()
	defer done()
	if err := b.AppendMessage(t, m); err != nil {
		return err
	}
	return b.Flush(w)
}
