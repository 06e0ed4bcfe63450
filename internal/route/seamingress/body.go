package seamingress

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/route/seamcall"
	"cardamomseam/internal/route/seamoutcome"
)

// bodyError says that the caller's body could not be read.
type bodyError struct {
	Reason seamoutcome.Reason
	Cause  error
}

// Error names the reason and the cause.
func (e *bodyError) Error() string {
	return fmt.Sprintf("body of the request (%s): %v", e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *bodyError) Unwrap() error { return e.Cause }

// requestBody is the body of a caller's request. A short body of known length is
// read at once, and can be sent again; a longer one is passed on as it arrives.
type requestBody struct {
	source io.Reader
	limit  int64
	// length is the length in bytes, or -1 if it is not known.
	length int64
	whole  bool
	kept   []byte
	// count is the number of bytes read from the source.
	count atomic.Int64
	// failure is the first error of the source.
	failure atomic.Pointer[bodyError]
	// ended is called when a body that is passed on was read to its end.
	ended func()
}

func newBody(r *http.Request, limit int64) (*requestBody, error) {
	b := &requestBody{source: r.Body, limit: limit, length: r.ContentLength}
	if b.length > limit {
		return nil, &bodyError{Reason: seamoutcome.Large, Cause: errors.Newf("%d bytes, at most %d are allowed", b.length, limit)}
	}
	if b.length == 0 {
		b.whole = true
		return b, nil
	}
	if b.length < 0 || b.length > seamcall.MaxWholeBody {
		return b, nil
	}
	b.kept = make([]byte, b.length)
	if _, err := io.ReadFull(b, b.kept); err != nil {
		return nil, err
	}
	b.whole = true
	return b, nil
}

// Read reads from the caller. Errors other than io.EOF are *bodyError.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	count := b.count.Add(int64(n))
	switch {
	case count > b.limit:
		return 0, b.fail(seamoutcome.Large, errors.Newf("more than %d bytes", b.limit))
	case errors.Is(err, io.EOF):
		if b.ended != nil {
			b.ended()
		}
		return n, io.EOF
	case err == nil:
		return n, nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return n, b.fail(seamoutcome.Slow, err)
	default:
		return n, b.fail(seamoutcome.Malformed, err)
	}
}

func (b *requestBody) fail(r seamoutcome.Reason, cause error) error {
	err := &bodyError{Reason: r, Cause: cause}
	b.failure.CompareAndSwap(nil, err)
	return err
}

// again reports whether the body can be sent from its start.
func (b *requestBody) again() bool {
	return b.whole || b.count.Load() == 0 && b.failure.Load() == nil
}

// reader returns the body from its start. failed is called if the caller does
// not send it to its end.
func (b *requestBody) reader(failed func()) io.Reader {
	if b.whole {
		return bytes.NewReader(b.kept)
	}
	return &watchedBody{b, failed}
}

// watchedBody tells when the body of a request fails.
type watchedBody struct {
	*requestBody
	failed func()
}

// Read reads from the caller.
func (w *watchedBody) Read(p []byte) (int, error) {
	n, err := w.requestBody.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		w.failed()
	}
	return n, err
}
