package seampiece

// PackedSize returns the number of bytes that the pieces have as they are sent.
func PackedSize(c *Cache, digests []Digest) (n int) {
	for _, d := range digests {
		n += len(c.packed(d))
	}
	return n
}
