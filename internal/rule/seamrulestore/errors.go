package seamrulestore

import (
	"fmt"
	"time"
)

// ConflictError says that another change was recorded first. Nothing was recorded.
type ConflictError struct {
	Service string
	// Expect is the revision that the writer expected, Found the recorded one; 0 means no document.
	Expect, Found int64
	// Author is the team that made the recorded version.
	Author string
	// Theirs is the recorded document and Yours the refused one, as YAML; empty if deleted.
	Theirs, Yours string
	// Difference leads from Theirs to Yours, in the unified format.
	Diff string
}

// Error names both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("service %q is at revision %d by %s, not %d", e.Service, e.Found, e.Author, e.Expect)
}

// NotFoundError says that no document of the service is recorded.
type NotFoundError struct {
	Service string
}

// Error names the service.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no document of service %q is recorded", e.Service)
}

// UnavailableError says that the store could not be reached in time. Nothing was recorded.
type UnavailableError struct {
	Service string
	// After is the time after which a retry may succeed.
	RetryAfter time.Duration
	Cause      error
}

// Error names the service and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("nothing was recorded for service %q: %v", e.Service, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownError says that the store did not tell in time whether the change was recorded.
// Repeating the change with the same Writer and expected revision never records it twice.
type UnknownError struct {
	Service string
	Writer  string
	Cause   error
}

// Error names the service and the writer.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("it is unknown whether change %s of service %q was recorded: %v", e.Writer, e.Service, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// StaleError says that the store has an older state than the one in force here, because
// it lost writes or answers from an old copy. Nothing was recorded.
type StaleError struct {
	Service string
	// Found is the revision of the service or of the whole store, Force the one in force.
	Found, Active int64
}

// Error names both revisions.
func (e *StaleError) Error() string {
	return fmt.Sprintf("for service %q the store is at revision %d, but revision %d is in force", e.Service, e.Found, e.Active)
}
