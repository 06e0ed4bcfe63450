package seamstandtarget

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// MaxEchoBytes is the maximum size of a response of the echo endpoint.
const MaxEchoBytes = 64 << 20

// Pattern returns the response body of the given size, at least the length of the id, for the
// request with the id. Each id has its own pattern, so that truncated and misrouted responses
// are detected.
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
