package seamrule

import (
	"fmt"
	"net/http"
)

// UnknownServiceError reports a service without rules.
type UnknownServiceError struct {
	Service string
}

// Error names the service.
func (e *UnknownServiceError) Error() string {
	return fmt.Sprintf("no rules for service %q", e.Service)
}

// Status returns the HTTP status for the caller.
func (e *UnknownServiceError) Status() int { return http.StatusNotFound }

// Reason returns the refusal reason for the caller.
func (e *UnknownServiceError) Reason() string { return "service" }

// KeyError reports a request to a keyed service that has no key, more than one, or one that is too long.
type KeyError struct {
	Service string
	// KeySource is the part of the request that should hold the key, as in Keyed.KeySource.
	KeySource string
}

// Error names the service and the part of the request that should hold the key.
func (e *KeyError) Error() string {
	return fmt.Sprintf("a request to service %q needs exactly one key of at most %d bytes in %s", e.Service, MaxKeyBytes, e.KeySource)
}

// Status returns the HTTP status for the caller.
func (e *KeyError) Status() int { return http.StatusBadRequest }

// Reason returns the refusal reason for the caller.
func (e *KeyError) Reason() string { return "key" }

// UnmatchedError reports a request that no selector of the service matches.
type UnmatchedError struct {
	Service string
}

// Error names the service.
func (e *UnmatchedError) Error() string {
	return fmt.Sprintf("no selector of service %q matches the request", e.Service)
}

// Status returns the HTTP status for the caller.
func (e *UnmatchedError) Status() int { return http.StatusNotFound }

// Reason returns the refusal reason for the caller.
func (e *UnmatchedError) Reason() string { return "selector" }
