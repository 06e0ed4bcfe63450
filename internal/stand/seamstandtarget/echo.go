package seamstandtarget

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// EchoLimit is the largest answer of GET /echo, in bytes.
const MaxEchoBytes = 64 << 20

// Pattern returns the size bytes that answer the request with the id. No two ids have the
// same pattern, so that an answer that is cut short or belongs to another request is noticed.
func Pattern(id string, size int) []byte {
	body := make([]byte, 0, size+8)
	body = append(body, id...)
	state := xxhash.Sum64String(id) | 1
	for len(body) < size {
		state ^= state << 13
		state ^= state >> 7
		state ^= state << 17
		body = binary.LittleEndian.AppendUint64(body, state)
	}
	return body[:max(size, len(id))]
}
