// Package seamheader names the HTTP headers that callers, nodes and targets exchange.
package seamheader

// Headers of requests.
const (
	// Service names the service; without it the first label of the host is taken.
	Service = "Seam-Service"
	// Key holds the key of a keyed service whose rule says "header:Seam-Key".
	Key = "Seam-Key"
	// Request is an id chosen by the caller; repeating it within the deadline never runs a request twice.
	Request = "Seam-Request"
	// Deadline is the time left for the request, in milliseconds.
	Deadline = "Seam-Deadline"
	// Idempotent overrides what the method says: "true" or "false".
	Idempotent = "Seam-Idempotent"
	// Caller names the caller, for fairness among callers; without it the remote address is taken.
	Caller = "Seam-Caller"
	// Epoch is the fencing token that the node sends to its target.
	Epoch = "Seam-Epoch"
	// Slot is the index of the key's slot, sent to the target.
	Slot = "Seam-Slot"
)

// Headers of answers.
const (
	// Outcome is one of Done, Refused and Unknown.
	Outcome = "Seam-Outcome"
	// Reason says in one word why a request was refused or its outcome is unknown.
	Reason = "Seam-Reason"
	// Trace is the trace id.
	Trace = "Seam-Trace"
	// Server names the instance whose target ran the request.
	Server = "Seam-Server"
)

// Values of Outcome.
const (
	// Done means that the target ran the request; the status and body are the target's.
	Done = "done"
	// Refused means that the request was not run and never will be.
	Refused = "refused"
	// Unknown means that the request may or may not have run.
	Unknown = "unknown"
)
