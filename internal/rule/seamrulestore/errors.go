package seamrulestore

import (
	"fmt"
	"time"
)

// ConflictError reports that another change was recorded first. The refused change was not recorded.
type ConflictError struct {
	Service string
	// Expect is the expected revision and Found the recorded one; 0 means no document.
	Expect, Found int64
	// Author is the team that made the recorded version.
	Author string
	// Theirs is the recorded document and Yours the refused one, as YAML; empty if deleted.
	Theirs, Yours string
	// Diff is the difference from Theirs to Yours in the unified format.
	Diff string
}

// Error names both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("service %q is at revision %d by %s, not %d", e.Service, e.Found, e.Author, e.Expect)
}

// NotFoundError reports that no document of the service is recorded.
type NotFoundError struct {
	Service string
}

// Error names the service.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no document of service %q is recorded", e.Service)
}

// UnavailableError reports that the store could not be reached in time. Nothing was recorded.
type UnavailableError struct {
	Service string
	// RetryAfter is the delay after which a retry may succeed.
	RetryAfter time.Duration
	Cause      error
}

// Error names the service and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("nothing was recorded for service %q: %v", e.Service, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownError reports that the store did not confirm in time whether the change was recorded.
// A retry with the same Writer and expected revision never records the change twice.
type UnknownError struct {
	Service string
	Writer  string
	Cause   error
}

// Error names the service and the writer.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("outcome of change %s to service %q is unknown: %v", e.Writer, e.Service, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// StaleError reports that the store is behind the active rules of this node, because it lost writes or
// served a stale read. Nothing was recorded.
type StaleError struct {
	Service string
	// Found is the revision of the service or of the whole store, Active the one active at this node.
	Found, Active int64
}

// Error names both revisions.
func (e *StaleError) Error() string {
	return fmt.Sprintf("service %q: the store is at revision %d, but revision %d is in force", e.Service, e.Found, e.Active)
}
