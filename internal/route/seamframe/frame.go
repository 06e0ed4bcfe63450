// Package seamframe reads and writes the frames of requests and answers on a
// stream between two nodes.
//
// A frame is a field of a protobuf message: a tag with the frame's type as field
// number, a length and that many bytes. Heads and ends are protobuf messages of
// package seamroutewire; chunks of bodies are bare bytes.
package seamframe

import (
	"bufio"
	"fmt"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// Type is the type of a frame.
type Type int32

// Types of frames.
const (
	RequestHead Type = 1
	RequestEnd  Type = 2
	AnswerHead  Type = 3
	AnswerEnd   Type = 4
	Chunk       Type = 5
	Void        Type = 6
	Voided      Type = 7
	Hello       Type = 8
	RelayOpen   Type = 9
	RelayOpened Type = 10
	Admitted    Type = 11
	Beat        Type = 12
	Reply       Type = 13
	Told        Type = 14
	Farewell    Type = 15

	// last is the highest type.
	last = Farewell
)

const (
	// ChunkLimit is the largest chunk of a body, in bytes.
	MaxChunkSize = 32 << 10
	// MessageLimit is the largest message, in bytes.
	MaxMessageSize = 256 << 10
	// readBuffer is the size of the buffer of a reader, in bytes.
	readBuffer = 4 << 10
)

// Error says that a stream broke the format of frames.
type Error struct {
	// Fault says what is wrong.
	Fault string
	Type  Type
	// Length is the length of the frame, if it was read.
	Length uint64
}

// Error names the fault.
func (e *Error) Error() string {
	return fmt.Sprintf("bad frame of type %d and length %d: %s", e.Type, e.Length, e.Fault)
}

// Frame is one frame. Payload is valid until the next call of Next.
type Frame struct {
	Type    Type
	Payload []byte
}

// Reader reads frames.
type Reader struct {
	in      *bufio.Reader
	payload []byte
}

var readers = sync.Pool{New: func() any {
	return &Reader{in: bufio.NewReaderSize(nil, readBuffer)}
}}

// NewReader returns a reader of r and a function that gives its buffers back.
func NewReader(r io.Reader) (reader *Reader, done func()) {
	reader = readers.Get().(*Reader)
	reader.in.Reset(r)
	return reader, func() {
		reader.in.Reset(nil)
		if cap(reader.payload) > MaxChunkSize {
			reader.payload = nil
		}
		readers.Put(reader)
	}
}

// Next reads the next frame. It returns io.EOF at the end of the stream between
// two frames, io.ErrUnexpectedEOF within one, and *Error for a bad frame.
func (r *Reader) Next() (Frame, error) {
	t, err := r.readTag()
	if err != nil {
		return Frame{}, err
	}
	length, err := r.readVarint()
	if err != nil {
		return Frame{}, unexpected(err)
	}
	if length > limit(t) {
		return Frame{}, &Error{Fault: "too long", Type: t, Length: length}
	}
	if err := r.fill(int(length)); err != nil {
		return Frame{}, unexpected(err)
	}
	return Frame{Type: t, Payload: r.payload}, nil
}

// Expect reads the next frame, which must be of type t, into m.
func (r *Reader) ReadMessage(t Type, m proto.Message) error {
	f, err := r.Next()
	if err != nil {
		return err
	}
	if f.Type != t {
		return &Error{Fault: fmt.Sprintf("type %d was expected", t), Type: f.Type, Length: uint64(len(f.Payload))}
	}
	return f.Decode(m)
}

// Buffered returns the number of bytes read from the stream but not yet returned.
func (r *Reader) Buffered() int {
	return r.in.Buffered()
}

// Decode parses the payload into m.
func (f Frame) Decode(m proto.Message) error {
	if err := proto.Unmarshal(f.Payload, m); err != nil {
		return &Error{Fault: err.Error(), Type: f.Type, Length: uint64(len(f.Payload))}
	}
	return nil
}

func (r *Reader) readTag() (Type, error) {
	tag, err := r.readVarint()
	if err != nil {
		return 0, err
	}
	number, wire := protowire.DecodeTag(tag)
	if wire != protowire.BytesType || number < protowire.Number(RequestHead) || number > protowire.Number(last) {
		return 0, &Error{Fault: "unknown tag", Type: Type(number)}
	}
	return Type(number), nil
}

// readVarint reads one varint. It returns io.EOF only if no byte was read.
func (r *Reader) readVarint() (uint64, error) {
	var buf [10]byte
	for i := range buf {
		b, err := r.in.ReadByte()
		if err != nil {
			if i > 0 {
				err = unexpected(err)
			}
			return 0, err
		}
		buf[i] = b
		if b < 0x80 {
			v, n := protowire.ConsumeVarint(buf[:i+1])
			if n < 0 {
				return 0, &Error{Fault: "bad varint"}
			}
			return v, nil
		}
	}
	return 0, &Error{Fault: "bad varint"}
}

// fill reads n bytes into the payload. The payload grows as bytes arrive, so
// that a length without its bytes takes no memory.
func (r *Reader) fill(n int) error {
	r.payload = r.payload[:0]
	for len(r.payload) < n {
		step := min(n-len(r.payload), MaxChunkSize)
		start := len(r.payload)
		r.payload = grow(r.payload, step)
		if _, err := io.ReadFull(r.in, r.payload[start:]); err != nil {
			return err
		}
	}
	return nil
}

func grow(p []byte, n int) []byte {
	if len(p)+n <= cap(p) {
		return p[:len(p)+n]
	}
	return append(p, make([]byte, n)...)
}

func limit(t Type) uint64 {
	if t == Chunk {
		return MaxChunkSize
	}
	return MaxMessageSize
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
