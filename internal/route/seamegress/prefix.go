package seamegress

import (
	"bytes"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/route/seampoison"
)

// bodyPrefix returns the start of the body by which requests are told apart, and false if it has not arrived yet.
func (c *call) bodyPrefix() ([]byte, bool) {
	switch body := c.body.(type) {
	case *bytes.Reader:
		prefix := make([]byte, min(body.Size(), seampoison.BodyPrefix))
		_, err := body.ReadAt(prefix, 0)
		return prefix, err == nil || len(prefix) == 0
	case *prefixReader:
		return body.prefix()
	}
	return nil, false
}

// recordPrefix makes the call keep the start of a body that is not in memory. If requests like this one may be poison, it reads that
// start before the request is sent.
func (c *call) recordPrefix() {
	if _, inMemory := c.body.(*bytes.Reader); inMemory || c.egress.cfg.Poison == nil {
		return
	}
	r := &prefixReader{source: c.body}
	c.body = r
	if c.mayBePoison() {
		r.fill()
	}
}

// prefixReader keeps the first seampoison.BodyPrefix bytes that are read from a body.
type prefixReader struct {
	source io.Reader

	mu   sync.Mutex
	kept []byte
	// unread is the part of kept that Read has not returned yet.
	unread []byte
	ended  bool
	err    error
}

// Read returns the next bytes of the body.
func (r *prefixReader) Read(p []byte) (int, error) {
	r.mu.Lock()
	if len(r.unread) > 0 {
		defer r.mu.Unlock()
		n := copy(p, r.unread)
		r.unread = r.unread[n:]
		return n, nil
	}
	err := r.err
	r.mu.Unlock()
	if err != nil {
		return 0, err
	}
	n, err := r.source.Read(p)
	r.keep(p[:n], err)
	return n, err
}

func (r *prefixReader) keep(p []byte, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept = append(r.kept, p[:min(len(p), seampoison.BodyPrefix-len(r.kept))]...)
	r.ended = r.ended || errors.Is(err, io.EOF)
}

// fill reads the start of the body. Read returns it afterwards.
func (r *prefixReader) fill() {
	var kept []byte
	var err error
	for buffer := make([]byte, seampoison.BodyPrefix); err == nil && len(kept) < seampoison.BodyPrefix; {
		var n int
		n, err = r.source.Read(buffer[:seampoison.BodyPrefix-len(kept)])
		kept = append(kept, buffer[:n]...)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept, r.unread, r.err = kept, kept, err
	r.ended = errors.Is(err, io.EOF)
}

// prefix returns the start of the body, and false if it has not been read yet.
func (r *prefixReader) prefix() ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kept, r.ended || len(r.kept) == seampoison.BodyPrefix
}
