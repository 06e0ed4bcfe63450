package seamrule

import (
	"fmt"
	"net/http"
)

// UnknownServiceError says that no document names the service.
type UnknownServiceError struct {
	Service string
}

// Error names the service.
func (e *UnknownServiceError) Error() string {
	return fmt.Sprintf("no rules for service %q", e.Service)
}

// Status is the HTTP status for the caller.
func (e *UnknownServiceError) Status() int { return http.StatusNotFound }

// Reason is the word for the caller.
func (e *UnknownServiceError) Reason() string { return "service" }

// KeyError says that a request of a keyed service has no key, more than one, or one that is too long.
type KeyError struct {
	Service string
	// Key says where the key should stand, as in Keyed.Key.
	KeySource string
}

// Error names the service and where its key should stand.
func (e *KeyError) Error() string {
	return fmt.Sprintf("request of service %q needs one key of at most %d bytes in %s", e.Service, MaxKeyBytes, e.KeySource)
}

// Status is the HTTP status for the caller.
func (e *KeyError) Status() int { return http.StatusBadRequest }

// Reason is the word for the caller.
func (e *KeyError) Reason() string { return "key" }

// UnmatchedError says that no selector of the service matches the request.
type UnmatchedError struct {
	Service string
}

// Error names the service.
func (e *UnmatchedError) Error() string {
	return fmt.Sprintf("no selector of service %q matches the request", e.Service)
}

// Status is the HTTP status for the caller.
func (e *UnmatchedError) Status() int { return http.StatusNotFound }

// Reason is the word for the caller.
func (e *UnmatchedError) Reason() string { return "selector" }
