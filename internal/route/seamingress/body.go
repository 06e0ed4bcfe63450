package seamingress

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/route/seamcall"
	"cardamomseam/internal/route/seamframe"
	"cardamomseam/internal/route/seamoutcome"
)

// bodyError reports that the request body could not be read from the caller.
type bodyError struct {
	Reason seamoutcome.Reason
	Cause  error
}

// Error returns the reason and the cause.
func (e *bodyError) Error() string {
	return fmt.Sprintf("reading the request body (%s): %v", e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *bodyError) Unwrap() error { return e.Cause }

// requestBody is the body of a caller's request. A short body of known length is
// buffered, so that retries can resend it; any other body is streamed as it arrives.
type requestBody struct {
	source io.Reader
	limit  int64
	// length is the length in bytes, or -1 if unknown.
	length int64
	// fullyBuffered means that buffered holds the whole body.
	fullyBuffered bool
	buffered      []byte
	// bytesRead is the number of bytes read from the source.
	bytesRead atomic.Int64
	// ended means that a streamed body has been read to its end.
	ended atomic.Bool
	// failure is the first error of the source.
	failure atomic.Pointer[bodyError]
	// deadline limits each wait for the caller; nil means that none does.
	deadline *readDeadline
	// onRelease returns the memory of the body; nil if none is reserved.
	onRelease func()
}

// streamMemory is the memory in which a streamed body is passed on, in bytes.
const streamMemory = 2 * seamframe.MaxChunkSize

// bodyMemory returns the memory that the body of the length takes.
func bodyMemory(length int64) int64 {
	if length < 0 || length > seamcall.MaxWholeBody {
		return streamMemory
	}
	return length
}

// releaseMemory returns the memory that is reserved for the body.
func (b *requestBody) releaseMemory() {
	if b.onRelease != nil {
		b.onRelease()
	}
}

func newBody(r *http.Request, limit int64, deadline *readDeadline) (*requestBody, error) {
	b := &requestBody{source: r.Body, limit: limit, length: r.ContentLength, deadline: deadline}
	if b.length > limit {
		return nil, &bodyError{Reason: seamoutcome.Large, Cause: errors.Newf("body of %d bytes exceeds the limit of %d bytes", b.length, limit)}
	}
	if b.length == 0 {
		b.fullyBuffered = true
		return b, nil
	}
	if b.length < 0 || b.length > seamcall.MaxWholeBody {
		return b, nil
	}
	b.buffered = make([]byte, b.length)
	if _, err := io.ReadFull(b, b.buffered); err != nil {
		return nil, err
	}
	b.fullyBuffered = true
	return b, nil
}

// Read reads from the caller's connection. Errors other than io.EOF are of type *bodyError.
func (b *requestBody) Read(p []byte) (int, error) {
	b.deadline.extend(time.Now())
	n, err := b.source.Read(p)
	count := b.bytesRead.Add(int64(n))
	switch {
	case count > b.limit:
		return 0, b.fail(seamoutcome.Large, errors.Newf("body exceeds the limit of %d bytes", b.limit))
	case errors.Is(err, io.EOF):
		b.ended.Store(true)
		b.deadline.remove()
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

// fullyRead reports whether the caller has sent the whole body.
func (b *requestBody) fullyRead() bool { return b.fullyBuffered || b.ended.Load() }

// replayable reports whether the body can still be sent from its start.
func (b *requestBody) replayable() bool {
	return b.fullyBuffered || b.bytesRead.Load() == 0 && b.failure.Load() == nil
}

// reader returns a reader of the body, which must be replayable. onFailure is called if reading the body from
// the caller fails.
func (b *requestBody) reader(onFailure func()) io.Reader {
	if b.fullyBuffered {
		return bytes.NewReader(b.buffered)
	}
	return &notifyingBody{b, onFailure}
}

// notifyingBody calls onFailure when reading the request body fails.
type notifyingBody struct {
	*requestBody
	onFailure func()
}

// Read reads from the caller's connection.
func (b *notifyingBody) Read(p []byte) (int, error) {
	n, err := b.requestBody.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.onFailure()
	}
	return n, err
}
