package seampiece

import (
	"fmt"
	"slices"
	"sync"
)

// versionsPerKey is the number of versions of a value whose pieces are kept, so that a node that is one version behind still
// gets what it asks for.
const versionsPerKey = 3

// IncompleteError reports that pieces of a value are missing.
type IncompleteError struct {
	Missing int
}

// Error gives the number of missing pieces.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("%d pieces of the value are missing", e.Missing)
}

// Cache holds the pieces of the latest versions of large values. It is safe for concurrent use.
type Cache struct {
	mu     sync.Mutex
	pieces map[Digest]*piece
	// versions are the latest versions of the value of each key, the latest last.
	versions map[string][]version
}

// piece is one piece, with its compressed form once another node has asked for it.
type piece struct {
	raw, packed []byte
}

// version is a version of a value. value is nil while pieces of it are missing.
type version struct {
	manifest Manifest
	value    []byte
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{pieces: map[Digest]*piece{}, versions: map[string][]version{}}
}

// Add adds the latest version of the value of a key and returns its manifest. The value must not change afterwards.
func (c *Cache) Add(key string, value []byte) Manifest {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range c.versions[key] {
		if isSame(v.value, value) {
			return v.manifest
		}
	}
	m := Manifest{Size: int64(len(value)), Sum: Sum(value)}
	for _, raw := range split(value) {
		d := Sum(raw)
		m.Pieces = append(m.Pieces, d)
		if known := c.pieces[d]; known != nil {
			// The earlier version, which holds the memory of the known piece, may be dropped.
			known.raw = raw
			continue
		}
		c.pieces[d] = &piece{raw: raw}
	}
	c.addVersion(key, version{manifest: m, value: value})
	return m
}

// isSame reports whether two values are the same memory.
func isSame(a, b []byte) bool {
	return len(a) > 0 && len(a) == len(b) && &a[0] == &b[0]
}

// Expect makes room for the pieces of a version that is to be fetched.
func (c *Cache) Expect(key string, m Manifest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range c.versions[key] {
		if v.manifest.Sum == m.Sum && v.manifest.Size == m.Size {
			return
		}
	}
	c.addVersion(key, version{manifest: m})
}

// addVersion adds the latest version of a key and drops the oldest one, with the pieces that only that one has. The caller
// holds mu.
func (c *Cache) addVersion(key string, v version) {
	c.versions[key] = append(c.versions[key], v)
	if len(c.versions[key]) <= versionsPerKey {
		return
	}
	c.versions[key] = slices.Delete(c.versions[key], 0, 1)
	kept := make(map[Digest]*piece, len(c.pieces))
	for _, versions := range c.versions {
		for _, v := range versions {
			for _, d := range v.manifest.Pieces {
				if p := c.pieces[d]; p != nil {
					kept[d] = p
				}
			}
		}
	}
	c.pieces = kept
}

// Missing returns the digests of the pieces that the cache lacks, each once.
func (c *Cache) Missing(m Manifest) []Digest {
	c.mu.Lock()
	defer c.mu.Unlock()
	var missing []Digest
	listed := map[Digest]bool{}
	for _, d := range m.Pieces {
		if c.pieces[d] == nil && !listed[d] {
			listed[d] = true
			missing = append(missing, d)
		}
	}
	return missing
}

// put adds a piece.
func (c *Cache) put(d Digest, raw []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pieces[d] == nil {
		c.pieces[d] = &piece{raw: raw}
	}
}

// packed returns a piece in its compressed form; nil if the cache lacks it.
func (c *Cache) packed(d Digest) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pieces[d]
	if p == nil {
		return nil
	}
	if p.packed == nil {
		p.packed = pack(p.raw)
	}
	return p.packed
}

// Assemble returns the value of a key that a manifest describes. The error is *IncompleteError if pieces are missing, and
// *DamagedError if they don't make up the value.
func (c *Cache) Assemble(key string, m Manifest) ([]byte, error) {
	if missing := c.Missing(m); len(missing) > 0 {
		return nil, &IncompleteError{Missing: len(missing)}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var value []byte
	for _, d := range m.Pieces {
		if c.pieces[d] == nil {
			return nil, &IncompleteError{Missing: 1}
		}
		value = append(value, c.pieces[d].raw...)
	}
	if got := Sum(value); got != m.Sum || int64(len(value)) != m.Size {
		return nil, &DamagedError{Want: m.Sum, Got: got}
	}
	c.share(key, m, value)
	return value, nil
}

// share makes the pieces of a value that was assembled refer to its memory. The caller holds mu.
func (c *Cache) share(key string, m Manifest, value []byte) {
	rest := value
	for _, d := range m.Pieces {
		p := c.pieces[d]
		n := len(p.raw)
		p.raw, rest = rest[:n:n], rest[n:]
	}
	for i, v := range c.versions[key] {
		if v.manifest.Sum == m.Sum {
			c.versions[key][i].value = value
		}
	}
}
