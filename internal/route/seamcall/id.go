package seamcall

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
)

// idSize is the length of a request id, in bytes.
const idSize = 16

// IDFromName derives the id of a request from the value of its Seam-Request header. Requests of
// different services have different ids for the same name.
func IDFromName(service, name string) []byte {
	sum := sha256.Sum256([]byte(service + "\x00" + name))
	return sum[:idSize]
}

// RandomID returns a new random id.
func RandomID() []byte {
	id := make([]byte, 0, idSize)
	id = binary.LittleEndian.AppendUint64(id, rand.Uint64())
	return binary.LittleEndian.AppendUint64(id, rand.Uint64())
}

// FormatID returns the id in the form sent to the target.
func FormatID(id []byte) string {
	return hex.EncodeToString(id)
}
