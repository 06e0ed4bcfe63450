// Package seampiece transfers large values between nodes in pieces. A value is split at positions that depend on its content,
// so that two versions of a document share most of their pieces, and a node fetches only the pieces that it lacks.
package seampiece

import (
	"crypto/sha256"
	"fmt"

	wire "cardamomseam/internal/member/seamfeedwire"
)

// digestBytes is the length of a Digest.
const digestBytes = 16

// Digest identifies a piece or a value by its content: it is the start of its SHA-256 sum.
type Digest [digestBytes]byte

// Sum returns the digest of content.
func Sum(content []byte) Digest {
	sum := sha256.Sum256(content)
	return Digest(sum[:digestBytes])
}

// String returns the digest in hexadecimal digits.
func (d Digest) String() string { return fmt.Sprintf("%x", d[:]) }

// Manifest describes a value by the pieces that it consists of.
type Manifest struct {
	// Size is the length of the value, in bytes.
	Size int64
	// Sum is the digest of the value.
	Sum Digest
	// Pieces are the digests of the pieces, in their order.
	Pieces []Digest
}

// ManifestError reports a manifest that describes no value.
type ManifestError struct {
	Field string
	// Length is the number of bytes in the field.
	Length int
}

// Error gives the field and its length.
func (e *ManifestError) Error() string {
	return fmt.Sprintf("manifest has %d bytes of %s, which are no digests", e.Length, e.Field)
}

// ManifestToWire converts a manifest to its wire message.
func ManifestToWire(m Manifest) *wire.Manifest {
	return &wire.Manifest{Size: m.Size, Sum: m.Sum[:], Pieces: joinDigests(m.Pieces)}
}

// ManifestFromWire converts a manifest from its wire message. The error is *ManifestError.
func ManifestFromWire(w *wire.Manifest) (Manifest, error) {
	if len(w.GetSum()) != digestBytes {
		return Manifest{}, &ManifestError{Field: "sum", Length: len(w.GetSum())}
	}
	pieces, err := splitDigests(w.GetPieces())
	if err != nil {
		return Manifest{}, err
	}
	return Manifest{Size: w.GetSize(), Sum: Digest(w.GetSum()), Pieces: pieces}, nil
}

func joinDigests(digests []Digest) []byte {
	joined := make([]byte, 0, len(digests)*digestBytes)
	for _, d := range digests {
		joined = append(joined, d[:]...)
	}
	return joined
}

func splitDigests(joined []byte) ([]Digest, error) {
	if len(joined)%digestBytes != 0 {
		return nil, &ManifestError{Field: "pieces", Length: len(joined)}
	}
	digests := make([]Digest, 0, len(joined)/digestBytes)
	for ; len(joined) > 0; joined = joined[digestBytes:] {
		digests = append(digests, Digest(joined[:digestBytes]))
	}
	return digests, nil
}
