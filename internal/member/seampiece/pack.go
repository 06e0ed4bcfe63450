package seampiece

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

// DamagedError reports a piece or a value whose content does not have its digest.
type DamagedError struct {
	Want, Got Digest
}

// Error gives both digests.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("content with the digest %s arrived in place of %s", e.Got, e.Want)
}

var packers = sync.Pool{New: func() any {
	// The error is always nil for this level.
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// pack compresses a piece.
func pack(raw []byte) []byte {
	var packed bytes.Buffer
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	w.Reset(&packed)
	// Writes to a buffer don't fail.
	_, _ = w.Write(raw)
	_ = w.Close()
	return packed.Bytes()
}

// unpack returns the piece with the digest. The error is *DamagedError if it has another one.
func unpack(packed []byte, want Digest) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	raw, err := io.ReadAll(io.LimitReader(r, maxPieceBytes))
	if err != nil {
		return nil, err
	}
	if got := Sum(raw); got != want {
		return nil, &DamagedError{Want: want, Got: got}
	}
	return raw, nil
}
