package seampoison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"cardamomseam/internal/route/seamroutewire"
)

// BodyPrefix is the length in bytes of the start of a body by which requests are told apart. It is known before a long body
// has arrived.
const BodyPrefix = 16 << 10

// Fingerprint identifies the requests that are equal for a target. Equal requests have the same method, host, path with query,
// caller and length, and the same first BodyPrefix bytes of the body.
type Fingerprint struct {
	// Head is a digest of everything but the body, and Body a digest of the start of the body.
	Head, Body uint64
}

// Key is a request to a service.
type Key struct {
	Service string
	Fingerprint
}

// HeadDigest returns the digest of a request's head.
func HeadDigest(head *seamroutewire.RequestHead) uint64 {
	fields := [...]string{head.GetMethod(), head.GetHost(), head.GetPath(), head.GetOrigin()}
	b := make([]byte, 0, headBufferSize)
	for _, field := range fields {
		b = appendField(b, field)
	}
	return sum64(binary.LittleEndian.AppendUint64(b, uint64(head.GetLength())))
}

// headBufferSize is the size of a buffer that holds the fields of most heads, in bytes.
const headBufferSize = 256

// appendField appends a field with its length, so that two fields can't be mistaken for one.
func appendField(b []byte, field string) []byte {
	return append(binary.LittleEndian.AppendUint64(b, uint64(len(field))), field...)
}

func sum64(b []byte) uint64 {
	sum := sha256.Sum256(b)
	return binary.LittleEndian.Uint64(sum[:])
}

// NewFingerprint returns the fingerprint of a request with the digest of its head and the first BodyPrefix bytes of its body, or the
// whole body if that is shorter.
func NewFingerprint(head uint64, prefix []byte) Fingerprint {
	return Fingerprint{Head: head, Body: sum64(prefix[:min(len(prefix), BodyPrefix)])}
}

// String returns the fingerprint as 32 hexadecimal digits.
func (f Fingerprint) String() string {
	b := binary.BigEndian.AppendUint64(nil, f.Head)
	return hex.EncodeToString(binary.BigEndian.AppendUint64(b, f.Body))
}

// String returns the service and the fingerprint.
func (k Key) String() string { return k.Service + "/" + k.Fingerprint.String() }

// Incarnation is a digest of one incarnation of a target.
type Incarnation uint64

// NewIncarnation returns the digest of the incarnation that started at the time, in milliseconds since the Unix epoch.
func NewIncarnation(target string, started int64) Incarnation {
	return Incarnation(sum64(binary.LittleEndian.AppendUint64(appendField(nil, target), uint64(started))))
}
