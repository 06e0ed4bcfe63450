package seampiece

const (
	// minPieceBytes and maxPieceBytes bound the length of a piece; only the last one of a value may be shorter.
	minPieceBytes = 2 << 10
	maxPieceBytes = 16 << 10
	// boundaryBits is the number of bits of the rolling hash that are zero at the end of a piece. It makes pieces 8 KiB longer
	// than minPieceBytes on average.
	boundaryBits = 13
)

// split cuts a value into pieces, which share its memory. Whether a piece ends at a byte depends on the 64 bytes before it, so
// that a change of the value changes the pieces around it and leaves the others as they are.
func split(value []byte) [][]byte {
	var pieces [][]byte
	for len(value) > 0 {
		n := pieceLength(value)
		pieces = append(pieces, value[:n:n])
		value = value[n:]
	}
	return pieces
}

// pieceLength returns the length of the first piece of a value.
func pieceLength(value []byte) int {
	end := min(len(value), maxPieceBytes)
	hash := uint64(0)
	for i := min(minPieceBytes, end); i < end; i++ {
		hash = hash<<1 + gear[value[i]]
		if hash>>(64-boundaryBits) == 0 {
			return i + 1
		}
	}
	return end
}

// gear maps each byte to the random number by which it enters the rolling hash.
var gear = newGear()

// newGear returns the outputs of SplitMix64, which are the same at all nodes.
func newGear() (table [256]uint64) {
	state := uint64(0)
	for i := range table {
		state += 0x9e3779b97f4a7c15
		z := state
		z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
		z = (z ^ z>>27) * 0x94d049bb133111eb
		table[i] = z ^ z>>31
	}
	return table
}
