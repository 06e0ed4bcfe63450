// Package seamframe reads and writes the frames that two nodes exchange on a
// stream.
//
// A frame is encoded as a length-delimited protobuf field: a tag with the frame's
// type as the field number, a length and that many bytes. The payload of a Chunk
// is raw bytes of a body; the payload of any other frame is a protobuf message.
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

// Types of frames, named after the messages that they carry, Ask and Update of package seamfeedwire with the prefix Feed. A Chunk carries raw bytes of a body.
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
	FeedAsk     Type = 16
	FeedUpdate  Type = 17
	PieceAsk    Type = 18
	Piece       Type = 19

	// maxType is the highest type.
	maxType = Piece
)

const (
	// MaxChunkSize is the largest body chunk, in bytes.
	MaxChunkSize = 32 << 10
	// MaxMessageSize is the largest encoded message, in bytes.
	MaxMessageSize = 256 << 10
	// readBufferSize is the size of a Reader's buffer, in bytes.
	readBufferSize = 4 << 10
)

// Error reports a malformed or unexpected frame.
type Error struct {
	// Fault describes the violation.
	Fault string
	Type  Type
	// Length is the length of the frame's payload, if known.
	Length uint64
}

// Error returns the type and length of the frame and the fault.
func (e *Error) Error() string {
	return fmt.Sprintf("bad frame of type %d and length %d: %s", e.Type, e.Length, e.Fault)
}

// Frame is one frame. Payload is valid until the next call to Next.
type Frame struct {
	Type    Type
	Payload []byte
}

// Reader reads frames from a stream.
type Reader struct {
	in      *bufio.Reader
	payload []byte
}

var readers = sync.Pool{New: func() any {
	return &Reader{in: bufio.NewReaderSize(nil, readBufferSize)}
}}

// NewReader returns a Reader of r and a function that returns its buffers to the pool.
func NewReader(r io.Reader) (reader *Reader, release func()) {
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

// Next reads the next frame. It returns io.EOF if the stream ends between two
// frames, io.ErrUnexpectedEOF if it ends within one, and *Error for a bad frame.
func (r *Reader) Next() (Frame, error) {
	t, err := r.readTag()
	if err != nil {
		return Frame{}, err
	}
	length, err := r.readVarint()
	if err != nil {
		return Frame{}, unexpectedEOF(err)
	}
	if length > maxLength(t) {
		return Frame{}, &Error{Fault: "too long", Type: t, Length: length}
	}
	if err := r.readPayload(int(length)); err != nil {
		return Frame{}, unexpectedEOF(err)
	}
	return Frame{Type: t, Payload: r.payload}, nil
}

// ReadMessage reads the next frame, which must be of type t, and decodes it into m.
func (r *Reader) ReadMessage(t Type, m proto.Message) error {
	f, err := r.Next()
	if err != nil {
		return err
	}
	if f.Type != t {
		return &Error{Fault: fmt.Sprintf("want type %d", t), Type: f.Type, Length: uint64(len(f.Payload))}
	}
	return f.Decode(m)
}

// Buffered returns the number of bytes read from the stream but not yet returned by Next.
func (r *Reader) Buffered() int {
	return r.in.Buffered()
}

// Decode unmarshals the payload into m.
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
	if wire != protowire.BytesType || number < protowire.Number(RequestHead) || number > protowire.Number(maxType) {
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
				err = unexpectedEOF(err)
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

// readPayload reads n bytes into the payload. The payload grows as bytes arrive,
// so that a peer cannot make it allocate memory by announcing a length without
// sending the bytes.
func (r *Reader) readPayload(n int) error {
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

func maxLength(t Type) uint64 {
	if t == Chunk {
		return MaxChunkSize
	}
	return MaxMessageSize
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
